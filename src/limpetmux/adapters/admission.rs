//! Bounds the connections of other processes to this one, in number and in idle time.

use super::handshake::HandshakeFailures;
use crate::core::read_limits::{Bound, Exceeded, NODE_IDLE_TIME, Peer, node_connections};
use crate::util::clock;
use crate::util::metrics::Metrics;
use crate::util::read_stop;
use crate::util::throttle::Throttle;
use rustix::process::{Resource, getrlimit};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The bounds on connections of other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// The most connections.
    pub count: usize,
    /// How long a connection may have no call.
    pub idle: Duration,
}

impl Default for ConnectionBounds {
    /// Returns the bounds of a process that has the descriptors of its operating system's limit.
    fn default() -> Self {
        let limit = getrlimit(Resource::Nofile).current;
        let descriptors = limit.and_then(|n| usize::try_from(n).ok()).unwrap_or(usize::MAX);
        Self { count: node_connections(descriptors), idle: NODE_IDLE_TIME }
    }
}

/// Admits connections of other processes to this one.
pub(super) struct Admission {
    pub bounds: ConnectionBounds,
    pub failures: HandshakeFailures,
    permits: Arc<Semaphore>,
    pub metrics: Metrics,
    throttle: Throttle,
}

impl Admission {
    pub fn new(bounds: ConnectionBounds, metrics: Metrics) -> Self {
        let permits = Arc::new(Semaphore::new(bounds.count));
        let (failures, throttle) = (HandshakeFailures::default(), Throttle::default());
        Self { bounds, failures, permits, metrics, throttle }
    }

    /// Admits a connection until the permit is dropped; one beyond the bound is recorded.
    ///
    /// Those that are open stay so, as they may have calls, and idle ones end by themselves.
    pub fn admit(&self, peer: Option<SocketAddr>) -> Option<OwnedSemaphorePermit> {
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok();
        if permit.is_none() {
            let exceeded = Exceeded::count(Peer::Node, Bound::Count, self.bounds.count);
            read_stop::count(&self.metrics, exceeded);
            if self.throttle.permits(clock::now()) {
                read_stop::log(exceeded, peer.map(|p| p.to_string()).unwrap_or_default());
            }
        }
        permit
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.bounds.count - self.permits.available_permits()
    }
}

impl Default for Admission {
    fn default() -> Self {
        Self::new(ConnectionBounds::default(), Metrics::none())
    }
}

impl std::fmt::Debug for Admission {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admission").field("bounds", &self.bounds).finish_non_exhaustive()
    }
}
