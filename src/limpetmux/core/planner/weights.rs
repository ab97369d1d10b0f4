//! Limits how many hosts wake at once to what the platform's weight store can serve.
//!
//! A host has no disk, so one that wakes fetches the weights of its model. The store starts a
//! limited number of transfers a second for all pools together; beyond that, woken hosts would only
//! wait for their transfer while they already cost money.

use crate::core::time::Moment;
use std::time::Duration;

/// The number of transfers that the store starts in a second.
const TRANSFERS_PER_S: u32 = 2;
/// The longest time for which a woken host may wait for its transfer to start.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(5);

/// The transfers that were requested from the weight store.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightStore {
    /// When the store has started all requested transfers.
    free_at: Moment,
}

impl WeightStore {
    /// Returns how long a transfer that is requested now waits for its start.
    pub fn queue_time(&self, now: Moment) -> Duration {
        now.until(self.free_at)
    }

    /// Returns how many more transfers may be requested now.
    pub fn free_slots(&self, now: Moment) -> usize {
        let time_left = MAX_QUEUE_TIME.saturating_sub(self.queue_time(now));
        (time_left.as_secs_f64() * f64::from(TRANSFERS_PER_S)) as usize
    }

    /// Records transfers that are requested now.
    pub fn reserve(&mut self, now: Moment, transfers: usize) {
        let transfers = u32::try_from(transfers).unwrap_or(u32::MAX);
        self.free_at = self.free_at.max(now) + transfers * Duration::from_secs(1) / TRANSFERS_PER_S;
    }
}
