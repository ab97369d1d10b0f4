//! Slow start: detects a cold backend server and limits its concurrency until it is warm.
//!
//! A cold start is detected by a new incarnation, a report, consecutive failures or "full" answers,
//! or first outputs that take much longer than usual. The limit then drops to the declared cold
//! concurrency. Once the warm-up time has passed, or the backend server reports itself warm, the
//! limit doubles with each round of normal results until it reaches the declared concurrency.
//!
//! A backend server that fails consecutive calls is paused, for longer each time, and then tried
//! with one call. Without the pause each entry would detect the failure only through several failed
//! calls of its own.

use super::offer::{Limits, Outcome, ServerReport};
use crate::core::time::Moment;
use std::time::Duration;

/// The number of consecutive failures that count as a cold start.
const FAILURES: u32 = 5;
/// The first pause after [`FAILURES`]; the pause doubles with each failed trial call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The maximum number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;
/// The number of consecutive "full" answers, within the limit, that count as a cold start.
const SATURATIONS: u32 = 3;
/// The number of consecutive slow first outputs that count as a cold start.
const SLOW_OUTPUTS: u32 = 3;
/// A first output is slow if it takes more than this many times the usual time.
const SLOW_FACTOR: u32 = 4;
/// First outputs that take no longer than this are never slow.
const SLOW_FLOOR: Duration = Duration::from_millis(20);
/// The weight of a sample in the usual time to first output is one over this number when warm.
const WARM_PARTS: f64 = 32.0;
/// The weight of a sample in the usual time to first output is one over this number during the
/// ramp.
const RAMP_PARTS: f64 = 8.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Cold {
        since: Moment,
    },
    /// `good` counts consecutive normal first outputs; the limit doubles when it reaches `limit`.
    Ramp {
        limit: u32,
        good: u32,
    },
    Warm,
}

/// The slow-start state of one backend server.
#[derive(Clone, Debug)]
pub(super) struct SlowStart {
    limits: Limits,
    phase: Phase,
    incarnation: Option<u64>,
    /// The smoothed time to first output, in microseconds.
    usual_us: Option<f64>,
    failures: u32,
    saturations: u32,
    slow_outputs: u32,
    /// Pauses since the last completed call.
    pauses: u32,
    paused_until: Moment,
}

impl SlowStart {
    pub(super) fn new(now: Moment, limits: Limits) -> Self {
        Self {
            limits,
            phase: Phase::Cold { since: now },
            incarnation: None,
            usual_us: None,
            failures: 0,
            saturations: 0,
            slow_outputs: 0,
            pauses: 0,
            paused_until: Moment::ZERO,
        }
    }

    pub(super) fn configure(&mut self, limits: Limits) {
        self.limits = limits;
    }

    pub(super) fn is_warm(&self) -> bool {
        self.phase == Phase::Warm
    }

    pub(super) fn is_cold(&self) -> bool {
        matches!(self.phase, Phase::Cold { .. })
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation.unwrap_or_default()
    }

    /// Returns the number of concurrent calls that the backend server may currently get.
    pub(super) fn limit(&self) -> u32 {
        match self.phase {
            _ if self.pauses > 0 => 1,
            Phase::Cold { .. } => self.limits.cold_concurrency,
            Phase::Ramp { limit, .. } => limit.min(self.limits.concurrency),
            Phase::Warm => self.limits.concurrency,
        }
        .max(1)
    }

    /// Returns the remaining time of a pause after failures.
    pub(super) fn pause_left(&self, now: Moment) -> Option<Duration> {
        (now < self.paused_until).then(|| now.until(self.paused_until))
    }

    /// Returns the remaining warm-up time, or `None` if the backend server is not cold.
    pub(super) fn warm_in(&self, now: Moment) -> Option<Duration> {
        match self.phase {
            Phase::Cold { since } => Some(now.until(since + self.limits.warmup)),
            Phase::Ramp { .. } | Phase::Warm => None,
        }
    }

    pub(super) fn turn_cold(&mut self, now: Moment) {
        self.phase = Phase::Cold { since: now };
        self.failures = 0;
        self.saturations = 0;
        self.slow_outputs = 0;
    }

    /// Applies a report; returns whether the backend server has become cold.
    pub(super) fn observe(&mut self, now: Moment, report: ServerReport) -> bool {
        let reported = now - report.age;
        let restarted = self.incarnation.is_some_and(|i| i != report.incarnation);
        self.incarnation = Some(report.incarnation);
        match self.phase {
            _ if restarted => true,
            Phase::Cold { since } if !report.cold && reported >= since => {
                self.begin_ramp();
                false
            }
            Phase::Cold { .. } => false,
            Phase::Ramp { .. } | Phase::Warm => report.cold,
        }
    }

    /// Records a time to first output; returns whether the backend server has become cold.
    pub(super) fn first_output(&mut self, now: Moment, took: Duration) -> bool {
        let slow = self.overdue_after().is_some_and(|limit| took > limit);
        self.slow_outputs = if slow { self.slow_outputs + 1 } else { 0 };
        match self.phase {
            Phase::Cold { since } => {
                if now >= since + self.limits.warmup {
                    self.begin_ramp();
                }
                false
            }
            Phase::Ramp { limit, good } => {
                self.add_sample(took, RAMP_PARTS);
                self.phase = Phase::Ramp { limit, good: if slow { 0 } else { good + 1 } };
                self.raise_limit();
                false
            }
            Phase::Warm if slow => self.slow_outputs >= SLOW_OUTPUTS,
            Phase::Warm => {
                self.add_sample(took, WARM_PARTS);
                false
            }
        }
    }

    /// Records the end of a call; returns whether the backend server has become cold.
    pub(super) fn finished(&mut self, now: Moment, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Done => {
                self.failures = 0;
                self.saturations = 0;
                self.pauses = 0;
            }
            Outcome::Failed => self.record_failure(now),
            Outcome::Saturated => self.saturations += 1,
            Outcome::Cancelled => {}
        }
        if matches!(self.phase, Phase::Cold { since } if now < since + self.limits.warmup) {
            return false;
        }
        self.failures >= FAILURES || self.saturations >= SATURATIONS
    }

    /// Counts a failure and starts a pause after too many of them.
    fn record_failure(&mut self, now: Moment) {
        self.failures += 1;
        if self.failures >= FAILURES || self.pauses > 0 && now >= self.paused_until {
            self.paused_until = now + FIRST_PAUSE * (1 << self.pauses.min(MAX_DOUBLINGS));
            self.pauses += 1;
        }
    }

    /// Returns the time after which a first output is slow, once the usual time is known.
    pub(super) fn overdue_after(&self) -> Option<Duration> {
        let usual = Duration::from_micros(self.usual_us? as u64);
        Some((usual * SLOW_FACTOR).max(SLOW_FLOOR))
    }

    /// Returns whether waiting this long for first outputs means that the backend server has become
    /// cold.
    pub(super) fn is_overdue(&self, waited: Duration) -> bool {
        self.is_warm() && self.overdue_after().is_some_and(|limit| waited > limit)
    }

    fn begin_ramp(&mut self) {
        self.phase = Phase::Ramp { limit: self.limits.cold_concurrency, good: 0 };
        self.raise_limit();
    }

    /// Doubles the limit after a round of normal results.
    fn raise_limit(&mut self) {
        let Phase::Ramp { limit, good } = self.phase else { return };
        if limit >= self.limits.concurrency {
            self.phase = Phase::Warm;
        } else if good >= limit {
            self.phase = Phase::Ramp { limit: limit.saturating_mul(2), good: 0 };
        }
    }

    /// Adds a sample to the usual time to first output.
    fn add_sample(&mut self, took: Duration, parts: f64) {
        let us = took.as_micros() as f64;
        let usual = self.usual_us.get_or_insert(us);
        *usual += (us - *usual) / parts;
    }
}
