//! The checks of what backend servers state about themselves.

use super::{SECOND, facts, run, sent};
use limpetmux_soak::callers::Kind;
use limpetmux_soak::checks::{Violation, check};
use limpetmux_soak::facts::Run;
use limpetmux_standins::users::Arrival;
use std::time::Duration;
use tokio::time::Instant;

/// Returns an arrival of the request `r`.
fn arrival(at: Instant) -> Arrival {
    Arrival { at, id: "r".into(), hold: None, server: "s".into(), limit: None }
}
#[test]
fn run_at_a_server_whose_leaving_its_entry_has_passed_on_is_found() {
    // Guards against a soak that misses requests to servers that have said that they leave (rule
    // DRAIN).
    for (entry, gap, found) in [(0, SECOND * 5, 1), (0, SECOND, 0), (1, SECOND * 5, 0)] {
        let (mut facts, at) = facts(Kind::Safe);
        let mut heard = sent("heard", Kind::Safe, at - gap);
        heard.entry = entry;
        facts.sent.insert(0, heard);
        let heard = Run { leaving: true, ..run("plain", at - gap) };
        facts.runs.insert("heard".into(), vec![heard]);
        assert_eq!(check(&facts).len(), found, "{entry} {gap:?}");

        facts.disturbances.push((0, at - SECOND, at));
        assert_eq!(check(&facts).len(), found, "the store excuses nothing: {entry} {gap:?}");

        facts.interruptions.push((0, at - SECOND / 2, at - SECOND / 3));
        assert_eq!(check(&facts), [], "{entry} {gap:?}");
    }
}

#[test]
fn requests_during_a_retry_after_are_found() {
    // Guards against a soak that misses requests to a server that has asked for none (rule BUDGET).
    let arrival = |at, hold| Arrival { at, hold, ..arrival(at) };
    for (count, found) in [(2, 0), (3, 1)] {
        let (mut facts, at) = facts(Kind::Safe);
        let mut arrivals = vec![arrival(at, Some(SECOND * 3))];
        arrivals.extend(vec![arrival(at + SECOND / 4, None); 5]);
        arrivals.extend(vec![arrival(at + SECOND, None); count]);
        arrivals.extend(vec![arrival(at + SECOND * 4, None); 5]);
        facts.arrivals.insert("plain 0".into(), arrivals);

        let held = vec![Violation::HeldServer("plain 0".into(), 0, count); found];
        assert_eq!(check(&facts), held);
    }
}

#[test]
fn more_requests_than_a_named_limit_allows_are_reported() {
    let found = |count: usize, spacing: Duration, interrupted: bool| {
        let (mut facts, at) = facts(Kind::Safe);
        let arrivals = (0..count).map(|n| {
            let at = at + spacing * u32::try_from(n).expect("a small number");
            Arrival { limit: Some(1.0), ..arrival(at) }
        });
        facts.arrivals.insert("plain 0".into(), arrivals.collect());
        if interrupted {
            facts.interruptions.push((0, at + SECOND, at + SECOND));
        }
        check(&facts)
    };

    assert_eq!(found(40, SECOND, false), []);
    assert_eq!(found(40, Duration::from_millis(370), false), []);
    let violation = Violation::NamedLimit("s".into(), 40, 11);
    assert_eq!(found(400, SECOND / 10, false), [violation]);
    assert_eq!(found(400, SECOND / 10, true), []);
}
