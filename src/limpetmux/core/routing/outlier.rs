//! Ejection of hosts that fail far more often than they answer.

use crate::core::time::Moment;
use std::time::Duration;

/// The number of failures in a row that eject a host.
const FAILURES: u32 = 5;
/// The time of a first ejection; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// The number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 5;
/// The time without failure after which earlier ejections are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// The failure record of one host.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outlier {
    failures: u32,
    ejections: u32,
    until: Moment,
    failed_at: Moment,
}

impl Outlier {
    pub(crate) fn succeeded(&mut self, now: Moment) {
        self.failures = 0;
        if now.since(self.failed_at) > FORGET_AFTER {
            self.ejections = 0;
        }
    }

    /// Takes in a failure; returns whether the host should be ejected.
    ///
    /// A host that comes back from an ejection is on probation: one failure ejects it again.
    pub(crate) fn failed(&mut self, now: Moment) -> bool {
        self.failed_at = now;
        self.failures += 1;
        self.failures >= FAILURES && !self.is_ejected(now)
    }

    pub(crate) fn eject(&mut self, now: Moment) {
        self.until = now + FIRST_PAUSE * (1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
    }

    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        now < self.until
    }
}
