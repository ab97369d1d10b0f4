//! When a stopping node of the users' platform still accepts requests, and when it answers them.
//!
//! The process ends with its grace period, whatever still runs. A request that no backend server has
//! answered by then gets an answer of the node's own shortly before, which tells its caller more than a
//! connection that closes. A request that arrives late in the stop is accepted only if its deadline
//! shows that it ends in time.

use super::time::Moment;
use std::time::Duration;

/// How long a stopping node accepts connections, so that the balancer can stop sending.
const ACCEPT_TIME: Duration = Duration::from_millis(3_200);
/// How long a stopping node accepts requests whose deadline lies beyond its exit.
const ACCEPT_LONG_TIME: Duration = Duration::from_millis(2_800);
/// The part of the time until the exit in which a node with a short grace period accepts requests.
const ACCEPT_PART: f64 = 0.75;
/// The part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// The time in which the node's own answers leave before it exits.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// The times of one stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStop {
    began: Moment,
    /// When the process exits.
    pub exit: Moment,
}

impl NodeStop {
    /// Creates the times of a stop that begins now.
    pub fn new(now: Moment, grace: Duration) -> Self {
        Self { began: now, exit: now + grace.saturating_sub(EXIT_MARGIN) }
    }

    /// Returns when requests without an answer get one from the node.
    pub fn answer_at(&self) -> Moment {
        self.began + self.began.until(self.exit).saturating_sub(ANSWER_TIME)
    }

    /// Returns when the node stops accepting connections and requests.
    pub fn accept_until(&self) -> Moment {
        self.began + ACCEPT_TIME.min(self.part_until_exit())
    }

    /// Returns whether to accept a request that arrives now and has to be answered by `deadline`.
    pub fn accepts(&self, now: Moment, deadline: Moment) -> bool {
        deadline <= self.answer_at()
            || now < self.began + ACCEPT_LONG_TIME.min(self.part_until_exit())
    }

    fn part_until_exit(&self) -> Duration {
        self.began.until(self.exit).mul_f64(ACCEPT_PART)
    }
}
