//! Runs one process in its role until it is drained.
//!
//! Both roles follow one plan: bind the listeners, start the control services, register the
//! shutdown with the role's hooks, serve, and return when the shutdown has ended.

use super::process::{Process, ProcessError, ProcessOptions};
use super::server::{ServeError, bind, grpc, serve};
use crate::adapters::backend::Backend;
use crate::adapters::hosts::HostsClient;
use crate::adapters::log::LogClient;
use crate::admin::{AdminService, StatusFn, report};
use crate::core::shutdown::{DrainReport, ShutdownOptions};
use crate::entry::{Entry, EntryError, EntryOptions};
use crate::event;
use crate::kernel::KernelError;
use crate::settings::{EntrySettings, Settings, SidecarSettings};
use crate::shutdown::{ShutdownHooks, register};
use crate::sidecar::{OnceLink, Sidecar, SidecarOptions};
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::{Metrics, MetricsError};
use crate::wire::admin::{Attainment, BackendRow, StatusReply};
use futures::FutureExt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::sync::watch;
use uuid::Uuid;

/// A process does not start or stops early.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum RoleError {
    /// A listener or a server fails.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Serve(#[from] ServeError),
    /// The control services do not start.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Process(#[from] ProcessError),
    /// The entry fails.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] EntryError),
    /// Metrics cannot be sent.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Metrics(#[from] MetricsError),
    /// The HTTP client cannot be set up.
    #[error("cannot set up the HTTP client")]
    Client(#[from] reqwest::Error),
    /// The shutdown service is registered twice.
    #[error("cannot connect the services of the process")]
    Kernel(#[from] KernelError),
}

/// Returns the HTTP client for platform and backend servers.
pub(super) fn http_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder().no_proxy().redirect(reqwest::redirect::Policy::none()).build()
}

fn start_process(
    settings: &Settings,
    own: SocketAddr,
    client: &reqwest::Client,
) -> Result<Process, ProcessError> {
    let hosts = settings.platform.hosts.as_ref();
    Process::start(ProcessOptions {
        name: settings.name.as_str(),
        log: LogClient::http(client.clone(), &settings.platform.log),
        hosts: hosts.map(|url| HostsClient::http(client.clone(), url)),
        own: Some(own),
        peers: settings.peers.clone(),
    })
}

fn metrics(settings: &Settings) -> Result<Metrics, MetricsError> {
    settings.metrics.statsd.map_or(Ok(Metrics::none()), Metrics::statsd)
}

/// Returns a future that is ready once the process stops.
pub(super) fn stopped(stop: &watch::Sender<bool>) -> impl Future<Output = ()> + Send + 'static {
    let mut stop = stop.subscribe();
    async move { drop(stop.wait_for(|stop| *stop).await) }
}

/// Runs an entry until `signal` or a drain order, and returns the report of its shutdown.
///
/// # Errors
/// Returns [`RoleError`] if the entry does not start.
pub async fn run_entry(
    settings: &Settings,
    own: &EntrySettings,
    signal: impl Future<Output = ()>,
) -> Result<DrainReport, RoleError> {
    let (http, http_addr) = bind(own.http).await?;
    let (listener, grpc_addr) = bind(settings.listen).await?;
    let client = http_client()?;
    let process = start_process(settings, grpc_addr, &client)?;
    let entry = Entry::start(EntryOptions {
        zone: settings.zone.clone(),
        ordinal: own.ordinal,
        view: process.control.view.clone(),
        membership: Some(process.membership.clone()),
        limits: own.limits(),
        metrics: metrics(settings)?,
    })?;
    let options = ShutdownOptions { deadline: settings.grace, ..ShutdownOptions::ENTRY };
    let (shutdown, port) = register(&process.kernel, options, entry_hooks(&entry))?;
    let status = entry_status(settings, &process, &entry);
    let router =
        grpc().add_service(process.peer_server()).add_service(AdminService::server(port, status));
    let (stop, _) = watch::channel(false);
    let callers = tokio::spawn(Arc::clone(&entry).serve(http, stopped(&stop), settings.grace));
    let peers = tokio::spawn(serve(router, listener, stopped(&stop)));
    event!(EventCode::ListenerReady, address = http_addr);
    let report = shutdown.run(signal).await;
    stop.send_replace(true);
    // The requests have ended; what is left are idle connections.
    let _ = tokio::time::timeout(ShutdownOptions::ENTRY.flush, callers).await;
    peers.abort();
    Ok(report)
}

fn entry_hooks(entry: &Arc<Entry>) -> ShutdownHooks {
    let (unready, refuse, running) = (Arc::clone(entry), Arc::clone(entry), Arc::clone(entry));
    ShutdownHooks {
        unready: Arc::new(move || unready.set_ready(false)),
        refuse: Arc::new(move || refuse.set_draining(true)),
        running: Arc::new(move || running.inflight()),
        flush: Arc::new(|| async { true }.boxed()),
    }
}

fn entry_status(settings: &Settings, process: &Process, entry: &Arc<Entry>) -> Arc<StatusFn> {
    let (node, zone) = (settings.name.to_string(), settings.zone.to_string());
    let (control, membership) = (process.control.clone(), process.membership.clone());
    let entry = Arc::clone(entry);
    Arc::new(move || {
        let view = control.view.load();
        let states = membership.states();
        let counters = entry.counters();
        StatusReply {
            node: node.clone(),
            role: "entry".to_owned(),
            zone: zone.clone(),
            revision: view.revision.0,
            newest: control.status.load().revision.0.max(view.revision.0),
            running: entry.inflight(),
            hosts: report::host_rows(clock::now(), &view, &states),
            zones: report::zone_rows(&view, &states),
            stages: entry.with_ledger(report::stage_rows),
            attainment: Some(Attainment {
                attained: counters.answered.load(Ordering::Relaxed),
                late: 0,
                refused: counters.refused.load(Ordering::Relaxed),
            }),
            ..StatusReply::default()
        }
    })
}

/// Runs a sidecar until `signal` or a drain order, and returns the report of its shutdown.
///
/// # Errors
/// Returns [`RoleError`] if the sidecar does not start.
pub async fn run_sidecar(
    settings: &Settings,
    own: &SidecarSettings,
    signal: impl Future<Output = ()>,
) -> Result<DrainReport, RoleError> {
    let (listener, addr) = bind(settings.listen).await?;
    let client = http_client()?;
    let process = start_process(settings, addr, &client)?;
    let sidecar = Sidecar::start(SidecarOptions {
        host: settings.name.clone(),
        process: Uuid::new_v4().as_u64_pair().0,
        view: process.control.view.clone(),
        backend: Backend::http(client.clone(), &own.backend),
        once: Some(OnceLink::new(LogClient::http(client, &settings.platform.log))),
        metrics: metrics(settings)?,
    });
    let options = ShutdownOptions { deadline: settings.grace, ..ShutdownOptions::SIDECAR };
    let (shutdown, port) = register(&process.kernel, options, sidecar_hooks(&sidecar))?;
    let status = sidecar_status(settings, &process, &sidecar);
    let router = grpc()
        .add_service(sidecar.service())
        .add_optional_service(sidecar.once_service())
        .add_service(process.peer_server())
        .add_service(AdminService::server(port, status));
    let (stop, _) = watch::channel(false);
    let entries = tokio::spawn(serve(router, listener, stopped(&stop)));
    let report = shutdown.run(signal).await;
    stop.send_replace(true);
    // The attempts have ended; what is left are idle connections.
    let _ = tokio::time::timeout(ShutdownOptions::SIDECAR.flush, entries).await;
    Ok(report)
}

fn sidecar_hooks(sidecar: &Arc<Sidecar>) -> ShutdownHooks {
    let (refuse, running) = (Arc::clone(sidecar), Arc::clone(sidecar));
    ShutdownHooks {
        unready: Arc::new(|| ()),
        refuse: Arc::new(move || refuse.gate().set_draining(true)),
        running: Arc::new(move || running.running()),
        flush: Arc::new(|| async { true }.boxed()),
    }
}

fn sidecar_status(settings: &Settings, process: &Process, sidecar: &Arc<Sidecar>) -> Arc<StatusFn> {
    let (node, zone) = (settings.name.to_string(), settings.zone.to_string());
    let control = process.control.clone();
    let sidecar = Arc::clone(sidecar);
    Arc::new(move || {
        let revision = control.view.load().revision.0;
        let load = sidecar.gate().load();
        StatusReply {
            node: node.clone(),
            role: "sidecar".to_owned(),
            zone: zone.clone(),
            process: sidecar.process(),
            revision,
            newest: control.status.load().revision.0.max(revision),
            running: sidecar.running(),
            backend: Some(BackendRow {
                inflight: load.inflight,
                queued: load.queued,
                limit: load.limit,
                cold: load.cold,
                incarnation: load.incarnation,
            }),
            ..StatusReply::default()
        }
    })
}
