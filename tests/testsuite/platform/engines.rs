//! Prompts go to engines by the load from all entries, the cached prompt parts and the zone of the
//! inputs.

use super::{arc, at, ms, server};
use limpetmux::core::engines::{EnginePool, EngineQuery, EngineReport, PromptPart};
use limpetmux::core::listing::Server;
use std::collections::{BTreeMap, BTreeSet};

const TOKENS_PER_MS: u32 = 40;

fn engines(count: u8) -> Vec<Server> {
    (0..count).map(|n| server(&format!("e{n}"), if n % 2 == 0 { "a" } else { "b" })).collect()
}

/// A prompt with one shared part and one unique part of 1,000 tokens.
fn parts(shared: u64, tokens: u32, unique: u64) -> [PromptPart; 2] {
    [PromptPart { key: shared, tokens }, PromptPart { key: unique, tokens: 1_000 }]
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
    // Guards against short prompts that wait behind a prompt of 90,000 tokens from the same second.
    let all = engines(6);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let long = parts(1, 90_000, 2);
    let busy = pool.place(at(0), &refs, "long", query(&long)).expect("an engine").server;

    let waits: Vec<_> = (0..60_u64)
        .map(|n| {
            let short = parts(100 + n, 1_000, 1_000 + n);
            pool.place(at(n * 10), &refs, "short", query(&short)).expect("an engine")
        })
        .collect();

    assert!(waits.iter().all(|c| c.server != busy));
    // 60 prompts of 70 ms on five engines are 840 ms of work each, 240 ms more than the 600 ms in
    // which they arrive.
    assert!(waits.iter().all(|c| c.wait <= ms(400)), "{:?}", waits.iter().map(|c| c.wait).max());
}

#[test]
fn shared_part_is_read_by_one_engine_as_long_as_its_requests_are_on_time() {
    // Guards against several engines that read the same long part, with many subjects from all
    // entries.
    let all = engines(6);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let mut used: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();

    for n in 0..200_u64 {
        let subject = n % 10;
        let prompt = parts(subject, 13_000, 1_000 + n);
        let choice = pool.place(at(n * 100), &refs, "r", query(&prompt)).expect("an engine");
        used.entry(subject).or_default().insert(choice.server.to_string());
    }

    assert!(used.values().all(|engines| engines.len() == 1), "{used:?}");
}

#[test]
fn hot_subject_spreads_before_its_requests_are_late() {
    // Guards against late requests at one engine when one key gets much of the traffic.
    let all = engines(6);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let mut used = BTreeSet::new();
    let mut latest = ms(0);

    for n in 0..200_u64 {
        let prompt = parts(7, 4_000, 1_000 + n);
        let choice = pool.place(at(n * 12), &refs, "r", query(&prompt)).expect("an engine");
        latest = latest.max(choice.wait + choice.work);
        used.insert(choice.server);
    }

    // 200 prompts of 45 ms within 2.4 s need four engines.
    assert!(used.len() >= 4, "{used:?}");
    assert!(latest <= ms(2_000), "{latest:?}");
}

#[test]
fn engine_near_the_inputs_is_preferred_unless_the_prompt_is_cached_elsewhere() {
    let all = engines(2);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let (cached, uncached) = (parts(1, 20_000, 2), parts(3, 100, 4));
    let first = pool.place(at(0), &refs, "r1", query(&cached)).expect("an engine").server;
    let other = all.iter().find(|s| s.id != first).expect("another engine");

    let near = EngineQuery { input_zone: &other.zone, input_bytes: 12_000_000, ..query(&uncached) };
    let again = EngineQuery { input_zone: &other.zone, input_bytes: 12_000_000, ..query(&cached) };

    assert_eq!(pool.place(at(5_000), &refs, "r2", near).map(|c| c.server), Some(other.id.clone()));
    assert_eq!(pool.place(at(5_000), &refs, "r3", again).map(|c| c.server), Some(first));
}

#[test]
fn planned_engines_are_distinct_and_kept() {
    // Guards against plans for one engine when requests whose stages take 1 s are planned at the
    // same moment.
    let all = engines(4);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let prompts: Vec<_> = (0..4_u64).map(|n| parts(n, 30_000, 100 + n)).collect();
    let early = |p| EngineQuery { send_delay: ms(1_000), ..query(p) };

    let planned: Vec<_> = (0..4)
        .map(|n| pool.plan(at(0), &refs, &format!("r{n}"), early(&prompts[n])).unwrap().server)
        .collect();
    let placed: Vec<_> = (0..4)
        .map(|n| pool.place(at(1_000), &refs, &format!("r{n}"), query(&prompts[n])).unwrap())
        .collect();

    assert_eq!(planned.iter().collect::<BTreeSet<_>>().len(), 4);
    assert_eq!(placed.iter().map(|c| c.server.clone()).collect::<Vec<_>>(), planned);
    // A plan caches nothing: the whole prompt still has to be read.
    assert!(placed.iter().all(|c| c.work >= ms(u64::from(31_000 / TOKENS_PER_MS))));
}

#[test]
fn slow_engine_gets_fewer_prompts_until_it_recovers() {
    // Guards against an equal share for an engine that is slow for some seconds.
    let all = engines(2);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let slow = arc("e0");
    let count = |pool: &mut EnginePool, from: u64| {
        let place = |n: u64| {
            let prompt = parts(from + n, 4_000, 10_000 + from + n);
            pool.place(at(from + n * 200), &refs, "r", query(&prompt)).expect("an engine")
        };
        (0..40).map(place).filter(|c| c.server == slow).count()
    };
    for n in 0..10 {
        let prompt = parts(n, 4_000, 100 + n);
        pool.place(at(n), &refs[..1], "r", query(&prompt));
        let report = EngineReport {
            server: slow.clone(),
            request: arc("r"),
            expected: ms(150),
            took: ms(750),
        };
        pool.report(at(n), &report);
    }

    let during = count(&mut pool, 20_000);
    let after = count(&mut pool, 120_000);

    assert!(during < after && after >= 10, "{during} {after}");
}

#[test]
fn empty_pools_place_a_prompt_on_the_same_engine() {
    // Guards against prompts that miss their caches once the node that keeps the pool is lost and
    // another node starts with an empty one.
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
fn idle_engine_fetches_shared_parts_from_a_busy_one() {
    // Guards against a wait for the engine that has cached a subject while it reads a long prompt.
    let all = engines(4);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let subject = |unique| parts(1, 13_000, unique);
    let first = pool.place(at(0), &refs, "r1", query(&subject(10))).expect("an engine").server;
    let holder: Vec<&Server> = all.iter().filter(|s| s.id == first).collect();
    pool.place(at(1_000), &holder, "long", query(&parts(2, 90_000, 11)));

    let moved = pool.place(at(1_100), &refs, "r2", query(&subject(12))).expect("an engine");
    let later = pool.place(at(9_000), &refs, "r3", query(&subject(13))).expect("an engine");

    assert_ne!(moved.server, first);
    assert_eq!(moved.source, Some(first));
    // Only the 1,000 unique tokens are read; the fetch takes a few milliseconds.
    assert!(moved.work < ms(100), "{:?}", moved.work);
    assert_eq!(later.source, None, "both engines have cached the part");
}

#[test]
fn parts_are_fetched_only_from_usable_engines() {
    // Guards against a fetch from an engine that leaves or whose zone is evacuated.
    let all = engines(3);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let first = pool.place(at(0), &refs, "r1", query(&parts(1, 13_000, 10))).expect("an engine");
    let rest: Vec<&Server> = all.iter().filter(|s| s.id != first.server).collect();

    let next = pool.place(at(1_000), &rest, "r2", query(&parts(1, 13_000, 11))).expect("one");

    assert_eq!(next.source, None);
    assert!(next.work > ms(300), "{:?}", next.work);
}

#[test]
fn engine_restarted_under_its_id_has_an_empty_cache() {
    // Guards against counting on the cache of an engine that crashed and restarted under its id.
    let mut all = engines(1);
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let subject = |unique| parts(1, 13_000, unique);
    let first = pool.place(at(0), &[&all[0]], "r1", query(&subject(10))).expect("an engine");
    let cached = pool.place(at(5_000), &[&all[0]], "r2", query(&subject(11))).expect("one");

    all[0].started_ms += 1;
    let restarted = pool.place(at(10_000), &[&all[0]], "r3", query(&subject(12))).expect("one");

    assert!(cached.work < first.work / 4);
    assert_eq!(restarted.work, first.work);
}

/// A prompt of very many parts without tokens, or with one each, that no other prompt has.
fn many_parts(number: u64, tokens: u32) -> Vec<PromptPart> {
    (0..3_851).map(|n| PromptPart { key: number * 10_000 + n, tokens }).collect()
}

#[test]
fn parts_that_are_remembered_are_bounded_in_number() {
    // Guards against a node that runs out of memory because callers send prompts of thousands of parts
    // (end of the process, review/10): 40 bytes for each part, up to the tokens that engines hold.
    let all = engines(41);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(532_110);
    let mut most = 0;

    for n in 0..2_000 {
        let prompt = many_parts(n, (n % 2) as u32);
        let request = n.to_string();
        if n % 3 == 0 {
            pool.plan(at(n * 3), &refs, &request, query(&prompt)).expect("an engine");
        }
        if n % 5 != 0 {
            pool.place(at(n * 3), &refs, &request, query(&prompt)).expect("an engine");
        }
        most = most.max(pool.parts());
    }

    assert!(most <= 262_144, "{most}");
}

#[test]
fn leading_parts_of_a_prompt_of_many_parts_are_found_again() {
    // Guards against parts that are remembered without the ones before them, which finds nothing.
    let all = engines(2);
    let refs: Vec<&Server> = all.iter().collect();
    let mut pool = EnginePool::default();
    pool.configure(500_000);
    let prompt = many_parts(1, 20);

    let first = pool.place(at(0), &refs, "first", query(&prompt)).expect("an engine");
    let again = pool.place(at(5_000), &refs, "again", query(&prompt)).expect("an engine");

    assert_eq!(again.server, first.server);
    assert!(again.work < first.work, "{:?}, {:?} at first", again.work, first.work);
}
