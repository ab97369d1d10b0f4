//! The summary of a load run.

use super::{Load, LoadError, Outcome, Sample};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// Upper bound of the histograms, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Counts and latencies of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The configured rate, in requests per second.
    pub rate: f64,
    /// Requests sent.
    pub sent: usize,
    /// Complete answers within the deadline.
    pub answered: usize,
    /// Complete answers after the deadline.
    pub late: usize,
    /// Refusals that report that nothing ran.
    pub unrun: usize,
    /// Other refusals.
    pub refused: usize,
    /// Broken connections and unreadable answers.
    pub broken: usize,
    /// The share of requests answered completely within the deadline.
    pub attainment: f64,
    /// The median latency of complete answers, in microseconds.
    pub p50_us: u64,
    /// The 95th percentile of the latency of complete answers, in microseconds.
    pub p95_us: u64,
    /// The 99th percentile of the latency of complete answers, in microseconds.
    pub p99_us: u64,
    /// The greatest latency of complete answers, in microseconds.
    pub max_us: u64,
    /// The median latency beyond the backend servers' time, in microseconds.
    pub added50: u64,
    /// The 99th percentile of latency beyond the backend servers' time, in microseconds.
    pub added99: u64,
}

impl Report {
    /// Summarises the samples of a run.
    ///
    /// # Errors
    /// Returns [`LoadError`] if a latency does not fit the histogram.
    pub fn new(load: &Load, samples: &[Sample]) -> Result<Self, LoadError> {
        let mut latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)?;
        let mut added = latency.clone();
        let is_complete = |s: &&Sample| matches!(s.outcome, Outcome::Answered | Outcome::Late);
        for sample in samples.iter().filter(is_complete) {
            let us = u64::try_from(sample.latency.as_micros()).unwrap_or(MAX_LATENCY_US);
            latency.record(us.clamp(1, MAX_LATENCY_US))?;
            let overhead = u64::try_from(sample.latency.saturating_sub(sample.busy).as_micros());
            added.record(overhead.unwrap_or(MAX_LATENCY_US).clamp(1, MAX_LATENCY_US))?;
        }
        let count = |outcome| samples.iter().filter(|s| s.outcome == outcome).count();
        let answered = count(Outcome::Answered);
        Ok(Self {
            rate: load.rate,
            sent: samples.len(),
            answered,
            late: count(Outcome::Late),
            unrun: count(Outcome::NotRun),
            refused: count(Outcome::Refused),
            broken: count(Outcome::Broken),
            attainment: answered as f64 / samples.len().max(1) as f64,
            p50_us: latency.value_at_quantile(0.50),
            p95_us: latency.value_at_quantile(0.95),
            p99_us: latency.value_at_quantile(0.99),
            max_us: latency.max(),
            added50: added.value_at_quantile(0.50),
            added99: added.value_at_quantile(0.99),
        })
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (p50, p95, p99, max) = (self.p50_us, self.p95_us, self.p99_us, self.max_us);
        write!(f, "sent {} at {}/s: answered {}, ", self.sent, self.rate, self.answered)?;
        write!(f, "late {}, not run {}, ", self.late, self.unrun)?;
        writeln!(f, "refused {}, broken {}", self.refused, self.broken)?;
        writeln!(f, "attainment {:.4}", self.attainment)?;
        writeln!(f, "latency: p50 {p50} us, p95 {p95} us, p99 {p99} us, max {max} us")?;
        let (added_p50, added_p99) = (self.added50, self.added99);
        write!(f, "added to the backend servers' time: p50 {added_p50} us, p99 {added_p99} us")
    }
}
