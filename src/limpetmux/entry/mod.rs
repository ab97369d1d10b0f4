//! The entry: accepts HTTP requests from callers, runs pipelines and streams answers.
//!
//! [`http`] reads and validates a request, [`pipeline`] runs its stages one after another,
//! [`stage`] makes the attempts at each stage, and [`attempt`] calls the sidecar of a host. Only
//! [`stage`] has [`policy`] choose the host of an attempt. All of them read one [`Fleet`], which is
//! rebuilt for every published configuration without waiting for the control thread. See
//! `docs/design/requests.md`.

mod answer;
mod attempt;
mod connection;
mod fleet;
mod http;
mod members;
mod once;
mod outcome;
mod pipeline;
mod policy;
mod probe;
mod problem;
mod progress;
mod receive;
mod request;
mod stage;
mod stream;

pub use answer::{StageTrailer, Trailer};
pub use connection::SidecarConnection;
pub use fleet::Fleet;
pub use http::{OPENAPI, ROUTES};
pub use members::Members;
pub use problem::Problem;
pub use request::{Limits, PipelineRequest, RequestError};

use crate::adapters::channel::Channels;
use crate::core::budget::TimesError;
use crate::core::config::Name;
use crate::core::cost::Ledger;
use crate::core::refusal::RefusalCode;
use crate::core::revision::Revision;
use crate::core::view::View;
use crate::kernel::Published;
use crate::util::memory::Memory;
use crate::util::metrics::Metrics;
use crate::util::throttle::Throttle;
use policy::Policy;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The options of an entry.
pub struct EntryOptions {
    /// The availability zone of the entry; hosts in it are preferred.
    pub zone: Name,
    /// The index of the entry among the entries of its zone, counted from zero.
    pub ordinal: u32,
    /// The configuration in force.
    pub view: Published<View>,
    /// The states of hosts from the membership service.
    pub members: Members,
    /// Opens the connections to sidecars.
    pub channels: Channels,
    /// The limits on callers' requests.
    pub limits: Limits,
    /// The sink for metrics.
    pub metrics: Metrics,
}

/// The state of one entry, shared by all its requests.
pub struct Entry {
    pub(crate) policy: Policy,
    pub(crate) fleet: Published<Fleet>,
    pub(crate) limits: Limits,
    pub(crate) counters: Counters,
    pub(crate) metrics: Metrics,
    pub(crate) log_throttle: Throttle,
    pub(crate) memory: Memory,
    unready: AtomicBool,
    draining: AtomicBool,
    /// Whether running requests have to be answered now.
    exiting: watch::Sender<bool>,
    inflight: AtomicU32,
}

/// Counts of the requests of one entry.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests with a complete answer in time.
    pub answered: AtomicU64,
    /// Requests rejected because of invalid input.
    pub rejected: AtomicU64,
    /// Requests that started, but had no complete answer when their deadline passed.
    pub late: AtomicU64,
    /// Requests refused or failed for other reasons.
    pub refused: AtomicU64,
}

/// Why an entry could not start or stopped serving.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum EntryError {
    /// The record of stage durations cannot be created.
    #[error("cannot set up the entry")]
    Times(#[from] TimesError),
    /// The HTTP server stopped.
    #[error("the HTTP server of the entry stopped")]
    Serve(#[source] std::io::Error),
}

impl Entry {
    /// Creates the state and spawns the tasks that follow the configuration and probe hosts.
    ///
    /// # Errors
    /// Returns [`EntryError::Times`] if the record of stage durations cannot be created.
    pub fn start(options: EntryOptions) -> Result<Arc<Self>, EntryError> {
        let entry = Arc::new(Self {
            policy: Policy::new(&options)?,
            fleet: fleet::publish_fleets(options.view, options.members, options.channels),
            limits: options.limits,
            counters: Counters::default(),
            memory: Memory::new(options.limits.max_held, options.metrics.clone()),
            metrics: options.metrics,
            log_throttle: Throttle::default(),
            unready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            exiting: watch::Sender::new(false),
            inflight: AtomicU32::new(0),
        });
        tokio::spawn(probe::run(Arc::downgrade(&entry)));
        Ok(entry)
    }

    /// Serves callers on a listener until `stop` is ready, then waits up to `grace` for the running
    /// requests.
    ///
    /// # Errors
    /// Returns [`EntryError`] if the HTTP server fails.
    pub async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        stop: impl Future<Output = ()>,
        grace: Duration,
    ) -> Result<(), EntryError> {
        http::serve(self, listener, stop, grace).await.map_err(EntryError::Serve)
    }

    /// Makes readiness checks fail while new requests are still accepted.
    pub fn set_unready(&self) {
        self.unready.store(true, Ordering::Release);
    }

    /// Stops or resumes the acceptance of new requests; readiness changes at once.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Release);
    }

    /// Answers all running requests at once, as the process is about to exit.
    pub fn answer_running(&self) {
        self.exiting.send_replace(true);
    }

    /// Waits until running requests have to be answered because the process is about to exit.
    pub(crate) async fn must_answer(&self) {
        // The sender lives as long as the entry.
        drop(self.exiting.subscribe().wait_for(|exiting| *exiting).await);
    }

    /// Returns whether readiness checks succeed, so that the load balancer sends requests.
    pub fn is_ready(&self) -> bool {
        self.accepts() && !self.unready.load(Ordering::Acquire)
    }

    /// Returns whether the entry accepts new requests.
    pub fn accepts(&self) -> bool {
        self.refusal_code().is_none()
    }

    /// Returns the code with which new requests are refused now, or `None` if they are accepted.
    pub(crate) fn refusal_code(&self) -> Option<RefusalCode> {
        if self.draining.load(Ordering::Acquire) {
            return Some(RefusalCode::Draining);
        }
        let is_configured = self.fleet.load().view.revision != Revision::EMPTY;
        (!is_configured).then_some(RefusalCode::Unconfigured)
    }

    /// Returns the number of requests in progress.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }

    /// Reads the cost so far by workspace, pipeline and stage.
    pub fn with_ledger<R>(&self, read: impl FnOnce(&Ledger) -> R) -> R {
        self.policy.with_ledger(read)
    }

    /// Returns the counts of requests.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}

/// Counts a request as in progress until dropped.
pub(crate) struct InFlight(Arc<Entry>);

impl InFlight {
    pub(crate) fn begin(entry: &Arc<Entry>) -> Self {
        entry.inflight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(entry))
    }

    pub(crate) fn entry(&self) -> &Arc<Entry> {
        &self.0
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the base URL of a listener's address.
pub fn base_url(addr: SocketAddr) -> String {
    format!("http://{addr}")
}
