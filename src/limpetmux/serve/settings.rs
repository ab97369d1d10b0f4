//! The settings of a node of a deployment.

use crate::core::answer_limits::{AnswerLimits, LimitError, StatedLimits};
use crate::core::memory::{self, CallerBytesError};
use crate::core::read_times::{ReadTimes, ViewBounds};
use crate::core::retry_share::RetryLimit;
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
    /// The most bytes that are held for callers.
    pub caller_bytes: usize,
    /// The limits on answers of backend servers.
    pub answers: AnswerLimits,
    /// How to reach the platform's store.
    pub store: StoreSettings,
}

/// Returns megabytes of memory in bytes.
pub fn memory_bytes(megabytes: u64) -> usize {
    usize::try_from(megabytes.saturating_mul(MEGABYTE)).unwrap_or(usize::MAX)
}

impl NodeSettings {
    /// Replaces the bound on the memory for callers by the one that an operator states, if any.
    ///
    /// # Errors
    /// Returns [`CallerBytesError`] if it cannot be used with these settings.
    pub fn with_caller_bytes(self, stated: Option<usize>) -> Result<Self, CallerBytesError> {
        let caller_bytes = memory::caller_bytes(memory_bytes(self.memory_mb), stated)?;
        Ok(Self { caller_bytes, ..self })
    }

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
    /// The longest time until an acknowledged configuration is in force.
    pub config_bound: Duration,
    /// The longest time for which an evacuated zone gets requests.
    pub evacuate_bound: Duration,
    /// The retry budget of a service.
    pub retry_limit: RetryLimit,
}

impl Bounds {
    /// Returns the times of reads and pulls that keep the bounds.
    pub fn read_times(&self) -> ReadTimes {
        ReadTimes::new(ViewBounds {
            config: self.config_bound,
            revoke: self.revoke_bound,
            evacuate: self.evacuate_bound,
            drain: self.drain_time,
        })
    }
}

/// How to reach the platform's store.
#[derive(Clone, Copy, Debug)]
pub struct StoreSettings {
    /// The store's address.
    pub address: SocketAddr,
}
