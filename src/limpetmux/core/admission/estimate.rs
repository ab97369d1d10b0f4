//! A smoothed duration and its spread.

use std::time::Duration;

/// The weight of a new sample in the mean is one part in this.
const MEAN_PARTS: i64 = 8;
/// The weight of a new sample in the spread is one part in this.
const SPREAD_PARTS: i64 = 4;
/// The number of spreads that a cautious value lies above the mean.
const CAUTION: i64 = 2;

/// Follows a duration by exponential smoothing, as TCP does for its retransmission timeout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean_us: i64,
    spread_us: i64,
    seen: bool,
}

impl Estimate {
    /// Takes in one sample.
    pub fn add(&mut self, sample: Duration) {
        let us = i64::try_from(sample.as_micros()).unwrap_or(i64::MAX / CAUTION);
        if !self.seen {
            *self = Self { mean_us: us, spread_us: us / 2, seen: true };
            return;
        }
        let error = us - self.mean_us;
        self.mean_us += error / MEAN_PARTS;
        self.spread_us += (error.abs() - self.spread_us) / SPREAD_PARTS;
    }

    /// Returns the smoothed duration, zero before the first sample.
    pub fn mean(&self) -> Duration {
        micros(self.mean_us)
    }

    /// Returns a duration that few samples exceed, zero before the first sample.
    pub fn cautious(&self) -> Duration {
        micros(self.mean_us.saturating_add(self.spread_us.saturating_mul(CAUTION)))
    }
}

fn micros(us: i64) -> Duration {
    Duration::from_micros(u64::try_from(us).unwrap_or(0))
}
