//! Each check reports facts that violate its guarantee, and no others.

mod notices;

use limpetmux_soak::callers::{BODY, Kind, Outcome, PIECES, SentRequest};
use limpetmux_soak::checks::{Violation, check};
use limpetmux_soak::facts::{Facts, Run};
use limpetmux_soak::usage::{MAX_MEMORY_KB, MAX_SOCKETS, Usage};
use limpetmux_soak::world::{OperatorActions, PERMANENT_KEY, WORKSPACE, service_of};
use limpetmux_standins::users::{EndedAnswer, StageResult};
use std::collections::BTreeMap;
use std::time::Duration;
use strum::IntoEnumIterator;
use tokio::time::Instant;

/// A change that breaks a guarantee, and what the violation shows.
type Change<T> = (fn(&mut T), &'static str);

/// A change that breaks a guarantee, and the violation.
type Break<T> = (fn(&mut T), Violation);

const SECOND: Duration = Duration::from_secs(1);

fn sent(id: &str, kind: Kind, at: Instant) -> SentRequest {
    let events = if kind == Kind::Stream { 5 } else { 1 };
    let event = |n| format!("id: {n}\ndata: from s for {id}\n\n");
    let body = (1..=events).map(event).collect();
    let outcome = Outcome::Answered { status: 200, signed: true, body };
    let (id, key) = (id.to_owned(), PERMANENT_KEY.to_owned());
    let answered_id = Some(id.clone());
    SentRequest { id, kind, entry: 0, key, at, until: at + SECOND / 10, outcome, answered_id }
}

fn run(service: &'static str, at: Instant) -> Run {
    Run {
        service,
        zone: 0,
        server: "s".into(),
        drained_at: None,
        at,
        workspace: Some(WORKSPACE.into()),
        keyed: false,
        body: BODY.to_vec(),
        cut: false,
        leaving: false,
        inputs: handles("r", 1),
    }
}

fn handle(request: &str, stage: u64, piece: u64) -> String {
    format!("{request}-{stage}-{piece}")
}

/// Returns the handles of the results of a stage that were computed for a request.
fn handles(request: &str, stage: u64) -> Vec<String> {
    (0..PIECES[stage as usize]).map(|piece| handle(request, stage, piece)).collect()
}

/// Returns the results that were computed for a request, by their handles.
fn results(request: &str) -> BTreeMap<String, StageResult> {
    let result = |stage, piece| {
        let inputs = if stage == 0 { Vec::new() } else { handles(request, 0) };
        let result = StageResult { request: request.to_owned(), stage, piece, inputs };
        (handle(request, stage, piece), result)
    };
    let pieces = (0..2).flat_map(|stage| (0..PIECES[stage as usize]).map(move |p| (stage, p)));
    pieces.map(|(stage, piece)| result(stage, piece)).collect()
}

/// Returns facts without violations, and when the request `r` was sent.
///
/// `r` is of the given kind and ran once, before the faults ended and long after the second of two
/// versions. After the faults, one request of each kind was served.
fn facts(kind: Kind) -> (Facts, Instant) {
    let began = Instant::now();
    let (at, recovered) = (began + SECOND * 40, began + SECOND * 60);
    let actions =
        OperatorActions { versions: vec![began, began + SECOND], ..OperatorActions::default() };
    let mut all: Vec<SentRequest> =
        Kind::iter().map(|k| sent(<&str>::from(k), k, recovered + SECOND)).collect();
    all.push(sent("r", kind, at));
    let service = if kind == Kind::Moved { service_of(2) } else { "plain" };
    let runs = BTreeMap::from([("r".to_owned(), vec![run(service, at + SECOND / 100)])]);
    let (results, disturbances) = (results("r"), Vec::new());
    let usage = vec![Usage { measured: 1, memory_kb: MAX_MEMORY_KB, sockets: MAX_SOCKETS }; 2];
    let endless = vec![("store".to_owned(), 0), ("plain 0".to_owned(), 0)];
    let ended = vec![EndedAnswer { id: "r".into(), from: at, until: at + SECOND * 3 }];
    let sent = all;
    let arrivals = BTreeMap::new();
    let facts = Facts {
        runs,
        results,
        sent,
        actions,
        disturbances,
        interruptions: Vec::new(),
        arrivals,
        usage,
        ended,
        endless,
        recovered,
    };
    (facts, at)
}

fn request(facts: &mut Facts) -> &mut SentRequest {
    // `facts` puts the request `r` last.
    let last = facts.sent.len() - 1;
    &mut facts.sent[last]
}

fn first_run(facts: &mut Facts) -> &mut Run {
    &mut facts.runs.entry("r".into()).or_default()[0]
}

fn answered(status: u16, body: &str) -> Outcome {
    Outcome::Answered { status, signed: true, body: body.into() }
}

#[test]
fn facts_without_violations_pass() {
    for kind in Kind::iter() {
        assert_eq!(check(&facts(kind).0), []);
    }
}

#[test]
fn second_run_is_found_for_kinds_that_run_once() {
    for (kind, violations) in [(Kind::Once, 1), (Kind::Stream, 1), (Kind::Safe, 0)] {
        let (mut facts, _) = facts(kind);
        let again = first_run(&mut facts).clone();
        facts.runs.get_mut("r").expect("its runs").push(again);

        assert_eq!(check(&facts).len(), violations, "{kind:?}");
    }
}

#[test]
fn refusal_after_a_run_is_found() {
    let (mut facts, _) = facts(Kind::Once);
    request(&mut facts).outcome = answered(503, "");

    assert_eq!(check(&facts), [Violation::FalseRefusal("r".into(), 503)]);
}

#[test]
fn refusal_before_a_run_and_refusal_with_a_signature_are_found() {
    // Guards against a soak that misses requests which run after their refusal, or whose run failed
    // with the status of a refusal (incident REFUSED and TWICE).
    for kind in [Kind::Once, Kind::Stream] {
        for status in [408, 421, 429, 503] {
            for (signed, run_delay) in [(true, SECOND / 100), (false, SECOND * 3)] {
                let (mut facts, at) = facts(kind);
                let body = String::new();
                request(&mut facts).outcome = Outcome::Answered { status, signed, body };
                first_run(&mut facts).at = at + run_delay;

                assert_eq!(check(&facts), [Violation::FalseRefusal("r".into(), status)]);
            }
        }
    }
}

#[test]
fn answer_to_another_request_is_found_whatever_its_status() {
    // Guards against a soak that misses failures of other requests (incident REFUSED and TWICE).
    for status in [200, 400, 500, 503] {
        let (mut facts, _) = facts(Kind::Safe);
        let body = "id: 1\ndata: from s for r\n\n";
        request(&mut facts).outcome = answered(status, body);
        request(&mut facts).answered_id = Some("other".into());

        assert_eq!(check(&facts), [Violation::ForeignAnswer("r".into(), "other".into(), status)]);
    }
}

#[test]
fn inputs_that_are_missing_repeated_or_of_another_request_are_found() {
    // Guards against a soak that misses results which a further answer of a stage's server brought
    // to another request (incident REFUSED and TWICE).
    let changes: [Change<Facts>; 4] = [
        (|facts| first_run(facts).inputs.truncate(1), "r/1/0"),
        (|facts| first_run(facts).inputs = handles("r", 0), "r/0/0,r/0/1"),
        (|facts| first_run(facts).inputs[0] = handle("r", 1, 1), "r/1/1,r/1/1,r/1/2"),
        (|facts| first_run(facts).inputs[0] = handle("other", 1, 0), "other/1/0,r/1/1,r/1/2"),
    ];
    for (change, inputs) in changes {
        let (mut facts, _) = facts(Kind::Stream);
        facts.results.extend(results("other"));
        assert_eq!(check(&facts), []);
        change(&mut facts);

        assert_eq!(check(&facts), [Violation::ForeignInputs("r".into(), inputs.into())]);
    }
}

#[test]
fn piece_that_got_missing_inputs_or_those_of_another_request_is_found() {
    // Guards against a soak that misses them if the request itself does not run afterwards (incident
    // REFUSED and TWICE).
    let changes: [Change<Vec<String>>; 4] = [
        (Vec::clear, ""),
        (|inputs| inputs.truncate(1), "r/0/0"),
        (|inputs| inputs[0] = handle("r", 0, 1), "r/0/1,r/0/1"),
        (|inputs| inputs[0] = handle("other", 0, 0), "other/0/0,r/0/1"),
    ];
    for (change, inputs) in changes {
        let (mut facts, _) = facts(Kind::Safe);
        facts.results.extend(results("other"));
        change(&mut facts.results.get_mut("r-1-2").expect("a result").inputs);

        assert_eq!(check(&facts), [Violation::ForeignPiece("r".into(), 2, inputs.into())]);
    }
}

#[test]
fn wrong_incomplete_and_unsigned_answers_are_found() {
    let wrong = "id: 1\ndata: from s for another\n\n";
    for (kind, body) in [(Kind::Safe, wrong), (Kind::Stream, "id: 1\ndata: from s for r\n\n")] {
        let (mut facts, _) = facts(kind);
        request(&mut facts).outcome = answered(200, body);
        assert_eq!(check(&facts), [Violation::WrongAnswer("r".into(), body.into())]);
    }
    let (mut facts, _) = facts(Kind::Safe);
    let unsigned = Outcome::Answered { status: 200, signed: false, body: String::new() };
    request(&mut facts).outcome = unsigned;
    assert_eq!(check(&facts), [Violation::Unsigned("r".into())]);
}

#[test]
fn run_that_no_caller_sent_is_found() {
    let changes: [fn(&mut Run); 3] = [
        |run| run.keyed = true,
        |run| run.workspace = Some("another".into()),
        |run| run.body = b"other".to_vec(),
    ];
    for change in changes {
        let (mut facts, _) = facts(Kind::Safe);
        change(first_run(&mut facts));
        assert_eq!(check(&facts), [Violation::UnexpectedRun("r".into())]);
    }
    let (mut facts, at) = facts(Kind::Safe);
    facts.runs.insert("unknown".into(), vec![run("plain", at)]);
    assert_eq!(check(&facts), [Violation::UnexpectedRun("unknown".into())]);
}

#[test]
fn revoked_key_is_found_also_at_a_disturbed_process() {
    let (mut facts, at) = facts(Kind::Safe);
    facts.disturbances.push((0, at - SECOND, at + SECOND));
    facts.actions.revoked.push((PERMANENT_KEY.into(), at - SECOND * 6));

    assert_eq!(check(&facts), [Violation::RevokedKey("r".into(), SECOND)]);
}

#[test]
fn older_version_is_found_once_the_newer_one_must_be_in_force() {
    let (mut facts, _) = facts(Kind::Moved);
    first_run(&mut facts).service = service_of(1);

    assert!(matches!(check(&facts)[..], [Violation::OldVersion(..)]));
}

#[test]
fn run_in_evacuated_zone_or_at_draining_server_is_found_unless_process_was_disturbed() {
    for disturbed in [false, true] {
        let (mut facts, at) = facts(Kind::Safe);
        facts.actions.evacuated.push((0, at - SECOND * 12, None));
        if disturbed {
            facts.disturbances.push((0, at - SECOND * 5, at - SECOND * 2));
        }
        assert_eq!(check(&facts).len(), usize::from(!disturbed));
        facts.actions.evacuated.clear();
        first_run(&mut facts).drained_at = Some(at - SECOND * 9);
        assert_eq!(check(&facts).len(), usize::from(!disturbed));
    }
}

#[test]
fn request_that_ran_and_was_cut_by_an_undisturbed_process_is_found() {
    let (mut facts, at) = facts(Kind::Safe);
    request(&mut facts).outcome = Outcome::Cut;
    let undisturbed = check(&facts);
    facts.disturbances.push((0, at, at + SECOND));

    assert_eq!(undisturbed, [Violation::CutRequest("r".into(), 0)]);
    assert_eq!(check(&facts), []);
}

#[test]
fn stream_that_its_backend_server_cut_is_found_if_its_caller_got_it_as_complete() {
    // Guards against a soak that misses truncated streams with a proper end (inc1).
    let (mut facts, _) = facts(Kind::Stream);
    first_run(&mut facts).cut = true;
    request(&mut facts).outcome = Outcome::Cut;
    let passed_on_as_cut = check(&facts);
    let truncated = "id: 1\ndata: from s for r\n\nid: 2\nda";
    request(&mut facts).outcome = answered(200, truncated);

    assert_eq!(passed_on_as_cut, []);
    assert_eq!(check(&facts), [Violation::WrongAnswer("r".into(), truncated.into())]);
}

#[test]
fn kind_that_is_not_served_after_the_faults_is_found() {
    let (mut facts, _) = facts(Kind::Safe);
    let after = facts.recovered;
    let request = facts.sent.iter_mut().find(|s| s.at > after && s.kind == Kind::Once);
    request.expect("a request").outcome = Outcome::TimedOut;

    assert_eq!(check(&facts), [Violation::NotRecovered(0, 1, "once")]);
}

#[test]
fn process_beyond_its_settings_and_process_that_was_not_measured_are_found() {
    // Guards against a soak that misses reads without a bound (issue 24).
    let changes: [Break<Usage>; 3] = [
        (|usage| usage.memory_kb += 1, Violation::Memory(1, MAX_MEMORY_KB + 1)),
        (|usage| usage.sockets += 1, Violation::Sockets(1, MAX_SOCKETS + 1)),
        (|usage| usage.measured = 0, Violation::Unmeasured(1)),
    ];
    for (change, violation) in changes {
        let (mut facts, _) = facts(Kind::Safe);
        change(&mut facts.usage[1]);

        assert_eq!(check(&facts), [violation]);
    }
}

#[test]
fn endless_answer_that_is_still_read_is_found() {
    // Guards against a soak that misses reads that no time bounds (issue 24).
    for server in 0..2 {
        let (mut facts, _) = facts(Kind::Safe);
        facts.endless[server].1 = 3;

        let name = facts.endless[server].0.clone();
        assert_eq!(check(&facts), [Violation::StillRead(name, 3)]);
    }
}

#[test]
fn endless_answer_that_is_read_after_its_time_is_found_unless_process_was_disturbed() {
    // Guards against a soak that misses reads that only the end of their peer stops (issue 24).
    let (mut facts, at) = facts(Kind::Safe);
    facts.ended[0].until = at + SECOND * 4;
    let undisturbed = check(&facts);
    facts.disturbances.push((0, at, at + SECOND));

    assert_eq!(undisturbed, [Violation::LongRead("r".into(), SECOND * 4)]);
    assert_eq!(check(&facts), []);
}

#[test]
fn request_that_ran_and_got_endless_bytes_is_found_if_its_caller_got_an_answer() {
    // The stand-in's run counts, so a refusal is false, and no endless body is complete.
    let (mut facts, _) = facts(Kind::Once);
    first_run(&mut facts).cut = true;
    for (status, body) in [(200, "id: 1\ndata: from s for r\n\ndata: more\n\n"), (503, "")] {
        request(&mut facts).outcome = answered(status, body);

        let violation = match status {
            200 => Violation::WrongAnswer("r".into(), body.into()),
            _ => Violation::FalseRefusal("r".into(), status),
        };
        assert_eq!(check(&facts), [violation]);
    }
}
