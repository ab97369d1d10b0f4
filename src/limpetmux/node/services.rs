//! The control services that every process runs, whatever its role.

use crate::adapters::channel::Channels;
use crate::adapters::hosts::HostsClient;
use crate::adapters::log::LogClient;
use crate::adapters::power::PowerClient;
use crate::control::{self, Control, ControlOptions, PeerCounters};
use crate::control::{Gossip, GossipOptions, PeerService, peer_server};
use crate::core::planner::AgentOptions;
use crate::kernel::{ControlThread, Kernel, KernelError, Published, Publisher, ThreadError};
use crate::membership::{self, MembershipParts, Reporter};
use crate::planner::{self, PlannerParts, PowerView};
use crate::wire::peer::peer_server::PeerServer;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use uuid::Uuid;

/// Why the control services do not start.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServicesError {
    /// The control thread does not start.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// A service is registered twice.
    #[error("cannot connect the services of the process")]
    Kernel(#[from] KernelError),
}

/// The dependencies of the control services.
pub struct ServicesOptions<'a> {
    /// The name of the process.
    pub name: &'a str,
    /// The client of the platform's log.
    pub log: LogClient,
    /// The client of the platform's host list, if the process reads it.
    pub hosts: Option<HostsClient>,
    /// The gRPC address of the process.
    pub grpc_addr: Option<SocketAddr>,
    /// The settings of connections with other processes.
    pub channels: Channels,
    /// The addresses of the peers in the settings.
    pub peers: Vec<SocketAddr>,
    /// The client of the platform's power switch, if hosts are switched on and off.
    pub power: Option<PowerClient>,
    /// Whether this process may hold the planner's lease.
    pub may_plan: bool,
}

/// The control services of a process; they stop when this value is dropped.
pub struct Services {
    /// The registry of the process's services.
    pub kernel: Arc<Kernel>,
    /// The configuration in force.
    pub control: Control,
    /// The states of hosts.
    pub membership: Reporter,
    /// The counters of the traffic with peers.
    pub peer_counters: Arc<PeerCounters>,
    /// The hosts that are switched off; present if the process has a power switch.
    pub power_view: Option<Published<PowerView>>,
    _thread: ControlThread,
}

impl Services {
    /// Starts the control services on the control thread: the configuration replica, the exchange
    /// with peers, the membership and the planner duty.
    ///
    /// # Errors
    /// Returns [`ServicesError`] naming the service that does not start.
    pub fn start(options: ServicesOptions<'_>) -> Result<Self, ServicesError> {
        let thread = ControlThread::start()?;
        let entered = thread.enter();
        let kernel = Arc::new(Kernel::new());
        let log = options.log.clone();
        let control = control::start(&kernel, log, ControlOptions::new(options.name))?;
        let peer_counters = Arc::<PeerCounters>::default();
        let channels = options.channels.clone();
        let gossip =
            GossipOptions { channels, ..GossipOptions::new(options.grpc_addr, options.peers) };
        let rng = StdRng::from_os_rng();
        let gossip = Gossip::new(control.clone(), gossip, Arc::clone(&peer_counters), rng);
        tokio::spawn(gossip.run());
        let parts = MembershipParts { views: control.view.clone(), hosts: options.hosts };
        let membership = membership::start(&kernel, parts)?;
        let power_view = options.power.map(|power| {
            let agent = AgentOptions::new(format!("{}/{}", options.name, Uuid::new_v4()));
            let publisher = Publisher::new(PowerView::default());
            let reader = publisher.reader();
            let parts = PlannerParts {
                options: agent,
                log: options.log,
                power,
                views: control.view.clone(),
                load: planner::probe_load(options.channels),
                candidate: options.may_plan,
            };
            tokio::spawn(planner::run(parts, publisher));
            reader
        });
        drop(entered);
        Ok(Self { kernel, control, membership, peer_counters, power_view, _thread: thread })
    }

    /// Returns the gRPC service through which peers exchange the configuration.
    pub fn peer_server(&self) -> PeerServer<PeerService> {
        peer_server(self.control.port.clone(), Arc::clone(&self.peer_counters))
    }
}
