//! A backend server in virtual time.
//!
//! Calls share the server: up to its capacity each runs at full speed, beyond it all slow down by
//! more than their share. A cold server runs at a quarter of its speed, and falls over if it holds
//! more calls than its bound for too long.

use super::usage::Usage;
use limpetmux::core::time::Moment;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// How much throughput is lost when the calls are twice the capacity.
const THRASH: f64 = 0.5;
/// The speed of a cold server.
const COLD_SPEED: f64 = 0.25;
/// The time for which a cold server bears more calls than its bound.
const GRACE: Duration = Duration::from_millis(500);
/// The time after a restart in which every call fails.
const BOOT: Duration = Duration::from_millis(1_000);
/// The smallest step of the work clock, which keeps rounding from repeating an event.
const STEP_S: f64 = 1e-6;

/// The shape of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct BackendSpec {
    /// Calls at once without slowing down.
    pub capacity: u32,
    /// Calls at once when cold.
    pub cold: u32,
    /// The time from cold to warm.
    pub warmup: Duration,
    /// Prefixes that the cache holds.
    pub cache: usize,
}

/// The work of one call, in seconds at full speed.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Until the first output, if the prefix is not cached.
    pub prefill: f64,
    /// Until the first output, if the prefix is cached.
    pub cached: f64,
    /// From the first output to the end.
    pub rest: f64,
    /// The prompt prefix.
    pub prefix: u64,
}

/// Something that a call reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// The first output.
    First(usize),
    /// The end.
    End(usize),
    /// The server fell over, and the call with it.
    Lost(usize),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    first: f64,
    end: f64,
    told: bool,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    spec: BackendSpec,
    at: Moment,
    clock: f64,
    calls: BTreeMap<usize, Call>,
    cache: VecDeque<u64>,
    cold_until: Moment,
    boots_until: Moment,
    over_since: Option<Moment>,
    /// Counts restarts.
    pub incarnation: u64,
    /// Counts the times it fell over.
    pub falls: u32,
    /// Calls that found their prefix in the cache.
    pub hits: u64,
    /// Calls started.
    pub starts: u64,
    /// Where its capacity went within the counted time.
    pub usage: Usage,
    counted: (Moment, Moment),
}

impl Backend {
    /// Creates a warm backend server.
    pub fn new(spec: BackendSpec, counted: (Moment, Moment)) -> Self {
        Self {
            spec,
            at: Moment::ZERO,
            clock: 0.0,
            calls: BTreeMap::new(),
            cache: VecDeque::new(),
            cold_until: Moment::ZERO,
            boots_until: Moment::ZERO,
            over_since: None,
            incarnation: 1,
            falls: 0,
            hits: 0,
            starts: 0,
            usage: Usage::default(),
            counted,
        }
    }

    /// Returns the number of calls that it runs.
    pub fn inflight(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Returns whether it is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Starts a call; returns its work in seconds at full speed, or `None` if it fails at once.
    pub fn start(&mut self, now: Moment, id: usize, work: Work) -> Option<f64> {
        self.advance(now);
        if now < self.boots_until {
            return None;
        }
        self.starts += 1;
        let hit = self.touch(work.prefix);
        self.hits += u64::from(hit);
        let prefill = if hit { work.cached } else { work.prefill };
        let first = self.clock + prefill;
        self.calls.insert(id, Call { first, end: first + work.rest, told: false });
        Some(prefill + work.rest)
    }

    /// Stops a call that its caller no longer wants.
    pub fn cancel(&mut self, now: Moment, id: usize) {
        self.advance(now);
        self.calls.remove(&id);
    }

    /// Turns cold without losing the calls it runs.
    pub fn turn_cold(&mut self, now: Moment) {
        self.advance(now);
        self.cold_until = now + self.spec.warmup;
        self.cache.clear();
    }

    /// Restarts: loses all calls, then is cold.
    pub fn restart(&mut self, now: Moment) -> Vec<Milestone> {
        self.advance(now);
        self.incarnation += 1;
        self.boots_until = now + BOOT;
        self.cold_until = now + BOOT + self.spec.warmup;
        self.over_since = None;
        self.cache.clear();
        std::mem::take(&mut self.calls).into_keys().map(Milestone::Lost).collect()
    }

    /// Returns what has been reached up to this moment.
    pub fn reached(&mut self, now: Moment) -> Vec<Milestone> {
        self.advance(now);
        let due = self.clock + STEP_S;
        let mut reached = Vec::new();
        for (id, call) in &mut self.calls {
            if call.first <= due && !call.told {
                call.told = true;
                reached.push(Milestone::First(*id));
            }
            if call.end <= due {
                reached.push(Milestone::End(*id));
            }
        }
        self.calls.retain(|_, call| call.end > due);
        if self.over_since.is_some_and(|t| now >= t + GRACE) {
            self.falls += 1;
            reached.extend(self.restart(now));
        }
        reached
    }

    /// Returns when the next thing happens if nothing changes before.
    pub fn next(&self) -> Option<Moment> {
        let next = |c: &Call| if c.told { c.end } else { c.first };
        let work = self.calls.values().map(next).min_by(f64::total_cmp)?;
        let left = (work - self.clock).max(STEP_S) / self.speed();
        let milestone = self.at + Duration::from_secs_f64(left);
        let fall = self.over_since.map(|t| t + GRACE);
        let warm = Some(self.cold_until).filter(|t| *t > self.at);
        [Some(milestone), fall, warm].into_iter().flatten().min()
    }

    fn advance(&mut self, now: Moment) {
        self.count(now);
        self.clock += now.since(self.at).as_secs_f64() * self.speed();
        self.at = self.at.max(now);
        let over = self.is_cold(now) && self.inflight() > self.spec.cold;
        self.over_since = if over { self.over_since.or(Some(now)) } else { None };
    }

    /// Counts the time since the last step, in which nothing changed.
    fn count(&mut self, now: Moment) {
        let from = self.at.max(self.counted.0);
        let seconds = now.min(self.counted.1).since(from).as_secs_f64();
        let (calls, capacity) = (self.calls.len() as f64, f64::from(self.spec.capacity));
        let busy = calls.min(capacity);
        let done = calls * self.speed();
        self.usage.capacity += capacity * seconds;
        self.usage.idle += (capacity - busy) * seconds;
        self.usage.slowed += (busy - done) * seconds;
        self.usage.done += done * seconds;
    }

    fn speed(&self) -> f64 {
        let (calls, capacity) = (self.calls.len() as f64, f64::from(self.spec.capacity));
        let base = if self.is_cold(self.at) { COLD_SPEED } else { 1.0 };
        if calls <= capacity {
            return base;
        }
        let excess = calls / capacity - 1.0;
        base / (1.0 + excess) / (1.0 + THRASH * excess)
    }

    /// Moves a prefix to the front of the cache; returns whether it was there.
    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|p| *p == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(self.spec.cache);
        found.is_some()
    }
}
