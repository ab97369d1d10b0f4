//! What came of a run.

use super::usage::Usage;
use limpetmux::core::refusal::RefusalCode;
use std::collections::BTreeMap;
use std::time::Duration;

/// Counts of one run, over requests that arrived after the lead-in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// The policy's name.
    pub policy: &'static str,
    /// Arrivals as a share of capacity.
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
    /// The time that the counts span.
    pub span: Duration,
    /// Cost of all work on backend servers, in millionths of the accounting unit.
    pub cost: u64,
    /// First attempts at stages, and further attempts.
    pub attempts: (u64, u64),
    /// Writer calls, and those of them that found their prefix in the cache.
    pub hits: (u64, u64),
    /// The most calls on a cold writer when a call was started there, the gate having had a way to
    /// know, and the writer's bound.
    pub cold_load: (u32, u32),
    /// Calls started on a cold writer over its bound before the gate knew.
    pub blind_starts: u64,
    /// Times that a cold writer fell over.
    pub falls: u32,
    /// Where the writers' capacity went.
    pub usage: Usage,
    /// Work done by encoders, in seconds at full speed.
    pub encoded: f64,
    /// Second attempts beside a late first one.
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

    /// Returns the duration that 99 in 100 completed requests do not exceed.
    pub fn p99(&self) -> Duration {
        self.percentile(99)
    }

    /// Returns the duration that so many in 100 completed requests do not exceed.
    pub fn percentile(&self, percent: usize) -> Duration {
        let rank = self.durations.len() * percent / 100;
        self.durations.get(rank).copied().unwrap_or_default()
    }

    /// Returns the cost per completed request in millionths of the accounting unit.
    pub fn unit_cost(&self) -> f64 {
        self.cost as f64 / self.completed.max(1) as f64
    }

    /// Returns the share of writer calls that found their prefix cached.
    pub fn hit_share(&self) -> f64 {
        self.hits.1 as f64 / self.hits.0.max(1) as f64
    }

    /// Returns attempts per first attempt.
    pub fn amplification(&self) -> f64 {
        1.0 + self.attempts.1 as f64 / self.attempts.0.max(1) as f64
    }
}
