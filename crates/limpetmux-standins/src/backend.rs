//! The parts common to all backend servers: slots, cold start, load report and fencing.

use crate::server::Faults;
use crate::slot::{Full, QueueGuard, Slot};
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Response, handler};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The limits, timing and behaviour of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// The port, or 0 for any.
    pub port: u16,
    /// Calls that may run at once when warm.
    pub capacity: u32,
    /// Calls that may run at once when cold.
    pub cold_concurrency: u32,
    /// Calls that may wait for a slot.
    pub max_queued: u32,
    /// The time from cold to warm.
    pub warmup: Duration,
    /// Whether the server starts cold.
    pub starts_cold: bool,
    /// Whether a call beyond the cold limit aborts all calls and restarts the warm-up.
    pub crashes_cold: bool,
    /// The age of the reported load.
    pub report_lag: Duration,
    /// The time of one call, or of one token of a model engine, when idle.
    pub step_time: Duration,
    /// Whether old fencing numbers are refused.
    pub checks_fence: bool,
}

impl Default for BackendOptions {
    fn default() -> Self {
        Self {
            port: 0,
            capacity: 16,
            cold_concurrency: 2,
            max_queued: 64,
            warmup: Duration::from_millis(500),
            starts_cold: false,
            crashes_cold: false,
            report_lag: Duration::from_millis(100),
            step_time: Duration::from_millis(2),
            checks_fence: false,
        }
    }
}

/// A position in the queue: highest priority first, then order of arrival.
pub(crate) type Ticket = (Reverse<u32>, u64);

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Instant,
    running: u32,
    waiting: u32,
    warm_at: Instant,
    incarnation: u64,
}

#[derive(Debug)]
struct Inner {
    running: u32,
    waiting: BTreeSet<Ticket>,
    arrivals: u64,
    warm_at: Instant,
    incarnation: u64,
    off: bool,
    fence: u64,
    reports: VecDeque<Report>,
    counts: Counts,
}

/// The call counters of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls that got a slot.
    pub started: u64,
    /// Calls that were refused, for any reason.
    pub refused: u64,
    /// Calls that arrived while the server was cold and full.
    pub overloads: u64,
    /// The highest number of calls that ran at once.
    pub peak: u32,
    /// The highest number of calls that ran at once while cold.
    pub cold_peak: u32,
    /// Calls that ended early because the caller disconnected or cancelled.
    pub cancelled: u64,
}

/// The state and the fault switches of one backend server.
#[derive(Debug)]
pub struct Backend {
    options: BackendOptions,
    inner: Mutex<Inner>,
    freed: Notify,
    stalled: AtomicBool,
    bursts: AtomicBool,
    slowdown: AtomicU32,
    /// The fault switches of the HTTP server.
    pub faults: Arc<Faults>,
}

impl Backend {
    pub(crate) fn new(options: BackendOptions) -> Arc<Self> {
        let now = Instant::now();
        let warm_at = if options.starts_cold { now + options.warmup } else { now };
        let inner = Inner {
            running: 0,
            waiting: BTreeSet::new(),
            arrivals: 0,
            warm_at,
            incarnation: 1,
            off: false,
            fence: 0,
            reports: VecDeque::new(),
            counts: Counts::default(),
        };
        Arc::new(Self {
            options,
            inner: Mutex::new(inner),
            freed: Notify::new(),
            stalled: AtomicBool::new(false),
            bursts: AtomicBool::new(false),
            slowdown: AtomicU32::new(1),
            faults: Arc::new(Faults::default()),
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the server without warning: running calls are aborted and the warm-up begins.
    pub fn turn_cold(&self) {
        let mut inner = self.inner();
        self.restart(&mut inner);
        drop(inner);
        self.freed.notify_waiters();
    }

    /// Switches the host on or off; the server starts cold when switched on.
    pub fn set_power(&self, on: bool) {
        let mut inner = self.inner();
        if inner.off == on {
            self.restart(&mut inner);
        }
        inner.off = !on;
        drop(inner);
        self.freed.notify_waiters();
    }

    /// Stops all progress while on, without aborting calls.
    pub fn set_stalled(&self, on: bool) {
        self.stalled.store(on, Ordering::SeqCst);
    }

    /// Sends tokens in bursts of several at a time while on.
    pub fn set_bursts(&self, on: bool) {
        self.bursts.store(on, Ordering::SeqCst);
    }

    /// Multiplies every service time; 1 is normal.
    pub fn set_slowdown(&self, factor: u32) {
        self.slowdown.store(factor.max(1), Ordering::SeqCst);
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.inner().counts
    }

    /// Returns the current incarnation, which every restart increments.
    pub fn incarnation(&self) -> u64 {
        self.inner().incarnation
    }

    /// Returns the number of calls that run now.
    pub fn running(&self) -> u32 {
        self.inner().running
    }

    /// Returns whether the server is switched off.
    pub fn is_off(&self) -> bool {
        self.inner().off
    }

    pub(crate) fn bursts(&self) -> bool {
        self.bursts.load(Ordering::SeqCst)
    }

    /// Checks a fencing number; a refusal returns the highest one seen.
    pub(crate) fn check_fence(&self, fence: u64) -> Result<(), u64> {
        let mut inner = self.inner();
        if self.options.checks_fence && fence < inner.fence {
            return Err(inner.fence);
        }
        inner.fence = inner.fence.max(fence);
        Ok(())
    }

    fn restart(&self, inner: &mut Inner) {
        inner.incarnation += 1;
        inner.running = 0;
        inner.warm_at = Instant::now() + self.options.warmup;
        self.record(inner);
    }

    fn record(&self, inner: &mut Inner) {
        let report = Report {
            at: Instant::now(),
            running: inner.running,
            waiting: inner.waiting.len() as u32,
            warm_at: inner.warm_at,
            incarnation: inner.incarnation,
        };
        let horizon = report.at.checked_sub(self.options.report_lag);
        while inner.reports.get(1).is_some_and(|r| horizon.is_some_and(|h| r.at <= h)) {
            inner.reports.pop_front();
        }
        inner.reports.push_back(report);
    }

    /// Waits for a slot, in order of priority and arrival.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u32) -> Result<Slot, Full> {
        let Some(ticket) = self.start_or_queue(priority)? else { return Ok(self.slot()) };
        let mut guard = QueueGuard { backend: Arc::clone(self), ticket, granted: false };
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if self.try_start(ticket)? {
                guard.granted = true;
                return Ok(self.slot());
            }
            freed.await;
        }
    }

    fn slot(self: &Arc<Self>) -> Slot {
        Slot { backend: Arc::clone(self), incarnation: self.incarnation(), completed: false }
    }

    /// Starts a call at once and returns `None`, or queues it and returns its ticket.
    fn start_or_queue(&self, priority: u32) -> Result<Option<Ticket>, Full> {
        let mut inner = self.inner();
        let cold = Instant::now() < inner.warm_at;
        let limit = if cold { self.options.cold_concurrency } else { self.options.capacity };
        if !inner.off && inner.running < limit && inner.waiting.is_empty() {
            self.start(&mut inner, cold);
            return Ok(None);
        }
        if inner.off || cold || inner.waiting.len() >= self.options.max_queued as usize {
            inner.counts.refused += 1;
            if cold && !inner.off {
                inner.counts.overloads += 1;
                if self.options.crashes_cold {
                    self.restart(&mut inner);
                }
            }
            return Err(Full);
        }
        inner.arrivals += 1;
        let ticket = (Reverse(priority), inner.arrivals);
        inner.waiting.insert(ticket);
        self.record(&mut inner);
        Ok(Some(ticket))
    }

    fn try_start(&self, ticket: Ticket) -> Result<bool, Full> {
        let mut inner = self.inner();
        if inner.off {
            inner.counts.refused += 1;
            return Err(Full);
        }
        let cold = Instant::now() < inner.warm_at;
        let limit = if cold { self.options.cold_concurrency } else { self.options.capacity };
        if inner.running >= limit || inner.waiting.first() != Some(&ticket) {
            return Ok(false);
        }
        inner.waiting.remove(&ticket);
        self.start(&mut inner, cold);
        drop(inner);
        self.freed.notify_waiters();
        Ok(true)
    }

    fn start(&self, inner: &mut Inner, cold: bool) {
        inner.running += 1;
        inner.counts.started += 1;
        inner.counts.peak = inner.counts.peak.max(inner.running);
        if cold {
            inner.counts.cold_peak = inner.counts.cold_peak.max(inner.running);
        }
        self.record(inner);
    }

    /// Sleeps for a number of steps; concurrent calls slow each other down, as does a cold start.
    pub(crate) async fn work(&self, steps: u32) {
        const COLD_SLOWDOWN: u32 = 3;
        const STALL_CHECK_MS: u64 = 5;
        let (running, cold) = {
            let inner = self.inner();
            (inner.running, Instant::now() < inner.warm_at)
        };
        let factor = self.slowdown.load(Ordering::SeqCst) * if cold { COLD_SLOWDOWN } else { 1 };
        let share = f64::from(running) / f64::from(self.options.capacity.max(1));
        tokio::time::sleep((self.options.step_time * steps * factor).mul_f64(1.0 + share)).await;
        while self.stalled.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(STALL_CHECK_MS)).await;
        }
    }

    /// Removes a call from the queue.
    pub(crate) fn abandon(&self, ticket: Ticket) {
        self.inner().waiting.remove(&ticket);
        self.freed.notify_waiters();
    }

    /// Releases a slot, unless a restart has already done so.
    pub(crate) fn release(&self, incarnation: u64, completed: bool) {
        let mut inner = self.inner();
        if inner.incarnation == incarnation {
            inner.running = inner.running.saturating_sub(1);
            inner.counts.cancelled += u64::from(!completed);
            self.record(&mut inner);
        }
        drop(inner);
        self.freed.notify_waiters();
    }

    fn load(&self) -> LoadReport {
        let inner = self.inner();
        let now = Instant::now();
        let horizon = now.checked_sub(self.options.report_lag).unwrap_or(now);
        let report = inner.reports.iter().rev().find(|r| r.at <= horizon);
        let (running, waiting) = report.map_or((0, 0), |r| (r.running, r.waiting));
        LoadReport {
            running,
            waiting,
            capacity: self.options.capacity,
            cold: report.map_or(inner.warm_at, |r| r.warm_at) > horizon,
            incarnation: report.map_or(inner.incarnation, |r| r.incarnation),
            age_ms: u64::try_from(self.options.report_lag.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

#[derive(Serialize)]
pub(crate) struct LoadReport {
    running: u32,
    waiting: u32,
    capacity: u32,
    cold: bool,
    incarnation: u64,
    age_ms: u64,
}

/// Answers `GET /v1/load`.
#[handler]
pub(crate) async fn load(backend: Data<&Arc<Backend>>) -> Result<Json<LoadReport>, poem::Error> {
    if backend.is_off() {
        return Err(StatusCode::SERVICE_UNAVAILABLE.into());
    }
    Ok(Json(backend.load()))
}

/// Returns the response to a call that got no slot.
pub(crate) fn refuse(_: Full) -> Response {
    StatusCode::SERVICE_UNAVAILABLE.into()
}
