//! Choice of a model engine for a prompt, from the prompts of all entries.
//!
//! One node keeps an [`EnginePool`] for each pool of engines, so that it sees the prompts that all
//! entries send. It assumes that an engine reads prompts one after the other, and records which
//! shared parts each engine has read. A prompt goes to the engine with the least cost in time: for
//! reading its tokens that are not cached, for waiting behind earlier prompts, and for transferring
//! its inputs between zones. Times measured by entries teach the time of reading and the pace of each
//! engine, which decides where the prompt would otherwise be late. If the node is lost,
//! another one starts with an empty pool; the hash of a prompt's shared part then selects the same
//! engine. See `docs/design/platform.md`.

mod cache;
mod engine;
mod terms;

use crate::core::listing::Server;
use crate::core::time::Moment;
use crate::core::work::read_cost::{ReadCost, ReadSize};
use crate::util::hash::{hash_bytes, hash_parts};
use cache::CacheBounds;
use engine::Engine;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
pub use terms::PlaceTerms;

/// Least time that a prompt is expected to take where that is compared with a measured time.
const PROMPT_OVERHEAD: Duration = Duration::from_millis(20);
/// Weight of time spent waiting relative to time spent reading, as waiting delays no other prompt.
const WAIT_WEIGHT: f64 = 0.2;
/// Weight of time beyond the request's latency objective.
const LATE_WEIGHT: f64 = 4.0;
/// Part of a prompt's expected time by which it may take longer.
const WORK_MARGIN: f64 = 0.12;
/// A prompt is late at any engine if its least time exceeds the time that it has by this factor.
const HOPELESS_RATIO: f64 = 1.15;
/// Such a prompt gets this multiple of its least time, so that it leaves the fast engines to others.
const HOPELESS_SLACK: f64 = 1.5;
/// Bytes of inputs whose transfer between zones costs as much as a millisecond of reading.
const TRANSFER_BYTES_PER_MS: f64 = 120_000.0;
/// Costs are compared in steps of this many milliseconds; the hash decides within a step.
const COST_STEP_MS: f64 = 24.0;
/// Cost of fetching a token from another engine relative to reading it. A fetch takes almost no
/// time, but uses the links and memory of both engines.
const FETCH_WEIGHT: f64 = 0.3;
/// The time in which an engine fetches a thousand tokens from another one, unless that is declared.
const FETCH_TIME: Duration = Duration::from_micros(667);
/// Fewest tokens that are worth a fetch.
const MIN_FETCH_TOKENS: u32 = 256;
/// Estimated part of an engine's memory that is left for cached parts beside running requests.
const CACHE_SHARE: f64 = 0.6;
/// The most parts that are remembered of all engines of a pool together.
const MAX_POOL_PARTS: usize = 262_144;
/// How long a plan is kept after the time at which its prompt should have been sent.
const PLAN_MARGIN: Duration = Duration::from_millis(1_500);
/// An engine without prompts for this long is removed.
const EXPIRE_AFTER: Duration = Duration::from_secs(120);

/// The last part of a prompt without parts.
const NO_PART: PromptPart = PromptPart { key: 0, tokens: 0 };

/// A part of a prompt, identified by its own content and that of all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of this part and those before it.
    pub key: u64,
    /// The number of tokens in this part.
    pub tokens: u32,
}

/// A prompt that needs an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineQuery<'a> {
    /// The parts of the prompt in order; all but the last may be shared with other prompts.
    pub parts: &'a [PromptPart],
    /// The number of tokens in the prompt.
    pub tokens: u32,
    /// The time until the prompt is sent.
    pub send_delay: Duration,
    /// The time after sending within which the first event of the answer is on time.
    pub latency_budget: Duration,
    /// The zone that holds the inputs; empty if it is unknown or does not matter.
    pub input_zone: &'a str,
    /// The size of the inputs in bytes.
    pub input_bytes: u64,
}

/// The engine chosen for a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// The id of the engine.
    pub server: Arc<str>,
    /// The time that the engine spends on other prompts first.
    pub wait: Duration,
    /// The time that the engine spends on this prompt.
    pub work: Duration,
    /// What it reads of the prompt.
    pub size: ReadSize,
    /// The engine that has read more of the prompt, to fetch those tokens from.
    pub source: Option<Arc<str>>,
}

/// Expected and measured time of a prompt, as reported by an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The id of the engine.
    pub server: Arc<str>,
    /// The id of the request with the prompt.
    pub request: Arc<str>,
    /// The expected time until the first event.
    pub expected: Duration,
    /// The measured time until the first event.
    pub took: Duration,
}

#[derive(Clone, Debug)]
struct Plan {
    server: Arc<str>,
    work: Duration,
    until: Moment,
}

/// The state of one pool of engines.
#[derive(Clone, Debug, Default)]
pub struct EnginePool {
    engines: BTreeMap<Arc<str>, Engine>,
    /// The plans by the hash of the request's id, as callers choose how long an id is.
    plans: BTreeMap<u64, Plan>,
    /// The tokens that fit into the memory of one engine.
    memory: u64,
    /// The time of reading at an engine of pace 1.
    read: ReadCost,
    /// The time in which an engine fetches a thousand tokens, if that is declared.
    fetch_time: Option<Duration>,
}

impl EnginePool {
    /// Sets how many tokens fit into the memory of one engine of the pool.
    pub fn configure(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// Sets the time in which an engine fetches a thousand tokens from another one.
    pub fn set_fetch_time(&mut self, time: Option<Duration>) {
        self.fetch_time = time;
    }

    /// Chooses an engine for a request that will be sent later.
    pub fn plan(
        &mut self,
        now: Moment,
        servers: &[&Server],
        request: &str,
        query: EngineQuery<'_>,
    ) -> Option<EngineChoice> {
        self.expire(now, servers);
        let (server, choice) = self.choose(now, servers, query, true)?;
        let plan = Plan {
            server: Arc::clone(&choice.server),
            work: choice.work,
            until: now + query.send_delay + PLAN_MARGIN,
        };
        self.plans.insert(hash_bytes(request.as_bytes()), plan);
        let (_, shared) = query.parts.split_last().unwrap_or((&NO_PART, &[]));
        let (bounds, usual) = (self.bounds(servers), self.usual_pace(servers));
        let engine = self.engine(now, server, usual);
        engine.cache.add(now, shared, false);
        // Until the prompt is sent, what the engine holds is not replaced by what it may read.
        engine.cache.evict(CacheBounds { tokens: u64::MAX, ..bounds });
        Some(choice)
    }

    /// Chooses an engine for a request that is sent now.
    pub fn place(
        &mut self,
        now: Moment,
        servers: &[&Server],
        request: &str,
        query: EngineQuery<'_>,
    ) -> Option<EngineChoice> {
        self.plans.remove(&hash_bytes(request.as_bytes()));
        self.expire(now, servers);
        let (server, choice) = self.choose(now, servers, query, false)?;
        let (bounds, usual) = (self.bounds(servers), self.usual_pace(servers));
        let engine = self.engine(now, server, usual);
        let size = Some(choice.size).filter(|_| choice.source.is_none());
        engine.send(now, request, (choice.work, size), usual);
        engine.cache.add(now, query.parts, true);
        engine.cache.evict(bounds);
        Some(choice)
    }

    /// Returns the number of prompt parts that are remembered of all engines.
    pub fn parts(&self) -> usize {
        self.engines.values().map(|e| e.cache.count()).sum()
    }

    /// Returns the bounds on what is remembered of each engine.
    fn bounds(&self, servers: &[&Server]) -> CacheBounds {
        let tokens = (self.memory as f64 * CACHE_SHARE) as u64;
        let engines = self.engines.len().max(servers.len()).max(1);
        CacheBounds { tokens, parts: MAX_POOL_PARTS / engines }
    }

    /// Returns how long the engine that is free first still reads prompts that were sent or planned.
    pub fn shortest_wait(
        &self,
        now: Moment,
        servers: &[&Server],
        send_delay: Duration,
    ) -> Duration {
        // A prompt that is sent now goes before those that are only planned.
        let planned = if send_delay.is_zero() { BTreeMap::new() } else { self.planned(now) };
        let sent = |s: &Server| self.engines.get(&s.id).map_or(Duration::ZERO, |e| e.backlog(now));
        let planned = |s: &Server| planned.get(&*s.id).copied().unwrap_or_default();
        let wait = |s: &&Server| (sent(s) + planned(s)).saturating_sub(send_delay);
        servers.iter().map(wait).min().unwrap_or_default()
    }

    /// Records how long a prompt took.
    pub fn report(&mut self, now: Moment, report: &EngineReport) {
        let Some(engine) = self.engines.get_mut(&report.server) else { return };
        let Some(sample) = engine.record(now, report) else { return };
        let pace = engine.own_pace();
        let usual = self.read.time(sample.size).as_secs_f64();
        if self.read.learn(sample.size, sample.took.div_f64(pace)) {
            engine.record_own(sample.took.as_secs_f64() / usual);
        }
    }

    /// Returns the terms of a prompt at each engine, as [`place`](Self::place) would weigh them.
    pub fn terms<'a>(
        &self,
        now: Moment,
        servers: &[&'a Server],
        query: EngineQuery<'_>,
        planning: bool,
    ) -> Vec<(&'a Server, PlaceTerms)> {
        let source = self.source(servers, query);
        let planned = if planning { self.planned(now) } else { BTreeMap::new() };
        let usual = self.usual_pace(servers);
        let terms = |s: &&'a Server| {
            let planned = planned.get(&*s.id).copied().unwrap_or_default();
            (*s, self.estimate(now, s, query, source, (planned, usual)))
        };
        servers.iter().map(terms).collect()
    }

    fn choose<'a>(
        &self,
        now: Moment,
        servers: &[&'a Server],
        query: EngineQuery<'_>,
        planning: bool,
    ) -> Option<(&'a Server, EngineChoice)> {
        let shared = query.parts.len().saturating_sub(2);
        let hash = query.parts.get(shared).map_or(0, |p| p.key);
        let candidates = self.terms(now, servers, query, planning);
        let least = candidates.iter().map(|(_, t)| t.work).min()?;
        let is_hopeless = least > query.latency_budget.mul_f64(HOPELESS_RATIO);
        let budget = if is_hopeless { least.mul_f64(HOPELESS_SLACK) } else { query.latency_budget };
        let rank = |(s, terms): &&(&Server, PlaceTerms)| {
            let tie = hash_parts(&[&hash.to_le_bytes(), s.id.as_bytes()]);
            ((terms.cost(budget) / COST_STEP_MS) as u64, std::cmp::Reverse(tie))
        };
        let (server, terms) = candidates.iter().min_by_key(rank)?;
        let source = self.source(servers, query).filter(|_| terms.fetched > 0);
        let source = source.map(|(s, _)| Arc::clone(&s.id));
        let id = Arc::clone(&server.id);
        let (wait, work, size) = (terms.wait, terms.work, terms.size);
        Some((server, EngineChoice { server: id, wait, work, size, source }))
    }

    /// Returns the engine that has read most of a prompt, and how many of its tokens.
    fn source<'a>(
        &self,
        servers: &[&'a Server],
        query: EngineQuery<'_>,
    ) -> Option<(&'a Server, u32)> {
        let read = |s: &&'a Server| (*s, self.cached(&s.id, query.parts, true));
        servers.iter().map(read).max_by_key(|(_, tokens)| *tokens)
    }

    fn cached(&self, server: &str, parts: &[PromptPart], only_read: bool) -> u32 {
        self.engines.get(server).map_or(0, |e| e.cache.tokens(parts, only_read))
    }

    /// Estimates the time that an engine needs for a prompt, given the work planned for the engine
    /// and the usual pace.
    fn estimate(
        &self,
        now: Moment,
        server: &Server,
        query: EngineQuery<'_>,
        source: Option<(&Server, u32)>,
        (planned, usual): (Duration, f64),
    ) -> PlaceTerms {
        let engine = self.engines.get(&server.id);
        let sent = engine.map_or(Duration::ZERO, |e| e.backlog(now));
        // Planned prompts arrive at any time before this one, on average after half of the delay.
        let wait = (sent + planned).saturating_sub(query.send_delay / 2);
        let held = self.cached(&server.id, query.parts, true);
        let more = source.map_or(0, |(_, tokens)| tokens.saturating_sub(held));
        let fetched = if more >= MIN_FETCH_TOKENS { more } else { 0 };
        let fetch_time = self.fetch_time.unwrap_or(FETCH_TIME);
        let fetch = fetch_time.mul_f64(f64::from(fetched) / 1_000.0);
        let size = ReadSize::new(query.tokens, held + fetched);
        let usual_work = self.read.time(size);
        let pace = engine.map_or(1.0, |e| e.pace(now, usual));
        let planned_cached = self.cached(&server.id, query.parts, false).max(held + fetched);
        let slowdown = engine.map_or(1.0, |e| e.slowdown(now, usual));
        let expected = self.read.time(ReadSize::new(query.tokens, planned_cached));
        let crosses_zones = !query.input_zone.is_empty() && *query.input_zone != *server.zone;
        PlaceTerms {
            wait,
            work: usual_work.mul_f64(pace) + fetch,
            expected: expected.mul_f64(slowdown) + fetch,
            pace,
            fetched,
            size,
            fetch_cost: self.read.time(ReadSize::new(fetched, 0)).mul_f64(FETCH_WEIGHT),
            transferred: if crosses_zones { query.input_bytes } else { 0 },
        }
    }

    /// Returns the time of the planned prompts of each engine.
    fn planned(&self, now: Moment) -> BTreeMap<&str, Duration> {
        let mut planned: BTreeMap<&str, Duration> = BTreeMap::new();
        for plan in self.plans.values().filter(|p| p.until > now) {
            *planned.entry(&plan.server).or_default() += plan.work;
        }
        planned
    }

    /// Returns the pace that engines are compared with to find the slow ones: the median.
    ///
    /// Unknown engines count with pace 1.
    fn usual_pace(&self, servers: &[&Server]) -> f64 {
        let pace = |s: &&Server| self.engines.get(&s.id).map_or(1.0, Engine::measured_pace);
        let mut paces: Vec<f64> = servers.iter().map(pace).collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
    }

    fn engine(&mut self, now: Moment, server: &Server, pace: f64) -> &mut Engine {
        let new = || Engine::new(now, server.started_ms, pace);
        self.engines.entry(Arc::clone(&server.id)).or_insert_with(new)
    }

    /// Removes expired plans, unused engines, and engines that have restarted.
    fn expire(&mut self, now: Moment, servers: &[&Server]) {
        self.plans.retain(|_, p| p.until > now);
        self.engines.retain(|_, e| now.since(e.used_at) < EXPIRE_AFTER);
        for server in servers {
            if self.engines.get(&server.id).is_some_and(|e| e.started_ms != server.started_ms) {
                self.engines.remove(&server.id);
            }
        }
    }
}
