//! Prompts go to engines by the work of all entries, by what is cached, and by where inputs lie.

use super::{arc, at, ms, server};
use limpetmux::core::engines::{EnginePool, EngineQuery, EngineReport, PromptPart};
use limpetmux::core::listing::Server;
use std::collections::{BTreeMap, BTreeSet};

const TOKENS_PER_MS: u32 = 40;

fn engines(count: u8) -> Vec<Server> {
    (0..count).map(|n| server(&format!("e{n}"), if n % 2 == 0 { "a" } else { "b" })).collect()
}

/// A prompt with one shared part and one of its own.
fn parts(shared: u64, tokens: u32, own: u64) -> [PromptPart; 2] {
    [PromptPart { key: shared, tokens }, PromptPart { key: own, tokens: 1_000 }]
}

fn query(parts: &[PromptPart]) -> EngineQuery<'_> {
    EngineQuery {
        parts,
        tokens: parts.iter().map(|p| p.tokens).sum(),
        send_delay: ms(0),
        latency_budget: ms(2_000),
        input_zone: "",
        input_bytes: 0,
    }
}

#[test]
fn prompts_do_not_wait_behind_a_long_one_while_engines_are_idle() {
    // Pattern: one prompt of 90 thousand tokens and many short ones arrive in the same second.
    let all = engines(6);
    let refs: Vec<&Server> = all.iter().collect();
    let mut board = EnginePool::default();
    board.configure(500_000);
    let long = parts(1, 90_000, 2);
    let busy = board.place(at(0), &refs, "long", query(&long)).expect("an engine").server;

    let waits: Vec<_> = (0..60_u64)
        .map(|n| {
            let short = parts(100 + n, 1_000, 1_000 + n);
            board.place(at(n * 10), &refs, "short", query(&short)).expect("an engine")
        })
        .collect();

    assert!(waits.iter().all(|c| c.server != busy));
    // Sixty prompts of 70 ms at five engines in 600 ms: 840 ms of work each, 240 ms too much.
    assert!(waits.iter().all(|c| c.wait <= ms(400)), "{:?}", waits.iter().map(|c| c.wait).max());
}

#[test]
fn shared_part_is_read_by_one_engine_as_long_as_its_requests_are_on_time() {
    // Pattern: many subjects with long shared prompts, from all entries.
    let all = engines(6);
    let refs: Vec<&Server> = all.iter().collect();
    let mut board = EnginePool::default();
    board.configure(500_000);
    let mut used: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();

    for n in 0..200_u64 {
        let subject = n % 10;
        let prompt = parts(subject, 13_000, 1_000 + n);
        let choice = board.place(at(n * 100), &refs, "r", query(&prompt)).expect("an engine");
        used.entry(subject).or_default().insert(choice.server.to_string());
    }

    assert!(used.values().all(|engines| engines.len() == 1), "{used:?}");
}

#[test]
fn hot_subject_spreads_before_its_requests_are_late() {
    // Pattern: one key gets much of the traffic.
    let all = engines(6);
    let refs: Vec<&Server> = all.iter().collect();
    let mut board = EnginePool::default();
    board.configure(500_000);
    let mut used = BTreeSet::new();
    let mut latest = ms(0);

    for n in 0..200_u64 {
        let prompt = parts(7, 4_000, 1_000 + n);
        let choice = board.place(at(n * 12), &refs, "r", query(&prompt)).expect("an engine");
        latest = latest.max(choice.wait + choice.work);
        used.insert(choice.server);
    }

    // 200 prompts of 45 ms in 2.4 s are the work of four engines.
    assert!(used.len() >= 4, "{used:?}");
    assert!(latest <= ms(2_000), "{latest:?}");
}

#[test]
fn engine_near_the_inputs_is_taken_unless_the_prompt_is_cached_elsewhere() {
    let all = engines(2);
    let refs: Vec<&Server> = all.iter().collect();
    let mut board = EnginePool::default();
    board.configure(500_000);
    let (cached, own) = (parts(1, 20_000, 2), parts(3, 100, 4));
    let first = board.place(at(0), &refs, "r1", query(&cached)).expect("an engine").server;
    let other = all.iter().find(|s| s.id != first).expect("another engine");

    let near = EngineQuery { input_zone: &other.zone, input_bytes: 12_000_000, ..query(&own) };
    let again = EngineQuery { input_zone: &other.zone, input_bytes: 12_000_000, ..query(&cached) };

    assert_eq!(board.place(at(5_000), &refs, "r2", near).map(|c| c.server), Some(other.id.clone()));
    assert_eq!(board.place(at(5_000), &refs, "r3", again).map(|c| c.server), Some(first));
}

#[test]
fn plan_keeps_other_plans_away_and_is_followed() {
    // Pattern: requests whose stages take a second are planned at the same moment.
    let all = engines(4);
    let refs: Vec<&Server> = all.iter().collect();
    let mut board = EnginePool::default();
    board.configure(500_000);
    let prompts: Vec<_> = (0..4_u64).map(|n| parts(n, 30_000, 100 + n)).collect();
    let ahead = |p| EngineQuery { send_delay: ms(1_000), ..query(p) };

    let planned: Vec<_> = (0..4)
        .map(|n| board.plan(at(0), &refs, &format!("r{n}"), ahead(&prompts[n])).unwrap().server)
        .collect();
    let placed: Vec<_> = (0..4)
        .map(|n| board.place(at(1_000), &refs, &format!("r{n}"), query(&prompts[n])).unwrap())
        .collect();

    assert_eq!(planned.iter().collect::<BTreeSet<_>>().len(), 4);
    assert_eq!(placed.iter().map(|c| c.server.clone()).collect::<Vec<_>>(), planned);
    // What was only planned still has to be read.
    assert!(placed.iter().all(|c| c.work >= ms(u64::from(31_000 / TOKENS_PER_MS))));
}

#[test]
fn slow_engine_gets_less_and_recovers() {
    // Pattern: an engine turns slow for some seconds.
    let all = engines(2);
    let refs: Vec<&Server> = all.iter().collect();
    let mut board = EnginePool::default();
    board.configure(500_000);
    let slow = arc("e0");
    let count = |board: &mut EnginePool, from: u64| {
        let place = |n: u64| {
            let prompt = parts(from + n, 4_000, 10_000 + from + n);
            board.place(at(from + n * 200), &refs, "r", query(&prompt)).expect("an engine")
        };
        (0..40).map(place).filter(|c| c.server == slow).count()
    };
    for n in 0..10 {
        let prompt = parts(n, 4_000, 100 + n);
        board.place(at(n), &refs[..1], "r", query(&prompt));
        let report = EngineReport { server: slow.clone(), expected: ms(150), took: ms(750) };
        board.report(at(n), &report);
    }

    let during = count(&mut board, 20_000);
    let after = count(&mut board, 120_000);

    assert!(during < after && after >= 10, "{during} {after}");
}

#[test]
fn empty_boards_lead_a_prompt_to_the_same_engine() {
    // Pattern: the node that keeps the board is lost, and another one starts with nothing.
    let all = engines(8);
    let refs: Vec<&Server> = all.iter().collect();
    let choose = |n: u64| {
        let prompt = parts(n, 4_000, 100 + n);
        EnginePool::default().place(at(0), &refs, "r", query(&prompt)).map(|c| c.server)
    };

    let twice: Vec<_> = (0..50).map(|n| (choose(n), choose(n))).collect();

    assert!(twice.iter().all(|(a, b)| a == b));
    assert!(twice.iter().map(|(a, _)| a).collect::<BTreeSet<_>>().len() >= 6);
}

#[test]
fn busy_engine_gives_its_shared_parts_to_an_idle_one() {
    // Pattern: the engine that has read a subject is held up by a long prompt.
    let all = engines(4);
    let refs: Vec<&Server> = all.iter().collect();
    let mut board = EnginePool::default();
    board.configure(500_000);
    let subject = |own| parts(1, 13_000, own);
    let first = board.place(at(0), &refs, "r1", query(&subject(10))).expect("an engine").server;
    let holder: Vec<&Server> = all.iter().filter(|s| s.id == first).collect();
    board.place(at(1_000), &holder, "long", query(&parts(2, 90_000, 11)));

    let moved = board.place(at(1_100), &refs, "r2", query(&subject(12))).expect("an engine");
    let stays = board.place(at(9_000), &refs, "r3", query(&subject(13))).expect("an engine");

    assert_ne!(moved.server, first);
    assert_eq!(moved.source, Some(first));
    // A thousand tokens are its own; what is fetched takes a few milliseconds.
    assert!(moved.work < ms(100), "{:?}", moved.work);
    assert_eq!(stays.source, None, "both engines have it now");
}

#[test]
fn parts_are_fetched_from_engines_that_may_be_used_only() {
    // Pattern: the engine that has read a subject leaves, or its zone is emptied.
    let all = engines(3);
    let refs: Vec<&Server> = all.iter().collect();
    let mut board = EnginePool::default();
    board.configure(500_000);
    let first = board.place(at(0), &refs, "r1", query(&parts(1, 13_000, 10))).expect("an engine");
    let rest: Vec<&Server> = all.iter().filter(|s| s.id != first.server).collect();

    let next = board.place(at(1_000), &rest, "r2", query(&parts(1, 13_000, 11))).expect("one");

    assert_eq!(next.source, None);
    assert!(next.work > ms(300), "{:?}", next.work);
}

#[test]
fn engine_that_starts_again_under_its_id_has_read_nothing() {
    // Pattern: an engine crashes and is back under the id that it had.
    let mut all = engines(1);
    let mut board = EnginePool::default();
    board.configure(500_000);
    let subject = |own| parts(1, 13_000, own);
    let first = board.place(at(0), &[&all[0]], "r1", query(&subject(10))).expect("an engine");
    let cached = board.place(at(5_000), &[&all[0]], "r2", query(&subject(11))).expect("one");

    all[0].started_ms += 1;
    let again = board.place(at(10_000), &[&all[0]], "r3", query(&subject(12))).expect("one");

    assert!(cached.work < first.work / 4);
    assert_eq!(again.work, first.work);
}
