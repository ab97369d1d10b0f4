//! Runs a process with the given settings until it is drained.
//!
//! Both roles start the control services and then the entry or sidecar, and pass both to
//! [`process`], which runs them until the shutdown has ended.

use super::process::{self, EntryListeners, FlushFn, Process, ProcessError, ProcessParts};
use super::server::{ServeError, local_addr};
use super::services::{Services, ServicesError, ServicesOptions};
use crate::adapters::admission::ConnectionBounds;
use crate::adapters::backend::Backend;
use crate::adapters::channel::Channels;
use crate::adapters::hosts::HostsClient;
use crate::adapters::log::LogClient;
use crate::adapters::one_call::OneCallClient;
use crate::adapters::orders::OrdersClient;
use crate::adapters::power::{PowerClient, PowerOrder};
use crate::adapters::tls::TlsError;
use crate::admin::{StatusFn, report};
use crate::core::revision::Offset;
use crate::core::shutdown::{DrainReport, ShutdownOptions};
use crate::entry::{Entry, EntryError, EntryOptions, Members};
use crate::event;
use crate::kernel::KernelError;
use crate::planner::{ModelParts, follow_model, wait_for_sleep};
use crate::settings::{EntrySettings, Settings, SidecarSettings};
use crate::sidecar::{OnceSettings, Sidecar, SidecarOptions};
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::{Metrics, MetricsError};
use crate::wire::admin::{Attainment, BackendRow, StatusReply};
use futures::FutureExt;
use futures::future::BoxFuture;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;
use tokio::sync::watch;

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
    Services(#[from] ServicesError),
    /// The process does not run.
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
    /// The certificates cannot be used.
    #[error("the certificates cannot be used")]
    Tls(#[from] TlsError),
    /// The HTTP client cannot be set up.
    #[error("cannot set up the HTTP client")]
    Client(#[from] reqwest::Error),
    /// The shutdown service is registered twice.
    #[error("cannot connect the services of the process")]
    Kernel(#[from] KernelError),
}

fn start_services(
    settings: &Settings,
    channels: &Channels,
    grpc_addr: SocketAddr,
    may_plan: bool,
) -> Result<Services, RoleError> {
    if !channels.is_tls() {
        event!(EventCode::PlainText, name = settings.name);
    }
    let client = OneCallClient::new()?;
    let hosts = settings.platform.hosts.as_ref();
    let power = settings.platform.power.as_ref();
    let services = Services::start(ServicesOptions {
        name: settings.name.as_str(),
        log: LogClient::http(client.clone(), &settings.platform.log),
        hosts: hosts.map(|url| HostsClient::http(client.clone(), url)),
        grpc_addr: Some(grpc_addr),
        channels: channels.clone(),
        peers: settings.peers.clone(),
        power: power.map(|url| PowerClient::http(client.clone(), url)),
        may_plan,
    })?;
    Ok(services)
}

/// Returns the connections with other processes, whose bounds follow from the operating system's.
fn channels(settings: &Settings) -> Result<Channels, RoleError> {
    Ok(settings.channels()?.bounded(ConnectionBounds::default(), metrics(settings)?))
}

fn metrics(settings: &Settings) -> Result<Metrics, MetricsError> {
    settings.metrics.statsd.map_or(Ok(Metrics::none()), Metrics::statsd)
}

/// Returns a future that completes once `stop` is set or its sender is dropped.
pub(super) fn stopped(stop: &watch::Sender<bool>) -> impl Future<Output = ()> + Send + 'static {
    let mut stop = stop.subscribe();
    async move { drop(stop.wait_for(|stop| *stop).await) }
}

/// Runs an entry on bound listeners until `signal` or an operator's drain command, and returns the
/// report of its shutdown.
///
/// # Errors
/// Returns [`RoleError`] if the entry does not start.
pub async fn run_entry(
    settings: &Settings,
    entry_settings: &EntrySettings,
    listeners: EntryListeners,
    signal: impl Future<Output = ()> + Send,
) -> Result<DrainReport, RoleError> {
    let http_addr = local_addr(&listeners.http)?;
    let grpc_addr = local_addr(&listeners.grpc)?;
    let channels = channels(settings)?;
    let services = start_services(settings, &channels, grpc_addr, true)?;
    let entry = Entry::start(EntryOptions {
        zone: settings.zone.clone(),
        ordinal: entry_settings.ordinal,
        view: services.control.view.clone(),
        members: Members(Some(services.membership.clone())),
        channels: channels.clone(),
        limits: entry_settings.limits(),
        metrics: metrics(settings)?,
    })?;
    let parts = ProcessParts {
        kernel: Arc::clone(&services.kernel),
        channels,
        times: ShutdownOptions { deadline: settings.grace_period, ..ShutdownOptions::ENTRY },
        flush: Arc::new(|| async { true }.boxed()),
        status: entry_status(settings, &services, &entry),
    };
    let peers = services.peer_server();
    let process = Process::entry(&entry, parts)?.with_routes(|routes| routes.add_service(peers));
    event!(EventCode::ListenerReady, address = http_addr);
    Ok(process::run_entry(entry, process, listeners, signal).await?)
}

fn entry_status(settings: &Settings, services: &Services, entry: &Arc<Entry>) -> Arc<StatusFn> {
    let (node, zone) = (settings.name.to_string(), settings.zone.to_string());
    let (control, membership) = (services.control.clone(), services.membership.clone());
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
                late: counters.late.load(Ordering::Relaxed),
                refused: counters.refused.load(Ordering::Relaxed),
            }),
            ..StatusReply::default()
        }
    })
}

/// Runs a sidecar on a bound listener until `signal`, an operator's drain command or a plan that
/// switches its host off, and returns the report of its shutdown.
///
/// # Errors
/// Returns [`RoleError`] if the sidecar does not start.
pub async fn run_sidecar(
    settings: &Settings,
    sidecar_settings: &SidecarSettings,
    listener: TcpListener,
    signal: impl Future<Output = ()> + Send,
) -> Result<DrainReport, RoleError> {
    let addr = local_addr(&listener)?;
    let client = OneCallClient::new()?;
    let channels = channels(settings)?;
    let services = start_services(settings, &channels, addr, false)?;
    let log = LogClient::http(client.clone(), &settings.platform.log);
    let sidecar = Sidecar::start(SidecarOptions {
        host: settings.name.clone(),
        view: services.control.view.clone(),
        backend: Backend::http_within(sidecar_settings.limits(), client, &sidecar_settings.backend),
        once: Some(OnceSettings { channels: channels.clone(), ..OnceSettings::new(log) }),
        metrics: metrics(settings)?,
    });
    let (name, views) = (settings.name.clone(), services.control.view.clone());
    process::follow_host_list(&sidecar, name, views, &services.membership);
    let parts = ProcessParts {
        kernel: Arc::clone(&services.kernel),
        channels,
        times: ShutdownOptions { deadline: settings.grace_period, ..ShutdownOptions::SIDECAR },
        flush: flush_hook(&sidecar),
        status: sidecar_status(settings, &services, &sidecar),
    };
    let peers = services.peer_server();
    let process =
        Process::sidecar(&sidecar, parts)?.with_routes(|routes| routes.add_service(peers));
    let sleep = wait_for_sleep_order(settings, &services);
    tokio::pin!(sleep);
    let models =
        tokio::spawn(follow_model_orders(settings, sidecar_settings, &services, &sidecar)?);
    let mut fence = None;
    let ended = async {
        tokio::select! {
            () = signal => {}
            sleep_fence = &mut sleep => fence = Some(sleep_fence),
        }
    };
    let report = process.run(listener, ended).await;
    models.abort();
    let report = report?;
    if let Some(fence) = fence {
        switch_off(settings, &report, fence).await;
    }
    Ok(report)
}

/// Waits until the accepted plan switches this host off, and returns the plan's fencing number.
async fn wait_for_sleep_order(settings: &Settings, services: &Services) -> Offset {
    let fence = match services.power_view.clone() {
        Some(power) => wait_for_sleep(power, settings.name.as_str()).await,
        None => None,
    };
    match fence {
        Some(fence) => fence,
        None => std::future::pending().await,
    }
}

/// Returns a future that orders the backend server to load the models of the accepted plans.
fn follow_model_orders(
    settings: &Settings,
    sidecar_settings: &SidecarSettings,
    services: &Services,
    sidecar: &Arc<Sidecar>,
) -> Result<BoxFuture<'static, ()>, RoleError> {
    let Some(power) = services.power_view.clone() else {
        return Ok(std::future::ready(()).boxed());
    };
    let sidecar = Arc::clone(sidecar);
    let parts = ModelParts {
        host: settings.name.clone(),
        views: services.control.view.clone(),
        power,
        orders: OrdersClient::http(OneCallClient::new()?, &sidecar_settings.backend),
        incarnation: Arc::new(move || sidecar.gate().load().incarnation),
    };
    Ok(follow_model(parts).boxed())
}

/// Asks the platform to switch this host off after its process has drained.
///
/// A host with unfinished work stays on; the planner observes this and makes a new plan.
async fn switch_off(settings: &Settings, report: &DrainReport, fence: Offset) {
    let (Some(url), true) = (&settings.platform.power, report.is_clean()) else { return };
    let Ok(client) = OneCallClient::new() else { return };
    let order = PowerOrder { host: settings.name.to_string(), on: false, fence };
    match (PowerClient::http(client, url).set)(order).await {
        Ok(()) => event!(EventCode::HostSleeping, host = settings.name, fence = fence),
        Err(error) => event!(EventCode::DutyStepFailed, error = error),
    }
}

/// Returns the hook that flushes a sidecar's claims before the process ends.
fn flush_hook(sidecar: &Arc<Sidecar>) -> Arc<FlushFn> {
    let sidecar = Arc::clone(sidecar);
    Arc::new(move || {
        let sidecar = Arc::clone(&sidecar);
        async move { sidecar.flush().await }.boxed()
    })
}

fn sidecar_status(
    settings: &Settings,
    services: &Services,
    sidecar: &Arc<Sidecar>,
) -> Arc<StatusFn> {
    let (node, zone) = (settings.name.to_string(), settings.zone.to_string());
    let control = services.control.clone();
    let sidecar = Arc::clone(sidecar);
    Arc::new(move || {
        let revision = control.view.load().revision.0;
        let load = sidecar.gate().load();
        StatusReply {
            node: node.clone(),
            role: "sidecar".to_owned(),
            zone: zone.clone(),
            process: sidecar.process().0,
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
