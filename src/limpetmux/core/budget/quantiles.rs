//! Quantiles of a duration over the recent past.

use crate::core::time::Moment;
use hdrhistogram::Histogram;
use std::time::Duration;

/// The time after which the older of two windows is forgotten.
const WINDOW: Duration = Duration::from_secs(30);
/// Durations are counted in units of this many microseconds.
const UNIT_US: u64 = 100;
/// The longest duration told apart, in units.
const MAX_UNITS: u64 = 600_000;
/// Significant decimal digits of a recorded duration.
const DIGITS: u8 = 2;
/// The number of samples below which no quantile is given.
const MIN_SAMPLES: u64 = 20;
/// The number of samples after which cached quantiles are worked out anew.
const REFRESH_SAMPLES: u32 = 32;

/// The quantiles in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spread {
    /// Half of the samples were shorter.
    pub median: Duration,
    /// Nine in ten samples were shorter.
    pub p90: Duration,
    /// 95 in 100 samples were shorter.
    pub p95: Duration,
}

/// Counts durations in two windows, of which the older one is dropped as time goes on.
#[derive(Clone, Debug)]
pub struct Quantiles {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    begun: Moment,
    cached: Option<Spread>,
    unread: u32,
}

impl Quantiles {
    /// Creates a record without samples.
    ///
    /// # Errors
    /// Returns the library's error if it does not accept the bounds.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        let empty = Histogram::new_with_bounds(1, MAX_UNITS, DIGITS)?;
        let begun = Moment::ZERO;
        Ok(Self { current: empty.clone(), previous: empty, begun, cached: None, unread: 0 })
    }

    /// Takes in one sample.
    pub fn add(&mut self, now: Moment, sample: Duration) {
        self.rotate(now);
        let units = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX) / UNIT_US;
        self.current.saturating_record(units.clamp(1, MAX_UNITS));
        self.unread += 1;
        if self.unread >= REFRESH_SAMPLES || self.cached.is_none() {
            self.refresh();
        }
    }

    /// Returns the quantiles, or `None` while there are too few recent samples.
    pub fn spread(&mut self, now: Moment) -> Option<Spread> {
        self.rotate(now);
        self.cached
    }

    fn rotate(&mut self, now: Moment) {
        let age = now.since(self.begun);
        if age < WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= WINDOW * 2 {
            self.previous.reset();
        }
        self.begun = now;
        self.refresh();
    }

    fn refresh(&mut self) {
        self.unread = 0;
        let samples = self.current.len() + self.previous.len();
        self.cached = (samples >= MIN_SAMPLES).then(|| {
            let at = |percent| quantile(&self.current, &self.previous, samples * percent / 100);
            Spread { median: at(50), p90: at(90), p95: at(95) }
        });
    }
}

/// Returns the duration of the `rank`th sample of two histograms with the same layout.
fn quantile(a: &Histogram<u32>, b: &Histogram<u32>, rank: u64) -> Duration {
    let mut counts: Vec<(u64, u64)> = (a.iter_recorded().chain(b.iter_recorded()))
        .map(|step| (step.value_iterated_to(), step.count_since_last_iteration()))
        .collect();
    counts.sort_unstable();
    let mut seen = 0;
    for (units, count) in counts {
        seen += count;
        if seen > rank {
            return Duration::from_micros(units * UNIT_US);
        }
    }
    Duration::from_micros(MAX_UNITS * UNIT_US)
}
