//! Runs a process of either role, from its bound listeners to the report of its shutdown.

use super::server::{ServeError, sidecar_routes};
use crate::adapters::channel::Channels;
use crate::admin::{AdminService, StatusFn};
use crate::core::config::Name;
use crate::core::membership::Cause;
use crate::core::shutdown::{DrainReport, ShutdownOptions};
use crate::core::view::View;
use crate::entry::Entry;
use crate::kernel::{Kernel, KernelError, Published};
use crate::membership::Reporter;
use crate::shutdown::{ShutdownHandle, ShutdownHooks, ShutdownService, register};
use crate::sidecar::Sidecar;
use futures::future::BoxFuture;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tonic::service::Routes;

/// The maximum time for connections to close after a drain has ended at its deadline.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a process fails.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ProcessError {
    /// A service cannot be registered.
    #[error("cannot register a service")]
    Kernel(#[from] KernelError),
    /// A server failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Serve(#[from] ServeError),
    /// The HTTP server of an entry failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Entry(#[from] crate::entry::EntryError),
}

/// Sends outstanding records to the platform; returns whether all arrived.
pub type FlushFn = dyn Fn() -> BoxFuture<'static, bool> + Send + Sync;

/// The components that a process of either role needs beside its entry or sidecar.
pub struct ProcessParts {
    /// The registry of the process's services.
    pub kernel: Arc<Kernel>,
    /// The settings of the process's gRPC server.
    pub channels: Channels,
    /// The time limits of the shutdown.
    pub times: ShutdownOptions,
    /// Sends outstanding records to the platform during the shutdown.
    pub flush: Arc<FlushFn>,
    /// Returns the status that operators see.
    pub status: Arc<StatusFn>,
}

/// A process that is ready to run.
pub struct Process {
    /// Starts a drain.
    pub shutdown: ShutdownHandle,
    times: ShutdownOptions,
    service: ShutdownService,
    channels: Channels,
    routes: Routes,
}

impl Process {
    /// Prepares the process of a sidecar.
    ///
    /// # Errors
    /// Returns [`KernelError::AlreadyRegistered`] if the kernel already has a shutdown service.
    pub fn sidecar(sidecar: &Arc<Sidecar>, parts: ProcessParts) -> Result<Self, KernelError> {
        let (refusing, running) = (Arc::clone(sidecar), Arc::clone(sidecar));
        let hooks = ShutdownHooks {
            unready: Arc::new(|| ()),
            refuse: Arc::new(move || refusing.gate().set_draining(true)),
            // Entries know which of their attempts may have run.
            answer: Arc::new(|| ()),
            running: Arc::new(move || running.running()),
            flush: parts.flush,
        };
        let (service, shutdown) = register(&parts.kernel, parts.times, hooks)?;
        let admin = AdminService::server(shutdown.clone(), parts.status);
        let routes = sidecar_routes(sidecar).add_service(admin);
        Ok(Self { shutdown, times: parts.times, service, channels: parts.channels, routes })
    }

    /// Prepares the process of an entry.
    ///
    /// # Errors
    /// Returns [`KernelError::AlreadyRegistered`] if the kernel already has a shutdown service.
    pub fn entry(entry: &Arc<Entry>, parts: ProcessParts) -> Result<Self, KernelError> {
        let (unready, refusing) = (Arc::clone(entry), Arc::clone(entry));
        let (answering, running) = (Arc::clone(entry), Arc::clone(entry));
        let hooks = ShutdownHooks {
            unready: Arc::new(move || unready.set_unready()),
            refuse: Arc::new(move || refusing.set_draining(true)),
            answer: Arc::new(move || answering.answer_running()),
            running: Arc::new(move || running.inflight()),
            flush: parts.flush,
        };
        let (service, shutdown) = register(&parts.kernel, parts.times, hooks)?;
        let routes = Routes::new(AdminService::server(shutdown.clone(), parts.status));
        Ok(Self { shutdown, times: parts.times, service, channels: parts.channels, routes })
    }

    /// Adds gRPC services to the process.
    pub fn with_routes(mut self, add: impl FnOnce(Routes) -> Routes) -> Self {
        self.routes = add(self.routes);
        self
    }

    /// Serves gRPC until `signal` or an operator's drain command has ended the process.
    ///
    /// # Errors
    /// Returns [`ServeError`] if the server fails.
    pub async fn run(
        self,
        listener: TcpListener,
        signal: impl Future<Output = ()> + Send,
    ) -> Result<DrainReport, ServeError> {
        let (drained, ended) = oneshot::channel::<()>();
        let server = self.channels.serve(self.routes, listener, async { drop(ended.await) });
        tokio::pin!(server);
        let report = tokio::select! {
            report = self.service.run(signal) => report,
            result = &mut server => {
                result.map_err(ServeError::Grpc)?;
                return Ok(DrainReport::default());
            }
        };
        drop(drained);
        // Connections still open after the timeout belong to requests that the report calls
        // unfinished.
        if let Ok(result) = tokio::time::timeout(CLOSE_TIMEOUT, server).await {
            result.map_err(ServeError::Grpc)?;
        }
        Ok(report)
    }
}

/// Makes a sidecar refuse new work once its host is no longer live in the platform's host list.
///
/// Entries read the list as well; the refusal covers entries whose copy is older.
pub fn follow_host_list(
    sidecar: &Arc<Sidecar>,
    host: Name,
    views: Published<View>,
    hosts: &Reporter,
) {
    let (sidecar, mut states) = (Arc::downgrade(sidecar), hosts.reader());
    tokio::spawn(async move {
        loop {
            let Some(sidecar) = sidecar.upgrade() else { return };
            let view = views.load();
            let status = view.host(host.as_str()).map(|key| states.load().status(&view, key));
            if status.is_some_and(|s| s.cause == Some(Cause::Listed)) {
                sidecar.gate().set_draining(true);
            }
            drop(sidecar);
            if !states.changed().await {
                return;
            }
        }
    });
}

/// Runs the process of an entry, with HTTP for callers on one listener and gRPC on the other.
///
/// # Errors
/// Returns [`ProcessError`] if a server fails.
pub async fn run_entry(
    entry: Arc<Entry>,
    process: Process,
    listeners: EntryListeners,
    signal: impl Future<Output = ()> + Send,
) -> Result<DrainReport, ProcessError> {
    let (drained, ended) = oneshot::channel::<()>();
    let longest = process.times.deadline.max(CLOSE_TIMEOUT);
    let http = entry.serve(listeners.http, async { drop(ended.await) }, longest);
    tokio::pin!(http);
    let report = tokio::select! {
        report = process.run(listeners.grpc, signal) => report?,
        result = &mut http => {
            result?;
            return Ok(DrainReport::default());
        }
    };
    drop(drained);
    // Callers that read slowly still take their answers, which belong to no running request. A connection
    // that is open after this is dropped with the process.
    let left = Duration::from_micros(report.left_us).max(CLOSE_TIMEOUT);
    if let Ok(result) = tokio::time::timeout(left, http).await {
        result?;
    }
    Ok(report)
}

/// The listeners of an entry.
pub struct EntryListeners {
    /// For callers.
    pub http: TcpListener,
    /// For operators and peers.
    pub grpc: TcpListener,
}
