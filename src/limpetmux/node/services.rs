//! The control services that every process runs, whatever its role.

use crate::adapters::hosts::HostsClient;
use crate::adapters::log::LogClient;
use crate::control::{self, Control, ControlError, ControlOptions, PeerCounters};
use crate::control::{PeerService, Spread, SpreadOptions, peer_server};
use crate::kernel::{Kernel, KernelError};
use crate::membership::{self, MembershipParts, Reporter};
use crate::wire::peer::peer_server::PeerServer;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;

/// The control services do not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServicesError {
    /// The control service does not start.
    #[error("cannot start the control service")]
    Control(#[from] ControlError),
    /// A service is registered twice.
    #[error("cannot connect the services of the process")]
    Kernel(#[from] KernelError),
}

/// What the control services work with.
pub struct ServicesOptions<'a> {
    /// The name of the process.
    pub name: &'a str,
    /// The platform's log.
    pub log: LogClient,
    /// The platform's host list, if the process reads it.
    pub hosts: Option<HostsClient>,
    /// The gRPC address of the process.
    pub own: Option<SocketAddr>,
    /// Peers known from the settings.
    pub peers: Vec<SocketAddr>,
}

/// The control services of a process; they end when this is dropped.
pub struct Services {
    /// Connects the services.
    pub kernel: Arc<Kernel>,
    /// The configuration in force.
    pub control: Control,
    /// The states of hosts.
    pub membership: Reporter,
    /// The traffic with peers.
    pub traffic: Arc<PeerCounters>,
}

impl Services {
    /// Starts the control services: the fold on the control thread, the exchange with peers and
    /// the membership on the traffic threads.
    ///
    /// # Errors
    /// Returns [`ServicesError`] naming the service that does not start.
    pub fn start(options: ServicesOptions<'_>) -> Result<Self, ServicesError> {
        let kernel = Arc::new(Kernel::new());
        let control = control::start(&kernel, options.log, ControlOptions::new(options.name))?;
        let traffic = Arc::<PeerCounters>::default();
        let spread = SpreadOptions::new(options.own, options.peers);
        let rng = StdRng::from_os_rng();
        let spread = Spread::new(control.clone(), spread, Arc::clone(&traffic), rng);
        tokio::spawn(spread.run());
        let parts = MembershipParts { views: control.view.clone(), hosts: options.hosts };
        let membership = membership::start(&kernel, parts)?;
        Ok(Self { kernel, control, membership, traffic })
    }

    /// Returns the gRPC service through which peers exchange the configuration.
    pub fn peer_server(&self) -> PeerServer<PeerService> {
        peer_server(self.control.port.clone(), Arc::clone(&self.traffic))
    }
}
