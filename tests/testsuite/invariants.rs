//! The checker catches a breach of each guarantee and accepts a session without violations.

use limpetmux::core::refusal::Execution;
use limpetmux::core::time::Moment;
use limpetmux_test_support::invariants::{Fact, Guarantee, Journal, violations};

fn started(request: u64, host: &str, idempotent: bool) -> Fact {
    let (host, zone) = (host.to_owned(), "mnl-a".to_owned());
    Fact::Started { request, stage: 0, host, zone, idempotent, key: None }
}

fn completed(request: u64, host: &str) -> Fact {
    Fact::Completed { request, stage: 0, host: host.to_owned() }
}

fn sent(request: u64, key: Option<&str>) -> Fact {
    Fact::Sent { request, key: key.map(str::to_owned) }
}

fn answered(request: u64, text: &str, expected: &str) -> Fact {
    Fact::Answered { request, text: text.to_owned(), expected: expected.to_owned() }
}

fn refused(request: u64, execution: Execution) -> Fact {
    Fact::Refused { request, execution }
}

fn in_force(node: &str, revision: u64) -> Fact {
    Fact::InForce { node: node.to_owned(), revision }
}

fn zone(serving: bool) -> Fact {
    Fact::Zone { zone: "mnl-a".to_owned(), serving }
}

fn draining(is_draining: bool) -> Fact {
    Fact::Draining { host: "h1".to_owned(), is_draining }
}

fn cold(bound: usize) -> Fact {
    Fact::Cold { host: "h1".to_owned(), bound }
}

/// Returns the guarantees that facts break; each fact has its time in milliseconds.
fn broken(facts: Vec<(u64, Fact)>) -> Vec<Guarantee> {
    let mut journal = Journal::default();
    for (ms, fact) in facts {
        journal.record(Moment::from_millis(ms), fact);
    }
    violations(&journal).into_iter().map(|v| v.guarantee).collect()
}

#[test]
fn session_without_violations_passes() {
    let facts = vec![
        (0, Fact::Accepted { revision: 1 }),
        (1, in_force("entry", 1)),
        (2, cold(1)),
        (3, sent(1, Some("port-1"))),
        (4, started(1, "h1", false)),
        (5, completed(1, "h1")),
        (6, answered(1, "ok", "ok")),
        (7, Fact::Warm { host: "h1".to_owned() }),
        (8, zone(false)),
        (9, sent(2, None)),
        (10, started(2, "h1", true)),
        (11, completed(2, "h1")),
        (12, refused(2, Execution::PartlyRun)),
        (20_000, zone(true)),
        (20_001, sent(3, None)),
        (20_002, refused(3, Execution::NotRun)),
    ];

    assert_eq!(broken(facts), []);
}

#[test]
fn catches_missing_repeated_and_unfounded_answers() {
    let missing = broken(vec![(0, sent(1, None))]);
    let repeated =
        broken(vec![(0, sent(1, None)), (1, answered(1, "a", "a")), (2, answered(1, "a", "a"))]);
    let unfounded =
        broken(vec![(0, sent(1, None)), (1, started(1, "h1", true)), (2, answered(1, "a", "a"))]);

    assert_eq!(
        [missing, repeated, unfounded],
        [const { [Guarantee::NoResultLost] }; 3].map(Vec::from)
    );
}

#[test]
fn catches_overload_of_cold_backend_server() {
    let facts = vec![(0, cold(1)), (1, started(1, "h1", true)), (2, started(2, "h1", true))];

    assert_eq!(broken(facts), [Guarantee::ColdBound]);
}

#[test]
fn catches_new_work_in_zone_out_of_service() {
    let facts =
        vec![(0, zone(false)), (2_900, started(1, "h1", true)), (3_100, started(2, "h1", true))];

    assert_eq!(broken(facts), [Guarantee::ZoneOut]);
}

#[test]
fn catches_answer_of_another_request() {
    let facts = vec![(0, sent(1, None)), (1, answered(1, "theirs", "mine"))];

    assert_eq!(broken(facts), [Guarantee::WholeAnswer]);
}

#[test]
fn catches_not_run_after_a_start() {
    let facts = vec![
        (0, sent(1, Some("k"))),
        (1, started(1, "h1", false)),
        (2, refused(1, Execution::NotRun)),
    ];

    assert_eq!(broken(facts), [Guarantee::TrueNotRun]);
}

#[test]
fn catches_second_run_of_key_through_another_request() {
    let facts = vec![
        (0, sent(1, Some("k"))),
        (1, started(1, "h1", false)),
        (2, refused(1, Execution::Unknown)),
        (3, sent(2, Some("k"))),
        (4, started(2, "h2", false)),
        (5, completed(2, "h2")),
        (6, answered(2, "ok", "ok")),
    ];

    assert_eq!(broken(facts), [Guarantee::AtMostOnce]);
}

#[test]
fn catches_new_work_on_leaving_host() {
    let facts = vec![(0, draining(true)), (3_100, started(1, "h1", true))];

    assert_eq!(broken(facts), [Guarantee::Leaving]);
}

#[test]
fn catches_interrupted_request() {
    let facts = vec![(0, sent(1, None)), (1, Fact::Cut { request: 1 })];

    assert_eq!(broken(facts), [Guarantee::GracefulShutdown]);
}

#[test]
fn catches_reverted_unaccepted_and_late_configuration() {
    let accepted = |r| Fact::Accepted { revision: r };
    let reverted =
        vec![(0, accepted(1)), (1, accepted(2)), (2, in_force("a", 2)), (3, in_force("a", 1))];
    let invented = vec![(0, in_force("a", 1))];
    let late =
        vec![(0, accepted(1)), (1, in_force("a", 1)), (2, accepted(2)), (16_100, in_force("b", 2))];

    for facts in [reverted, invented, late] {
        assert_eq!(broken(facts), [Guarantee::ConfigInForce]);
    }
}
