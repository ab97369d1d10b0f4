//! The results of a run.

use super::usage::Usage;
use limpetmux::core::refusal::RefusalCode;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts of one run, over requests that arrived after the lead-in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Name of the policy.
    pub policy: &'static str,
    /// Arrivals as a share of the writers' capacity.
    pub load: f64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests completed within their deadline.
    pub completed: u64,
    /// Requests refused before their deadline.
    pub refused: u64,
    /// Attempts that were refused or failed, by code.
    pub refusals: BTreeMap<RefusalCode, u64>,
    /// Completed requests and arrivals by second of arrival.
    pub by_second: Vec<(u64, u64)>,
    /// Completed requests and arrivals by workspace.
    pub by_workspace: [(u64, u64); 5],
    /// Durations of completed requests, sorted.
    pub durations: Vec<Duration>,
    /// The measured time.
    pub span: Duration,
    /// Cost of all work on backend servers, in millionths of the accounting unit.
    pub cost: u64,
    /// First attempts at stages, and retries and hedges.
    pub attempts: (u64, u64),
    /// `write` calls, and those whose prefix was cached.
    pub prefix_hits: (u64, u64),
    /// The most calls in flight when a call started on a cold writer and the gate could know that
    /// the writer was cold; and the writer's cold limit.
    pub cold_load: (u32, u32),
    /// Calls started on a cold writer above its cold limit before the gate could know that the
    /// writer was cold.
    pub blind_starts: u64,
    /// Crashes of cold writers under too many calls.
    pub crashes: u32,
    /// Use of the writers' capacity.
    pub usage: Usage,
    /// Work done by encoders, in seconds at full speed.
    pub encoder_s: f64,
    /// Hedges: second attempts sent while a late first one was running.
    pub hedges: u64,
}

impl Summary {
    /// Returns the share of requests completed within their deadline.
    pub fn attainment(&self) -> f64 {
        self.completed as f64 / self.arrived.max(1) as f64
    }

    /// Returns the attainment of requests that arrived in a span of seconds.
    pub fn attainment_in(&self, seconds: std::ops::Range<usize>) -> f64 {
        let rows = self.by_second.get(seconds).unwrap_or_default();
        let (completed, arrived) = rows.iter().fold((0, 0), |(c, a), row| (c + row.0, a + row.1));
        completed as f64 / arrived.max(1) as f64
    }

    /// Returns requests completed within their deadline per second.
    pub fn goodput(&self) -> f64 {
        self.completed as f64 / self.span.as_secs_f64()
    }

    /// Returns the 99th percentile of the durations of completed requests.
    pub fn p99(&self) -> Duration {
        self.percentile(99)
    }

    /// Returns a percentile of the durations of completed requests.
    pub fn percentile(&self, percent: usize) -> Duration {
        let rank = self.durations.len() * percent / 100;
        self.durations.get(rank).copied().unwrap_or_default()
    }

    /// Returns the cost per completed request in millionths of the accounting unit.
    pub fn unit_cost(&self) -> f64 {
        self.cost as f64 / self.completed.max(1) as f64
    }

    /// Returns the share of `write` calls whose prefix was cached.
    pub fn hit_share(&self) -> f64 {
        self.prefix_hits.1 as f64 / self.prefix_hits.0.max(1) as f64
    }

    /// Returns attempts per first attempt.
    pub fn amplification(&self) -> f64 {
        1.0 + self.attempts.1 as f64 / self.attempts.0.max(1) as f64
    }
}
