//! Bursts of prompts at a pool of model engines: no engine is overloaded while others are idle, and
//! the overload ends with the burst.

use super::{arc, at, ms, server};
use limpetmux::core::engines::{EngineChoice, EnginePool, EngineQuery, EngineReport, PromptPart};
use limpetmux::core::listing::Server;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const ENGINES: u64 = 46;
/// Prompts a second, for each two tokens a millisecond that an engine reads: a third of what the
/// engines can read if no session is cached.
const PROMPTS_PER_SPEED: u64 = 5;
/// The time that an engine takes for any prompt beside reading it.
const OVERHEAD_MS: u64 = 31;
/// Entries report a time with their next call.
const REPORT_DELAY_MS: u64 = 120;
const LATENCY_BUDGET_MS: u64 = 400;
const BURST_MS: std::ops::Range<u64> = 8_000..13_000;
const BURST_FACTOR: u64 = 3;
const END_MS: u64 = 24_000;

/// An engine that reads prompts one after the other.
#[derive(Default)]
struct SimEngine {
    busy_until_ms: u64,
    cached: BTreeSet<u64>,
    tokens_per_ms: u64,
}

struct Sim {
    servers: Vec<Server>,
    engines: BTreeMap<Arc<str>, SimEngine>,
    pool: EnginePool,
    /// Reports by the millisecond of their arrival.
    reports: BTreeMap<(u64, u64), EngineReport>,
    rng: Pcg64Mcg,
}

/// One prompt that was sent.
struct Sent {
    at_ms: u64,
    server: Arc<str>,
    first_event_ms: u64,
}

fn sim(tokens_per_ms: u64) -> Sim {
    let servers: Vec<Server> = (0..ENGINES).map(|n| server(&format!("e{n}"), "a")).collect();
    let engine = |s: &Server| (s.id.clone(), SimEngine { tokens_per_ms, ..SimEngine::default() });
    let engines = servers.iter().map(engine).collect();
    let mut pool = EnginePool::default();
    pool.configure(590_000);
    Sim { servers, engines, pool, reports: BTreeMap::new(), rng: Pcg64Mcg::seed_from_u64(3) }
}

impl Sim {
    /// Sends a prompt of a few widely shared tokens, a session's and its own.
    fn send(&mut self, now_ms: u64, number: u64) -> Sent {
        while let Some(first) = self.reports.first_entry().filter(|r| r.key().0 <= now_ms) {
            self.pool.report(at(now_ms), &first.remove());
        }
        let own = 300 + (-2_600.0 * (1.0 - self.rng.random::<f64>()).ln()) as u32;
        let (shared, session) = (self.rng.random_range(0..4), self.rng.random_range(0..850_u64));
        let parts = [
            PromptPart { key: 1 + shared, tokens: 2_500 },
            PromptPart { key: 1_000 + session * 4 + shared, tokens: 3_800 },
            PromptPart { key: 1_000_000 + number, tokens: own },
        ];
        let refs: Vec<&Server> = self.servers.iter().collect();
        let request = number.to_string();
        let choice =
            self.pool.place(at(now_ms), &refs, &request, query(&parts)).expect("an engine");
        self.read(now_ms, number, &parts, choice)
    }

    fn read(
        &mut self,
        now_ms: u64,
        number: u64,
        parts: &[PromptPart],
        choice: EngineChoice,
    ) -> Sent {
        let fetched = choice.source.map(|s| self.engines[&s].cached.clone()).unwrap_or_default();
        let engine = self.engines.get_mut(&choice.server).expect("a known engine");
        engine.cached.extend(fetched.into_iter().filter(|k| parts.iter().any(|p| p.key == *k)));
        let missing = parts.iter().filter(|p| !engine.cached.contains(&p.key));
        let tokens: u64 = missing.map(|p| u64::from(p.tokens)).sum();
        engine.cached.extend(parts.iter().map(|p| p.key));
        engine.busy_until_ms = engine.busy_until_ms.max(now_ms) + tokens / engine.tokens_per_ms;
        let first_event_ms = engine.busy_until_ms + OVERHEAD_MS;
        let report = EngineReport {
            server: choice.server.clone(),
            request: arc(&number.to_string()),
            expected: choice.wait + choice.work,
            took: ms(first_event_ms - now_ms),
        };
        self.reports.insert((first_event_ms + REPORT_DELAY_MS, number), report);
        Sent { at_ms: now_ms, server: choice.server, first_event_ms }
    }
}

fn query(parts: &[PromptPart]) -> EngineQuery<'_> {
    EngineQuery {
        parts,
        tokens: parts.iter().map(|p| p.tokens).sum(),
        send_delay: ms(0),
        latency_budget: ms(LATENCY_BUDGET_MS),
        input_zone: "",
        input_bytes: 0,
    }
}

/// Sends prompts at the usual rate, and at three times that during the burst.
fn run(tokens_per_ms: u64) -> Vec<Sent> {
    let mut sim = sim(tokens_per_ms);
    let mut sent = Vec::new();
    let mut due = 0;
    for now_ms in 0..END_MS {
        due += PROMPTS_PER_SPEED * tokens_per_ms / 2
            * if BURST_MS.contains(&now_ms) { BURST_FACTOR } else { 1 };
        while due >= 1_000 {
            due -= 1_000;
            let number = sent.len() as u64;
            sent.push(sim.send(now_ms, number));
        }
    }
    sent
}

fn share_on_time(sent: &[Sent], within: std::ops::Range<u64>) -> f64 {
    let within: Vec<&Sent> = sent.iter().filter(|s| within.contains(&s.at_ms)).collect();
    let on_time = within.iter().filter(|s| s.first_event_ms - s.at_ms <= LATENCY_BUDGET_MS);
    on_time.count() as f64 / within.len() as f64
}

#[test]
fn overload_of_engines_ends_with_the_burst() {
    // Guards against prompts that all go to the few engines that were measured when idle, until
    // these are overloaded and avoided in their turn.
    for tokens_per_ms in [48, 112] {
        let sent = run(tokens_per_ms);

        let before = share_on_time(&sent, 0..BURST_MS.start);
        let during = share_on_time(&sent, BURST_MS);
        let after = share_on_time(&sent, BURST_MS.end + 2_000..END_MS);
        assert!(before >= 0.95, "before, at {tokens_per_ms} tokens a ms: {before}");
        assert!(during >= 0.95, "during, at {tokens_per_ms} tokens a ms: {during}");
        assert!(after >= 0.95 * before, "after, at {tokens_per_ms} tokens a ms: {after}");
    }
}

#[test]
fn no_engine_is_left_idle_while_others_get_its_prompts() {
    // Guards against delays that every waiting prompt reports and that are added up: the engine
    // then gets no prompts for seconds.
    let sent = run(112);

    for window in (2_000..END_MS - 4_000).step_by(2_000) {
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        for s in sent.iter().filter(|s| (window..window + 4_000).contains(&s.at_ms)) {
            *counts.entry(&*s.server).or_default() += 1;
        }
        let mean = counts.values().sum::<u64>() / ENGINES;
        let (least, most) = (counts.values().min(), counts.values().max());
        assert_eq!(counts.len() as u64, ENGINES, "from {window} ms");
        assert!(most <= Some(&(mean * 3)), "from {window} ms: {most:?} at a mean of {mean}");
        assert!(least >= Some(&(mean / 4)), "from {window} ms: {least:?} at a mean of {mean}");
    }
}
