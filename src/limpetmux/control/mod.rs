//! The control service: folds the configuration log and publishes views.
//!
//! Records arrive from the platform log by long poll and from peers by exchange. The service folds
//! them into a [`Replica`](crate::core::config::Replica), compiles a [`View`] once per revision and
//! replaces the published one, so traffic threads never wait for the control service. It also
//! answers peers and writes snapshots before the log removes old records. See
//! `docs/design/configuration.md`.

mod gossip;
mod message;
mod peer;
mod service;
mod snapshots;
mod status;

pub use gossip::{Gossip, GossipOptions};
pub use message::{ControlMessage, PeerUpdate};
pub use peer::{PeerService, decode as decode_update, encode as encode_update, peer_server};
pub use service::Service;
pub use status::{ControlStatus, PeerCounters, PeerTraffic};

use crate::adapters::log::LogClient;
use crate::core::view::View;
use crate::kernel::{Kernel, KernelError, Port, Published, Publisher, ServiceId};
use std::time::Duration;

/// The capacity of the control service's message queue.
const QUEUE_MESSAGES: usize = 256;

/// The options for reading and writing the log.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// The name of this node, which determines its turn to write snapshots.
    pub name: String,
    /// How long the log may delay the answer to a read that has no records (long poll).
    pub poll_timeout: Duration,
    /// How long to wait after a failed read.
    pub retry_delay: Duration,
    /// The maximum time between two snapshots in the log; well below the log's retention.
    pub snapshot_interval: Duration,
}

impl ControlOptions {
    /// Creates the default options for a node with the given name.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            poll_timeout: Duration::from_secs(10),
            retry_delay: Duration::from_secs(1),
            snapshot_interval: Duration::from_secs(3_600),
        }
    }
}

/// Access to the control service and the values it publishes.
#[derive(Clone, Debug)]
pub struct Control {
    /// The configuration in force; revision zero means that none is known yet.
    pub view: Published<View>,
    /// The state of the log and of the configuration.
    pub status: Published<ControlStatus>,
    /// The port for the messages of peers.
    pub port: Port<ControlMessage>,
}

/// Registers the control service without starting it, for a caller that has its own runtime.
///
/// # Errors
/// Returns [`KernelError::AlreadyRegistered`] if the kernel already has a control service.
pub fn prepare(
    kernel: &Kernel,
    log: LogClient,
    options: ControlOptions,
) -> Result<(Control, Service), KernelError> {
    let queue = kernel.register(ServiceId::Control, QUEUE_MESSAGES)?;
    let port = kernel.find(ServiceId::Control)?;
    let (view, status) =
        (Publisher::new(View::default()), Publisher::new(ControlStatus::default()));
    let control = Control { view: view.reader(), status: status.reader(), port };
    Ok((control, Service::new(log, options, queue, view, status)))
}

/// Starts the control service on the current runtime; it ends when the kernel and all ports are
/// dropped.
///
/// # Errors
/// Returns [`KernelError::AlreadyRegistered`] if the kernel already has a control service.
pub fn start(
    kernel: &Kernel,
    log: LogClient,
    options: ControlOptions,
) -> Result<Control, KernelError> {
    let (control, service) = prepare(kernel, log, options)?;
    tokio::spawn(service.run());
    Ok(control)
}
