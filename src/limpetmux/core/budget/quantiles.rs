//! Quantiles of a duration over the recent past.

use crate::core::time::Moment;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Length of each of the two windows.
const WINDOW: Duration = Duration::from_secs(30);
/// Durations are counted in units of this many microseconds.
const UNIT_US: u64 = 100;
/// Longest duration that can be recorded, in units; longer ones count as this one.
const MAX_UNITS: u64 = 600_000;
/// Significant decimal digits of a recorded duration.
const DIGITS: u8 = 2;
/// Fewest samples for which quantiles are returned.
const MIN_SAMPLES: u64 = 20;
/// Number of samples after which the cached quantiles are computed again.
const REFRESH_SAMPLES: u32 = 32;

/// Quantiles of one stage's durations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Percentiles {
    /// The 50th percentile.
    pub median: Duration,
    /// The 90th percentile.
    pub p90: Duration,
    /// The 95th percentile.
    pub p95: Duration,
}

/// Counts durations in two windows; when the current one ends, it replaces the previous one.
#[derive(Clone, Debug)]
pub struct Quantiles {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_start: Moment,
    cached: Option<Percentiles>,
    new_samples: u32,
}

impl Quantiles {
    /// Creates a record without samples.
    ///
    /// # Errors
    /// Returns the library's error if it does not accept the bounds.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        let empty = Histogram::new_with_bounds(1, MAX_UNITS, DIGITS)?;
        let window_start = Moment::ZERO;
        Ok(Self {
            current: empty.clone(),
            previous: empty,
            window_start,
            cached: None,
            new_samples: 0,
        })
    }

    /// Records one sample.
    pub fn add(&mut self, now: Moment, sample: Duration) {
        self.rotate(now);
        let units = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX) / UNIT_US;
        self.current.saturating_record(units.clamp(1, MAX_UNITS));
        self.new_samples += 1;
        if self.new_samples >= REFRESH_SAMPLES || self.cached.is_none() {
            self.refresh();
        }
    }

    /// Returns the quantiles, or `None` while there are too few recent samples.
    pub fn percentiles(&mut self, now: Moment) -> Option<Percentiles> {
        self.rotate(now);
        self.cached
    }

    fn rotate(&mut self, now: Moment) {
        let age = now.since(self.window_start);
        if age < WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= WINDOW * 2 {
            self.previous.reset();
        }
        self.window_start = now;
        self.refresh();
    }

    fn refresh(&mut self) {
        self.new_samples = 0;
        let samples = self.current.len() + self.previous.len();
        self.cached = (samples >= MIN_SAMPLES).then(|| {
            let at = |percent| quantile(&self.current, &self.previous, samples * percent / 100);
            Percentiles { median: at(50), p90: at(90), p95: at(95) }
        });
    }
}

/// Returns the duration of the `rank`th sample of two histograms with the same layout.
fn quantile(a: &Histogram<u32>, b: &Histogram<u32>, rank: u64) -> Duration {
    let mut counts: Vec<(u64, u64)> = (a.iter_recorded().chain(b.iter_recorded()))
        .map(|step| (step.value_iterated_to(), step.count_since_last_iteration()))
        .collect();
    counts.sort_unstable();
    let mut total = 0;
    for (units, count) in counts {
        total += count;
        if total > rank {
            return Duration::from_micros(units * UNIT_US);
        }
    }
    Duration::from_micros(MAX_UNITS * UNIT_US)
}
