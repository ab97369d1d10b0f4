//! A smoothed duration and its deviation.

use std::time::Duration;

/// The weight of a new sample in the mean is one over this number.
const MEAN_PARTS: i64 = 8;
/// The weight of a new sample in the deviation is one over this number.
const DEVIATION_PARTS: i64 = 4;
/// The number of deviations between the mean and the upper bound.
const BOUND_DEVIATIONS: i64 = 2;

/// Estimates a duration by exponential smoothing, like TCP for its retransmission timeout.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean_us: i64,
    deviation_us: i64,
    has_sample: bool,
}

impl Estimate {
    /// Adds one sample.
    pub fn add(&mut self, sample: Duration) {
        let us = i64::try_from(sample.as_micros()).unwrap_or(i64::MAX / BOUND_DEVIATIONS);
        if !self.has_sample {
            *self = Self { mean_us: us, deviation_us: us / 2, has_sample: true };
            return;
        }
        let error = us - self.mean_us;
        self.mean_us += error / MEAN_PARTS;
        self.deviation_us += (error.abs() - self.deviation_us) / DEVIATION_PARTS;
    }

    /// Returns the smoothed duration, zero before the first sample.
    pub fn mean(&self) -> Duration {
        micros(self.mean_us)
    }

    /// Returns a duration that few samples exceed, zero before the first sample.
    pub fn upper_bound(&self) -> Duration {
        micros(self.mean_us.saturating_add(self.deviation_us.saturating_mul(BOUND_DEVIATIONS)))
    }
}

fn micros(us: i64) -> Duration {
    Duration::from_micros(u64::try_from(us).unwrap_or(0))
}
