//! The settings of a node of a deployment.

use crate::core::answer_limits::{AnswerLimits, LimitError, StatedLimits};
use crate::core::retry_share::RetryLimit;
use crate::core::rollout::RolloutBounds;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The bytes of a megabyte of memory.
const MEGABYTE: u64 = 1_000_000;

/// The settings of a node, independent of the format of their file.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name.
    pub name: Arc<str>,
    /// The node's availability zone.
    pub zone: Arc<str>,
    /// Where it accepts callers, if it is an entry.
    pub caller_addr: Option<SocketAddr>,
    /// Where the balancer asks whether it is ready, if it is an entry.
    pub readiness_addr: Option<SocketAddr>,
    /// Where it accepts calls of other nodes.
    pub node_addr: SocketAddr,
    /// Where it serves its metrics.
    pub metrics_addr: SocketAddr,
    /// Addresses at which some other nodes accept calls.
    pub seeds: Vec<SocketAddr>,
    /// The memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// The file descriptors that the process may use.
    pub max_descriptors: usize,
    /// The bounds that the operator sets.
    pub bounds: Bounds,
    /// The limits on answers of backend servers.
    pub answers: AnswerLimits,
    /// How to reach the platform's store.
    pub store: StoreSettings,
}

impl NodeSettings {
    /// Replaces the limits on answers by those that an operator states.
    ///
    /// # Errors
    /// Returns [`LimitError`] if a limit cannot be used with these settings.
    pub fn with_limits(self, stated: StatedLimits) -> Result<Self, LimitError> {
        let answers = stated.check(self.memory_mb.saturating_mul(MEGABYTE))?;
        Ok(Self { answers, ..self })
    }
}

/// The bounds that the operator sets.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// How long a draining backend server may still get requests.
    pub drain_time: Duration,
    /// The time from the signal to stop to the exit of the process.
    pub grace_period: Duration,
    /// The longest time for which a key is accepted after it was revoked.
    pub revoke_bound: Duration,
    /// The retry budget of a service.
    pub retry_limit: RetryLimit,
    /// The bounds on roll-outs.
    pub rollout: RolloutBounds,
}

/// How to reach the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// The store's address.
    pub address: SocketAddr,
}
