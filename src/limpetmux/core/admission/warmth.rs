//! Whether the backend server is cold, and how many calls it bears until it is warm.
//!
//! Coldness shows without warning as a new incarnation, a run of failures, or first outputs far
//! later than usual. The bound then falls to the declared cold concurrency. Once the warm-up time
//! is over, or the backend server reports itself warm, the bound doubles with each round of good
//! results until it reaches the declared concurrency.
//!
//! A backend server that fails call after call is paused, for longer each time, and then tried
//! with one call. Without the pause every entry would have to find out by itself, at the cost of
//! several failed calls each.

use super::offer::{Limits, Outcome, Report};
use crate::core::time::Moment;
use std::time::Duration;

/// The number of failures in a row that count as a cold start.
const FAILURES: u32 = 5;
/// The first pause after these; it doubles with each failed trial.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;
/// The number of "full" answers in a row, within the limit, that count as a cold start.
const SATURATIONS: u32 = 3;
/// The number of slow first outputs in a row that count as a cold start.
const SLOW_OUTPUTS: u32 = 3;
/// A first output this many times later than usual is slow.
const SLOW_FACTOR: u32 = 4;
/// First outputs below this time are never slow.
const SLOW_FLOOR: Duration = Duration::from_millis(20);
/// The weight of a sample in the usual time is one part in this when warm.
const WARM_PARTS: f64 = 32.0;
/// The weight of a sample in the usual time is one part in this during slow start.
const RAMP_PARTS: f64 = 8.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Cold { since: Moment },
    Ramp { bound: u32, good: u32 },
    Warm,
}

/// The slow start of one backend server.
#[derive(Clone, Debug)]
pub(super) struct Warmth {
    limits: Limits,
    phase: Phase,
    incarnation: Option<u64>,
    usual_us: Option<f64>,
    failures: u32,
    saturations: u32,
    slow: u32,
    /// Pauses since the last completed call.
    pauses: u32,
    paused: Moment,
}

impl Warmth {
    pub(super) fn new(now: Moment, limits: Limits) -> Self {
        Self {
            limits,
            phase: Phase::Cold { since: now },
            incarnation: None,
            usual_us: None,
            failures: 0,
            saturations: 0,
            slow: 0,
            pauses: 0,
            paused: Moment::ZERO,
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

    /// Returns the number of calls that the backend server bears now.
    pub(super) fn bound(&self) -> u32 {
        match self.phase {
            _ if self.pauses > 0 => 1,
            Phase::Cold { .. } => self.limits.cold,
            Phase::Ramp { bound, .. } => bound.min(self.limits.concurrency),
            Phase::Warm => self.limits.concurrency,
        }
        .max(1)
    }

    /// Returns the time left of a pause after failures.
    pub(super) fn pause_left(&self, now: Moment) -> Option<Duration> {
        (now < self.paused).then(|| now.until(self.paused))
    }

    /// Returns the time left of the warm-up, or `None` if the backend server is not cold.
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
        self.slow = 0;
    }

    /// Takes in a report; returns whether the backend server has turned cold.
    pub(super) fn observe(&mut self, now: Moment, report: Report) -> bool {
        let taken = now - report.age;
        let restarted = self.incarnation.is_some_and(|i| i != report.incarnation);
        self.incarnation = Some(report.incarnation);
        match self.phase {
            _ if restarted => true,
            Phase::Cold { since } if !report.cold && taken >= since => {
                self.begin_ramp();
                false
            }
            Phase::Cold { .. } => false,
            Phase::Ramp { .. } | Phase::Warm => report.cold,
        }
    }

    /// Takes in a time to first output; returns whether the backend server has turned cold.
    pub(super) fn first_output(&mut self, now: Moment, took: Duration) -> bool {
        let slow = self.overdue_after().is_some_and(|limit| took > limit);
        self.slow = if slow { self.slow + 1 } else { 0 };
        match self.phase {
            Phase::Cold { since } => {
                if now >= since + self.limits.warmup {
                    self.begin_ramp();
                }
                false
            }
            Phase::Ramp { bound, good } => {
                self.learn(took, RAMP_PARTS);
                self.phase = Phase::Ramp { bound, good: if slow { 0 } else { good + 1 } };
                self.grow();
                false
            }
            Phase::Warm if slow => self.slow >= SLOW_OUTPUTS,
            Phase::Warm => {
                self.learn(took, WARM_PARTS);
                false
            }
        }
    }

    /// Takes in the end of a call; returns whether the backend server has turned cold.
    pub(super) fn finished(&mut self, now: Moment, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Done => {
                self.failures = 0;
                self.saturations = 0;
                self.pauses = 0;
            }
            Outcome::Failed => self.fail(now),
            Outcome::Saturated => self.saturations += 1,
            Outcome::Cancelled => {}
        }
        if matches!(self.phase, Phase::Cold { since } if now < since + self.limits.warmup) {
            return false;
        }
        self.failures >= FAILURES || self.saturations >= SATURATIONS
    }

    fn fail(&mut self, now: Moment) {
        self.failures += 1;
        if self.failures >= FAILURES || self.pauses > 0 && now >= self.paused {
            self.paused = now + FIRST_PAUSE * (1 << self.pauses.min(MAX_DOUBLINGS));
            self.pauses += 1;
        }
    }

    /// Returns the time after which a first output is slow, once the usual time is known.
    pub(super) fn overdue_after(&self) -> Option<Duration> {
        let usual = Duration::from_micros(self.usual_us? as u64);
        Some((usual * SLOW_FACTOR).max(SLOW_FLOOR))
    }

    /// Returns whether waiting this long for first outputs means that the server turned cold.
    pub(super) fn is_overdue(&self, waited: Duration) -> bool {
        self.is_warm() && self.overdue_after().is_some_and(|limit| waited > limit)
    }

    fn begin_ramp(&mut self) {
        self.phase = Phase::Ramp { bound: self.limits.cold, good: 0 };
        self.grow();
    }

    /// Doubles the bound after a round of good results.
    fn grow(&mut self) {
        let Phase::Ramp { bound, good } = self.phase else { return };
        if bound >= self.limits.concurrency {
            self.phase = Phase::Warm;
        } else if good >= bound {
            self.phase = Phase::Ramp { bound: bound.saturating_mul(2), good: 0 };
        }
    }

    fn learn(&mut self, took: Duration, parts: f64) {
        let us = took.as_micros() as f64;
        let usual = self.usual_us.get_or_insert(us);
        *usual += (us - *usual) / parts;
    }
}
