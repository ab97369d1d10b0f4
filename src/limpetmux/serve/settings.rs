//! What a node of a deployment is told at its start.

use crate::core::share::RepeatBound;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The settings of a node, whatever file they came from.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it accepts callers, if it is an entry.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether it is ready, if it is an entry.
    pub readiness: Option<SocketAddr>,
    /// Where it accepts calls of other nodes.
    pub nodes: SocketAddr,
    /// Where it serves its metrics.
    pub metrics: SocketAddr,
    /// Where some other nodes accept calls.
    pub seeds: Vec<SocketAddr>,
    /// The memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// The descriptors that the process may use.
    pub descriptors: usize,
    /// What the operator bounds.
    pub bounds: Bounds,
    /// How to reach the platform's store.
    pub store: StoreSettings,
}

/// What the operator bounds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a backend server that will leave still gets requests.
    pub drain: Duration,
    /// The time from the order to stop to the end of the process.
    pub grace: Duration,
    /// The longest time for which a key is accepted after it was taken away.
    pub revoke: Duration,
    /// The repeats that a service bears.
    pub repeat: RepeatBound,
}

/// How to reach the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}
