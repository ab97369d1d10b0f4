//! Simulates a backend server in virtual time.
//!
//! Up to the server's capacity each call runs at full speed. Beyond it the calls share the capacity
//! and total throughput drops. A cold server runs at a quarter of its speed, and crashes if it runs
//! more calls than its cold limit for too long.

use super::usage::Usage;
use limpetmux::core::time::Moment;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Loss of total throughput under overload: it is divided by `1 + OVERLOAD_PENALTY * excess`, where
/// `excess` is the calls above the capacity as a share of the capacity.
const OVERLOAD_PENALTY: f64 = 0.5;
/// Speed of a cold server, as a share of full speed.
const COLD_SPEED: f64 = 0.25;
/// Time for which a cold server tolerates more calls than its limit before it crashes.
const COLD_OVERLOAD_GRACE: Duration = Duration::from_millis(500);
/// Time after a restart during which every call fails.
const BOOT_TIME: Duration = Duration::from_millis(1_000);
/// Smallest step of the work clock, in seconds; prevents rounding from repeating an event.
const MIN_STEP_S: f64 = 1e-6;

/// The parameters of a backend server.
#[derive(Clone, Copy, Debug)]
pub struct BackendSpec {
    /// Concurrent calls that run at full speed.
    pub capacity: u32,
    /// Limit of concurrent calls when cold.
    pub cold_limit: u32,
    /// Time from cold to warm.
    pub warmup: Duration,
    /// Number of prefixes in the cache.
    pub cache_size: usize,
}

/// The work of one call, in seconds at full speed.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Work until the first output if the prefix is not cached.
    pub prefill: f64,
    /// Work until the first output if the prefix is cached.
    pub cached: f64,
    /// Work from the first output to the end.
    pub decode: f64,
    /// The prompt prefix.
    pub prefix: u64,
}

/// A step in the progress of a call, with the id of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Milestone {
    /// The call produced its first output.
    FirstOutput(usize),
    /// The call completed.
    Completed(usize),
    /// The call was lost because the server restarted.
    Lost(usize),
}

/// A running call; `first` and `end` are readings of the work clock.
#[derive(Clone, Copy, Debug)]
struct Call {
    first: f64,
    end: f64,
    first_reported: bool,
}

/// A simulated backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    spec: BackendSpec,
    updated_at: Moment,
    /// Work that a call running since the start would have done, in seconds at full speed.
    work_clock: f64,
    calls: BTreeMap<usize, Call>,
    cache: VecDeque<u64>,
    cold_until: Moment,
    booting_until: Moment,
    overloaded_since: Option<Moment>,
    speed_factor: f64,
    /// Incremented at each restart.
    pub incarnation: u64,
    /// Number of crashes.
    pub crashes: u32,
    /// Number of calls whose prefix was cached.
    pub hits: u64,
    /// Number of calls started.
    pub starts: u64,
    /// Use of its capacity within the measured span.
    pub usage: Usage,
    measured_span: (Moment, Moment),
}

impl Backend {
    /// Creates a warm backend server that records its usage within `measured_span`.
    pub fn new(spec: BackendSpec, measured_span: (Moment, Moment)) -> Self {
        Self {
            spec,
            updated_at: Moment::ZERO,
            work_clock: 0.0,
            calls: BTreeMap::new(),
            cache: VecDeque::new(),
            cold_until: Moment::ZERO,
            booting_until: Moment::ZERO,
            overloaded_since: None,
            speed_factor: 1.0,
            incarnation: 1,
            crashes: 0,
            hits: 0,
            starts: 0,
            usage: Usage::default(),
            measured_span,
        }
    }

    /// Returns the number of running calls.
    pub fn inflight(&self) -> u32 {
        self.calls.len() as u32
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Starts a call; returns its work in seconds at full speed, or `None` if it fails at once.
    pub fn start(&mut self, now: Moment, id: usize, work: Work) -> Option<f64> {
        self.advance(now);
        if now < self.booting_until {
            return None;
        }
        self.starts += 1;
        let hit = self.cache_prefix(work.prefix);
        self.hits += u64::from(hit);
        let prefill = if hit { work.cached } else { work.prefill };
        let first = self.work_clock + prefill;
        self.calls.insert(id, Call { first, end: first + work.decode, first_reported: false });
        Some(prefill + work.decode)
    }

    /// Stops a call.
    pub fn cancel(&mut self, now: Moment, id: usize) {
        self.advance(now);
        self.calls.remove(&id);
    }

    /// Turns cold without losing the running calls.
    pub fn turn_cold(&mut self, now: Moment) {
        self.advance(now);
        self.cold_until = now + self.spec.warmup;
        self.cache.clear();
    }

    /// Sets the speed from now on, as a share of the normal speed.
    pub fn set_speed_factor(&mut self, now: Moment, speed_factor: f64) {
        self.advance(now);
        self.speed_factor = speed_factor;
    }

    /// Restarts: loses all calls and the cache, then is cold.
    pub fn restart(&mut self, now: Moment) -> Vec<Milestone> {
        self.advance(now);
        self.incarnation += 1;
        self.booting_until = now + BOOT_TIME;
        self.cold_until = now + BOOT_TIME + self.spec.warmup;
        self.overloaded_since = None;
        self.cache.clear();
        std::mem::take(&mut self.calls).into_keys().map(Milestone::Lost).collect()
    }

    /// Advances to `now` and returns the milestones reached since the previous `poll`.
    pub fn poll(&mut self, now: Moment) -> Vec<Milestone> {
        self.advance(now);
        let due = self.work_clock + MIN_STEP_S;
        let mut reached = Vec::new();
        for (id, call) in &mut self.calls {
            if call.first <= due && !call.first_reported {
                call.first_reported = true;
                reached.push(Milestone::FirstOutput(*id));
            }
            if call.end <= due {
                reached.push(Milestone::Completed(*id));
            }
        }
        self.calls.retain(|_, call| call.end > due);
        if self.overloaded_since.is_some_and(|t| now >= t + COLD_OVERLOAD_GRACE) {
            self.crashes += 1;
            reached.extend(self.restart(now));
        }
        reached
    }

    /// Returns the time of the next event, if nothing changes before.
    pub fn next_event(&self) -> Option<Moment> {
        let next_work = |c: &Call| if c.first_reported { c.end } else { c.first };
        let due = self.calls.values().map(next_work).min_by(f64::total_cmp)?;
        let remaining_s = (due - self.work_clock).max(MIN_STEP_S) / self.speed();
        let milestone = self.updated_at + Duration::from_secs_f64(remaining_s);
        let crash = self.overloaded_since.map(|t| t + COLD_OVERLOAD_GRACE);
        let warm = Some(self.cold_until).filter(|t| *t > self.updated_at);
        [Some(milestone), crash, warm].into_iter().flatten().min()
    }

    fn advance(&mut self, now: Moment) {
        self.record_usage(now);
        self.work_clock += now.since(self.updated_at).as_secs_f64() * self.speed();
        self.updated_at = self.updated_at.max(now);
        let overloaded = self.is_cold(now) && self.inflight() > self.spec.cold_limit;
        self.overloaded_since = if overloaded { self.overloaded_since.or(Some(now)) } else { None };
    }

    /// Records the use of the capacity since the last update, during which no call started or
    /// ended.
    fn record_usage(&mut self, now: Moment) {
        let from = self.updated_at.max(self.measured_span.0);
        let seconds = now.min(self.measured_span.1).since(from).as_secs_f64();
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
        let base = self.speed_factor * if self.is_cold(self.updated_at) { COLD_SPEED } else { 1.0 };
        if calls <= capacity {
            return base;
        }
        let excess = calls / capacity - 1.0;
        base / (1.0 + excess) / (1.0 + OVERLOAD_PENALTY * excess)
    }

    /// Moves a prefix to the front of the cache; returns whether it was cached.
    fn cache_prefix(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|p| *p == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(self.spec.cache_size);
        found.is_some()
    }
}
