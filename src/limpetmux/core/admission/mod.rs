//! Admission to one backend server: concurrency limit, slow start, queue and fair share.
//!
//! One sidecar owns one [`Admission`] and is the only sender to its backend server, so the limit
//! holds however many entries send at once. The caller offers each call, starts what it is told to
//! start, and reports first output and end. After each method that changes state it calls
//! [`Admission::next`] and acts on the [`Step`]: calls to start, queued calls to refuse at once,
//! and the moment at which to ask again. Time is a parameter, so a replay decides alike. The
//! rules are in `docs/design/admission.md`.

mod estimate;
mod limit;
mod offer;
mod queue;
mod warmth;

pub use estimate::Estimate;
pub use offer::{Admitted, Cancelled, FlowId, Limits, Load, Offer, Outcome, Report, Step, Ticket};

use crate::core::time::Moment;
use crate::core::verdict::{Refusal, RefusalCode};
use limit::Limiter;
use queue::{FairQueue, Waiting};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use warmth::Warmth;

/// The least time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The number of calls without first output that are compared with the usual time.
const OVERDUE_CALLS: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Running {
    started: Moment,
    first: Option<Moment>,
    /// Calls on the backend server just after this one started.
    inflight: u32,
}

/// Decides what one backend server runs, and when.
#[derive(Clone, Debug)]
pub struct Admission {
    limits: Limits,
    limiter: Limiter,
    warmth: Warmth,
    queue: FairQueue,
    running: BTreeMap<Ticket, Running>,
    awaiting: BTreeSet<(Moment, Ticket)>,
    busy: Estimate,
    /// Durations of calls that ended while the backend server was cold.
    cold_busy: Estimate,
    first: Estimate,
    refused: Vec<(Ticket, Refusal)>,
    draining: bool,
    serving: bool,
    issued: u64,
}

impl Admission {
    /// Creates the admission of a backend server about which nothing is known, so it counts as
    /// cold until a report or the warm-up time says otherwise.
    pub fn new(now: Moment, limits: Limits) -> Self {
        Self {
            limits,
            limiter: Limiter::new(limits.concurrency),
            warmth: Warmth::new(now, limits),
            queue: FairQueue::default(),
            running: BTreeMap::new(),
            awaiting: BTreeSet::new(),
            busy: Estimate::default(),
            cold_busy: Estimate::default(),
            first: Estimate::default(),
            refused: Vec::new(),
            draining: false,
            serving: true,
            issued: 0,
        }
    }

    /// Takes over limits from a new configuration; calls already running are not touched.
    pub fn configure(&mut self, limits: Limits) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.limiter.set_ceiling(limits.concurrency);
        self.warmth.configure(limits);
    }

    /// Decides on one call: start it now, queue it, or refuse it without having run anything.
    ///
    /// The refusal names the moment from which asking again is worthwhile, if there is one.
    pub fn offer(&mut self, now: Moment, offer: Offer) -> Admitted {
        if let Some(refusal) = self.gate(now) {
            return Admitted::Refused(refusal);
        }
        if offer.deadline <= now {
            return Admitted::Refused(Refusal::not_run(RefusalCode::Deadline));
        }
        let ticket = Ticket(self.issued);
        let place = self.queue.place(&offer, ticket);
        if self.queue.is_empty() && self.inflight() < self.limit() {
            self.queue.pass(&offer, place);
            self.issued += 1;
            self.start(now, ticket);
            return Admitted::Start(ticket);
        }
        let wait = self.wait(self.queue.ahead(place));
        let start_by = offer.deadline - self.usual().cautious();
        if now + wait > start_by {
            return Admitted::Refused(self.overload(now, wait));
        }
        if self.queue.len() >= self.limits.queue {
            match self.queue.last() {
                Some((last, victim)) if place < last => self.shed(now, victim),
                _ => return Admitted::Refused(self.overload(now, wait)),
            }
        }
        self.issued += 1;
        let is_last = self.queue.last().is_none_or(|(last, _)| last < place);
        self.queue.insert(place, Waiting { ticket, flow: offer.flow, start_by });
        if !is_last {
            self.shed_hopeless(now);
        }
        Admitted::Queued(ticket)
    }

    /// Returns the calls to start and the queued calls to refuse at this moment.
    pub fn next(&mut self, now: Moment) -> Step {
        self.check_overdue(now);
        self.apply_gate(now);
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
        Step { start, refused, wake: self.wake(now) }
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
        if self.warmth.first_output(now, took) {
            self.turn_cold(now);
        } else {
            self.first.add(took);
        }
    }

    /// Records the end of a running call and frees its slot.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        if outcome == Outcome::Done {
            self.first_output(now, ticket);
        }
        let Some(call) = self.running.remove(&ticket) else { return };
        self.awaiting.remove(&(call.started, ticket));
        match outcome {
            Outcome::Done => self.done(now.since(call.started), call.inflight),
            Outcome::Saturated => self.limiter.saturated(call.inflight),
            Outcome::Failed | Outcome::Cancelled => {}
        }
        if self.warmth.finished(now, outcome) {
            self.turn_cold(now);
        }
    }

    /// Cancels a call. A queued call will never start; a running one is still to be finished.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        if self.running.contains_key(&ticket) {
            return Cancelled::Running;
        }
        match self.queue.remove(ticket) {
            Some(_) => Cancelled::NeverStarts,
            None => Cancelled::Unknown,
        }
    }

    /// Takes in what the backend server reports about itself.
    pub fn observe(&mut self, now: Moment, report: Report) {
        if self.warmth.observe(now, report) {
            self.turn_cold(now);
        }
    }

    /// Starts or ends draining. Draining refuses the queue at once, so that entries can hand the
    /// queued calls to other hosts; running calls go on.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Records whether the host's availability zone serves; if not, the queue is refused.
    pub fn set_zone(&mut self, serving: bool) {
        self.serving = serving;
    }

    /// Returns whether no call runs or waits, which ends a drain.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// Returns the load to report to entries.
    pub fn load(&self) -> Load {
        Load {
            inflight: self.inflight(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            limit: self.limit(),
            cold: !self.warmth.is_warm(),
            draining: self.draining,
            incarnation: self.warmth.incarnation(),
            first: self.first.mean(),
        }
    }

    /// Returns the number of calls that may run at once at this moment.
    pub fn limit(&self) -> u32 {
        self.warmth.bound().min(self.limiter.limit())
    }

    fn done(&mut self, took: Duration, inflight: u32) {
        if self.warmth.is_cold() {
            self.cold_busy.add(took);
        } else {
            self.busy.add(took);
        }
        if self.warmth.is_warm() {
            self.limiter.add(took, inflight);
        }
    }

    fn inflight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn gate(&self, now: Moment) -> Option<Refusal> {
        if self.draining {
            return Some(Refusal::not_run(RefusalCode::Draining));
        }
        if !self.serving {
            return Some(Refusal::not_run(RefusalCode::ZoneOut));
        }
        let left = self.warmth.pause_left(now)?;
        Some(Refusal::not_run(RefusalCode::Unavailable).retry_in(left))
    }

    fn apply_gate(&mut self, now: Moment) {
        let Some(refusal) = self.gate(now) else { return };
        while let Some(ticket) = self.queue.pop() {
            self.refused.push((ticket, refusal));
        }
    }

    /// Returns the durations to expect in the present condition.
    fn usual(&self) -> &Estimate {
        if self.warmth.is_cold() { &self.cold_busy } else { &self.busy }
    }

    /// Estimates the time until a call with `ahead` calls before it in the queue starts.
    fn wait(&self, ahead: usize) -> Duration {
        let rounds = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.usual().mean().saturating_mul(rounds) / self.limit().max(1)
    }

    fn overload(&self, now: Moment, wait: Duration) -> Refusal {
        match self.warmth.warm_in(now) {
            Some(left) => Refusal::not_run(RefusalCode::Cold).retry_in(left.max(MIN_RETRY_AFTER)),
            None => Refusal::not_run(RefusalCode::Overloaded).retry_in(wait.max(MIN_RETRY_AFTER)),
        }
    }

    fn start(&mut self, now: Moment, ticket: Ticket) {
        let inflight = self.inflight() + 1;
        self.running.insert(ticket, Running { started: now, first: None, inflight });
        self.awaiting.insert((now, ticket));
    }

    fn shed(&mut self, now: Moment, ticket: Ticket) {
        if self.queue.remove(ticket).is_some() {
            let refusal = self.overload(now, self.wait(0));
            self.refused.push((ticket, refusal));
        }
    }

    /// Refuses queued calls that newer, more valuable ones have pushed past their last start.
    fn shed_hopeless(&mut self, now: Moment) {
        let slot = self.usual().mean() / self.limit().max(1);
        for ticket in self.queue.hopeless(now, slot) {
            self.shed(now, ticket);
        }
    }

    fn check_overdue(&mut self, now: Moment) {
        let Some(&(started, _)) = self.awaiting.iter().nth(OVERDUE_CALLS - 1) else { return };
        if self.warmth.is_overdue(now.since(started)) {
            self.turn_cold(now);
        }
    }

    fn turn_cold(&mut self, now: Moment) {
        self.warmth.turn_cold(now);
        self.cold_busy = Estimate::default();
        self.limiter.forget_window();
        self.shed_hopeless(now);
    }

    fn wake(&self, now: Moment) -> Option<Moment> {
        let expiry = self.queue.next_expiry();
        let warm = self.warmth.warm_in(now).filter(|_| !self.queue.is_empty()).map(|d| now + d);
        let overdue = self.awaiting.iter().nth(OVERDUE_CALLS - 1);
        let overdue = overdue.and_then(|(t, _)| Some(*t + self.warmth.overdue_after()?));
        [expiry, warm, overdue].into_iter().flatten().filter(|t| *t > now).min()
    }
}
