//! Decides whether a host is reachable, with growing pauses against flapping.

use crate::core::time::Moment;
use std::time::Duration;

/// The number of consecutive failures that make a host unreachable.
const MIN_FAILURES: u32 = 5;
/// The minimum time between the first and the last of those failures.
const MIN_FAILING_TIME: Duration = Duration::from_secs(2);
/// The length of the first pause, during which an unreachable host gets no work.
const FIRST_PAUSE: Duration = Duration::from_secs(2);
/// The maximum number of times that the pause doubles.
const MAX_DOUBLINGS: u32 = 4;
/// The time without a failure after which earlier pauses no longer count.
const RESET_AFTER: Duration = Duration::from_secs(120);

/// Tracks failures to connect and the pauses that they cause.
///
/// After a pause, a single failure starts the next one, twice as long. A flapping host is therefore
/// out of use for longer and longer times.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reachability {
    failures: u32,
    first_failure: Moment,
    last_failure: Moment,
    paused_until: Moment,
    pauses: u32,
}

impl Reachability {
    /// Records a failure to connect.
    pub(super) fn failed(&mut self, now: Moment) {
        if now < self.paused_until {
            return;
        }
        if self.pauses > 0 && now.since(self.last_failure) >= RESET_AFTER {
            *self = Self::default();
        }
        if self.failures == 0 {
            self.first_failure = now;
        }
        self.failures = self.failures.saturating_add(1);
        self.last_failure = now;
        let is_failing =
            self.failures >= MIN_FAILURES && now.since(self.first_failure) >= MIN_FAILING_TIME;
        if is_failing || self.pauses > 0 {
            self.paused_until = now + FIRST_PAUSE * (1 << self.pauses.min(MAX_DOUBLINGS));
            self.pauses = self.pauses.saturating_add(1);
            self.failures = 0;
        }
    }

    /// Records a reply, after which earlier failures are no longer consecutive.
    ///
    /// A reply does not end a pause, since it may have been sent before the failures.
    pub(super) fn replied(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the host is in a pause.
    pub(super) fn is_paused(&self, now: Moment) -> bool {
        now < self.paused_until
    }

    /// Returns when the current pause ends.
    pub(super) fn pause_end(&self, now: Moment) -> Option<Moment> {
        self.is_paused(now).then_some(self.paused_until)
    }
}
