//! Prompts go where they end in time, by the time of reading that an engine pool has learned.

use super::{at, ms, server};
use limpetmux::core::engines::{EnginePool, EngineQuery, EngineReport, PromptPart};
use limpetmux::core::listing::Server;
use limpetmux::core::work::read_cost::{ReadCost, ReadSize};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The true time of reading at an engine, which a pool has to learn.
fn true_time(size: ReadSize, pace: f64) -> Duration {
    let (tokens, cached) = (f64::from(size.tokens), f64::from(size.cached));
    let pairs = tokens * (cached + tokens / 2.0) / 1e6;
    Duration::from_secs_f64((26.0 + tokens / 44.0 + 0.37 * pairs) * pace / 1e3)
}

/// Returns a length with a lognormal distribution.
fn tokens(rng: &mut StdRng, mean: f64, spread: f64, most: f64) -> u32 {
    let draw: f64 = (0..12).map(|_| rng.random_range(0.0..1.0)).sum::<f64>() - 6.0;
    (mean.ln() - spread * spread / 2.0 + spread * draw).exp().min(most) as u32
}

#[test]
fn time_of_reading_is_learned_with_its_growth_by_length() {
    // Load pattern: prompts of lognormal lengths, some with a long cached part; one in twenty takes
    // several times as long for another reason.
    let mut rng = StdRng::seed_from_u64(3);
    let mut cost = ReadCost::default();
    for _ in 0..400 {
        let own = tokens(&mut rng, 3_700.0, 1.1, 53_000.0);
        let shared = tokens(&mut rng, 13_000.0, 0.7, 40_000.0);
        let cached = if rng.random_bool(0.6) { shared } else { 0 };
        let size = ReadSize::new(own + shared, cached);
        let factor = if rng.random_bool(0.05) { 5.0 } else { rng.random_range(0.9..1.1) };
        cost.learn(size, true_time(size, factor));
    }

    for size in [ReadSize::new(1_000, 0), ReadSize::new(20_000, 13_000), ReadSize::new(40_000, 0)] {
        let (learned, truth) = (cost.time(size).as_secs_f64(), true_time(size, 1.0).as_secs_f64());
        assert!((learned / truth - 1.0).abs() < 0.1, "{size:?}: {learned} {truth}");
    }
}

/// A prompt of a trace.
struct Prompt {
    sent: u64,
    parts: [PromptPart; 2],
    budget: Duration,
}

/// The time that long prompts have.
const SHORT_BUDGET: Duration = Duration::from_millis(950);

/// Two kinds of prompts from many callers: long ones with little time, and short ones with more.
fn trace(seed: u64, count: u64) -> Vec<Prompt> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut prompt = |n: u64| {
        let is_long = rng.random_bool(0.4);
        let (subject, own) = if is_long {
            (rng.random_range(0..300_u64), tokens(&mut rng, 3_700.0, 1.1, 53_000.0))
        } else {
            (rng.random_range(1_000..1_400_u64), tokens(&mut rng, 1_100.0, 1.0, 4_000.0))
        };
        let shared = if is_long { 4_000 + subject as u32 * 97 % 20_000 } else { 350 };
        let parts = [
            PromptPart { key: subject, tokens: shared },
            PromptPart { key: 10_000 + n, tokens: own },
        ];
        let budget = if is_long { SHORT_BUDGET } else { ms(1_300) };
        Prompt { sent: n * 20 + rng.random_range(0..20), parts, budget }
    };
    (0..count).map(&mut prompt).collect()
}

/// An engine that reads one prompt after the other, and the prompts that it was sent.
#[derive(Clone, Default)]
struct Reader {
    free_at: u64,
    held: BTreeSet<u64>,
    ends: Vec<u64>,
}

fn query(prompt: &Prompt) -> EngineQuery<'_> {
    EngineQuery {
        parts: &prompt.parts,
        tokens: prompt.parts.iter().map(|p| p.tokens).sum(),
        send_delay: ms(0),
        latency_budget: prompt.budget,
        input_zone: "",
        input_bytes: 0,
    }
}

/// Plays a trace at engines of which a third is slower; returns the share of the largest tenth of the
/// long prompts that is on time, and that of all others.
///
/// The engine with the fewest unread prompts is chosen unless there is a pool.
fn play(trace: &[Prompt], count: u8, mut pool: Option<EnginePool>) -> (f64, f64) {
    let engines: Vec<Server> = (0..count).map(|n| server(&format!("e{n}"), "a")).collect();
    let refs: Vec<&Server> = engines.iter().collect();
    let mut readers = vec![Reader::default(); engines.len()];
    let mut reports: BTreeMap<(u64, usize), EngineReport> = BTreeMap::new();
    let mut results = Vec::new();
    for (n, prompt) in trace.iter().enumerate() {
        let (now, id, query) = (prompt.sent, n.to_string(), query(prompt));
        let unread = |r: &Reader| r.ends.iter().filter(|end| **end > now).count();
        let least = (0..readers.len()).min_by_key(|i| unread(&readers[*i])).unwrap();
        let (mut index, mut expected, mut source) = (least, ms(0), None);
        if let Some(pool) = &mut pool {
            let due = reports.split_off(&(now, 0));
            for ((time, _), report) in std::mem::replace(&mut reports, due) {
                pool.report(at(time), &report);
            }
            let choice = pool.place(at(now), &refs, &id, query).unwrap();
            index = engines.iter().position(|e| e.id == choice.server).unwrap();
            (expected, source) = (choice.wait + choice.work, choice.source);
        }
        let reader = &mut readers[index];
        let is_held = source.is_some() || !reader.held.insert(prompt.parts[0].key);
        let cached = if is_held { prompt.parts[0].tokens } else { 0 };
        let pace = if index % 3 == 2 { 1.3 } else { 1.0 };
        let work = true_time(ReadSize::new(query.tokens, cached), pace).as_millis() as u64;
        reader.free_at = reader.free_at.max(now) + work;
        reader.ends.push(reader.free_at);
        reader.held.insert(prompt.parts[0].key);
        let took = ms(reader.free_at - now);
        let server = engines[index].id.clone();
        let report = EngineReport { server, request: id.as_str().into(), expected, took };
        reports.insert((reader.free_at, n), report);
        results.push((prompt.budget, query.tokens, took));
    }
    on_time(&results)
}

/// Returns the share of the largest tenth of the long prompts that is on time, and that of all others.
fn on_time(results: &[(Duration, u32, Duration)]) -> (f64, f64) {
    let long = results.iter().filter(|(budget, ..)| *budget == SHORT_BUDGET);
    let mut sizes: Vec<u32> = long.map(|(_, tokens, _)| *tokens).collect();
    sizes.sort_unstable();
    let least = sizes[sizes.len() * 9 / 10];
    let share = |largest: bool| {
        let is_in = |(budget, tokens, _): &&(Duration, u32, Duration)| {
            (*budget == SHORT_BUDGET && *tokens >= least) == largest
        };
        let group: Vec<_> = results.iter().filter(is_in).collect();
        group.iter().filter(|(budget, _, took)| took <= budget).count() as f64 / group.len() as f64
    };
    (share(true), share(false))
}

#[test]
fn largest_prompts_are_on_time_more_often_than_at_the_engine_with_the_fewest() {
    // Load pattern: 50 prompts a second of lognormal lengths at 39 engines, a third of them slower;
    // the largest tenth of the long ones barely fits into its time at a fast engine that is free.
    let (mut pooled, mut fewest) = ((0.0, 0.0), (0.0, 0.0));
    for seed in 0..4 {
        let trace = trace(seed, 2_500);
        let mut pool = EnginePool::default();
        pool.configure(500_000);
        let (with, without) = (play(&trace, 39, Some(pool)), play(&trace, 39, None));
        pooled = (pooled.0 + with.0 / 4.0, pooled.1 + with.1 / 4.0);
        fewest = (fewest.0 + without.0 / 4.0, fewest.1 + without.1 / 4.0);
    }

    assert!(pooled.0 > 0.85 && pooled.0 > fewest.0 + 0.1, "{pooled:?} {fewest:?}");
    assert!(pooled.1 > 0.98 && pooled.1 >= fewest.1, "{pooled:?} {fewest:?}");
}
