//! Messages that run stages and look after their results, and calls of the key protocol.
//!
//! A message is decoded from bytes and then used as its receiver uses it.

use super::check;
use super::damage::draw;
use super::product_messages::{NOW, draw_number, local_node, own_key};
use arbtest::arbitrary::{Result, Unstructured};
use limpetmux::core::catalog::PieceSpec;
use limpetmux::core::nodes::Nodes;
use limpetmux::core::once::{
    Guards, HostId, Incarnation, KeyId, KeyTime, Node as OnceNode, Record, Rules, Time,
};
use limpetmux::core::pieces::{
    CallEnd, CallQuota, HeldResult, PieceOutcome, PieceQueue, WorkerSpec,
};
use limpetmux::core::revision::Offset;
use limpetmux::fleet::convert as views;
use limpetmux::sidecar::once::ScopedKey;
use limpetmux::wire::{convert, fleet, once, stage};
use prost::Message;
use std::time::Duration;

/// The most pieces of one stage that a queue node accepts.
const MAX_PIECES: u32 = 10_000;

/// A queue of two backend servers with some room for results.
fn queue(result_room: u64) -> PieceQueue {
    let mut queue = PieceQueue::new(PieceSpec {
        slots: 1,
        batch: 8,
        call_time: Duration::from_millis(150),
        item_time: Duration::from_millis(16),
        result_room,
        result_ttl: Duration::from_secs(4),
    });
    let worker = |id: &str| WorkerSpec {
        id: id.into(),
        started_ms: 1,
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "mnl-a".into(),
        quota: CallQuota::default(),
    };
    queue.set_workers(vec![worker("i-1"), worker("i-2")]);
    queue
}

/// Uses everything that a queue states about itself.
fn check_state(queue: &PieceQueue) {
    let _ = queue.is_room_short(NOW);
    let _ = queue.stage_wait(NOW) * 1_000;
    assert!(queue.rate(NOW) >= 0.0);
    let held = queue.held_results(NOW);
    let _ = views::decode_held(views::encode_held("first", held));
}

/// Queues a stage and runs the first calls for its pieces.
pub(super) fn check_stage_run(bytes: &[u8]) {
    let Ok(run) = fleet::StageRun::decode(bytes) else { return };
    if run.pieces == 0 || run.pieces > MAX_PIECES {
        return;
    }
    let mut queue = queue(28_000);
    for _ in 0..2 {
        let _ = queue.submit(NOW, views::job(NOW, run.clone()));
    }
    let mut calls = queue.step(NOW).calls;
    for _ in 0..4 {
        let Some(call) = calls.pop() else { break };
        let results =
            (0..call.items.len()).map(|n| PieceOutcome::Completed(format!("r{n}").into()));
        let end = CallEnd::Answered(results.collect());
        calls.extend(queue.finish(NOW + Duration::from_millis(100), call.key, end).calls);
        calls.extend(queue.step(NOW).calls);
        check_state(&queue);
    }
    check_state(&queue);
}

#[test]
fn stages_with_any_numbers_are_queued() {
    check("stages to run", |u| {
        let run = fleet::StageRun {
            service: "first".into(),
            request: "1f".into(),
            stage: draw_number(u)? as u32,
            pieces: u.int_in_range(0..=40)?,
            inputs: vec!["10.1.0.9:80/a".into()],
            due_ms: draw_number(u)? as i64,
            left_ms: draw_number(u)?,
            priority: draw_number(u)? as u32,
            zone: "mnl-a".into(),
            size: draw_number(u)?,
            frees: u.arbitrary()?,
            tight: u.arbitrary()?,
            ..fleet::StageRun::default()
        };
        check_stage_run(&draw(u, &run.encode_to_vec())?);
        Ok(())
    });
}

/// Takes over what a node hands over as it stops.
pub(super) fn check_leaving(bytes: &[u8]) {
    let Ok(message) = fleet::NodeLeaving::decode(bytes) else { return };
    let Some(node) = message.node.as_ref().and_then(views::node) else { return };
    let mut nodes = Nodes::new(local_node());
    nodes.remove_stopped(node.addr, node.started);
    nodes.observe(node, NOW);
    nodes.remove_dead(NOW);
    let held = views::decode_held(message.held);
    for room in [28_000, u64::MAX] {
        let mut queue = queue(room);
        for held in held.values() {
            queue.adopt_results(NOW, held.clone());
        }
        check_state(&queue);
        let run = fleet::StageRun { pieces: 2, size: 10, left_ms: 9_000, ..Default::default() };
        let _ = queue.submit(NOW, views::job(NOW, run));
        let _ = queue.step(NOW);
        check_state(&queue);
    }
}

#[test]
fn results_of_a_node_that_stops_are_taken_over_with_any_numbers() {
    check("nodes that stop", |u| {
        let mut held = Vec::new();
        for name in ["a", "b", "c"] {
            let remaining = Duration::from_millis(draw_number(u)?);
            let server = (*u.choose(&["i-1", "i-2", "i-3"])?).into();
            held.push(HeldResult { server, name: name.into(), size: draw_number(u)?, remaining });
        }
        let node = views::member(&local_node(), Duration::ZERO);
        let held = views::encode_held("first", held);
        let message = fleet::NodeLeaving { node: Some(node), held };
        check_leaving(&draw(u, &message.encode_to_vec())?);
        Ok(())
    });
}

/// Reads the parts of a request to run a stage that its sidecar uses before it calls its server.
pub(super) fn check_run(bytes: &[u8]) {
    let Ok(request) = stage::RunRequest::decode(bytes) else { return };
    let Ok(key) = convert::attempt(request.id.as_ref()) else { return };
    let id = stage::AttemptId::from(key);
    assert_eq!(convert::attempt(Some(&id)), Ok(key));
    let arrived = tokio::time::Instant::now();
    let deadline = arrived + Duration::from_micros(request.remaining_us);
    assert!(deadline >= arrived);
    let prefix: usize = request.prefix.iter().map(String::len).sum();
    assert!(request.input.len() + prefix + request.prefix.len() <= bytes.len());
    if let Some(idempotency) = request.idempotency.as_ref() {
        check_scoped_key(&request.workspace, &request.pipeline, key.stage.0, &idempotency.key);
    }
}

/// Looks up a key at a host that holds none.
fn check_scoped_key(workspace: &str, pipeline: &str, stage: u8, key: &str) {
    let id = ScopedKey { workspace, pipeline, stage, key }.id();
    let node = once_node();
    assert_eq!(node.body_hash(id), None);
    let created = id.created();
    assert_eq!(KeyId::from_digest(id.digest(), created).created(), created);
}

#[test]
fn requests_to_run_a_stage_are_read_or_refused() {
    check("requests to run a stage", |u| {
        let key = u.choose(&["k", "018f2c2e-7b2a-7000-8000-000000000000", ""])?.to_string();
        let request = stage::RunRequest {
            id: Some(own_key().into()),
            revision: draw_number(u)?,
            workspace: "w1".into(),
            pipeline: "chat".into(),
            priority: draw_number(u)? as u32,
            remaining_us: draw_number(u)?,
            input: b"text".to_vec().into(),
            prefix: vec!["a".into(), String::new()],
            max_tokens: draw_number(u)? as u32,
            idempotency: Some(stage::Idempotency { key, body_hash: 7 }),
            affinity: draw_number(u)?,
        };
        check_run(&draw(u, &request.encode_to_vec())?);
        Ok(())
    });
}

fn once_node() -> OnceNode {
    let time = Time { now: NOW, wall: KeyTime(u64::MAX) };
    let mut node =
        OnceNode::new(HostId::of("a"), Incarnation(1), Rules::default(), Guards::default(), time);
    node.set_log_reachable(true);
    node.mark_caught_up();
    node
}

/// Reads a call of the key protocol as each of the calls that have no table.
pub(super) fn check_once(bytes: &[u8]) {
    if let Ok(request) = once::LookUpRequest::decode(bytes) {
        let stage = u8::try_from(request.stage).unwrap_or(u8::MAX);
        check_scoped_key(&request.workspace, &request.pipeline, stage, &request.key);
    }
    if let Ok(once::PromiseRequest { home: Some(home), read }) = once::PromiseRequest::decode(bytes)
    {
        let (id, process) = (HostId(home.host), Incarnation(home.incarnation));
        let mut node = once_node();
        for _ in 0..2 {
            let _ = node.promise(id, process, Offset(read), NOW);
        }
        node.sweep(KeyTime(u64::MAX));
    }
    if let Ok(request) = once::ForwardClaimsRequest::decode(bytes)
        && let Ok(record) = Record::decode(&request.record)
    {
        let time = Time { now: NOW, wall: KeyTime(u64::MAX) };
        once_node().observe(Offset(u64::MAX), &record, time);
    }
}

fn draw_once(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
    let key = KeyId::from_digest(u.arbitrary()?, Some(KeyTime(draw_number(u)?.max(1))));
    let (home, incarnation) = (HostId(draw_number(u)?), Incarnation(draw_number(u)?));
    let record = Record::Claims { home, incarnation, keys: vec![key] };
    Ok(match u.int_in_range(0..=2)? {
        0 => once::LookUpRequest {
            workspace: "w1".into(),
            pipeline: "chat".into(),
            stage: draw_number(u)? as u32,
            key: "k".into(),
            wait_us: draw_number(u)?,
        }
        .encode_to_vec(),
        1 => once::PromiseRequest {
            home: Some(once::Process { host: home.0, incarnation: incarnation.0 }),
            read: draw_number(u)?,
        }
        .encode_to_vec(),
        _ => once::ForwardClaimsRequest { record: record.encode().unwrap() }.encode_to_vec(),
    })
}

#[test]
fn calls_of_the_key_protocol_are_answered_or_refused() {
    check("calls of the key protocol", |u| {
        let valid = draw_once(u)?;
        check_once(&draw(u, &valid)?);
        Ok(())
    });
}
