//! Ejection of hosts that fail consecutive calls.

use crate::core::time::Moment;
use std::time::Duration;

/// The number of consecutive failures after which a host is ejected.
const FAILURES: u32 = 5;
/// The duration of the first ejection; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// The maximum number of doublings of the duration.
const MAX_DOUBLINGS: u32 = 5;
/// The time without failures after which the number of ejections is reset.
const FORGET_AFTER: Duration = Duration::from_secs(300);

/// The recent failures and ejections of one host.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outlier {
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
    last_failure: Moment,
}

impl Outlier {
    pub(crate) fn succeeded(&mut self, now: Moment) {
        self.failures = 0;
        if now.since(self.last_failure) > FORGET_AFTER {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns whether the host should be ejected.
    ///
    /// After an ejection the count of failures remains until a call succeeds, so one failure ejects
    /// the host again.
    pub(crate) fn failed(&mut self, now: Moment) -> bool {
        self.last_failure = now;
        self.failures += 1;
        self.failures >= FAILURES && !self.is_ejected(now)
    }

    pub(crate) fn eject(&mut self, now: Moment) {
        self.ejected_until = now + FIRST_PAUSE * (1 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
    }

    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }
}
