//! Explores every interleaving of a small home and successor on the real state machines.
//!
//! Entries are not modelled: a request may reach either host at any step, which covers entries with
//! views of any age, retries through another entry and an entry that crashes. The `needs` tests
//! disable one guard each and show the double run that it prevents.

use limpetmux::core::once::{Guard, Guards};
use limpetmux_test_support::once::Exploration;
use limpetmux_test_support::once::change::{self, Change, InitialState};
use limpetmux_test_support::once::pair::{Limits, explore};

#[test]
fn runs_no_key_twice_over_home_restarts() {
    assert_safe(Limits::HOME_RESTARTS);
}

#[test]
fn runs_no_key_twice_over_successor_restarts() {
    assert_safe(Limits::SUCCESSOR_RESTARTS);
}

#[test]
fn runs_no_key_twice_over_a_handover() {
    assert_safe(Limits::HANDOVER);
}

#[test]
fn runs_no_key_twice_over_a_return() {
    assert_safe(Limits::RETURN);
}

#[test]
fn runs_no_key_twice_over_a_handover_and_a_return() {
    assert_safe(Limits::MOVES);
}

#[test]
fn runs_no_key_twice_over_a_table_that_arrives_late() {
    assert_safe(Limits::LATE_TABLE);
}

/// An exploration of fewer states does not cover the steps that it should.
const MIN_STATES: usize = 10_000;

fn assert_safe(limits: Limits) {
    let guards = Guards::default();

    let Exploration { states, path } = explore(guards, limits);

    println!("all guards: {states} states");
    assert_eq!(path, None);
    assert!(states > MIN_STATES, "{states} states");
}

fn assert_needed(guard: Guard, limits: Limits) {
    let guards = Guards::without(guard);

    let Exploration { states, path } = explore(guards, limits);

    println!("without {guard}: {states} states, {}", path.as_deref().unwrap_or("no double run"));
    assert!(path.is_some(), "no double run without {guard} in {states} states");
}

#[test]
fn runs_no_key_without_a_time_twice_over_home_restarts() {
    assert_safe(Limits::UNTIMED_HOME);
}

#[test]
fn runs_no_key_without_a_time_twice_over_successor_restarts() {
    assert_safe(Limits::UNTIMED_SUCCESSOR);
}

#[test]
fn runs_no_key_without_a_time_twice_over_a_handover() {
    assert_safe(Limits::UNTIMED_HANDOVER);
}

#[test]
fn runs_no_key_without_a_time_twice_over_a_return() {
    assert_safe(Limits::UNTIMED_RETURN);
}

fn assert_change_safe(change: Change, untimed: bool) {
    let limits = change::Limits::STALE;

    let Exploration { states, path } =
        change::explore(Guards::default(), change, &InitialState::USUAL, limits, untimed);

    println!("{change:?}, all guards: {states} states");
    assert_eq!(path, None);
    assert!(states > MIN_STATES, "{states} states");
}

#[test]
fn runs_no_key_twice_when_a_home_is_added() {
    assert_change_safe(Change::NewHome, false);
}

#[test]
fn runs_no_key_without_a_time_twice_when_a_home_becomes_the_successor() {
    assert_change_safe(Change::HomeBecomesSuccessor, true);
}

#[test]
fn runs_no_key_without_a_time_twice_when_a_successor_is_added() {
    assert_change_safe(Change::NewSuccessor, true);
}

#[test]
fn runs_no_key_without_a_time_twice_when_a_home_is_removed() {
    assert_change_safe(Change::HomeRemoved, true);
}

macro_rules! needs {
    ($($name:ident: $guard:ident, $limits:ident;)*) => {
        $(
            #[test]
            fn $name() {
                assert_needed(Guard::$guard, Limits::$limits);
            }
        )*
    };
}

needs! {
    needs_promise: Promise, SUCCESSOR_RESTARTS;
    needs_honour: Honour, SUCCESSOR_RESTARTS;
    needs_quiet: Quiet, SUCCESSOR_RESTARTS;
    needs_read_before_promise: ReadBeforePromise, SUCCESSOR_RESTARTS;
    needs_older_than_takeover: OlderThanTakeover, SUCCESSOR_RESTARTS;
    needs_older_than_home: OlderThanHome, HOME_RESTARTS;
    needs_log_order: LogOrder, SUCCESSOR_RESTARTS;
    needs_home_read: HomeRead, RETURN;
    needs_fresh_handover: FreshHandover, HANDOVER;
    needs_stop_first: StopFirst, HANDOVER;
}

fn assert_change_needs(
    guard: Guard,
    change: Change,
    starts: &[InitialState],
    limits: change::Limits,
) {
    let guards = Guards::without(guard);

    let Exploration { states, path } = change::explore(guards, change, starts, limits, false);

    println!("without {guard}: {states} states, {}", path.as_deref().unwrap_or("no double run"));
    assert!(path.is_some(), "no double run without {guard} in {states} states");
}

macro_rules! change_needs {
    ($($name:ident: $guard:ident, $change:ident, $start:ident, $limits:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let (starts, limits) = (InitialState::$start, change::Limits::$limits);
                assert_change_needs(Guard::$guard, Change::$change, &starts, limits);
            }
        )*
    };
}

change_needs! {
    change_needs_former_pair: FormerPair, NewHome, USUAL, STALE;
    change_needs_partner_left: PartnerLeft, NewHome, USUAL, STALE;
    change_needs_older_than_move: OlderThanMove, HomeRemoved, USUAL, STALE;
    change_needs_agreed_promise: AgreedPromise, NewHome, SUCCESSOR_DECLARED, STALE;
    change_needs_stop_to_declare: StopToDeclare, NewHome, HOME_DECLARES, STALE;
    change_needs_declare_first: DeclareFirst, NewHome, HOME_DECLARED, RESTART_AND_CUT;
}
