//! Admission to one backend server: concurrency limit, slow start, queue and fair share.
//!
//! Each sidecar owns one [`Admission`] and is the only sender to its backend server, so the limit
//! holds regardless of how many entries send at once. The caller offers each call, starts the
//! admitted ones, and reports their first output and end. After each method that changes state it
//! calls [`Admission::poll`] and performs the [`Actions`]: calls to start, queued calls to refuse
//! at once, and the moment of the next call of `poll`. Time is a parameter, so a replay makes the
//! same decisions. The rules are in `docs/design/admission.md`.

mod estimate;
mod limit;
mod offer;
mod queue;
mod slow_start;

pub use estimate::Estimate;
pub use offer::{
    Actions, AdmissionDecision, Cancelled, Limits, Load, Offer, Outcome, ServerReport, Ticket,
};

pub use crate::core::share::FlowId;

use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::time::Moment;
use limit::Limiter;
use queue::{FairQueue, QueuedCall};
use slow_start::SlowStart;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The minimum retry delay in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// How many calls must be overdue for their first output before the backend server counts as cold.
const OVERDUE_CALLS: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Running {
    started: Moment,
    first: Option<Moment>,
    /// Calls in flight at the backend server, including this one, when it started.
    inflight: u32,
}

/// Decides which calls one backend server runs, and when.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    limiter: Limiter,
    slow_start: SlowStart,
    queue: FairQueue,
    running: BTreeMap<Ticket, Running>,
    /// Running calls without first output, by start time.
    awaiting: BTreeSet<(Moment, Ticket)>,
    /// Durations of calls that ended while the backend server was not cold.
    busy: Estimate,
    /// Durations of calls that ended while the backend server was cold.
    cold_busy: Estimate,
    first_output: Estimate,
    refused: Vec<(Ticket, Refusal)>,
    draining: bool,
    zone_serving: bool,
    next_ticket: u64,
}

impl Admission {
    /// Creates the admission of a backend server in an unknown state, which counts as cold until it
    /// reports otherwise or the warm-up time has passed.
    pub fn new(now: Moment, limits: Limits) -> Self {
        Self {
            limits,
            limiter: Limiter::new(limits.concurrency),
            slow_start: SlowStart::new(now, limits),
            queue: FairQueue::default(),
            running: BTreeMap::new(),
            awaiting: BTreeSet::new(),
            busy: Estimate::default(),
            cold_busy: Estimate::default(),
            first_output: Estimate::default(),
            refused: Vec::new(),
            draining: false,
            zone_serving: true,
            next_ticket: 0,
        }
    }

    /// Applies the limits of a new configuration; running calls are not affected.
    pub fn configure(&mut self, limits: Limits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.limiter.set_ceiling(limits.concurrency);
        self.slow_start.configure(limits);
    }

    /// Decides whether to start one call now, queue it, or refuse it before it has run.
    ///
    /// The refusal contains a retry delay if a retry may succeed.
    pub fn offer(&mut self, now: Moment, offer: Offer) -> AdmissionDecision {
        if let Some(refusal) = self.blocked(now) {
            return AdmissionDecision::Refused(refusal);
        }
        if offer.deadline <= now {
            return AdmissionDecision::Refused(Refusal::not_run(RefusalCode::Deadline));
        }
        let ticket = Ticket(self.next_ticket);
        let place = self.queue.place(&offer, ticket);
        if self.queue.is_empty() && self.inflight() < self.limit() {
            self.queue.bypass(&offer, place);
            self.next_ticket += 1;
            self.start(now, ticket);
            return AdmissionDecision::Start(ticket);
        }
        let wait = self.expected_wait(self.queue.ahead(place));
        let start_by = offer.deadline - self.expected_busy().upper_bound();
        if now + wait > start_by {
            return AdmissionDecision::Refused(self.overload(now, wait));
        }
        if self.queue.len() >= self.limits.max_queued {
            match self.queue.last() {
                Some((last, victim)) if place < last => self.shed(now, victim),
                _ => return AdmissionDecision::Refused(self.overload(now, wait)),
            }
        }
        self.next_ticket += 1;
        let is_last = self.queue.last().is_none_or(|(last, _)| last < place);
        self.queue.insert(place, QueuedCall { ticket, flow: offer.flow, start_by });
        if !is_last {
            self.shed_late(now);
        }
        AdmissionDecision::Queued(ticket)
    }

    /// Returns the calls to start and the queued calls to refuse at this moment.
    pub fn poll(&mut self, now: Moment) -> Actions {
        self.check_overdue(now);
        self.refuse_blocked(now);
        for ticket in self.queue.expired(now) {
            self.shed(now, ticket);
        }
        let mut start = Vec::new();
        while self.inflight() < self.limit() {
            let Some(ticket) = self.queue.pop() else { break };
            self.start(now, ticket);
            start.push(ticket);
        }
        let refused = std::mem::take(&mut self.refused);
        Actions { start, refused, wake: self.wake(now) }
    }

    /// Records the first output of a running call.
    pub fn first_output(&mut self, now: Moment, ticket: Ticket) {
        let Some(call) = self.running.get_mut(&ticket) else { return };
        if call.first.is_some() {
            return;
        }
        call.first = Some(now);
        let took = now.since(call.started);
        self.awaiting.remove(&(call.started, ticket));
        if self.slow_start.first_output(now, took) {
            self.turn_cold(now);
        } else {
            self.first_output.add(took);
        }
    }

    /// Records the end of a running call and releases its concurrency slot.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        if outcome == Outcome::Done {
            self.first_output(now, ticket);
        }
        let Some(call) = self.running.remove(&ticket) else { return };
        self.awaiting.remove(&(call.started, ticket));
        match outcome {
            Outcome::Done => self.record_duration(now.since(call.started), call.inflight),
            Outcome::Saturated => self.limiter.saturated(call.inflight),
            Outcome::Failed | Outcome::Cancelled => {}
        }
        if self.slow_start.finished(now, outcome) {
            self.turn_cold(now);
        }
    }

    /// Cancels a call. A queued call will never start; a running one still has to be reported with
    /// [`finish`](Self::finish).
    pub fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        if self.running.contains_key(&ticket) {
            return Cancelled::Running;
        }
        match self.queue.remove(ticket) {
            Some(_) => Cancelled::NeverStarts,
            None => Cancelled::Unknown,
        }
    }

    /// Applies a report of the backend server about itself.
    pub fn observe(&mut self, now: Moment, report: ServerReport) {
        if self.slow_start.observe(now, report) {
            self.turn_cold(now);
        }
    }

    /// Starts or ends draining. Draining refuses all queued calls at once, so that entries can send
    /// them to other hosts; running calls continue.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Records whether the host's availability zone is in service; if not, all queued calls are
    /// refused.
    pub fn set_zone(&mut self, serving: bool) {
        self.zone_serving = serving;
    }

    /// Returns whether no call is running or queued, which ends a drain.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the load to report to entries.
    pub fn load(&self) -> Load {
        Load {
            inflight: self.inflight(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            limit: self.limit(),
            cold: !self.slow_start.is_warm(),
            draining: self.draining,
            incarnation: self.slow_start.incarnation(),
            first_output: self.first_output.mean(),
        }
    }

    /// Returns the number of calls that may currently run at once.
    pub fn limit(&self) -> u32 {
        self.slow_start.limit().min(self.limiter.limit())
    }

    fn record_duration(&mut self, took: Duration, inflight: u32) {
        if self.slow_start.is_cold() {
            self.cold_busy.add(took);
        } else {
            self.busy.add(took);
        }
        if self.slow_start.is_warm() {
            self.limiter.add(took, inflight);
        }
    }

    fn inflight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the refusal of every call while the host is draining, out of service or paused.
    fn blocked(&self, now: Moment) -> Option<Refusal> {
        if self.draining {
            return Some(Refusal::not_run(RefusalCode::Draining));
        }
        if !self.zone_serving {
            return Some(Refusal::not_run(RefusalCode::ZoneOut));
        }
        let left = self.slow_start.pause_left(now)?;
        Some(Refusal::not_run(RefusalCode::Unavailable).retry_in(left))
    }

    /// Refuses all queued calls while the host is draining, out of service or paused.
    fn refuse_blocked(&mut self, now: Moment) {
        let Some(refusal) = self.blocked(now) else { return };
        while let Some(ticket) = self.queue.pop() {
            self.refused.push((ticket, refusal));
        }
    }

    /// Returns the estimated duration of calls, depending on whether the backend server is cold.
    fn expected_busy(&self) -> &Estimate {
        if self.slow_start.is_cold() { &self.cold_busy } else { &self.busy }
    }

    /// Estimates the time until a call starts that has `ahead` calls before it in the queue.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let calls = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.expected_busy().mean().saturating_mul(calls) / self.limit().max(1)
    }

    /// Returns the refusal of a call that cannot start in time, with its retry delay.
    fn overload(&self, now: Moment, wait: Duration) -> Refusal {
        match self.slow_start.warm_in(now) {
            Some(left) => Refusal::not_run(RefusalCode::Cold).retry_in(left.max(MIN_RETRY_AFTER)),
            None => Refusal::not_run(RefusalCode::Overloaded).retry_in(wait.max(MIN_RETRY_AFTER)),
        }
    }

    fn start(&mut self, now: Moment, ticket: Ticket) {
        let inflight = self.inflight() + 1;
        self.running.insert(ticket, Running { started: now, first: None, inflight });
        self.awaiting.insert((now, ticket));
    }

    /// Refuses a queued call.
    fn shed(&mut self, now: Moment, ticket: Ticket) {
        if self.queue.remove(ticket).is_some() {
            let refusal = self.overload(now, self.expected_wait(0));
            self.refused.push((ticket, refusal));
        }
    }

    /// Refuses queued calls that can no longer start in time, for example because calls of higher
    /// priority were queued before them.
    fn shed_late(&mut self, now: Moment) {
        let interval = self.expected_busy().mean() / self.limit().max(1);
        for ticket in self.queue.late(now, interval) {
            self.shed(now, ticket);
        }
    }

    fn check_overdue(&mut self, now: Moment) {
        let Some(&(started, _)) = self.awaiting.iter().nth(OVERDUE_CALLS - 1) else { return };
        if self.slow_start.is_overdue(now.since(started)) {
            self.turn_cold(now);
        }
    }

    fn turn_cold(&mut self, now: Moment) {
        self.slow_start.turn_cold(now);
        self.cold_busy = Estimate::default();
        self.limiter.forget_window();
        self.shed_late(now);
    }

    fn wake(&self, now: Moment) -> Option<Moment> {
        let expiry = self.queue.next_expiry();
        let warm = self.slow_start.warm_in(now).filter(|_| !self.queue.is_empty()).map(|d| now + d);
        let overdue = self.awaiting.iter().nth(OVERDUE_CALLS - 1);
        let overdue = overdue.and_then(|(t, _)| Some(*t + self.slow_start.overdue_after()?));
        [expiry, warm, overdue].into_iter().flatten().filter(|t| *t > now).min()
    }
}
