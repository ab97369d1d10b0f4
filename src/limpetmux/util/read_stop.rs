//! Records that reading from a peer stopped at a bound of [`crate::core::read_limits`].

use super::event::EventCode;
use super::metrics::{Metric, Metrics};
use crate::core::read_limits::Exceeded;
use crate::event;
use std::fmt::Display;

/// Logs and counts a stopped read; `subject` is the peer's id or address, or the request read for.
pub fn record(metrics: &Metrics, exceeded: Exceeded, subject: impl Display) {
    count(metrics, exceeded);
    log(exceeded, subject);
}

/// Counts a stopped read whose log line is left to a throttle.
pub fn count(metrics: &Metrics, exceeded: Exceeded) {
    let (peer, bound) = (exceeded.peer.into(), exceeded.bound.into());
    metrics.count(Metric::ReadsStopped, 1, &[("peer", peer), ("bound", bound)]);
}

/// Logs a stopped read where no metrics are at hand, or that has been counted.
pub fn log(exceeded: Exceeded, subject: impl Display) {
    event!(
        EventCode::ReadStopped,
        peer = exceeded.peer,
        bound = exceeded.bound,
        limit = exceeded.limit,
        subject = subject
    );
}
