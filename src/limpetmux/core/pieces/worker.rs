//! One backend server of a stage service, as the queue before it sees it.

use super::job::{JobKey, Source};
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Up to this factor of the expected time a backend server counts as usual.
pub(super) const USUAL: f64 = 1.6;
/// The weight of a new sample in the slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;
/// How fast a slow backend server that gets nothing is believed to recover, for each second.
const RECOVERY: f64 = 0.15;
/// The first pause after a failed call; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// The number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;
/// The pause after the backend server was full or had no room; it doubles while it is full.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// One part in this many of the room is left free, as sizes of results are approximate.
const ROOM_PARTS: u64 = 14;
/// How long a backend server that had no room is believed to have no more than it gave.
const CEILING_FOR: Duration = Duration::from_millis(1_000);

/// A call to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey(pub u64);

/// A backend server that may be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSpec {
    /// The id of its incarnation.
    pub id: Arc<str>,
    /// The Unix millisecond of its start.
    pub born: u64,
    /// Where it accepts calls.
    pub addr: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: Arc<str>,
}

/// A piece in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Item {
    pub(super) job: JobKey,
    pub(super) piece: u32,
}

/// What a backend server is told of a piece.
#[derive(Clone, Debug, PartialEq)]
pub struct CallItem {
    /// The id of the request.
    pub request: Arc<str>,
    /// The position of the stage.
    pub stage: u32,
    /// The position of the piece.
    pub piece: u32,
    /// What it is made from.
    pub source: Source,
    /// The time until the request's deadline.
    pub left: Duration,
}

/// A call to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The name under which its end is reported.
    pub key: CallKey,
    /// The backend server.
    pub server: Arc<str>,
    /// Where it accepts calls.
    pub addr: SocketAddr,
    /// The time after which the call is given up.
    pub limit: Duration,
    /// The pieces.
    pub items: Vec<CallItem>,
}

/// Why a piece was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unmade {
    /// The request's deadline had passed.
    Late,
    /// An input does not exist any more.
    Gone,
    /// There was no room for the result.
    Room,
    /// The backend server did not take the call.
    Full,
    /// The backend server failed.
    Failed,
}

/// What became of one piece.
#[derive(Clone, Debug, PartialEq)]
pub enum Made {
    /// The name of the result.
    Result(Arc<str>),
    /// There is none.
    Not(Unmade),
}

/// How a call has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The backend server answered, with one entry for each piece.
    Answered(Vec<Made>),
    /// The backend server did not take the call.
    Refused,
    /// No connection came about, so nothing was sent.
    Unsent,
    /// Another backend server has the address.
    Elsewhere,
    /// There was no usable answer; the pieces may have been made.
    Lost,
}

#[derive(Debug)]
struct Running {
    key: CallKey,
    items: Vec<Item>,
    sizes: Vec<u64>,
    sent: Moment,
    expected: Duration,
    keep: Duration,
    reissued: bool,
}

/// A backend server and what it holds.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) spec: WorkerSpec,
    pub(super) usable: bool,
    /// Whether another backend server was found at its address.
    pub(super) misplaced: bool,
    /// How many times longer than expected its calls take.
    pub(super) slowness: f64,
    /// Results that take up room, with their sizes and the moment at which they lapse.
    pub(super) results: BTreeMap<Arc<str>, (u64, Moment)>,
    running: Option<Running>,
    /// Room that results of lost calls may take up, until each lapses.
    doubtful: Vec<(u64, Moment)>,
    /// The bytes that it held when it had no room left, believed until a moment.
    ceiling: Option<(u64, Moment)>,
    paused: Moment,
    failures: u32,
    /// The calls in a row that it did not take.
    refusals: u32,
    sampled: Moment,
}

impl Worker {
    pub(super) fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            usable: true,
            misplaced: false,
            slowness: 1.0,
            results: BTreeMap::new(),
            running: None,
            doubtful: Vec::new(),
            ceiling: None,
            paused: Moment::ZERO,
            failures: 0,
            refusals: 0,
            sampled: Moment::ZERO,
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        self.running.is_some()
    }

    pub(super) fn is_idle(&self, now: Moment) -> bool {
        self.is_good(now) && self.running.is_none()
    }

    /// Returns whether the backend server is expected to answer its next call.
    pub(super) fn is_good(&self, now: Moment) -> bool {
        self.usable && !self.misplaced && now >= self.paused
    }

    /// Returns the share of a usual backend server's work that it does.
    pub(super) fn speed(&self) -> f64 {
        1.0 / self.slowness.max(1.0)
    }

    pub(super) fn has(&self, call: CallKey) -> bool {
        self.running.as_ref().is_some_and(|r| r.key == call)
    }

    /// Returns the bytes that results take up or will take up.
    pub(super) fn reserved(&self) -> u64 {
        let held: u64 = self.results.values().map(|(size, _)| size).sum();
        let coming: u64 = self.running.iter().flat_map(|r| &r.sizes).sum();
        let doubtful: u64 = self.doubtful.iter().map(|(size, _)| size).sum();
        held + coming + doubtful
    }

    /// Returns the bytes of results that it has room for beside those that it holds.
    pub(super) fn room(&self, now: Moment, declared: u64) -> u64 {
        let ceiling = self.ceiling.filter(|(_, until)| now < *until).map(|(bytes, _)| bytes);
        let usable = declared / ROOM_PARTS * (ROOM_PARTS - 1);
        ceiling.unwrap_or(usable).min(usable).saturating_sub(self.reserved())
    }

    /// Returns the time until the running call should end.
    pub(super) fn busy_for(&self, now: Moment) -> Duration {
        let Some(running) = &self.running else { return Duration::ZERO };
        now.until(running.sent + running.expected.mul_f64(self.slowness.max(1.0)))
    }

    pub(super) fn start(
        &mut self,
        key: CallKey,
        now: Moment,
        expected: Duration,
        keep: Duration,
        items: Vec<Item>,
        sizes: Vec<u64>,
    ) {
        let running = Running { key, items, sizes, sent: now, expected, keep, reissued: false };
        self.running = Some(running);
    }

    /// Returns the pieces of a call that should have ended long ago, once.
    pub(super) fn overdue(&mut self, now: Moment, factor: u32, slack: Duration) -> Vec<Item> {
        let slowness = self.slowness.clamp(1.0, 2.0);
        let Some(running) = &mut self.running else { return Vec::new() };
        let limit = running.expected.mul_f64(slowness) * factor / 2 + slack;
        if running.reissued || now.since(running.sent) < limit {
            return Vec::new();
        }
        running.reissued = true;
        running.items.clone()
    }

    /// Takes in the end of the running call; returns what became of each piece.
    pub(super) fn finish(&mut self, now: Moment, call: CallKey, end: CallEnd) -> Vec<(Item, Made)> {
        let Some(running) = self.running.take_if(|r| r.key == call) else { return Vec::new() };
        let made = match end {
            CallEnd::Answered(made) if made.len() == running.items.len() => {
                self.answered(now, &running, &made);
                made
            }
            CallEnd::Answered(_) | CallEnd::Lost => {
                let until = now + running.keep;
                self.doubtful.extend(running.sizes.iter().map(|size| (*size, until)));
                self.failed(now);
                vec![Made::Not(Unmade::Failed); running.items.len()]
            }
            CallEnd::Unsent => {
                self.failed(now);
                vec![Made::Not(Unmade::Full); running.items.len()]
            }
            CallEnd::Refused => {
                self.paused = now + FULL_PAUSE * (1 << self.refusals.min(MAX_DOUBLINGS));
                self.refusals += 1;
                vec![Made::Not(Unmade::Full); running.items.len()]
            }
            CallEnd::Elsewhere => {
                self.misplaced = true;
                vec![Made::Not(Unmade::Full); running.items.len()]
            }
        };
        running.items.into_iter().zip(made).collect()
    }

    /// Gives back the room of results.
    pub(super) fn free(&mut self, results: &[Arc<str>]) {
        for result in results {
            self.results.remove(result);
        }
    }

    /// Gives back the room of results that the backend server has dropped by itself.
    pub(super) fn forget_results(&mut self, now: Moment) {
        self.results.retain(|_, (_, until)| *until > now);
        self.doubtful.retain(|(_, until)| *until > now);
        self.recover(now);
    }

    fn answered(&mut self, now: Moment, running: &Running, made: &[Made]) {
        for (made, size) in made.iter().zip(&running.sizes) {
            match made {
                Made::Result(result) => {
                    self.results.insert(Arc::clone(result), (*size, now + running.keep));
                }
                Made::Not(_) => {}
            }
        }
        if made.contains(&Made::Not(Unmade::Room)) {
            self.paused = now + FULL_PAUSE;
            self.ceiling = Some((self.reserved(), now + CEILING_FOR));
        }
        if made.iter().any(|m| matches!(m, Made::Result(_))) {
            self.failures = 0;
            self.refusals = 0;
            let took = now.since(running.sent).as_secs_f64();
            let sample = (took / running.expected.as_secs_f64().max(0.001)).clamp(0.5, 20.0);
            self.slowness += (sample - self.slowness) * SLOWNESS_WEIGHT;
            self.sampled = now;
        }
    }

    fn failed(&mut self, now: Moment) {
        self.paused = now + FIRST_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
    }

    /// Lets a slow backend server that gets nothing be tried again.
    fn recover(&mut self, now: Moment) {
        let idle = now.since(self.sampled).as_secs_f64();
        if self.running.is_none() && self.slowness > USUAL && idle > 1.0 {
            self.slowness = (self.slowness * (1.0 - RECOVERY)).max(1.0);
            self.sampled = now;
        }
    }
}
