//! Messages of other processes: gossip, views of the store, stages, engines and the key protocol.
//!
//! A message is decoded from bytes and then used as its receiver uses it.

use super::check;
use super::damage::draw;
use super::platform_records::{CONFIG, SERVER};
use arbtest::arbitrary::{Result, Unstructured};
use limpetmux::control::{PeerUpdate, decode_update, encode_update};
use limpetmux::core::config::{Delta, Position, Replica};
use limpetmux::core::engines::{EnginePool, EngineQuery, EngineReport, PromptPart};
use limpetmux::core::frames::{Assembler, AttemptKey, Close, RequestId};
use limpetmux::core::keys::StageIndex;
use limpetmux::core::listing::Server;
use limpetmux::core::nodes::{Node, Nodes};
use limpetmux::core::once::{
    Answer, Guards, Handover, HostId, Incarnation, KeyId, KeyTime, Node as OnceNode, Outcome, Row,
    Rules, Time,
};
use limpetmux::core::queue_waits::QueueWaits;
use limpetmux::core::revision::Offset;
use limpetmux::core::rollout::evidence::{self, Ledger};
use limpetmux::core::rollout::judge::Judge;
use limpetmux::core::rollout::{RolloutBounds, Step};
use limpetmux::core::server_notices::ServerNotices;
use limpetmux::core::time::Moment;
use limpetmux::fleet::{convert as views, rollout as rollouts};
use limpetmux::serve::node::StoreView;
use limpetmux::sidecar::once::{decode_table, encode_table};
use limpetmux::wire::{convert, fleet, once, peer, stage};
use limpetmux_test_support::changes::{change_record, first_change};
use limpetmux_test_support::small_config;
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

/// A time of ordinary size, at which most messages arrive.
pub(super) const NOW: Moment = Moment::from_millis(1_000_000);

pub(super) fn draw_number(u: &mut Unstructured<'_>) -> Result<u64> {
    Ok(match u.int_in_range(0..=3)? {
        0 => u64::MAX - u.int_in_range(0..=2)?,
        1 => u.arbitrary()?,
        _ => u.int_in_range(0..=2_000)?,
    })
}

pub(super) fn own_key() -> AttemptKey {
    AttemptKey { request: RequestId(Uuid::from_u128(7)), stage: StageIndex(1), attempt: 2 }
}

pub(super) fn local_node() -> Node {
    Node {
        name: "n1".into(),
        addr: ([127, 0, 0, 1], 7_000).into(),
        zone: "mnl-a".into(),
        queues_pieces: true,
        started: 5,
    }
}

/// Folds what a peer sends.
pub(super) fn check_sync(bytes: &[u8]) {
    let Ok(message) = peer::Sync::decode(bytes) else { return };
    let update = decode_update(message);
    assert_eq!(decode_update(encode_update(&update)), update);
    let mut replica = Replica::new();
    let _ = replica.on_delta(update.position, &update.delta);
    let _ = replica.delta_for(update.position);
}

#[test]
fn updates_of_peers_are_folded_or_refused() {
    let records = vec![Arc::from(change_record(first_change(&small_config())))];
    check("gossip", |u| {
        let position = Position { next: Offset(draw_number(u)?), digest: u.arbitrary()? };
        let first = Offset(if u.ratio(1, 2)? { 0 } else { draw_number(u)? });
        let delta = Delta::Records { first, records: records.clone() };
        let message = encode_update(&PeerUpdate { position, delta });
        check_sync(&draw(u, &message.encode_to_vec())?);
        Ok(())
    });
}

/// Applies another node's view of the store and replies from the result.
pub(super) fn check_pull(bytes: &[u8]) {
    let Ok(reply) = fleet::PullReply::decode(bytes) else { return };
    let (mut view, mut nodes) = (StoreView::default(), Nodes::new(local_node()));
    for member in &reply.members {
        let Some(node) = views::node(member) else { continue };
        nodes.observe(node, NOW - Duration::from_millis(member.heard_ms));
    }
    nodes.remove_dead(NOW);
    let _ = views::apply_reply(NOW, &mut view, &reply);
    if let Some(notice) = &reply.rollout {
        check_notice(&mut view, notice);
    }
    let mut notices = ServerNotices::default();
    for limit in views::decode_limits(&reply.limits) {
        notices.learn_limit(NOW, &limit, true);
    }
    assert!(views::encode_limits(&notices.limits(NOW)).len() <= reply.limits.len());
    let request = views::pull_request(&local_node(), &view, Duration::MAX);
    let _ = views::has_changes(&view, &request);
    let again = views::pull_reply((NOW, NOW), &nodes, &view, &fleet::PullRequest::default());
    let listing = again.listing.as_ref().unwrap();
    assert!(listing.servers.len() <= bytes.len());
    let mut copy = StoreView::default();
    let _ = views::apply_reply(NOW, &mut copy, &again);
}

fn rollout_key(u: &mut Unstructured<'_>) -> Result<fleet::RolloutKey> {
    Ok(fleet::RolloutKey { service: "desk".into(), offset: draw_number(u)?, target: "v2".into() })
}

fn rollout_notice(u: &mut Unstructured<'_>) -> Result<fleet::RolloutNotice> {
    let status = fleet::RolloutStatus {
        key: Some(rollout_key(u)?),
        state: "running".into(),
        refused: vec!["v0".into()],
        since: draw_number(u)?,
        offset: draw_number(u)?,
        era: draw_number(u)?,
    };
    let arm = fleet::RolloutArm {
        route: "r1".into(),
        is_new: u.arbitrary()?,
        failed: u.arbitrary()?,
        times: vec![u.arbitrary()?; usize::from(u.arbitrary::<u8>()?)],
    };
    Ok(fleet::RolloutNotice {
        digest: draw_number(u)?,
        statuses: vec![status],
        steps: vec![fleet::RolloutStep { key: Some(rollout_key(u)?), step: u.arbitrary()? }],
        counts: vec![fleet::RolloutCounts {
            key: Some(rollout_key(u)?),
            arms: vec![arm],
            left: Some(u.arbitrary()?),
        }],
    })
}

/// Takes over what another node knows of roll-outs, and judges by it.
fn check_notice(view: &mut StoreView, notice: &fleet::RolloutNotice) {
    let _ = rollouts::merge(&mut view.rollouts, notice);
    view.rollouts.date_orders((NOW, u64::MAX), u64::MAX);
    let bounds = RolloutBounds::default();
    for told in rollouts::decode_told(notice) {
        let mut ledger = Ledger::new(told.key.clone());
        let counter = evidence::Counter { node: "n1".into(), started_ms: 1 };
        ledger.record(counter.clone(), &told);
        ledger.record(evidence::Counter { started_ms: 2, ..counter }, &told);
        let times = (Duration::from_secs(1), Duration::from_secs(2));
        let _ = Judge::default().decide(Step::Canary, times, &ledger.totals(), &bounds);
    }
    let sent = rollouts::encode(&view.rollouts, &[]);
    let mut copy = view.rollouts.clone();
    assert!(sent.is_none_or(|sent| !rollouts::merge(&mut copy, &sent)));
}

#[test]
fn views_of_other_nodes_are_applied_or_refused() {
    check("views of the store", |u| {
        let value = draw(u, SERVER.as_bytes())?;
        let servers = vec![fleet::ServerRecord {
            id: "i-1".into(),
            offset: draw_number(u)?,
            value,
            era: draw_number(u)?,
            started: draw_number(u)?,
            sequence: draw_number(u)?,
            believed: u.arbitrary()?,
            doubted: draw(u, SERVER.as_bytes())?,
            seen: draw_number(u)?,
            late: u.arbitrary()?,
            write_era: draw_number(u)?,
        }];
        let reply = fleet::PullReply {
            members: vec![views::member(&local_node(), Duration::from_millis(draw_number(u)?))],
            operator: Some(fleet::OperatorView {
                end: draw_number(u)?,
                age_ms: draw_number(u)?,
                config_at: draw_number(u)?,
                config: CONFIG.into(),
                evacuated: vec!["mnl-a".into()],
                era: draw_number(u)?,
                config_era: draw_number(u)?,
                unlisted: vec![fleet::UnlistedZone {
                    zone: "mnl-a".into(),
                    age_ms: draw_number(u)?,
                }],
                rollouts: vec![fleet::RolloutOrder {
                    key: Some(rollout_key(u)?),
                    duration_ms: draw_number(u)?,
                    age_ms: draw_number(u)?,
                }],
            }),
            listing: Some(fleet::ListingView {
                end: draw_number(u)?,
                age_ms: draw_number(u)?,
                whole: u.arbitrary()?,
                servers,
                era: draw_number(u)?,
                back_ms: draw_number(u)?,
            }),
            held_ms: draw_number(u)?,
            evidence_version: draw_number(u)?,
            evidence: None,
            leaving: vec![fleet::LeavingServer {
                server: "i-1".into(),
                started: draw_number(u)?,
                age_ms: draw_number(u)?,
            }],
            leaving_version: draw_number(u)?,
            limits: vec![fleet::LimitedServer {
                server: "i-1".into(),
                started: draw_number(u)?,
                micros: Some(draw_number(u)?),
                asked_ms: draw_number(u)?,
                heard_ms: draw_number(u)?,
            }],
            rollout: Some(rollout_notice(u)?),
        };
        check_pull(&draw(u, &reply.encode_to_vec())?);
        Ok(())
    });
}

#[test]
fn records_of_nodes_are_read_back_or_refused() {
    check("records of nodes", |u| {
        let node = Node { started: draw_number(u)?, ..local_node() };
        let record = views::encode_node_record(&node);
        assert_eq!(views::decode_node_record(&record), Some(node));
        let _ = views::decode_node_record(&draw(u, &record)?);
        Ok(())
    });
}

/// Reads the frames of an attempt.
pub(super) fn check_frame(bytes: &[u8]) {
    let Ok(frame) = stage::Frame::decode(bytes) else { return };
    let Ok(key) = convert::attempt(frame.id.as_ref()) else { return };
    let mut assembler = Assembler::new(own_key());
    match frame.kind {
        Some(stage::frame::Kind::Data(data)) => {
            assembler.data(key, frame.sequence, &data.payload);
        }
        Some(stage::frame::Kind::Done(done)) => {
            assembler.close(key, Close::from(&done));
            let _ = done.load.as_ref().map(limpetmux::core::admission::Load::from);
        }
        Some(stage::frame::Kind::Refused(message)) => {
            assembler.refused(key, frame.sequence);
            let refusal = convert::refusal(&message);
            assert_eq!(convert::refusal(&convert::refused(refusal, None)), refusal);
        }
        None => {}
    }
    assert!(assembler.delivered() <= 1);
    assembler.end();
}

#[test]
fn frames_are_read_or_dropped() {
    check("frames", |u| {
        let refused = stage::Refused {
            code: u.choose(&["overloaded", "failed", "odd", ""])?.to_string(),
            execution: u.choose(&["not_run", "unknown", "odd"])?.to_string(),
            retry_after_us: draw_number(u)?,
            load: Some(stage::Load { first_us: draw_number(u)?, ..stage::Load::default() }),
        };
        let done = stage::Done { count: draw_number(u)?, ..stage::Done::default() };
        let data = stage::Data { payload: b"text".to_vec().into(), tokens: u.arbitrary()? };
        let kind = match u.int_in_range(0..=2)? {
            0 => stage::frame::Kind::Data(data),
            1 => stage::frame::Kind::Done(done),
            _ => stage::frame::Kind::Refused(refused),
        };
        let sequence = draw_number(u)?;
        let frame = stage::Frame { id: Some(own_key().into()), sequence, kind: Some(kind) };
        check_frame(&draw(u, &frame.encode_to_vec())?);
        Ok(())
    });
}

/// Receives a table of keys, for a takeover and as a return.
pub(super) fn check_table(bytes: &[u8]) {
    let Ok(request) = once::HandOverRequest::decode(bytes) else { return };
    let returns = request.returns;
    let Some(table) = decode_table(request) else { return };
    assert!(table.len() <= bytes.len());
    assert_eq!(decode_table(encode_table(&table, returns)).unwrap(), table);
    let time = Time { now: NOW, wall: KeyTime(u64::MAX) };
    let (id, rules) = (HostId::of("a"), Rules::default());
    let mut node = OnceNode::new(id, Incarnation(1), rules, Guards::default(), time);
    node.set_log_reachable(true);
    node.mark_caught_up();
    let home = table.from;
    if node.receive_handover(table.clone())
        && let Some(takeover) = node.take_over(home, NOW)
    {
        node.observe(Offset(0), &takeover, time);
    }
    node.receive_return(table);
    node.sweep(time.wall);
}

#[test]
fn tables_of_keys_are_received_or_refused() {
    check("tables of keys", |u| {
        let key = KeyId::from_digest(u.arbitrary()?, Some(KeyTime(draw_number(u)?.max(1))));
        let payload = u.arbitrary::<Vec<u8>>()?.into();
        let outcome = Outcome::Answered(Answer { payload, cost: draw_number(u)? });
        let row = Row { key, body: u.arbitrary()?, outcome, expires: KeyTime(draw_number(u)?) };
        let (from, since) = (HostId::of("b"), KeyTime(draw_number(u)?));
        let (incarnation, read) = (Incarnation(u.arbitrary()?), Offset(draw_number(u)?));
        let table = Handover::new(from, incarnation, since, true, read, [row]);
        let message = encode_table(&table, u.arbitrary()?);
        assert_eq!(decode_table(message.clone()).unwrap(), table);
        check_table(&draw(u, &message.encode_to_vec())?);
        Ok(())
    });
}

fn engine(id: &str) -> Server {
    Server {
        id: id.into(),
        started_ms: 1,
        service: "engine".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        zone: "mnl-a".into(),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
        version: None,
    }
}

/// Places the same prompt twice, with the times that the message reports.
pub(super) fn check_place(bytes: &[u8]) {
    let Ok(message) = fleet::PlaceEngine::decode(bytes) else { return };
    let part = |p: &fleet::Part| PromptPart { key: p.key, tokens: p.tokens };
    let parts: Vec<PromptPart> = message.parts.iter().map(part).collect();
    let (first, second) = (engine("e1"), engine("e2"));
    let servers = [&first, &second];
    let query = EngineQuery {
        parts: &parts,
        tokens: message.tokens,
        send_delay: Duration::from_millis(message.ahead_ms),
        latency_budget: Duration::from_millis(message.slack_ms),
        input_zone: &message.zone,
        input_bytes: message.bytes,
    };
    let mut pool = EnginePool::default();
    pool.configure(u64::MAX);
    for _ in 0..2 {
        for time in &message.times {
            let (expected, took) = (time.expected_ms, time.took_ms);
            let [expected, took] = [expected, took].map(Duration::from_millis);
            let (server, request) = (time.server.as_str().into(), time.request.as_str().into());
            pool.report(NOW, &EngineReport { server, request, expected, took });
        }
        let _ = pool.plan(NOW, &servers, "2f", query);
        assert!(pool.place(NOW, &servers, &message.request, query).is_some());
    }
}

#[test]
fn prompts_with_any_numbers_are_placed() {
    check("calls that place prompts", |u| {
        let tokens = |u: &mut Unstructured<'_>| -> Result<u32> { Ok(draw_number(u)? as u32) };
        let parts = (0..4).map(|key| Ok(fleet::Part { key, tokens: tokens(u)? }));
        let parts = parts.collect::<Result<Vec<_>>>()?;
        let times = vec![fleet::EngineTime {
            server: "e1".into(),
            expected_ms: draw_number(u)?,
            took_ms: draw_number(u)?,
            request: "1f".into(),
        }];
        let message = fleet::PlaceEngine {
            request: "1f".into(),
            parts,
            tokens: tokens(u)?,
            ahead_ms: draw_number(u)?,
            slack_ms: draw_number(u)?,
            bytes: draw_number(u)?,
            times,
            ..fleet::PlaceEngine::default()
        };
        check_place(&draw(u, &message.encode_to_vec())?);
        Ok(())
    });
}

/// Records the wait that the answer of a piece queue states, and plans with it.
pub(super) fn check_stage_done(bytes: &[u8]) {
    let Ok(done) = fleet::StageDone::decode(bytes) else { return };
    assert!(done.results.len() <= bytes.len());
    let (mut waits, service) = (QueueWaits::default(), Arc::from("first"));
    waits.record(NOW, &service, Duration::from_millis(done.wait_ms), done.rate);
    waits.add_expected(&service, 30_000);
    let wait = waits.wait(NOW, &service, None);
    let later = waits.wait_after(NOW, &service, None, Duration::ZERO, 100);
    // The waits of all stages of a request are added up.
    assert!((wait + later) * 1_000 >= wait);
}

#[test]
fn answers_of_piece_queues_are_used_with_any_numbers() {
    let rates = [0.0, 12.5, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE, f64::MAX];
    check("answers of piece queues", |u| {
        let done = fleet::StageDone {
            results: vec!["10.1.0.9:80/a".into(), "10.1.0.9:80/b".into()],
            zone: "mnl-a".into(),
            retry_ms: draw_number(u)?,
            wait_ms: draw_number(u)?,
            rate: *u.choose(&rates)?,
            ..fleet::StageDone::default()
        };
        check_stage_done(&draw(u, &done.encode_to_vec())?);
        Ok(())
    });
}
