//! Roll-outs over 1 to 40 nodes whose messages come late or get lost: the bound on a bad version holds
//! whatever arrives, and a good version is carried through. The load is a steady one with small routes.

use super::{arc, at, ms};
use limpetmux::core::rollout::evidence::{Answer, Arm, Counter, Counts, Ledger, Told};
use limpetmux::core::rollout::exposure::{Exposure, SHARE_USED};
use limpetmux::core::rollout::judge::Judge;
use limpetmux::core::rollout::{OrderKey, RolloutBounds, Step};
use limpetmux::core::time::Moment;
use limpetmux_test_support::cases::check_cases;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

const DURATION: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(100);
const TICKS: u32 = 300;
const ROLLBACK: Duration = Duration::from_secs(5);
const CASES: u64 = 96;
const ROUTES: [&str; 3] = ["r1", "r2", "r3"];

struct ModelNode {
    counter: Counter,
    exposure: Exposure,
    counts: Counts,
    step: Step,
}

#[derive(Clone, Debug)]
struct Day {
    nodes: usize,
    /// Requests in a tick over all nodes and routes.
    rate: u32,
    /// One in so many messages is lost.
    lost: u32,
    /// The ticks that a message takes at most.
    delay: u32,
    /// The tick at which the judging node is replaced by one without memory.
    replaced: u32,
    /// The part of bad answers of the new version, and the tick from which it is bad.
    bad: f64,
    bad_from: u32,
    seed: u64,
}

/// What has happened to the new version.
#[derive(Debug, Default)]
struct Outcome {
    all: u32,
    new: u32,
    bad: u32,
    fiftieth: Option<Moment>,
    /// The time of the last request to it.
    last: Moment,
    step: Step,
}

/// Draws the choices of a case.
struct Draws(Pcg64Mcg);

impl Draws {
    fn below(&mut self, bound: u32) -> u32 {
        self.0.random_range(0..bound.max(1))
    }

    fn part(&mut self) -> f64 {
        self.0.random()
    }
}

fn play(day: &Day) -> Outcome {
    let key = OrderKey { offset: 3, target: arc("v2") };
    let bounds = RolloutBounds::default();
    let mut draws = Draws(Pcg64Mcg::seed_from_u64(day.seed));
    let node = |n: usize| ModelNode {
        counter: Counter { node: format!("n{n}").into(), started_ms: 1 },
        exposure: Exposure::new(key.clone()),
        counts: Counts::default(),
        step: Step::Canary,
    };
    let mut nodes: Vec<ModelNode> = (0..day.nodes).map(node).collect();
    let (mut judge, mut ledger, mut step) =
        (Judge::default(), Ledger::new(key.clone()), Step::Canary);
    let mut to_judge: BTreeMap<u32, Vec<(Counter, Told)>> = BTreeMap::new();
    let mut to_nodes: BTreeMap<u32, Vec<(usize, Step)>> = BTreeMap::new();
    let mut outcome = Outcome::default();
    for tick in 0..TICKS {
        let now = at(0) + TICK * tick;
        for (n, step) in to_nodes.remove(&tick).unwrap_or_default() {
            nodes[n].step = nodes[n].step.max(step);
        }
        for _ in 0..day.rate {
            let n = draws.below(day.nodes as u32) as usize;
            let route = arc(ROUTES[draws.below(3) as usize]);
            let share = nodes[n].step.share(bounds.share * SHARE_USED);
            let is_new = share > 0.0 && nodes[n].exposure.allows(&route, share);
            nodes[n].exposure.count(&route, share, is_new);
            let is_bad = is_new && tick >= day.bad_from && draws.part() < day.bad;
            let took = ms(30 + u64::from(draws.below(60)));
            let answer = if is_bad { Answer::Failed } else { Answer::Answered(took) };
            nodes[n].counts.add(Arm { route, is_new }, answer);
            outcome.all += 1;
            if is_new {
                outcome.new += 1;
                outcome.last = now;
                outcome.bad += u32::from(is_bad);
                if outcome.bad == 50 && is_bad {
                    outcome.fiftieth = Some(now);
                }
            }
        }
        if tick == day.replaced {
            (judge, ledger) = (Judge::default(), Ledger::new(key.clone()));
            step = nodes[0].step;
        }
        for (n, node) in nodes.iter().enumerate() {
            let left = (node.step == Step::Sealed).then_some(0);
            let counts = node.counts.clone();
            let told = Told { service: arc("plain"), key: key.clone(), counts, left };
            // A node asks every few ticks, and the answer brings the step.
            if (tick as usize + n).is_multiple_of(3) && draws.below(day.lost) != 0 {
                let arrival = tick + draws.below(day.delay + 1);
                to_judge.entry(arrival).or_default().push((node.counter.clone(), told));
            }
        }
        for (counter, told) in to_judge.remove(&tick).unwrap_or_default() {
            ledger.record(counter, &told);
        }
        let age = TICK * tick;
        if let Some(decision) = judge.decide(step, (age, DURATION), &ledger.totals(), &bounds) {
            step = step.max(decision.step);
        }
        for n in 0..day.nodes {
            if (tick as usize + n).is_multiple_of(3) && draws.below(day.lost) != 0 {
                let arrival = tick + 1 + draws.below(day.delay + 1);
                to_nodes.entry(arrival).or_default().push((n, step));
            }
        }
    }
    outcome.step = step;
    outcome
}

/// Plays days with 1 to 40 nodes and different links; `bad` gives the range of the part of bad answers in
/// hundredths, and of the tick from which the version is bad.
fn check_days(bad: (u32, u32), bad_from: (u32, u32), check: impl Fn(&Day, &Outcome)) {
    check_cases(CASES, |u| {
        let day = Day {
            nodes: u.int_in_range(1..=40)?,
            rate: u.int_in_range(10..=120)?,
            lost: u.int_in_range(3..=50)?,
            delay: u.int_in_range(0..=12)?,
            replaced: u.int_in_range(1..=250)?,
            bad: f64::from(u.int_in_range(bad.0..=bad.1)?) / 100.0,
            bad_from: u.int_in_range(bad_from.0..=bad_from.1)?,
            seed: u.arbitrary()?,
        };
        check(&day, &play(&day));
        Ok(())
    });
}

/// Checks that nothing is sent to a bad version later than the bound after its 50th bad answer.
fn assert_ends_in_time(day: &Day, outcome: &Outcome) {
    assert_eq!(outcome.step, Step::Stopped, "{day:?} {outcome:?}");
    if let Some(fiftieth) = outcome.fiftieth {
        assert!(outcome.last.since(fiftieth) <= ROLLBACK, "{day:?} {outcome:?}");
    }
}

#[test]
fn bad_version_stays_within_the_share_and_ends_in_time() {
    check_days((20, 90), (0, 60), |day, outcome| {
        assert_ends_in_time(day, outcome);
        assert!(f64::from(outcome.new) <= f64::from(outcome.all) * 0.1, "{day:?} {outcome:?}");
    });
}

#[test]
fn version_that_turns_bad_after_the_trial_ends_in_time() {
    check_days((30, 90), (150, 160), assert_ends_in_time);
}

#[test]
fn good_version_is_sealed_before_its_deadline() {
    check_days((0, 0), (0, 0), |day, outcome| {
        assert_eq!(outcome.step, Step::Sealed, "{day:?} {outcome:?}");
    });
}
