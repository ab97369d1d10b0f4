//! The sidecar: the process beside each backend server that all its calls pass through.
//!
//! An entry's `Run` is checked by the [`Gate`] (whether it is meant for this host and whether the
//! host serves), waits for admission, and is then run on the backend server by [`run_attempt`],
//! which returns the answer as numbered frames. A refusal before the call is sent to the backend
//! server proves that nothing ran. A probe task polls the load and the incarnation of the backend
//! server. See `docs/design/requests.md`.

mod admit;
mod attempts;
mod gate;
pub mod once;
mod output;
mod probe;
mod run;
mod service;

pub use admit::Permit;
pub use attempts::{Attempts, BeginError, Cancelled};
pub use gate::{AttemptInfo, CheckedAttempt, Gate};
pub use output::{Disconnected, FrameWriter, Output};
pub use run::{Attempt, Usage, run_attempt};
pub use service::StageService;

use self::once::{OnceGate, OnceOptions, OnceService};
use crate::adapters::backend::Backend;
use crate::adapters::channel::Channels;
use crate::adapters::log::LogClient;
use crate::claims::AppendOptions;
use crate::core::config::Name;
use crate::core::membership::ProcessId;
use crate::core::once::Rules;
use crate::core::read_limits::{MAX_MESSAGE_BYTES, MAX_TABLE_BYTES};
use crate::core::view::View;
use crate::kernel::Published;
use crate::util::metrics::Metrics;
use crate::wire::once::once_server::OnceServer;
use crate::wire::{convert, stage};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Weak};

/// The dependencies of a sidecar.
pub struct SidecarOptions {
    /// The name under which the configuration declares the host.
    pub host: Name,
    /// The configuration in force.
    pub view: Published<View>,
    /// The backend server beside the sidecar.
    pub backend: Backend,
    /// The recorder of metrics.
    pub metrics: Metrics,
    /// Settings for stages that may run at most once; `None` refuses those stages.
    pub once: Option<OnceSettings>,
}

/// Settings for idempotency keys.
#[derive(Clone)]
pub struct OnceSettings {
    /// The platform log.
    pub log: LogClient,
    /// Connects to other hosts; [`OnceSettings::new`] uses plain text.
    pub channels: Channels,
    /// Durations and limits of the protocol.
    pub rules: Rules,
    /// The limits on appends of claims.
    pub append_options: AppendOptions,
}

impl OnceSettings {
    /// Creates settings with the default rules and limits on appends.
    pub fn new(log: LogClient) -> Self {
        let channels = Channels::plain();
        Self { log, channels, rules: Rules::default(), append_options: AppendOptions::default() }
    }
}

/// The state of one sidecar, shared by all its requests.
pub struct Sidecar {
    pub(crate) backend: Backend,
    pub(crate) gate: Gate,
    pub(crate) attempts: Attempts,
    pub(crate) metrics: Metrics,
    pub(crate) once: Option<(Arc<OnceGate>, LogClient)>,
    process: ProcessId,
    running: AtomicU32,
}

impl Sidecar {
    /// Creates the state and starts the tasks that probe the backend server and apply views.
    ///
    /// The tasks end when the sidecar is dropped.
    pub fn start(options: SidecarOptions) -> Arc<Self> {
        let gate = Gate::new(options.host.clone(), options.view.clone());
        let once = options.once.map(|settings| {
            let (host, view) = (options.host.clone(), options.view.clone());
            let OnceSettings { log, channels, rules, append_options } = settings;
            let draining = gate.draining_flag();
            let options = OnceOptions {
                host,
                view,
                log: log.clone(),
                channels,
                rules,
                append_options,
                draining,
            };
            (OnceGate::start(options), log)
        });
        let sidecar = Arc::new(Self {
            backend: options.backend,
            gate,
            attempts: Attempts::default(),
            metrics: options.metrics,
            once,
            process: ProcessId::random(&mut rand::rng()),
            running: AtomicU32::new(0),
        });
        tokio::spawn(probe::run(Arc::downgrade(&sidecar)));
        tokio::spawn(apply_views(Arc::downgrade(&sidecar), sidecar.gate.views()));
        sidecar
    }

    /// Returns the gRPC service that entries call.
    pub fn service(self: &Arc<Self>) -> stage::stage_server::StageServer<StageService> {
        stage::stage_server::StageServer::new(StageService::new(Arc::clone(self)))
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Returns the id of this process, drawn at random at each start.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Returns the number of attempts whose answers are not yet passed to the connection.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the load as reported to entries.
    pub fn load(&self) -> stage::Load {
        convert::load(self.gate.load(), self.process, self.gate.is_draining())
    }

    /// Returns the gRPC service of idempotency keys, if the sidecar handles them.
    pub fn once_service(&self) -> Option<OnceServer<OnceService>> {
        let (gate, log) = self.once.as_ref()?;
        let server = OnceServer::new(OnceService::new(Arc::clone(gate), log.clone()));
        let server = server.max_decoding_message_size(MAX_TABLE_BYTES);
        Some(server.max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Waits until claims are in the log and successors have received this host's tables.
    pub async fn flush(&self) -> bool {
        match self.once() {
            Some(once) => once.flush().await,
            None => true,
        }
    }

    /// Returns the gate of idempotency keys, if the sidecar handles them.
    pub fn once(&self) -> Option<&Arc<OnceGate>> {
        self.once.as_ref().map(|(gate, _)| gate)
    }

    /// Returns the gate, which holds the load and the draining state.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }
}

/// Counts an attempt as running until dropped.
pub(crate) struct RunningGuard(Arc<Sidecar>);

impl RunningGuard {
    pub(crate) fn begin(sidecar: &Arc<Sidecar>) -> Self {
        sidecar.running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(sidecar))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Applies every new configuration to the gate until the sidecar is dropped.
async fn apply_views(sidecar: Weak<Sidecar>, mut views: Published<View>) {
    while views.changed().await {
        let Some(sidecar) = sidecar.upgrade() else { return };
        sidecar.gate.apply_view();
    }
}
