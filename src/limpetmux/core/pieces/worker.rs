//! The state that a piece queue keeps of one backend server of its service.

use super::job::{JobKey, Source};
use crate::core::catalog::PieceSpec;
use crate::core::time::Moment;
use crate::core::work::load::ServerLoad;
use crate::core::work::speed::SpeedRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Calls that take up to this many times their expected time are not slow.
pub(super) const USUAL_SLOWNESS: f64 = 1.6;
/// Weight of a new sample in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.4;
/// Part by which the slowness of a slow backend server without calls is lowered every second, so
/// that it is tried again.
const RECOVERY_RATE: f64 = 0.15;
/// First pause after a failed call; it doubles with each further failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 4;
/// Pause after a refused call or a result without room; it doubles with each further refusal in a
/// row.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// One part in this many of the room is kept free, as result sizes are approximate.
const ROOM_PARTS: u64 = 14;
/// How long the bytes that a backend server held when it ran out of room limit its room.
const CEILING_TIME: Duration = Duration::from_millis(1_000);

/// The key of a call to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallKey(pub u64);

/// A backend server that may get calls.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerSpec {
    /// The id of the incarnation.
    pub id: Arc<str>,
    /// The Unix millisecond of its start.
    pub started_ms: u64,
    /// The address where it accepts calls.
    pub addr: SocketAddr,
    /// The availability zone of its host.
    pub zone: Arc<str>,
    /// What its limit on calls leaves.
    pub quota: CallQuota,
}

/// What the limit of a backend server on calls leaves for them; the default is no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallQuota {
    /// When the next call may be sent.
    pub opens_at: Moment,
    /// The time between two calls.
    pub interval: Duration,
}

/// A piece in a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Item {
    pub(super) job: JobKey,
    pub(super) piece: u32,
}

/// The description of a piece that is sent to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct CallItem {
    /// The id of the request.
    pub request: Arc<str>,
    /// The position of the stage.
    pub stage: u32,
    /// The position of the piece.
    pub piece: u32,
    /// The input of the piece.
    pub source: Source,
    /// The time until the request's deadline.
    pub remaining: Duration,
}

/// A call to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The key that its end is reported with.
    pub key: CallKey,
    /// The backend server.
    pub server: Arc<str>,
    /// The address where it accepts calls.
    pub addr: SocketAddr,
    /// The time after which the call times out.
    pub timeout: Duration,
    /// The pieces.
    pub items: Vec<CallItem>,
}

/// Why a piece has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceError {
    /// The request's deadline had passed.
    Late,
    /// An input no longer exists.
    InputMissing,
    /// There was no room for the result.
    NoRoom,
    /// The call did not reach the backend server or was refused, so the piece did not run.
    Refused,
    /// The backend server failed.
    ServerFailed,
}

/// The outcome of one piece.
#[derive(Clone, Debug, PartialEq)]
pub enum PieceOutcome {
    /// The piece is completed; holds the name of the result.
    Completed(Arc<str>),
    /// The piece has no result.
    Failed(PieceError),
}

/// How a call has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The backend server answered, with the outcome of each piece.
    Answered(Vec<PieceOutcome>),
    /// The backend server refused the call.
    Refused,
    /// No connection was established, so nothing was sent.
    Unsent,
    /// The limit of the backend server was used up, so nothing was sent.
    Denied,
    /// Another backend server runs at the address.
    WrongServer,
    /// There was no usable answer; the pieces may have run.
    Lost,
}

#[derive(Debug)]
struct Running {
    key: CallKey,
    items: Vec<Item>,
    sizes: Vec<u64>,
    sent: Moment,
    expected: Duration,
    /// The slowdown that was expected when it was sent.
    slowdown: f64,
    retention: Duration,
    reissued: bool,
}

/// A backend server with its running call and its results.
#[derive(Debug)]
pub(super) struct Worker {
    pub(super) spec: WorkerSpec,
    pub(super) usable: bool,
    /// Whether another backend server was found at its address.
    pub(super) replaced: bool,
    /// Moving average of the actual time of a call divided by its expected time at the stated
    /// slowdown.
    slowness: f64,
    /// The slowdowns that it has stated.
    stated: SpeedRecord,
    /// Results that take up room, with their sizes in bytes and when they expire.
    pub(super) results: BTreeMap<Arc<str>, (u64, Moment)>,
    running: Option<Running>,
    /// Bytes that results of lost calls may take up, with when each expires.
    unconfirmed: Vec<(u64, Moment)>,
    /// The bytes that it held when it ran out of room, and until when they limit its room.
    ceiling: Option<(u64, Moment)>,
    paused_until: Moment,
    /// Failed calls in a row.
    failures: u32,
    /// Refused calls in a row.
    refusals: u32,
    /// When the slowness last changed.
    sampled_at: Moment,
}

impl Worker {
    pub(super) fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            usable: true,
            replaced: false,
            slowness: 1.0,
            stated: SpeedRecord::default(),
            results: BTreeMap::new(),
            running: None,
            unconfirmed: Vec::new(),
            ceiling: None,
            paused_until: Moment::ZERO,
            failures: 0,
            refusals: 0,
            sampled_at: Moment::ZERO,
        }
    }

    pub(super) fn is_busy(&self) -> bool {
        self.running.is_some()
    }

    pub(super) fn is_idle(&self, now: Moment) -> bool {
        self.is_available(now) && self.running.is_none() && now >= self.spec.quota.opens_at
    }

    /// Returns whether the backend server is expected to accept and answer calls.
    pub(super) fn is_available(&self, now: Moment) -> bool {
        self.usable && !self.replaced && now >= self.paused_until
    }

    /// Returns by how much longer than usual a call of a usual time takes that is sent now: by what it
    /// states, and by what past calls took beyond that.
    pub(super) fn slowness(&self, now: Moment, usual: Duration) -> f64 {
        self.slowness * self.stated.slowdown_over(now, usual)
    }

    /// Returns how many pieces a call may have that is sent now and ends by some time.
    pub(super) fn pieces_until(&self, now: Moment, end: Moment, spec: &PieceSpec) -> usize {
        let time = now.until(end).div_f64(self.slowness(now, spec.call_time));
        let for_pieces = time.saturating_sub(spec.call_time).as_secs_f64();
        (for_pieces / spec.item_time.as_secs_f64().max(f64::EPSILON)) as usize
    }

    /// Records the load that it states.
    pub(super) fn record_load(&mut self, now: Moment, load: ServerLoad) {
        if let Some(slowdown) = load.slowdown {
            self.stated.record(now, slowdown);
        }
    }

    /// Returns its throughput relative to a backend server with the expected time of a full call.
    pub(super) fn speed(&self, now: Moment, call_time: Duration) -> f64 {
        let slowness = self.slowness(now, call_time).max(1.0);
        let time = call_time.mul_f64(slowness).max(self.spec.quota.interval);
        call_time.as_secs_f64() / time.as_secs_f64().max(f64::EPSILON)
    }

    pub(super) fn is_running(&self, call: CallKey) -> bool {
        self.running.as_ref().is_some_and(|r| r.key == call)
    }

    /// Returns the bytes that results take up now or after the running call.
    ///
    /// Other nodes state the sizes, so the sum ends at the end of its range.
    pub(super) fn reserved(&self) -> u64 {
        let held = self.results.values().map(|(size, _)| size);
        let pending = self.running.iter().flat_map(|r| &r.sizes);
        let unconfirmed = self.unconfirmed.iter().map(|(size, _)| size);
        held.chain(pending).chain(unconfirmed).copied().fold(0, u64::saturating_add)
    }

    /// Returns the bytes that are free for further results, of `declared` bytes in all.
    pub(super) fn room(&self, now: Moment, declared: u64) -> u64 {
        let ceiling = self.ceiling.filter(|(_, until)| now < *until).map(|(bytes, _)| bytes);
        let usable = declared / ROOM_PARTS * (ROOM_PARTS - 1);
        ceiling.unwrap_or(usable).min(usable).saturating_sub(self.reserved())
    }

    /// Returns the time until the running call should end.
    pub(super) fn busy_for(&self, now: Moment) -> Duration {
        let Some(running) = &self.running else { return Duration::ZERO };
        let slowness = (self.slowness * running.slowdown).max(1.0);
        now.until(running.sent + running.expected.mul_f64(slowness))
    }

    pub(super) fn start(
        &mut self,
        key: CallKey,
        now: Moment,
        expected: Duration,
        retention: Duration,
        items: Vec<Item>,
        sizes: Vec<u64>,
    ) {
        let slowdown = self.stated.slowdown_over(now, expected);
        let running = Running {
            key,
            items,
            sizes,
            sent: now,
            expected,
            slowdown,
            retention,
            reissued: false,
        };
        self.running = Some(running);
    }

    /// Returns the pieces of the running call, once, if the call is overdue: if it takes longer
    /// than `halves` halves of its expected time plus `margin`.
    pub(super) fn overdue(&mut self, now: Moment, halves: u32, margin: Duration) -> Vec<Item> {
        let Some(running) = &mut self.running else { return Vec::new() };
        let slowness = (self.slowness * running.slowdown).clamp(1.0, 2.0);
        let limit = running.expected.mul_f64(slowness) * halves / 2 + margin;
        if running.reissued || now.since(running.sent) < limit {
            return Vec::new();
        }
        running.reissued = true;
        running.items.clone()
    }

    /// Records the end of the running call; returns the outcome of each piece.
    pub(super) fn finish(
        &mut self,
        now: Moment,
        call: CallKey,
        end: CallEnd,
    ) -> Vec<(Item, PieceOutcome)> {
        let Some(running) = self.running.take_if(|r| r.key == call) else { return Vec::new() };
        let outcomes = match end {
            CallEnd::Answered(outcomes) if outcomes.len() == running.items.len() => {
                self.record_answer(now, &running, &outcomes);
                outcomes
            }
            CallEnd::Answered(_) | CallEnd::Lost => {
                let until = now + running.retention;
                self.unconfirmed.extend(running.sizes.iter().map(|size| (*size, until)));
                self.record_failure(now);
                vec![PieceOutcome::Failed(PieceError::ServerFailed); running.items.len()]
            }
            CallEnd::Unsent => {
                self.record_failure(now);
                vec![PieceOutcome::Failed(PieceError::Refused); running.items.len()]
            }
            CallEnd::Refused => {
                self.paused_until = now + FULL_PAUSE * (1 << self.refusals.min(MAX_DOUBLINGS));
                self.refusals += 1;
                vec![PieceOutcome::Failed(PieceError::Refused); running.items.len()]
            }
            CallEnd::Denied => {
                vec![PieceOutcome::Failed(PieceError::Refused); running.items.len()]
            }
            CallEnd::WrongServer => {
                self.replaced = true;
                vec![PieceOutcome::Failed(PieceError::Refused); running.items.len()]
            }
        };
        running.items.into_iter().zip(outcomes).collect()
    }

    /// Releases the room of results that were freed.
    pub(super) fn free(&mut self, results: &[Arc<str>]) {
        for result in results {
            self.results.remove(result);
        }
    }

    /// Releases the room of results that have expired at the backend server.
    pub(super) fn expire_results(&mut self, now: Moment) {
        self.results.retain(|_, (_, until)| *until > now);
        self.unconfirmed.retain(|(_, until)| *until > now);
        self.lower_slowness(now);
    }

    fn record_answer(&mut self, now: Moment, running: &Running, outcomes: &[PieceOutcome]) {
        for (outcome, size) in outcomes.iter().zip(&running.sizes) {
            match outcome {
                PieceOutcome::Completed(result) => {
                    self.results.insert(Arc::clone(result), (*size, now + running.retention));
                }
                PieceOutcome::Failed(_) => {}
            }
        }
        if outcomes.contains(&PieceOutcome::Failed(PieceError::NoRoom)) {
            self.paused_until = now + FULL_PAUSE;
            self.ceiling = Some((self.reserved(), now + CEILING_TIME));
        }
        if outcomes.iter().any(|o| matches!(o, PieceOutcome::Completed(_))) {
            self.failures = 0;
            self.refusals = 0;
            let took = now.since(running.sent).as_secs_f64();
            let slowdown = (running.slowdown * self.stated.slowdown(now)).sqrt();
            let expected = running.expected.as_secs_f64() * slowdown;
            let sample = (took / expected.max(0.001)).clamp(0.5, 20.0);
            self.slowness += (sample - self.slowness) * SLOWNESS_WEIGHT;
            self.sampled_at = now;
        }
    }

    fn record_failure(&mut self, now: Moment) {
        self.paused_until = now + FIRST_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
    }

    /// Lowers the slowness of a slow backend server without calls, so that it is tried again.
    fn lower_slowness(&mut self, now: Moment) {
        let idle = now.since(self.sampled_at).as_secs_f64();
        if self.running.is_none() && self.slowness > USUAL_SLOWNESS && idle > 1.0 {
            self.slowness = (self.slowness * (1.0 - RECOVERY_RATE)).max(1.0);
            self.sampled_at = now;
        }
    }
}
