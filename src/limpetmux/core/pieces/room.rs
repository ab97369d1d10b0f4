//! How long a stage waits for room for its results.
//!
//! Results take up room from the start of their call until their consumer has fetched them. When
//! room is short, small results still fit while large ones wait for others to be freed, so the wait
//! depends on the size of a result. See `docs/design/platform.md`.

use super::PieceQueue;
use super::job::Job;
use super::worker::Worker;
use crate::core::time::Moment;
use std::time::Duration;

/// The time over which the rate of released bytes is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Waits for room count this many times, as results of incomplete stages hold room as well: without
/// a margin the queue settles at the wait at which its requests are late.
const MARGIN: f64 = 1.5;
/// The longest wait that is reported.
const MAX_ROOM_WAIT: Duration = Duration::from_secs(60);

/// A moving average of the bytes that are released per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReleaseRate {
    /// Bytes per second.
    rate: f64,
    updated_at: Moment,
}

impl ReleaseRate {
    /// Adds bytes that were released since the last call.
    pub(super) fn add(&mut self, now: Moment, bytes: u64) {
        self.rate = self.at(now) + bytes as f64 / RATE_WINDOW.as_secs_f64();
        self.updated_at = now;
    }

    fn at(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / RATE_WINDOW.as_secs_f64()).exp()
    }
}

impl PieceQueue {
    /// Returns how long a new stage that is not late waits until one result of `size` bytes fits.
    ///
    /// Only stages with results of this size or smaller ones are before it, as these fit earlier.
    pub fn room_wait(&self, now: Moment, size: u64) -> Duration {
        let available = || self.workers.values().filter(|w| w.is_available(now));
        let free: f64 = available().map(|w| w.room(now, self.spec.result_room) as f64).sum();
        let is_before = |j: &&Job| j.spec.size <= size && !self.rank(now, j).is_late();
        let before = self.jobs.values().filter(is_before);
        let before: f64 = before.map(|j| j.open_count() as f64 * j.spec.size as f64).sum();
        let missing = before + size as f64 - free;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        // Results that nobody frees expire, so this much is released in any case.
        let held: f64 = available().map(|w| w.reserved() as f64).sum();
        let least = held / self.retention().as_secs_f64().max(0.001);
        let rate = self.release_rate.at(now).max(least).max(1.0);
        let wait = Duration::try_from_secs_f64(missing / rate * MARGIN);
        wait.map_or(MAX_ROOM_WAIT, |w| w.min(MAX_ROOM_WAIT))
    }

    /// Takes the bytes that were released since the last step into the rate.
    pub(super) fn record_released(&mut self, now: Moment) {
        let released = self.workers.values_mut().map(Worker::take_released);
        let released = released.fold(0, u64::saturating_add);
        self.release_rate.add(now, released);
    }
}
