//! What the platform's weight store bears of the hosts that wake.
//!
//! A host has no disk, so one that wakes fetches the weights of its model. The store starts a
//! limited number of transfers a second for all pools together; beyond that hosts would only wait
//! while they already cost money.

use crate::core::time::Moment;
use std::time::Duration;

/// Transfers that the store starts in a second.
const TRANSFERS_PER_S: u32 = 2;
/// The longest time for which a woken host may wait for its transfer to start.
const QUEUE: Duration = Duration::from_secs(5);

/// The transfers that have been asked of the weight store.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightStore {
    /// When the store has started all of them.
    free: Moment,
}

impl WeightStore {
    /// Returns how long a transfer asked for now waits for its start.
    pub fn wait(&self, now: Moment) -> Duration {
        now.until(self.free)
    }

    /// Returns how many more hosts may wake now.
    pub fn room(&self, now: Moment) -> usize {
        let left = QUEUE.saturating_sub(self.wait(now));
        (left.as_secs_f64() * f64::from(TRANSFERS_PER_S)) as usize
    }

    /// Records transfers that begin now.
    pub fn take(&mut self, now: Moment, transfers: usize) {
        let transfers = u32::try_from(transfers).unwrap_or(u32::MAX);
        self.free = self.free.max(now) + transfers * Duration::from_secs(1) / TRANSFERS_PER_S;
    }
}
