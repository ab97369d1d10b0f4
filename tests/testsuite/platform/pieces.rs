//! Pieces of all requests share calls and keep within the room for results, and stages that can be
//! on time go first.

use super::{arc, at, ms};
use limpetmux::core::catalog::PieceSpec;
use limpetmux::core::pieces::{
    Actions, Call, CallEnd, CallQuota, HeldResult, JobKey, JobSpec, PieceError, PieceOutcome,
    PieceQueue, Source, StageEnd, WorkerSpec,
};
use limpetmux::core::time::Moment;
use std::sync::Arc;
use std::time::Duration;

pub(super) fn piece_spec() -> PieceSpec {
    PieceSpec {
        slots: 1,
        batch: 8,
        call_time: ms(150),
        item_time: ms(16),
        result_room: 28_000,
        result_ttl: ms(4_000),
    }
}

pub(super) fn worker(id: &str, zone: &str) -> WorkerSpec {
    let port = id.bytes().map(u16::from).sum::<u16>();
    WorkerSpec {
        id: id.into(),
        started_ms: 1,
        addr: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
        quota: CallQuota::default(),
    }
}

fn queue(workers: &[(&str, &str)]) -> PieceQueue {
    let mut queue = PieceQueue::new(piece_spec());
    queue.set_workers(workers.iter().map(|(id, zone)| worker(id, zone)).collect());
    queue
}

/// A stage of `pieces` pieces that is due 2 s and has its deadline 6 s after `now`.
pub(super) fn job(now: Moment, request: &str, pieces: usize) -> JobSpec {
    JobSpec {
        request: request.into(),
        stage: 0,
        pieces,
        source: Source::Key("k".into()),
        due: now + ms(2_000),
        deadline: now + ms(6_000),
        workspace: None,
        priority: 1,
        zone: "".into(),
        size: 1_000,
        frees_inputs: false,
        room_short: false,
    }
}

/// Returns an answer to a call with a result for each piece.
fn completed(call: &Call) -> CallEnd {
    let name = |(n, item): (usize, _)| {
        let item: &limpetmux::core::pieces::CallItem = item;
        PieceOutcome::Completed(format!("{}/{}-{n}", call.addr, item.request).into())
    };
    CallEnd::Answered(call.items.iter().enumerate().map(name).collect())
}

fn requests(call: &Call) -> Vec<&str> {
    call.items.iter().map(|i| &*i.request).collect()
}

fn results(actions: &Actions, key: JobKey) -> Option<Vec<Arc<str>>> {
    actions.ended.iter().find(|(k, _)| *k == key).and_then(|(_, end)| match end {
        StageEnd::Completed { results, .. } => Some(results.clone()),
        _ => None,
    })
}

#[test]
fn pieces_of_requests_from_all_entries_share_one_call() {
    // Guards against one call for each request, which fills the pool even under low load.
    let mut queue = queue(&[("s1", "mnl-a")]);
    let first = queue.submit(at(0), job(at(0), "r1", 2)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    for request in ["r2", "r3", "r4"] {
        queue.submit(at(10), job(at(10), request, 2)).unwrap();
    }
    assert!(queue.step(at(10)).calls.is_empty(), "one call at a time");

    let ended = queue.finish(at(180), call.key, completed(&call));
    let next = queue.step(at(180));

    assert_eq!(results(&ended, first).map(|r| r.len()), Some(2));
    assert_eq!(requests(&next.calls[0]), ["r2", "r2", "r3", "r3", "r4", "r4"]);
}

#[test]
fn room_is_reserved_until_results_are_freed() {
    // Guards against calls without room in a burst: pieces that are refused for lack of room still
    // cost the fixed time of their call.
    let mut queue = queue(&[("s1", "mnl-a")]);
    let mut now = at(0);
    let mut held = Vec::new();
    for number in 0..6 {
        queue.submit(now, job(now, &format!("r{number}"), 8)).unwrap();
    }
    for _ in 0..3 {
        let call = queue.step(now).calls.remove(0);
        now = now + ms(278);
        let ended = queue.finish(now, call.key, completed(&call));
        held.push(ended.ended.into_iter().find_map(|(key, end)| match end {
            StageEnd::Completed { results, .. } => Some((key, results)),
            _ => None,
        }));
    }

    // Results take 24 of 26 usable places: two more pieces fit, then none.
    let call = queue.step(now).calls.remove(0);
    assert_eq!(call.items.len(), 2);
    queue.finish(now + ms(182), call.key, completed(&call));
    assert!(queue.step(now + ms(182)).calls.is_empty());
    let (_, freed) = held.remove(0).expect("a completed stage");
    queue.release_results(&freed);

    assert_eq!(queue.step(now + ms(182)).calls[0].items.len(), 8);
}

#[test]
fn room_for_results_of_lost_calls_stays_reserved() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    let mut now = at(0);
    for number in 0..3 {
        queue.submit(now, job(now, &format!("r{number}"), 8)).unwrap();
        let call = queue.step(now).calls.remove(0);
        now = now + ms(300);
        queue.finish(now, call.key, CallEnd::Lost);
        now = now + ms(700);
        for key in 1..100 {
            queue.cancel(JobKey(key));
        }
    }

    queue.submit(now, job(now, "next", 8)).unwrap();
    let call = queue.step(now).calls.remove(0);

    assert!(
        call.items.len() < 8,
        "24 results of lost calls may take up room: {}",
        call.items.len()
    );
}

#[test]
fn refusal_for_lack_of_room_delays_the_next_call() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "r1", 8)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let mut end = vec![PieceOutcome::Failed(PieceError::NoRoom); 8];
    end[0] = PieceOutcome::Completed("127.0.0.1:1/x".into());

    queue.finish(at(278), call.key, CallEnd::Answered(end));

    assert!(queue.step(at(400)).calls.is_empty(), "the server has no more room than it used");
    assert!(!queue.step(at(1_300)).calls.is_empty(), "the server is called again later");
}

#[test]
fn stages_on_time_go_before_late_ones_and_high_priority_before_low() {
    // Guards against an order by earliest deadline alone, which makes every request late under
    // overload.
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "running", 8)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let late = JobSpec { due: at(100), ..job(at(0), "late", 4) };
    let low = JobSpec { priority: 2, ..job(at(0), "low", 4) };
    let high = JobSpec { priority: 0, ..job(at(0), "high", 4) };
    for spec in [late, low, high] {
        queue.submit(at(1), spec).unwrap();
    }

    queue.finish(at(278), call.key, completed(&call));
    let next = queue.step(at(278));

    assert_eq!(
        requests(&next.calls[0]),
        ["high", "high", "high", "high", "low", "low", "low", "low"]
    );
}

#[test]
fn late_stage_behind_a_long_queue_is_refused_at_once() {
    // Guards against late stages that wait under overload: they hold results and are dropped in the
    // end.
    let mut queue = queue(&[("s1", "mnl-a")]);
    for number in 0..6 {
        queue.submit(at(0), job(at(0), &format!("r{number}"), 8)).unwrap();
    }
    let late = queue.submit(at(0), JobSpec { due: at(100), ..job(at(0), "late", 4) }).unwrap();

    let ended = queue.step(at(1)).ended;

    assert!(matches!(ended[..], [(key, StageEnd::Late { .. })] if key == late), "{ended:?}");
}

#[test]
fn stage_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    for number in 0..12 {
        queue.submit(at(0), job(at(0), &format!("r{number}"), 8)).unwrap();
    }

    let tight = JobSpec { deadline: at(1_500), due: at(4_000), ..job(at(0), "tight", 8) };

    assert!(matches!(queue.submit(at(0), tight), Err(StageEnd::Late { .. })));
}

#[test]
fn pieces_of_a_cancelled_request_are_not_sent() {
    // Guards against calls for requests whose callers disconnected before the deadline.
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "running", 8)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let cancelled = queue.submit(at(0), job(at(0), "gone", 8)).unwrap();
    queue.submit(at(0), job(at(0), "stays", 8)).unwrap();

    queue.cancel(cancelled);
    queue.finish(at(278), call.key, completed(&call));

    assert!(requests(&queue.step(at(278)).calls[0]).iter().all(|r| *r == "stays"));
}

#[test]
fn result_of_a_cancelled_request_is_freed() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    let key = queue.submit(at(0), job(at(0), "r1", 1)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    queue.cancel(key);

    let actions = queue.finish(at(166), call.key, completed(&call));

    assert_eq!(actions.unneeded_results.len(), 1);
}

#[test]
fn stage_waits_for_a_server_in_its_zone_while_there_is_time() {
    // Guards against transfers of megabytes between zones, which are expensive.
    let mut queue = queue(&[("s1", "mnl-a"), ("s2", "mnl-b")]);
    queue.submit(at(0), JobSpec { zone: "mnl-a".into(), ..job(at(0), "busy", 2) }).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    assert_eq!(call.server, arc("s1"));
    let near = JobSpec { zone: "mnl-a".into(), ..job(at(0), "near", 2) };
    queue.submit(at(10), near).unwrap();
    assert!(queue.step(at(10)).calls.is_empty(), "the other zone is not used yet");
    let urgent = JobSpec { zone: "mnl-a".into(), due: at(300), ..job(at(0), "urgent", 2) };
    queue.submit(at(20), urgent).unwrap();

    let calls = queue.step(at(20)).calls;

    assert_eq!(requests(&calls[0]), ["urgent", "urgent"]);
    assert_eq!(calls[0].server, arc("s2"));
}

#[test]
fn fetched_inputs_are_freed_early_and_only_once_while_room_is_short() {
    // Guards against a burst that fills the room for the results of the previous stage.
    let mut queue = queue(&[("s1", "mnl-a")]);
    let inputs = vec![arc("127.0.0.1:9/a"), arc("127.0.0.1:9/b")];
    let source = Source::Inputs(inputs.clone());
    let spec = JobSpec { source, frees_inputs: true, room_short: true, ..job(at(0), "r1", 2) };
    queue.submit(at(0), spec).unwrap();
    let call = queue.step(at(0)).calls.remove(0);

    let early = queue.step(at(20)).fetched_inputs;
    let later = queue.step(at(100)).fetched_inputs;
    let end = queue.finish(at(182), call.key, completed(&call));

    assert_eq!((early.len(), later), (0, inputs));
    assert!(end.fetched_inputs.is_empty());
}

#[test]
fn inputs_are_kept_until_the_stage_ends_while_there_is_room() {
    // Guards against freed inputs that are needed again: many stages wait, and a piece fails and is
    // retried with the same inputs.
    let mut queue = queue(&[("s1", "mnl-a")]);
    let inputs = vec![arc("127.0.0.1:9/a")];
    let spec = JobSpec {
        source: Source::Inputs(inputs.clone()),
        frees_inputs: true,
        ..job(at(0), "r1", 2)
    };
    queue.submit(at(0), spec).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    for request in ["r2", "r3"] {
        queue.submit(at(0), job(at(0), request, 8)).unwrap();
    }

    let during = queue.step(at(100)).fetched_inputs;
    let end = queue.finish(at(182), call.key, completed(&call));

    assert_eq!((during.len(), end.fetched_inputs), (0, inputs));
}

#[test]
fn room_is_short_once_half_of_it_is_reserved() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "r1", 8)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let before = queue.is_room_short(at(1));
    queue.finish(at(278), call.key, completed(&call));
    queue.submit(at(300), job(at(300), "r2", 8)).unwrap();
    queue.step(at(300));

    // 8 and then 16 results of 1,000 bytes in a room of 28,000 bytes.
    assert_eq!((before, queue.is_room_short(at(301))), (false, true));
}

#[test]
fn adopted_results_take_up_room_at_the_next_node() {
    // Guards against calls to full backend servers after their queue node was stopped.
    let mut first = queue(&[("s1", "mnl-a")]);
    for n in 0..3 {
        first.submit(at(0), job(at(0), &format!("r{n}"), 8)).unwrap();
        let call = first.step(at(0)).calls.remove(0);
        first.finish(at(0), call.key, completed(&call));
    }
    let mut next = queue(&[("s1", "mnl-a")]);

    next.adopt_results(at(10), first.held_results(at(10)));
    next.submit(at(10), job(at(10), "r9", 8)).unwrap();
    let sent: usize = next.step(at(10)).calls.iter().map(|c| c.items.len()).sum();

    // 24 of 28 places are taken, and a part of the room stays free.
    assert!((1..=4).contains(&sent), "{sent}");
}

#[test]
fn adopted_results_take_up_room_no_longer_than_new_ones() {
    // Guards against a backend server whose room stays taken because another node stated a far too
    // long remaining time.
    let mut queue = queue(&[("s1", "mnl-a")]);
    let held = (0..28).map(|n| HeldResult {
        server: "s1".into(),
        name: format!("r{n}").into(),
        size: 1_000,
        remaining: Duration::MAX,
    });

    queue.adopt_results(at(10), held.collect());

    queue.submit(at(10), job(at(10), "r1", 2)).unwrap();
    assert!(queue.step(at(10)).calls.is_empty());
    queue.submit(at(5_000), job(at(5_000), "r2", 2)).unwrap();
    assert!(!queue.step(at(5_000)).calls.is_empty());
}

#[test]
fn pieces_of_an_overdue_call_are_sent_elsewhere_and_the_first_result_is_used() {
    // Guards against a stage delayed by a backend server that turns slow or stops answering.
    let mut queue = queue(&[("s1", "mnl-a"), ("s2", "mnl-b")]);
    let key = queue.submit(at(0), job(at(0), "r1", 2)).unwrap();
    let slow = queue.step(at(0)).calls.remove(0);

    let again = queue.step(at(1_000)).calls.remove(0);
    let first = queue.finish(at(1_182), again.key, completed(&again));
    let second = queue.finish(at(1_500), slow.key, completed(&slow));

    assert_ne!(again.server, slow.server);
    assert_eq!(results(&first, key).map(|r| r.len()), Some(2));
    assert_eq!(second.unneeded_results.len(), 2);
}

#[test]
fn server_whose_address_was_reused_gets_no_more_calls() {
    // Guards against calls to another service that reuses the address.
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "r1", 1)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);

    queue.finish(at(5), call.key, CallEnd::WrongServer);
    queue.set_workers(vec![worker("s1", "mnl-a")]);

    assert!(queue.step(at(2_000)).calls.is_empty());
}

#[test]
fn missing_input_ends_the_stage() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    let key = queue.submit(at(0), job(at(0), "r1", 2)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let outcomes = vec![
        PieceOutcome::Completed("127.0.0.1:1/x".into()),
        PieceOutcome::Failed(PieceError::InputMissing),
    ];

    let actions = queue.finish(at(182), call.key, CallEnd::Answered(outcomes));

    assert_eq!(actions.ended, [(key, StageEnd::InputMissing)]);
    assert_eq!(actions.unneeded_results.len(), 1);
}

#[test]
fn answer_with_another_number_of_outcomes_counts_as_lost() {
    // Guards against results of another call, and against room that is released although the pieces
    // may have run.
    for outcomes in [0, 7, 9] {
        let mut queue = queue(&[("s1", "mnl-a")]);
        queue.submit(at(0), job(at(0), "r1", 8)).unwrap();
        let call = queue.step(at(0)).calls.remove(0);
        let name = |n| PieceOutcome::Completed(format!("127.0.0.1:1/{n}").into());
        let end = CallEnd::Answered((0..outcomes).map(name).collect());

        let actions = queue.finish(at(278), call.key, end);

        assert!(actions.ended.is_empty() && queue.held_results(at(278)).is_empty(), "{outcomes}");
        let next = queue.step(at(600)).calls.remove(0);
        assert_eq!(requests(&next), ["r1"; 8], "{outcomes}");
        assert!(queue.is_room_short(at(600)), "{outcomes}");
    }
}
