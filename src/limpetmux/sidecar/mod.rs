//! The process beside each backend server and the only gate to it.
//!
//! An entry's `Run` passes [`gate`](Sidecar::check) (is this host meant, is it serving), waits for
//! admission, and is then run on the backend server by [`run_attempt`], whose pieces go back as
//! numbered frames. Every refusal before the backend server is asked is a true "not run". A probe
//! task follows the load and the incarnation of the backend server. See
//! `docs/design/requests.md`.

mod admit;
mod attempts;
mod gate;
mod output;
mod probe;
mod run;
mod service;

pub use admit::Permit;
pub use attempts::{Attempts, Cancelled};
pub use gate::{Admitted, Claimant, Gate};
pub use output::{FrameWriter, Gone, Output};
pub use run::{Attempt, Usage, run_attempt};
pub use service::StageService;

use crate::adapters::backend::Backend;
use crate::core::config::Name;
use crate::core::membership::ProcessId;
use crate::core::view::View;
use crate::kernel::Published;
use crate::wire::{convert, stage};
use std::sync::{Arc, Weak};

/// What a sidecar needs to start.
pub struct SidecarOptions {
    /// The name under which the configuration declares the host.
    pub host: Name,
    /// The configuration in force.
    pub view: Published<View>,
    /// The backend server beside the sidecar.
    pub backend: Backend,
}

/// The state of one sidecar, shared by all its requests.
pub struct Sidecar {
    pub(crate) backend: Backend,
    pub(crate) gate: Gate,
    pub(crate) attempts: Attempts,
    process: ProcessId,
}

impl Sidecar {
    /// Creates the state and starts the probe of the backend server.
    ///
    /// The probe ends when the sidecar is dropped.
    pub fn start(options: SidecarOptions) -> Arc<Self> {
        let sidecar = Arc::new(Self {
            backend: options.backend,
            gate: Gate::new(options.host, options.view),
            attempts: Attempts::default(),
            process: ProcessId::random(&mut rand::rng()),
        });
        tokio::spawn(probe::run(Arc::downgrade(&sidecar)));
        tokio::spawn(follow(Arc::downgrade(&sidecar), sidecar.gate.views()));
        sidecar
    }

    /// Returns the gRPC service that entries call.
    pub fn service(self: &Arc<Self>) -> stage::stage_server::StageServer<StageService> {
        stage::stage_server::StageServer::new(StageService::new(Arc::clone(self)))
    }

    /// Returns the number of this run of the process.
    pub fn process(&self) -> ProcessId {
        self.process
    }

    /// Returns the load as entries are told it.
    pub fn load(&self) -> stage::Load {
        convert::load(self.gate.load(), self.process, self.gate.is_draining())
    }

    /// Returns the gate, which knows the load and whether the sidecar is draining.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }
}

/// Adopts every new configuration until the sidecar is dropped.
async fn follow(sidecar: Weak<Sidecar>, mut views: Published<View>) {
    while views.changed().await {
        let Some(sidecar) = sidecar.upgrade() else { return };
        sidecar.gate.adopt();
    }
}
