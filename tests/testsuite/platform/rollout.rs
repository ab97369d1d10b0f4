//! Decisions of roll-outs without a network: what is barred, what is written, and the judge's test.

use super::{arc, at, ms, pos, server};
use limpetmux::core::listing::Server;
use limpetmux::core::log_position::{LogPosition, StoreEra};
use limpetmux::core::rollout::book::{Book, Standing, Status};
use limpetmux::core::rollout::evidence::{Answer, Arm, Counter, Counts, Ledger, Told};
use limpetmux::core::rollout::judge::{Cause, Judge};
use limpetmux::core::rollout::{Order, OrderKey, RolloutBounds, State, Step};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const DURATION: Duration = Duration::from_secs(30);

fn key(offset: u64, target: &str) -> OrderKey {
    OrderKey { offset, target: target.into() }
}

fn order(offset: u64, target: &str) -> Order {
    Order { key: key(offset, target), duration: DURATION }
}

fn status(key: OrderKey, state: State, position: LogPosition) -> Status {
    Status { key, state, refused: BTreeSet::new(), since: 0, position }
}

/// A book whose order 5 to `v2` runs.
fn running() -> Book {
    let mut book = Book::default();
    book.put_order(arc("plain"), order(5, "v2"), at(0));
    book.put_status(arc("plain"), status(key(5, "v2"), State::Running, pos(0)));
    book
}

fn versioned(id: &str, version: &str) -> Server {
    Server { version: Some(version.into()), ..server(id, "a") }
}

#[test]
fn service_without_an_order_serves_all_versions() {
    let book = Book::default();
    let (old, new) = (versioned("s1", "v1"), versioned("s2", "v2"));
    let servers = vec![&old, &new];
    assert_eq!(book.allowed("plain", &servers, servers.clone()), servers);
    assert_eq!(book.split("plain", &servers, &servers), None);
    assert_eq!(book.digest(), 0);
}

#[test]
fn new_version_gets_nothing_before_the_start_is_written() {
    let mut book = Book::default();
    book.put_order(arc("plain"), order(5, "v2"), at(0));
    assert_eq!(book.standing("plain", "v2"), Standing::Barred);
    assert_eq!(book.standing("plain", "v1"), Standing::Usual);
    book.put_status(arc("plain"), status(key(5, "v2"), State::Running, pos(0)));
    assert_eq!(book.standing("plain", "v2"), Standing::New);
}

#[test]
fn steps_bar_the_old_or_the_new_version() {
    let mut book = running();
    assert!(book.raise_step(&arc("plain"), &key(5, "v2"), Step::Sealed));
    assert_eq!(book.standing("plain", "v1"), Standing::Barred);
    assert!(!book.raise_step(&arc("plain"), &key(5, "v2"), Step::Third));
    assert!(book.raise_step(&arc("plain"), &key(5, "v2"), Step::Stopped));
    assert_eq!(book.standing("plain", "v1"), Standing::Usual);
    assert_eq!(book.standing("plain", "v2"), Standing::Barred);
}

#[test]
fn version_that_is_alone_is_served_until_it_is_stopped() {
    let mut book = running();
    let new = versioned("s2", "v2");
    assert_eq!(book.allowed("plain", &[&new], vec![&new]), vec![&new]);
    book.raise_step(&arc("plain"), &key(5, "v2"), Step::Stopped);
    assert!(book.allowed("plain", &[&new], vec![&new]).is_empty());
}

#[test]
fn verdict_is_never_replaced_in_any_order_of_arrival() {
    let first = status(key(5, "v2"), State::RolledBack, pos(3));
    let restored = LogPosition::new(StoreEra(1), 2);
    let late = [
        status(key(5, "v2"), State::Running, restored),
        status(key(5, "v2"), State::Completed, restored),
        status(key(5, "v2"), State::Running, pos(9)),
        first.clone(),
    ];
    for rotation in 0..late.len() {
        let mut book = running();
        let mut records = late.to_vec();
        records.rotate_left(rotation);
        for record in records {
            book.put_status(arc("plain"), record);
        }
        assert_eq!(book.status("plain"), Some(&first), "rotation {rotation}");
        assert_eq!(book.standing("plain", "v2"), Standing::Barred);
    }
}

#[test]
fn completed_version_bars_what_it_replaced_and_no_later_one() {
    let mut book = running();
    let verdict = Some((State::Completed, BTreeSet::from([arc("v1"), arc("v2")])));
    let due = book.due_status("plain", (at(9_000), 20_000), verdict).unwrap();
    assert_eq!(due.refused, BTreeSet::from([arc("v1")]));
    book.put_status(arc("plain"), Status { position: pos(1), ..due });
    assert_eq!(book.standing("plain", "v1"), Standing::Barred);
    assert_eq!(book.standing("plain", "v2"), Standing::Usual);
    assert_eq!(book.standing("plain", "v3"), Standing::Usual, "replaced by the platform later");
}

#[test]
fn order_that_replaces_a_running_one_refuses_its_version() {
    let mut book = running();
    book.put_order(arc("plain"), order(8, "v3"), at(2_000));
    assert_eq!(book.standing("plain", "v2"), Standing::Barred, "before the start is written");
    let due = book.due_status("plain", (at(2_100), 10_000), None).unwrap();
    assert_eq!((due.state, due.key.clone(), due.since), (State::Running, key(8, "v3"), 9_900));
    book.put_status(arc("plain"), Status { position: pos(4), ..due });
    assert_eq!(book.standing("plain", "v2"), Standing::Barred);
    assert_eq!(book.standing("plain", "v3"), Standing::New);
    assert_eq!(book.standing("plain", "v1"), Standing::Usual);
}

#[test]
fn order_taken_back_is_rolled_back_once() {
    let mut book = running();
    book.remove_order("plain");
    assert_eq!(book.standing("plain", "v2"), Standing::Barred);
    let due = book.due_status("plain", (at(2_100), 10_000), None).unwrap();
    assert_eq!(due.state, State::RolledBack);
    book.put_status(arc("plain"), Status { position: pos(4), ..due });
    assert_eq!(book.due_status("plain", (at(2_200), 10_100), None), None);
}

#[test]
fn restored_store_that_lacks_an_order_does_not_take_it_back() {
    let mut book = running();
    book.replace_orders(BTreeMap::new(), |_| true);
    assert!(book.running("plain").is_some());
    book.replace_orders(BTreeMap::new(), |_| false);
    assert!(book.running("plain").is_none());
}

#[test]
fn all_processes_killed_in_the_middle_keep_the_deadline() {
    let mut book = Book::default();
    book.put_order(arc("plain"), order(5, "v2"), at(60_000));
    let written = Status { since: 1_000, ..status(key(5, "v2"), State::Running, pos(0)) };
    book.put_status(arc("plain"), written);
    book.date_orders((at(60_000), 13_000), 12_500);
    assert_eq!(book.order("plain").unwrap().learned_at, at(48_000));
}

#[test]
fn nodes_that_have_merged_have_equal_digests() {
    let (mut one, mut other) = (running(), running());
    one.raise_step(&arc("plain"), &key(5, "v2"), Step::Third);
    other.put_status(arc("plain"), status(key(5, "v2"), State::RolledBack, pos(7)));
    assert_ne!(one.digest(), other.digest());
    assert!(one.merge(&other) && other.merge(&one));
    assert_eq!(one.digest(), other.digest());
    assert!(!one.merge(&other) && !other.merge(&one));
}

/// How a version answers: one in `failing` fails, one in `slow` takes `factor` times as long.
#[derive(Clone, Copy)]
struct Quality {
    failing: u32,
    slow: u32,
    factor: u32,
}

const GOOD: Quality = Quality { failing: 0, slow: 0, factor: 1 };

fn answer(quality: Quality, number: u32) -> Answer {
    let is_one_in = |n: u32| n > 0 && number.is_multiple_of(n);
    let spread = u64::from(number * 7 % 13);
    let factor = if is_one_in(quality.slow) { quality.factor } else { 1 };
    match is_one_in(quality.failing) {
        true => Answer::Failed,
        false => Answer::Answered(ms(40 + spread * 4) * factor),
    }
}

/// Plays an order with 20 answers of the old version and 2 of the new one each 100 ms, on two routes;
/// the quality may depend on the age and the route. Returns the ages of the steps.
fn play(quality: impl Fn(Duration, &str) -> Quality) -> Vec<(Step, Duration, Cause)> {
    let (mut judge, mut totals) = (Judge::default(), Counts::default());
    let (mut step, mut steps) = (Step::Canary, Vec::new());
    for tick in 0..300_u32 {
        let age = ms(100) * tick;
        for route in ["r1", "r2"] {
            let arm = |is_new| Arm { route: route.into(), is_new };
            for i in 0..20 {
                totals.add(arm(false), answer(GOOD, tick * 20 + i));
            }
            for i in 0..2 {
                totals.add(arm(true), answer(quality(age, route), tick * 2 + i));
            }
        }
        let decided = judge.decide(step, (age, DURATION), &totals, &RolloutBounds::default());
        if let Some(decision) = decided {
            step = decision.step;
            steps.push((step, age, decision.cause));
        }
    }
    steps
}

fn last(steps: &[(Step, Duration, Cause)]) -> (Step, Cause) {
    steps.last().map(|(step, _, cause)| (*step, *cause)).unwrap()
}

#[test]
fn good_version_is_sealed_with_time_left() {
    let steps = play(|_, _| GOOD);
    let (step, age, _) = *steps.last().unwrap();
    assert_eq!(step, Step::Sealed);
    assert!(age < DURATION.mul_f64(0.7), "{age:?}");
}

#[test]
fn version_that_fails_at_once_is_stopped_within_fifty_bad_answers() {
    let steps = play(|_, _| Quality { failing: 4, ..GOOD });
    assert_eq!(last(&steps), (Step::Stopped, Cause::Bad));
    assert!(steps[0].1 < ms(5_000), "{steps:?}");
}

#[test]
fn slow_version_is_stopped() {
    let steps = play(|_, _| Quality { slow: 3, factor: 4, ..GOOD });
    assert_eq!(last(&steps), (Step::Stopped, Cause::Bad));
}

#[test]
fn version_that_turns_bad_late_is_stopped() {
    let late = |age| if age > ms(14_000) { Quality { failing: 3, ..GOOD } } else { GOOD };
    let steps = play(|age, _| late(age));
    assert!(steps.iter().any(|(step, _, _)| *step == Step::Third), "{steps:?}");
    assert_eq!(last(&steps), (Step::Stopped, Cause::Bad));
}

#[test]
fn version_that_is_bad_on_one_route_is_stopped() {
    let bad = Quality { failing: 4, ..GOOD };
    let steps = play(|_, route| if route == "r2" { bad } else { GOOD });
    assert_eq!(last(&steps), (Step::Stopped, Cause::Bad));
}

#[test]
fn trouble_of_both_versions_is_not_held_against_the_new_one() {
    let (mut judge, mut totals) = (Judge::default(), Counts::default());
    let bad = Quality { failing: 5, ..GOOD };
    for tick in 0..100_u32 {
        for i in 0..20 {
            let is_new = i >= 18;
            let arm = Arm { route: arc("r1"), is_new };
            totals.add(arm, answer(bad, tick * 20 + i * 3));
        }
        let bounds = RolloutBounds::default();
        let decided = judge.decide(Step::Canary, (ms(50) * tick, DURATION), &totals, &bounds);
        assert_eq!(decided, None, "tick {tick}");
    }
}

#[test]
fn target_that_no_server_has_is_rolled_back_at_the_deadline() {
    let (mut judge, bounds) = (Judge::default(), RolloutBounds::default());
    let totals = Counts::default();
    assert_eq!(judge.decide(Step::Canary, (ms(29_900), DURATION), &totals, &bounds), None);
    let decided = judge.decide(Step::Canary, (DURATION, DURATION), &totals, &bounds).unwrap();
    assert_eq!((decided.step, decided.cause), (Step::Stopped, Cause::Unproven));
}

#[test]
fn counts_that_arrive_late_twice_or_out_of_order_are_summed_once() {
    let counter = |node: &str, started_ms| Counter { node: node.into(), started_ms };
    let arm = Arm { route: arc("r1"), is_new: true };
    let told = |answers: u32, left| {
        let mut counts = Counts::default();
        (0..answers).for_each(|_| counts.add(arm.clone(), Answer::Failed));
        Told { service: arc("plain"), key: key(5, "v2"), counts, left }
    };
    let mut ledger = Ledger::new(key(5, "v2"));
    for answers in [3, 7, 2, 7] {
        ledger.record(counter("n1", 1), &told(answers, None));
    }
    ledger.record(counter("n1", 2), &told(1, Some(0)));
    ledger.record(counter("n2", 1), &told(4, Some(2)));
    assert_eq!(ledger.totals().get(&arm).failed, 12);
    assert!(ledger.is_left(&[counter("n1", 2)]));
    assert!(!ledger.is_left(&[counter("n1", 2), counter("n2", 1)]));
    assert!(!ledger.is_left(&[counter("n3", 1)]), "a node that has not said so");
}

/// Plays 20 seconds in which the new version's times are `took` from the tenth second on, and the old
/// version answers until `usual_until`; returns whether a step was taken.
fn is_judged_by_times(took: Duration, usual_until: u32) -> bool {
    let (mut judge, mut totals) = (Judge::default(), Counts::default());
    let bounds = RolloutBounds::default();
    let mut is_judged = false;
    for tick in 0..200_u32 {
        for i in 0..10 {
            let arm = |is_new| Arm { route: arc("r1"), is_new };
            let usual = Answer::Answered(ms(2 + i % 2));
            if tick < usual_until {
                totals.add(arm(false), usual);
            }
            let answer = if tick < 100 { usual } else { Answer::Answered(took) };
            totals.add(arm(true), answer);
        }
        let age = ms(100) * tick;
        is_judged |= judge.decide(Step::Sealed, (age, DURATION), &totals, &bounds).is_some();
    }
    is_judged
}

#[test]
fn few_milliseconds_are_no_slow_answers() {
    assert!(!is_judged_by_times(ms(14), 200));
    assert!(is_judged_by_times(ms(60), 200));
}

#[test]
fn stall_without_the_old_version_beside_it_is_not_held_against_the_new_one() {
    assert!(!is_judged_by_times(ms(60), 80));
}
