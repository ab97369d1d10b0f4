//! Pieces of all requests share calls, keep within the room, and the most useful ones go first.

use super::{arc, at, ms};
use limpetmux::core::catalog::PieceSpec;
use limpetmux::core::pieces::{
    Actions, Call, CallEnd, JobKey, JobSpec, PieceError, PieceOutcome, PieceQueue, Source,
    StageEnd, WorkerSpec,
};
use limpetmux::core::time::Moment;
use std::sync::Arc;

fn spec() -> PieceSpec {
    PieceSpec {
        slots: 1,
        batch: 8,
        call_time: ms(150),
        item_time: ms(16),
        result_room: 28_000,
        result_ttl: ms(4_000),
    }
}

fn worker(id: &str, zone: &str) -> WorkerSpec {
    let port = id.bytes().map(u16::from).sum::<u16>();
    WorkerSpec {
        id: id.into(),
        started_ms: 1,
        addr: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
    }
}

fn queue(workers: &[(&str, &str)]) -> PieceQueue {
    let mut queue = PieceQueue::new(spec());
    queue.set_workers(workers.iter().map(|(id, zone)| worker(id, zone)).collect());
    queue
}

/// A stage of `pieces` that is due 2 s after `now`, with a deadline of 6 s.
fn job(now: Moment, request: &str, pieces: usize) -> JobSpec {
    JobSpec {
        request: request.into(),
        stage: 0,
        pieces,
        source: Source::Key("k".into()),
        due: now + ms(2_000),
        deadline: now + ms(6_000),
        priority: 1,
        zone: "".into(),
        size: 1_000,
        frees_inputs: false,
        room_short: false,
    }
}

/// Answers a call with a result for each piece.
fn made(call: &Call) -> CallEnd {
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
    // Pattern: a calm day; alone, each request would take a call of its own and fill the pool.
    let mut queue = queue(&[("s1", "mnl-a")]);
    let first = queue.submit(at(0), job(at(0), "r1", 2)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    for request in ["r2", "r3", "r4"] {
        queue.submit(at(10), job(at(10), request, 2)).unwrap();
    }
    assert!(queue.step(at(10)).calls.is_empty(), "one call at a time");

    let ended = queue.finish(at(180), call.key, made(&call));
    let next = queue.step(at(180));

    assert_eq!(results(&ended, first).map(|r| r.len()), Some(2));
    assert_eq!(requests(&next.calls[0]), ["r2", "r2", "r3", "r3", "r4", "r4"]);
}

#[test]
fn room_is_reserved_until_results_are_freed() {
    // Pattern: a burst; pieces refused for lack of room burn the fixed time of their call.
    let mut queue = queue(&[("s1", "mnl-a")]);
    let mut now = at(0);
    let mut held = Vec::new();
    for number in 0..6 {
        queue.submit(now, job(now, &format!("r{number}"), 8)).unwrap();
    }
    for _ in 0..3 {
        let call = queue.step(now).calls.remove(0);
        now = now + ms(278);
        let ended = queue.finish(now, call.key, made(&call));
        held.push(ended.ended.into_iter().find_map(|(key, end)| match end {
            StageEnd::Completed { results, .. } => Some((key, results)),
            _ => None,
        }));
    }

    // 24 of 26 usable results are held: two more pieces fit, then none.
    let call = queue.step(now).calls.remove(0);
    assert_eq!(call.items.len(), 2);
    queue.finish(now + ms(182), call.key, made(&call));
    assert!(queue.step(now + ms(182)).calls.is_empty());
    let (_, freed) = held.remove(0).expect("a made stage");
    queue.release_results(&freed);

    assert_eq!(queue.step(now + ms(182)).calls[0].items.len(), 8);
}

#[test]
fn results_of_lost_calls_keep_their_room_in_doubt() {
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

    assert!(call.items.len() < 8, "24 results may lie there unknown: {}", call.items.len());
}

#[test]
fn refusal_for_room_bounds_the_next_call() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "r1", 8)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let mut end = vec![PieceOutcome::Failed(PieceError::NoRoom); 8];
    end[0] = PieceOutcome::Completed("127.0.0.1:1/x".into());

    queue.finish(at(278), call.key, CallEnd::Answered(end));

    assert!(queue.step(at(400)).calls.is_empty(), "it has no more room than it gave");
    assert!(!queue.step(at(1_300)).calls.is_empty(), "it is asked again later");
}

#[test]
fn on_time_stages_go_before_late_ones_and_urgent_before_others() {
    // Pattern: overload; earliest deadline first alone would make every request late.
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "running", 8)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let late = JobSpec { due: at(100), ..job(at(0), "late", 4) };
    let low = JobSpec { priority: 2, ..job(at(0), "low", 4) };
    let high = JobSpec { priority: 0, ..job(at(0), "high", 4) };
    for spec in [late, low, high] {
        queue.submit(at(1), spec).unwrap();
    }

    queue.finish(at(278), call.key, made(&call));
    let next = queue.step(at(278));

    assert_eq!(
        requests(&next.calls[0]),
        ["high", "high", "high", "high", "low", "low", "low", "low"]
    );
}

#[test]
fn late_stage_behind_a_long_queue_gives_up_at_once() {
    // Pattern: overload; a late stage that waits holds results and is thrown away in the end.
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
fn cancelled_request_takes_its_pieces_along() {
    // Pattern: callers leave before their deadline.
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "running", 8)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let gone = queue.submit(at(0), job(at(0), "gone", 8)).unwrap();
    queue.submit(at(0), job(at(0), "stays", 8)).unwrap();

    queue.cancel(gone);
    queue.finish(at(278), call.key, made(&call));

    assert!(requests(&queue.step(at(278)).calls[0]).iter().all(|r| *r == "stays"));
}

#[test]
fn result_that_comes_after_its_request_has_ended_is_freed() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    let key = queue.submit(at(0), job(at(0), "r1", 1)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    queue.cancel(key);

    let actions = queue.finish(at(166), call.key, made(&call));

    assert_eq!(actions.unneeded_results.len(), 1);
}

#[test]
fn large_result_waits_for_a_server_near_its_user_while_there_is_slack() {
    // Pattern: results of megabytes, which are dear to move between zones.
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
fn inputs_are_freed_once_they_were_fetched_and_only_once() {
    // Pattern: a burst fills the room for the results of the stage before.
    let mut queue = queue(&[("s1", "mnl-a")]);
    let inputs = vec![arc("127.0.0.1:9/a"), arc("127.0.0.1:9/b")];
    let source = Source::Inputs(inputs.clone());
    let spec = JobSpec { source, frees_inputs: true, room_short: true, ..job(at(0), "r1", 2) };
    queue.submit(at(0), spec).unwrap();
    let call = queue.step(at(0)).calls.remove(0);

    let early = queue.step(at(20)).fetched_inputs;
    let later = queue.step(at(100)).fetched_inputs;
    let end = queue.finish(at(182), call.key, made(&call));

    assert_eq!((early.len(), later), (0, inputs));
    assert!(end.fetched_inputs.is_empty());
}

#[test]
fn inputs_are_kept_until_the_end_while_there_is_room() {
    // Pattern: many stages wait, a piece fails, and is made again from the same inputs.
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
    let end = queue.finish(at(182), call.key, made(&call));

    assert_eq!((during.len(), end.fetched_inputs), (0, inputs));
}

#[test]
fn room_is_tight_once_half_of_it_is_taken() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "r1", 8)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let before = queue.is_room_short(at(1));
    queue.finish(at(278), call.key, made(&call));
    queue.submit(at(300), job(at(300), "r2", 8)).unwrap();
    queue.step(at(300));

    // 8 and 16 results of 1,000 bytes in a room of 28,000.
    assert_eq!((before, queue.is_room_short(at(301))), (false, true));
}

#[test]
fn results_that_are_handed_over_take_up_room_at_the_next_node() {
    // Pattern: the node that queues the pieces is stopped while its backend servers are full.
    let mut first = queue(&[("s1", "mnl-a")]);
    for n in 0..3 {
        first.submit(at(0), job(at(0), &format!("r{n}"), 8)).unwrap();
        let call = first.step(at(0)).calls.remove(0);
        first.finish(at(0), call.key, made(&call));
    }
    let mut next = queue(&[("s1", "mnl-a")]);

    next.adopt_results(at(10), first.held_results(at(10)));
    next.submit(at(10), job(at(10), "r9", 8)).unwrap();
    let sent: usize = next.step(at(10)).calls.iter().map(|c| c.items.len()).sum();

    // 24 of 28 places are taken, and a part of the room stays free.
    assert!((1..=4).contains(&sent), "{sent}");
}

#[test]
fn overdue_call_is_asked_for_elsewhere_and_the_first_result_counts() {
    // Pattern: a backend server turns slow, or goes dark under a call.
    let mut queue = queue(&[("s1", "mnl-a"), ("s2", "mnl-b")]);
    let key = queue.submit(at(0), job(at(0), "r1", 2)).unwrap();
    let slow = queue.step(at(0)).calls.remove(0);

    let again = queue.step(at(1_000)).calls.remove(0);
    let first = queue.finish(at(1_182), again.key, made(&again));
    let second = queue.finish(at(1_500), slow.key, made(&slow));

    assert_ne!(again.server, slow.server);
    assert_eq!(results(&first, key).map(|r| r.len()), Some(2));
    assert_eq!(second.unneeded_results.len(), 2);
}

#[test]
fn server_found_at_anothers_address_gets_nothing_more() {
    // Pattern: addresses are used again by other services.
    let mut queue = queue(&[("s1", "mnl-a")]);
    queue.submit(at(0), job(at(0), "r1", 1)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);

    queue.finish(at(5), call.key, CallEnd::WrongServer);
    queue.set_workers(vec![worker("s1", "mnl-a")]);

    assert!(queue.step(at(2_000)).calls.is_empty());
}

#[test]
fn lost_input_ends_the_stage() {
    let mut queue = queue(&[("s1", "mnl-a")]);
    let key = queue.submit(at(0), job(at(0), "r1", 2)).unwrap();
    let call = queue.step(at(0)).calls.remove(0);
    let gone = vec![
        PieceOutcome::Completed("127.0.0.1:1/x".into()),
        PieceOutcome::Failed(PieceError::InputMissing),
    ];

    let actions = queue.finish(at(182), call.key, CallEnd::Answered(gone));

    assert_eq!(actions.ended, [(key, StageEnd::InputMissing)]);
    assert_eq!(actions.unneeded_results.len(), 1);
}
