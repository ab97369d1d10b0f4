//! Choice of a model engine for a prompt, with the work of all entries in view.
//!
//! One node keeps a board for each pool of engines, so that it sees the prompts that all entries
//! send. It believes that an engine reads prompts one after the other, and knows which shared parts
//! an engine has read before. A prompt goes where reading it costs least: its own tokens that are
//! not cached, the prompts before it, and the way of its inputs between zones, all in time. The
//! times are corrected by what entries see. A board that is lost is replaced by an empty one; the
//! hash of a prompt's shared part then leads to the same engine. See `docs/design/platform.md`.

use crate::core::listing::Server;
use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The tokens that an engine reads in a millisecond, until its times are known.
const READ_RATE: f64 = 40.0;
/// The time that an engine needs for any prompt.
const START: Duration = Duration::from_millis(20);
/// The weight of time behind other prompts against time spent on reading: waiting takes nothing
/// from others.
const WAIT_WEIGHT: f64 = 0.2;
/// The weight of time beyond the request's objective.
const LATE_WEIGHT: f64 = 4.0;
/// The bytes of inputs whose way between zones counts as much as a millisecond of reading.
const FAR_BYTES_PER_MS: f64 = 120_000.0;
/// Costs that differ by less than this count as equal, and the hash decides.
const COST_STEP_MS: f64 = 24.0;
/// What fetching a token from another engine counts against reading it: it takes next to no time,
/// but uses the links and memory of both.
const FETCH_WEIGHT: f64 = 0.3;
/// The tokens that an engine fetches in a millisecond.
const FETCH_RATE: f64 = 1_500.0;
/// The fewest tokens that are worth a fetch.
const FETCH_LEAST: u32 = 256;
/// The part of an engine's memory that cached parts are believed to keep beside running requests.
const CACHE_SHARE: f64 = 0.6;
/// How long a plan counts after the moment for which it was made.
const PLAN_SLACK: Duration = Duration::from_millis(1_500);
/// The weight of a new sample in an engine's pace.
const PACE_WEIGHT: f64 = 0.2;
/// The range of one sample of an engine's pace.
const PACE_RANGE: (f64, f64) = (0.3, 8.0);
/// How fast the pace of an engine that gets nothing is believed to become usual, for each second.
const PACE_RECOVERY: f64 = 0.1;
/// An engine that nothing was sent to for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Stands for the last part of a prompt without parts.
const NO_PART: PromptPart = PromptPart { key: 0, tokens: 0 };

/// A part of a prompt, known by all parts up to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of this part and those before it.
    pub key: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// A prompt that needs an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineQuery<'a> {
    /// The parts of the prompt in order; the last one is its own.
    pub parts: &'a [PromptPart],
    /// All its tokens.
    pub tokens: u32,
    /// The time until it will be sent.
    pub ahead: Duration,
    /// The time from then on within which its first event is on time.
    pub slack: Duration,
    /// The zone where its inputs lie; empty if that is not known or does not matter.
    pub zone: &'a str,
    /// The bytes of its inputs.
    pub bytes: u64,
}

/// An engine for a prompt.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineChoice {
    /// The id of the engine.
    pub server: Arc<str>,
    /// The time that it spends on other prompts first.
    pub wait: Duration,
    /// The time that it spends on this prompt.
    pub work: Duration,
    /// The engine that has read more of the prompt, from which that is to be fetched.
    pub source: Option<Arc<str>>,
}

/// What an entry saw of a prompt that an engine was chosen for.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The id of the engine.
    pub server: Arc<str>,
    /// The time until the first event that was expected.
    pub expected: Duration,
    /// The time that it took.
    pub took: Duration,
}

#[derive(Clone, Debug)]
struct Engine {
    /// The Unix millisecond of its start; another start under the same id knows nothing.
    born: u64,
    /// When all prompts that were sent will have been read.
    busy: Moment,
    /// How many times longer than expected its prompts take.
    pace: f64,
    sampled: Moment,
    touched: Moment,
    /// The parts that it has read, or will have read once plans have come true.
    cached: BTreeMap<u64, Cached>,
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    tokens: u32,
    used: Moment,
    /// Whether a prompt with this part was sent; otherwise one is planned.
    read: bool,
}

#[derive(Clone, Debug)]
struct Plan {
    server: Arc<str>,
    work: Duration,
    until: Moment,
}

/// What one node knows of a pool of engines.
#[derive(Clone, Debug, Default)]
pub struct EngineBoard {
    engines: BTreeMap<Arc<str>, Engine>,
    plans: BTreeMap<Arc<str>, Plan>,
    /// The tokens that an engine holds in memory.
    memory: u64,
}

impl EngineBoard {
    /// Takes in how many tokens an engine of the pool holds in memory.
    pub fn configure(&mut self, memory: u64) {
        self.memory = memory;
    }

    /// Chooses an engine for a request that will be sent later.
    pub fn plan(
        &mut self,
        now: Moment,
        servers: &[&Server],
        request: &str,
        query: EngineQuery<'_>,
    ) -> Option<EngineChoice> {
        self.forget(now, servers);
        let (server, choice) = self.choose(now, servers, query, true)?;
        let plan = Plan {
            server: Arc::clone(&choice.server),
            work: choice.work,
            until: now + query.ahead + PLAN_SLACK,
        };
        self.plans.insert(request.into(), plan);
        let (_, shared) = query.parts.split_last().unwrap_or((&NO_PART, &[]));
        self.engine(now, server).note(now, shared, false);
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
        self.plans.remove(request);
        self.forget(now, servers);
        let (server, choice) = self.choose(now, servers, query, false)?;
        let memory = self.memory;
        let engine = self.engine(now, server);
        engine.busy = engine.busy.max(now) + choice.work;
        engine.touched = now;
        engine.note(now, query.parts, true);
        engine.evict((memory as f64 * CACHE_SHARE) as u64);
        Some(choice)
    }

    /// Takes in how long a prompt took; what waits behind it moves by the difference.
    pub fn report(&mut self, now: Moment, report: &EngineReport) {
        let Some(engine) = self.engines.get_mut(&report.server) else { return };
        let sample = report.took.as_secs_f64() / report.expected.max(START).as_secs_f64();
        let sample = sample.clamp(PACE_RANGE.0, PACE_RANGE.1) * engine.pace;
        engine.pace += (sample - engine.pace) * PACE_WEIGHT;
        engine.pace = engine.pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        engine.sampled = now;
        engine.busy = match report.took.checked_sub(report.expected) {
            Some(more) => engine.busy.max(now) + more,
            None => (engine.busy - (report.expected - report.took)).max(now),
        };
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
        let source = self.source(servers, query);
        let planned = if planning { self.planned(now) } else { BTreeMap::new() };
        let usual = self.usual_pace();
        let offer = |s: &Server| {
            let planned = planned.get(&*s.id).copied().unwrap_or_default();
            self.offer(now, s, query, source, (planned, usual))
        };
        let rank = |s: &&&Server| {
            let cost = offer(s).cost(s, query);
            let tie = hash_parts(&[&hash.to_le_bytes(), s.id.as_bytes()]);
            ((cost / COST_STEP_MS) as u64, std::cmp::Reverse(tie))
        };
        let server = *servers.iter().min_by_key(rank)?;
        let offer = offer(server);
        let source = source.filter(|_| offer.fetched > 0).map(|(s, _)| Arc::clone(&s.id));
        let id = Arc::clone(&server.id);
        Some((server, EngineChoice { server: id, wait: offer.wait, work: offer.work, source }))
    }

    /// Returns the engine that has read most of a prompt, and how many tokens of it.
    fn source<'a>(
        &self,
        servers: &[&'a Server],
        query: EngineQuery<'_>,
    ) -> Option<(&'a Server, u32)> {
        let read = |s: &&'a Server| (*s, self.cached(&s.id, query.parts, true));
        servers.iter().map(read).max_by_key(|(_, tokens)| *tokens)
    }

    fn cached(&self, server: &str, parts: &[PromptPart], read: bool) -> u32 {
        self.engines.get(server).map_or(0, |e| e.cached(parts, read))
    }

    /// Returns what an engine would do for a prompt, given the work that is planned for it and the
    /// usual pace.
    fn offer(
        &self,
        now: Moment,
        server: &Server,
        query: EngineQuery<'_>,
        source: Option<(&Server, u32)>,
        (planned, usual): (Duration, f64),
    ) -> Offer {
        let engine = self.engines.get(&server.id);
        let sent = engine.map_or(Duration::ZERO, |e| now.until(e.busy));
        // What is planned comes at any time until then, on average after half of it.
        let wait = (sent + planned).saturating_sub(query.ahead / 2);
        let own = self.cached(&server.id, query.parts, true);
        let more = source.map_or(0, |(_, tokens)| tokens.saturating_sub(own));
        let fetched = if more >= FETCH_LEAST { more } else { 0 };
        let fetch = Duration::from_secs_f64(f64::from(fetched) / FETCH_RATE / 1_000.0);
        let pace = engine.map_or(usual, |e| e.pace_at(now));
        let work = |held: u32| read_time(query.tokens.saturating_sub(held)).mul_f64(pace) + fetch;
        let promised = self.cached(&server.id, query.parts, false).max(own + fetched);
        Offer { wait, work: work(own + fetched), expected: work(promised), fetched }
    }

    /// Returns the work of requests that will be sent to each engine.
    fn planned(&self, now: Moment) -> BTreeMap<&str, Duration> {
        let mut planned: BTreeMap<&str, Duration> = BTreeMap::new();
        for plan in self.plans.values().filter(|p| p.until > now) {
            *planned.entry(&plan.server).or_default() += plan.work;
        }
        planned
    }

    /// Returns the pace of an engine that nothing is known of: that of the others, unless they are
    /// slow.
    fn usual_pace(&self) -> f64 {
        let mut paces: Vec<f64> = self.engines.values().map(|e| e.pace).collect();
        paces.sort_unstable_by(f64::total_cmp);
        paces.get(paces.len() / 2).map_or(1.0, |p| p.min(1.0))
    }

    fn engine(&mut self, now: Moment, server: &Server) -> &mut Engine {
        let (born, pace, cached) = (server.born, self.usual_pace(), BTreeMap::new());
        let new = || Engine { born, busy: now, pace, sampled: now, touched: now, cached };
        self.engines.entry(Arc::clone(&server.id)).or_insert_with(new)
    }

    /// Forgets plans that did not come true, and engines that are not used or have started anew.
    fn forget(&mut self, now: Moment, servers: &[&Server]) {
        self.plans.retain(|_, p| p.until > now);
        self.engines.retain(|_, e| now.since(e.touched) < FORGET_AFTER);
        for server in servers {
            if self.engines.get(&server.id).is_some_and(|e| e.born != server.born) {
                self.engines.remove(&server.id);
            }
        }
    }
}

/// Returns the time that an engine of the usual pace needs for tokens that are not cached.
fn read_time(tokens: u32) -> Duration {
    START + Duration::from_secs_f64(f64::from(tokens) / READ_RATE / 1_000.0)
}

/// What an engine would do for a prompt.
struct Offer {
    /// The time on other prompts first.
    wait: Duration,
    /// The time on this one.
    work: Duration,
    /// The same once plans have come true, which bring parts of the prompt to it anyway.
    expected: Duration,
    /// The tokens that it fetches from another engine.
    fetched: u32,
}

impl Offer {
    /// Returns what a prompt costs at an engine, in milliseconds.
    fn cost(&self, server: &Server, query: EngineQuery<'_>) -> f64 {
        let ms = |d: Duration| d.as_secs_f64() * 1_000.0;
        let late = (self.wait + self.work).saturating_sub(query.slack);
        let is_far = !query.zone.is_empty() && *query.zone != *server.zone;
        let far = if is_far { query.bytes as f64 / FAR_BYTES_PER_MS } else { 0.0 };
        let fetch = f64::from(self.fetched) / READ_RATE * FETCH_WEIGHT;
        ms(self.expected) + ms(self.wait) * WAIT_WEIGHT + ms(late) * LATE_WEIGHT + far + fetch
    }
}

impl Engine {
    /// Returns the tokens of the leading parts that are cached; those that are only planned count
    /// unless `read` is set.
    fn cached(&self, parts: &[PromptPart], read: bool) -> u32 {
        let holds = |p: &&PromptPart| self.cached.get(&p.key).is_some_and(|c| c.read || !read);
        parts.iter().take_while(holds).map(|p| p.tokens).sum()
    }

    fn pace_at(&self, now: Moment) -> f64 {
        let idle = now.since(self.sampled).as_secs_f64();
        let kept = (1.0 - PACE_RECOVERY).powf(idle);
        if self.pace > 1.0 { 1.0 + (self.pace - 1.0) * kept } else { self.pace }
    }

    fn note(&mut self, now: Moment, parts: &[PromptPart], read: bool) {
        for part in parts {
            let new = Cached { tokens: part.tokens, used: now, read };
            let cached = self.cached.entry(part.key).or_insert(new);
            cached.used = now;
            cached.read |= read;
        }
    }

    /// Drops the parts that were not used for longest until the rest fits.
    fn evict(&mut self, most: u64) {
        let mut held: u64 = self.cached.values().map(|c| u64::from(c.tokens)).sum();
        if held <= most {
            return;
        }
        let mut oldest: Vec<(Moment, u64, u32)> =
            self.cached.iter().map(|(key, c)| (c.used, *key, c.tokens)).collect();
        oldest.sort_unstable();
        for (_, key, tokens) in oldest {
            if held <= most {
                return;
            }
            self.cached.remove(&key);
            held -= u64::from(tokens);
        }
    }
}
