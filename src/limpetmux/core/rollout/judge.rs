//! Compares a version that is being tried with the other one, and takes the steps of a roll-out.
//!
//! On each route by itself, an answer counts as bad if it failed or took far longer than the other
//! version usually takes there. A cumulative sum of log-likelihood ratios tests whether bad answers are
//! more frequent than at the other version in the same seconds; it starts anew at zero, so it also finds
//! a version that turns bad late. A second sum, which is not reset, shows that a version is good. The
//! rates of error are in `docs/design/rollout.md`.

use super::evidence::{Counts, RANGES, Tally, range, range_end};
use super::{RolloutBounds, Step};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The sum above which a version is bad: the logarithm of the odds of a false alarm of one test.
const BAD_SUM: f64 = 6.9;
/// The sum below which a version is good on a route.
const GOOD_SUM: f64 = -3.0;
/// The sum above which no step towards the new version is taken.
const DOUBT_SUM: f64 = BAD_SUM / 3.0;
/// The least rate of bad answers that is expected of any version.
const LEAST_RATE: f64 = 0.02;
/// The greatest rate of bad answers of the other version that is compared with.
const MOST_RATE: f64 = 0.6;
/// How much greater the rate of a version may be that is as good, for the uncertainty of the other's.
const RATE_MARGIN: f64 = 1.5;
/// How much greater the rate of a bad version is at least.
const BAD_EXCESS: f64 = 0.15;
/// The bad answers at which a version is bad even if the sums say nothing yet, unless the other version
/// is as bad.
const MOST_BAD: f64 = 40.0;
/// The ranges of times above the median at which an answer is far slower.
const SLOW_RANGES: usize = 3;
/// How much longer than the median a slow answer takes at least, as hosts are never even.
const MIN_SLOWER: Duration = Duration::from_millis(20);
/// The age of the other version's latest answers above which times are not compared.
const MAX_USUAL_AGE: Duration = Duration::from_secs(1);
/// The part of the other version's answers that may count as slow.
const SLOW_PART: f64 = 0.1;
/// The answers of the other version without which times are not compared.
const MIN_COMPARED: f64 = 20.0;
/// The time in which the weight of the other version's answers halves.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The answers of the new version without which it is not found good by the end of the trial.
const MIN_TRIED: f64 = 10.0;
/// The part of the time of an order after which a version may be found good early.
const EARLY_PART: f64 = 0.3;
/// The part of the time of an order at which the trial ends.
const TRIAL_PART: f64 = 0.45;
/// The part of the time of an order that each step takes.
const STEP_PART: f64 = 0.06;
/// The longest time that a step takes.
const MAX_STEP: Duration = Duration::from_secs(3);

/// Why a step was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The answers show that the new version is good enough for the step.
    Good,
    /// The answers of a route show that the new version is bad.
    Bad,
    /// The trial has ended without showing that the new version is good.
    Unproven,
}

/// A step that is to be taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The step.
    pub step: Step,
    /// Why it is taken.
    pub cause: Cause,
    /// The route that decides.
    pub route: Arc<str>,
    /// The answers of the new version, and the bad ones of them, on that route.
    pub answers: f64,
    /// The bad ones of them.
    pub bad: f64,
    /// The rate of bad answers that is expected there.
    pub expected: f64,
}

#[derive(Clone, Debug)]
struct RouteTest {
    /// The other version's answers, of which older ones weigh less.
    failed: f64,
    times: [f64; RANGES],
    /// The time since the latest of them was counted.
    usual_age: Duration,
    /// The sum that is not less than zero, and the one that is not reset.
    bad_sum: f64,
    good_sum: f64,
    /// The answers of the new version, and the bad ones of them.
    answers: f64,
    bad: f64,
}

impl Default for RouteTest {
    fn default() -> Self {
        let zero = 0.0;
        Self {
            failed: zero,
            times: [zero; RANGES],
            usual_age: Duration::ZERO,
            bad_sum: zero,
            good_sum: zero,
            answers: zero,
            bad: zero,
        }
    }
}

impl RouteTest {
    /// Adds answers of the other version, after the earlier ones have lost weight.
    fn add_usual(&mut self, added: &Tally, kept: f64) {
        self.failed = self.failed * kept + f64::from(added.failed);
        for (count, added) in self.times.iter_mut().zip(&added.times) {
            *count = *count * kept + f64::from(*added);
        }
    }

    /// Returns the first range of times that counts as slow; none does with too few or too old answers.
    fn slow_range(&self) -> usize {
        let all: f64 = self.times.iter().sum();
        if all < MIN_COMPARED || self.usual_age > MAX_USUAL_AGE {
            return RANGES;
        }
        let below = |end: usize| -> f64 { self.times[..end].iter().sum() };
        let median = (1..RANGES).find(|end| below(*end) >= all / 2.0).unwrap_or(RANGES);
        let is_rare = |from: &usize| all - below(*from) <= all * SLOW_PART;
        let first = (median - 1 + SLOW_RANGES).max(range(range_end(median - 1) + MIN_SLOWER) + 1);
        (first..RANGES).find(is_rare).unwrap_or(RANGES)
    }

    /// Returns the rate of bad answers that a good version has.
    fn expected(&self, slow: usize) -> f64 {
        let all: f64 = self.failed + self.times.iter().sum::<f64>();
        let bad: f64 = self.failed + self.times[slow..].iter().sum::<f64>();
        let rate = if all < 1.0 { 0.0 } else { bad / all };
        (rate.clamp(LEAST_RATE, MOST_RATE)) * RATE_MARGIN
    }

    /// Tests answers of the new version.
    fn test(&mut self, added: &Tally) {
        let slow = self.slow_range();
        let expected = self.expected(slow);
        let too_slow: u32 = added.times[slow..].iter().sum();
        let bad = f64::from(added.failed.saturating_add(too_slow));
        let good = f64::from(added.answered().saturating_sub(too_slow));
        let (if_good, if_bad) = (expected, expected + BAD_EXCESS * (1.0 - expected));
        let gain = bad * (if_bad / if_good).ln() + good * ((1.0 - if_bad) / (1.0 - if_good)).ln();
        self.bad_sum = (self.bad_sum + gain).max(0.0);
        self.good_sum += gain;
        self.answers += bad + good;
        self.bad += bad;
    }

    fn is_bad(&self) -> bool {
        let expected = self.expected(self.slow_range());
        let is_many = self.bad >= MOST_BAD && self.bad > self.answers * expected * RATE_MARGIN;
        self.bad_sum >= BAD_SUM || is_many
    }
}

/// Judges the order of one service from the counts of all nodes.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    routes: BTreeMap<Arc<str>, RouteTest>,
    seen: Counts,
    seen_age: Duration,
    /// The latest step that was taken or told, and the age of the order then.
    stepped: (Step, Duration),
}

impl Judge {
    /// Compares the counts as of an age of the order, and returns the step to take, if any.
    ///
    /// `duration` is the time of the order; a step that other nodes have told counts as taken.
    pub fn decide(
        &mut self,
        step: Step,
        (age, duration): (Duration, Duration),
        totals: &Counts,
        bounds: &RolloutBounds,
    ) -> Option<Decision> {
        self.add(age, totals);
        if step > self.stepped.0 {
            self.stepped = (step, age);
        }
        if step == Step::Stopped {
            return None;
        }
        if let Some((route, test)) = self.routes.iter().find(|(_, test)| test.is_bad()) {
            return Some(decision(Step::Stopped, Cause::Bad, route, test));
        }
        if step == Step::Sealed {
            return None;
        }
        if step == Step::Canary && bounds.share > 0.0 {
            return self.end_trial(age, duration);
        }
        if age >= duration {
            return Some(self.unproven());
        }
        if bounds.share <= 0.0 {
            return None;
        }
        let step_time = duration.mul_f64(STEP_PART).min(MAX_STEP);
        let is_due = age.saturating_sub(self.stepped.1) >= step_time;
        let (route, test) = self.worst()?;
        if !is_due || test.bad_sum > DOUBT_SUM {
            return None;
        }
        Some(decision(step.next(), Cause::Good, route, test))
    }

    /// Decides whether the trial has ended.
    fn end_trial(&mut self, age: Duration, duration: Duration) -> Option<Decision> {
        let is_over = age >= duration.mul_f64(TRIAL_PART);
        let tried: f64 = self.routes.values().map(|test| test.answers).sum();
        let Some((route, test)) = self.worst() else {
            return (age >= duration).then(|| self.unproven());
        };
        let tested = self.routes.values().filter(|t| t.answers > 0.0);
        let is_proven = tried > 0.0 && tested.clone().all(|t| t.good_sum <= GOOD_SUM);
        let is_doubtful = self.routes.values().any(|t| t.bad_sum > DOUBT_SUM);
        let is_early = is_proven && age >= duration.mul_f64(EARLY_PART);
        let is_sound = !is_doubtful && tried >= MIN_TRIED;
        if is_early && !is_doubtful || is_over && is_sound {
            return Some(decision(Step::Third, Cause::Good, route, test));
        }
        (age >= duration).then(|| self.unproven())
    }

    /// Stops the new version because it was not proven in the time of its order.
    fn unproven(&self) -> Decision {
        let nothing = RouteTest::default();
        let (route, test) = self.worst().map_or(("none", &nothing), |(route, test)| (route, test));
        decision(Step::Stopped, Cause::Unproven, route, test)
    }

    /// Adds what the counts have gained since the last time.
    fn add(&mut self, age: Duration, totals: &Counts) {
        let passed = age.saturating_sub(self.seen_age).as_secs_f64();
        let kept = 0.5_f64.powf(passed / HALF_LIFE.as_secs_f64());
        for (arm, tally) in totals.arms().filter(|(arm, _)| !arm.is_new) {
            let added = tally.since(&self.seen.get(arm));
            let test = self.routes.entry(Arc::clone(&arm.route)).or_default();
            // Without new answers the last ones stay what there is to compare with.
            test.usual_age += age.saturating_sub(self.seen_age);
            if added != Tally::default() {
                test.add_usual(&added, kept);
                test.usual_age = Duration::ZERO;
            }
        }
        for (arm, tally) in totals.arms().filter(|(arm, _)| arm.is_new) {
            let added = tally.since(&self.seen.get(arm));
            self.routes.entry(Arc::clone(&arm.route)).or_default().test(&added);
        }
        self.seen = totals.clone();
        self.seen_age = age;
    }

    /// Returns the route that speaks most against the new version.
    fn worst(&self) -> Option<(&Arc<str>, &RouteTest)> {
        let tested = self.routes.iter().filter(|(_, test)| test.answers > 0.0);
        tested.max_by(|(_, a), (_, b)| {
            (a.bad_sum, a.good_sum).partial_cmp(&(b.bad_sum, b.good_sum)).unwrap_or(EQUAL)
        })
    }
}

/// Sums that cannot be compared rank equal.
const EQUAL: std::cmp::Ordering = std::cmp::Ordering::Equal;

fn decision(step: Step, cause: Cause, route: &str, test: &RouteTest) -> Decision {
    let expected = test.expected(test.slow_range());
    let (answers, bad) = (test.answers, test.bad);
    Decision { step, cause, route: route.into(), answers, bad, expected }
}
