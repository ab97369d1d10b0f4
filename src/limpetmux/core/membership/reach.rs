//! Whether a host's process can be connected to, without flapping.

use crate::core::time::Moment;
use std::time::Duration;

/// Failures in a row that make a host unreachable.
const FAILURES: u32 = 5;
/// The shortest time over which those failures must spread.
const FAILING_TIME: Duration = Duration::from_secs(2);
/// The first time for which an unreachable host gets no work.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 4;
/// The time without failure after which earlier pauses are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Counts failures to connect and the pauses that follow them.
///
/// After a pause the host is on trial: one failure starts the next pause, twice as long. A host
/// that comes and goes is therefore out for longer and longer times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reach {
    failures: u32,
    first: Moment,
    last: Moment,
    until: Moment,
    pauses: u32,
}

impl Reach {
    /// Takes in a failure to connect.
    pub(super) fn failed(&mut self, now: Moment) {
        if now < self.until {
            return;
        }
        if self.pauses > 0 && now.since(self.last) >= FORGET_AFTER {
            *self = Self::default();
        }
        if self.failures == 0 {
            self.first = now;
        }
        self.failures = self.failures.saturating_add(1);
        self.last = now;
        let failing = self.failures >= FAILURES && now.since(self.first) >= FAILING_TIME;
        if failing || self.pauses > 0 {
            self.until = now + FIRST_PAUSE * (1 << self.pauses.min(MAX_DOUBLINGS));
            self.pauses = self.pauses.saturating_add(1);
            self.failures = 0;
        }
    }

    /// Takes in a reply of the process that was known before: the failures were not in a row.
    ///
    /// It does not end a pause, since it may have been sent before the failures.
    pub(super) fn replied(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the host is in a pause.
    pub(super) fn is_paused(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns when the present pause ends.
    pub(super) fn wake(&self, now: Moment) -> Option<Moment> {
        self.is_paused(now).then_some(self.until)
    }
}
