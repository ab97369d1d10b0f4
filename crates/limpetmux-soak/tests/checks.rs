//! Each check fails on facts that break its promise, and only then.

use limpetmux_soak::callers::{BODY, End, Kind, Sent};
use limpetmux_soak::checks::{Broken, Facts, Run, check};
use limpetmux_soak::world::{LASTING_KEY, Orders, WORKSPACE, moved_to};
use std::collections::BTreeMap;
use std::time::Duration;
use strum::IntoEnumIterator;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn sent(id: &str, kind: Kind, at: Instant) -> Sent {
    let events = if kind == Kind::Stream { 5 } else { 1 };
    let event = |n| format!("id: {n}\ndata: from s for {id}\n\n");
    let body = (1..=events).map(event).collect();
    let end = End::Answered { status: 200, signed: true, body };
    let (id, key) = (id.to_owned(), LASTING_KEY.to_owned());
    Sent { id, kind, entry: 0, key, at, until: at + SECOND / 10, end }
}

fn run(service: &'static str, at: Instant) -> Run {
    Run {
        service,
        zone: 0,
        server: "s".into(),
        left: None,
        at,
        workspace: Some(WORKSPACE.into()),
        keyed: false,
        body: BODY.to_vec(),
    }
}

/// A request of each kind after the faults, all served, and the request `r` of a kind before, which
/// ran once; two versions, the second one long before.
fn facts(kind: Kind) -> (Facts, Instant) {
    let began = Instant::now();
    let (at, recovered) = (began + SECOND * 40, began + SECOND * 60);
    let orders = Orders { versions: vec![began, began + SECOND], ..Orders::default() };
    let mut all: Vec<Sent> =
        Kind::iter().map(|k| sent(<&str>::from(k), k, recovered + SECOND)).collect();
    all.push(sent("r", kind, at));
    let service = if kind == Kind::Moved { moved_to(2) } else { "plain" };
    let runs = BTreeMap::from([("r".to_owned(), vec![run(service, at + SECOND / 100)])]);
    (Facts { runs, sent: all, orders, harmed: Vec::new(), recovered }, at)
}

fn request(facts: &mut Facts) -> &mut Sent {
    // The request `r` is the last one of `facts`.
    let last = facts.sent.len() - 1;
    &mut facts.sent[last]
}

fn first_run(facts: &mut Facts) -> &mut Run {
    &mut facts.runs.entry("r".into()).or_default()[0]
}

fn answered(status: u16, body: &str) -> End {
    End::Answered { status, signed: true, body: body.into() }
}

#[test]
fn sound_facts_break_nothing() {
    for kind in Kind::iter() {
        assert_eq!(check(&facts(kind).0), []);
    }
}

#[test]
fn second_run_is_found_for_kinds_that_run_once() {
    for (kind, broken) in [(Kind::Once, 1), (Kind::Stream, 1), (Kind::Safe, 0)] {
        let (mut facts, _) = facts(kind);
        let again = first_run(&mut facts).clone();
        facts.runs.get_mut("r").expect("its runs").push(again);

        assert_eq!(check(&facts).len(), broken, "{kind:?}");
    }
}

#[test]
fn refusal_after_a_run_is_found() {
    let (mut facts, _) = facts(Kind::Once);
    request(&mut facts).end = answered(503, "");

    assert_eq!(check(&facts), [Broken::FalseRefusal("r".into(), 503)]);
}

#[test]
fn wrong_short_and_unsigned_answers_are_found() {
    let wrong = "id: 1\ndata: from s for another\n\n";
    for (kind, body) in [(Kind::Safe, wrong), (Kind::Stream, "id: 1\ndata: from s for r\n\n")] {
        let (mut facts, _) = facts(kind);
        request(&mut facts).end = answered(200, body);
        assert_eq!(check(&facts), [Broken::Mixed("r".into(), body.into())]);
    }
    let (mut facts, _) = facts(Kind::Safe);
    let unsigned = End::Answered { status: 200, signed: false, body: String::new() };
    request(&mut facts).end = unsigned;
    assert_eq!(check(&facts), [Broken::Unsigned("r".into())]);
}

#[test]
fn what_no_caller_sent_like_that_is_found() {
    let changes: [fn(&mut Run); 3] = [
        |run| run.keyed = true,
        |run| run.workspace = Some("another".into()),
        |run| run.body = b"other".to_vec(),
    ];
    for change in changes {
        let (mut facts, _) = facts(Kind::Safe);
        change(first_run(&mut facts));
        assert_eq!(check(&facts), [Broken::Unasked("r".into())]);
    }
    let (mut facts, at) = facts(Kind::Safe);
    facts.runs.insert("unknown".into(), vec![run("plain", at)]);
    assert_eq!(check(&facts), [Broken::Unasked("unknown".into())]);
}

#[test]
fn key_that_was_taken_away_is_found_also_at_a_harmed_process() {
    let (mut facts, at) = facts(Kind::Safe);
    facts.harmed.push((0, at - SECOND, at + SECOND));
    facts.orders.revoked.push((LASTING_KEY.into(), at - SECOND * 6));

    assert_eq!(check(&facts), [Broken::Revoked("r".into(), SECOND)]);
}

#[test]
fn older_version_is_found_once_the_newer_one_must_be_in_force() {
    let (mut facts, _) = facts(Kind::Moved);
    first_run(&mut facts).service = moved_to(1);

    assert!(matches!(check(&facts)[..], [Broken::OldVersion(..)]));
}

#[test]
fn work_for_emptied_zones_and_leaving_servers_is_found_unless_the_process_was_harmed() {
    for harmed in [false, true] {
        let (mut facts, at) = facts(Kind::Safe);
        facts.orders.evacuated.push((0, at - SECOND * 12, None));
        if harmed {
            facts.harmed.push((0, at - SECOND * 5, at - SECOND * 2));
        }
        assert_eq!(check(&facts).len(), usize::from(!harmed));
        facts.orders.evacuated.clear();
        first_run(&mut facts).left = Some(at - SECOND * 9);
        assert_eq!(check(&facts).len(), usize::from(!harmed));
    }
}

#[test]
fn request_that_ran_and_was_cut_by_a_calm_process_is_found() {
    let (mut facts, at) = facts(Kind::Safe);
    request(&mut facts).end = End::Cut;
    let calm = check(&facts);
    facts.harmed.push((0, at, at + SECOND));

    assert_eq!(calm, [Broken::Lost("r".into(), 0)]);
    assert_eq!(check(&facts), []);
}

#[test]
fn kind_that_is_not_served_after_the_faults_is_found() {
    let (mut facts, _) = facts(Kind::Safe);
    let after = facts.recovered;
    let late = facts.sent.iter_mut().find(|s| s.at > after && s.kind == Kind::Once);
    late.expect("a request").end = End::Silent;

    assert_eq!(check(&facts), [Broken::NotRecovered(0, 1, "once")]);
}
