//! A host: the gate of its sidecar and its backend server.

use super::backend::{Backend, Milestone, Work};
use super::gate::{FixedGate, Gate};
use super::{GateKind, Policy};
use limpetmux::core::admission::{
    Admission, AdmissionDecision, Cancelled, Limits, Load, Offer, Outcome, ServerReport, Ticket,
};
use limpetmux::core::cost::{Mark, Meter};
use limpetmux::core::refusal::Refusal;
use limpetmux::core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// The lag of a backend server's report about itself.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// What a sidecar answers about an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum Answer {
    /// It completed after this time in the queue, with this work in seconds at full speed.
    Done { queued: Duration, work: f64 },
    /// It was refused and did not run.
    Refused(Refusal),
    /// The backend server failed.
    Failed,
}

/// Answers by attempt.
pub(super) type Answers = Vec<(usize, Answer)>;

#[derive(Clone, Copy, Debug)]
struct Attempt {
    ticket: Ticket,
    work: Work,
    offered: Moment,
    started: Option<(Moment, Mark)>,
    /// Its work in seconds at full speed, once started.
    spent: f64,
}

/// A host.
pub(super) struct Side {
    pub(super) gate: Gate,
    pub(super) backend: Backend,
    limits: Limits,
    meter: Meter,
    attempts: BTreeMap<usize, Attempt>,
    tickets: BTreeMap<Ticket, usize>,
    /// What the backend server said about itself, from when on.
    said: Vec<(Moment, u64, bool)>,
    /// Whether the present cold start began with a restart.
    restarted: bool,
    pub(super) cost: u64,
    pub(super) peak: u32,
    pub(super) blind: u64,
    /// Counts changes, so that outdated events are told apart.
    pub(super) generation: u64,
    pub(super) wake: Option<Moment>,
}

impl Side {
    pub(super) fn new(policy: Policy, backend: Backend, limits: Limits, price: u64) -> Self {
        let mut side = Self {
            gate: new_gate(policy, Moment::ZERO, limits),
            backend,
            limits,
            meter: Meter::new(Moment::ZERO, price),
            attempts: BTreeMap::new(),
            tickets: BTreeMap::new(),
            said: vec![(Moment::ZERO, 1, false)],
            restarted: false,
            cost: 0,
            peak: 0,
            blind: 0,
            generation: 0,
            wake: None,
        };
        side.gate.observe(
            Moment::ZERO,
            ServerReport { incarnation: 1, cold: false, age: Duration::ZERO },
        );
        side
    }

    pub(super) fn load(&self) -> Load {
        self.gate.load()
    }

    pub(super) fn offer(&mut self, now: Moment, id: usize, offer: Offer, work: Work) -> Answers {
        let mut answers = Answers::new();
        let (ticket, start) = match self.gate.offer(now, offer) {
            AdmissionDecision::Start(ticket) => (ticket, true),
            AdmissionDecision::Queued(ticket) => (ticket, false),
            AdmissionDecision::Refused(refusal) => return vec![(id, Answer::Refused(refusal))],
        };
        self.attempts.insert(id, Attempt { ticket, work, offered: now, started: None, spent: 0.0 });
        self.tickets.insert(ticket, id);
        if start {
            self.begin(now, id, &mut answers);
        }
        self.settle(now, answers)
    }

    pub(super) fn cancel(&mut self, now: Moment, id: usize) -> Answers {
        let Some(attempt) = self.attempts.get(&id).copied() else { return Answers::new() };
        match self.gate.cancel(attempt.ticket) {
            Cancelled::Running => {
                self.backend.cancel(now, id);
                self.end(now, id, Outcome::Cancelled);
            }
            Cancelled::NeverStarts | Cancelled::Unknown => self.forget(id),
        }
        self.settle(now, Answers::new())
    }

    /// Lets the backend server run up to this moment.
    pub(super) fn tick(&mut self, now: Moment) -> Answers {
        let reached = self.backend.reached(now);
        let answers = self.apply(now, reached);
        self.settle(now, answers)
    }

    pub(super) fn restart(&mut self, now: Moment) -> Answers {
        let lost = self.backend.restart(now);
        let answers = self.apply(now, lost);
        self.settle(now, answers)
    }

    /// Starts the sidecar anew, which forgets what it knew.
    pub(super) fn replace(&mut self, now: Moment, policy: Policy) -> Answers {
        let answers = self.restart(now);
        self.gate = new_gate(policy, now, self.limits);
        answers
    }

    pub(super) fn set_pace(&mut self, now: Moment, pace: f64) -> Answers {
        self.backend.set_pace(now, pace);
        self.settle(now, Answers::new())
    }

    pub(super) fn set_zone(&mut self, now: Moment, serving: bool) -> Answers {
        self.gate.set_zone(serving);
        self.settle(now, Answers::new())
    }

    /// Lets the gate see what the backend server reported a while ago.
    pub(super) fn poll(&mut self, now: Moment) -> Answers {
        let state = (self.backend.incarnation, self.backend.is_cold(now));
        if self.said.last().is_none_or(|(_, i, c)| (*i, *c) != state) {
            self.said.push((now, state.0, state.1));
        }
        let taken = now - REPORT_LAG;
        if let Some((_, incarnation, cold)) = self.said.iter().rev().find(|(t, ..)| *t <= taken) {
            let report =
                ServerReport { incarnation: *incarnation, cold: *cold, age: now.since(taken) };
            self.gate.observe(now, report);
        }
        self.settle(now, Answers::new())
    }

    fn apply(&mut self, now: Moment, reached: Vec<Milestone>) -> Answers {
        let mut answers = Answers::new();
        for milestone in reached {
            match milestone {
                Milestone::First(id) => {
                    if let Some(attempt) = self.attempts.get(&id) {
                        self.gate.first_output(now, attempt.ticket);
                    }
                }
                Milestone::End(id) => {
                    let work = self.attempts.get(&id).map_or(0.0, |a| a.spent);
                    let queued = self.end(now, id, Outcome::Done);
                    answers.push((id, Answer::Done { queued, work }));
                }
                Milestone::Lost(id) => {
                    self.restarted = true;
                    self.end(now, id, Outcome::Failed);
                    answers.push((id, Answer::Failed));
                }
            }
        }
        answers
    }

    /// Does what the gate says until it has nothing more to say.
    fn settle(&mut self, now: Moment, mut answers: Answers) -> Answers {
        loop {
            let step = self.gate.next(now);
            for (ticket, refusal) in &step.refused {
                if let Some(id) = self.tickets.get(ticket).copied() {
                    self.forget(id);
                    answers.push((id, Answer::Refused(*refusal)));
                }
            }
            for ticket in &step.start {
                if let Some(id) = self.tickets.get(ticket).copied() {
                    self.begin(now, id, &mut answers);
                }
            }
            if step.start.is_empty() && step.refused.is_empty() {
                self.wake = [step.wake, self.backend.next()].into_iter().flatten().min();
                self.generation += 1;
                return answers;
            }
        }
    }

    fn begin(&mut self, now: Moment, id: usize, answers: &mut Answers) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let (work, mark) = (attempt.work, self.meter.start_call(now));
        attempt.started = Some((now, mark));
        let Some(spent) = self.backend.start(now, id, work) else {
            self.restarted = true;
            self.end(now, id, Outcome::Failed);
            answers.push((id, Answer::Failed));
            return;
        };
        attempt.spent = spent;
        if self.backend.is_cold(now) {
            self.note_cold_start();
        }
    }

    fn note_cold_start(&mut self) {
        let inflight = self.backend.inflight();
        let adaptive = matches!(self.gate, Gate::Adaptive(_));
        if adaptive && !self.restarted && !self.gate.load().cold {
            self.blind += u64::from(inflight > self.limits.cold_concurrency);
        } else {
            self.peak = self.peak.max(inflight);
        }
    }

    /// Ends a started attempt; returns its time in the queue.
    fn end(&mut self, now: Moment, id: usize, outcome: Outcome) -> Duration {
        let Some(attempt) = self.attempts.get(&id).copied() else { return Duration::ZERO };
        self.gate.finish(now, attempt.ticket, outcome);
        self.forget(id);
        let Some((started, mark)) = attempt.started else { return Duration::ZERO };
        self.cost += self.meter.end_call(now, mark);
        started.since(attempt.offered)
    }

    fn forget(&mut self, id: usize) {
        if let Some(attempt) = self.attempts.remove(&id) {
            self.tickets.remove(&attempt.ticket);
        }
    }

    /// Records that a cold start without restart begins.
    pub(super) fn turn_cold(&mut self, now: Moment) -> Answers {
        self.restarted = false;
        self.backend.turn_cold(now);
        self.settle(now, Answers::new())
    }
}

fn new_gate(policy: Policy, now: Moment, limits: Limits) -> Gate {
    match policy.gate {
        GateKind::Adaptive => Gate::Adaptive(Box::new(Admission::new(now, limits))),
        GateKind::Fixed => Gate::Fixed(FixedGate::new(limits)),
    }
}
