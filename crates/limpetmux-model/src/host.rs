//! Simulates a host: its sidecar's admission control and its backend server.

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

/// Delay after which the sidecar observes the state of the backend server.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// A sidecar's answer to an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum Answer {
    /// The attempt completed after this time in the queue and this work, in seconds at full speed.
    Done { queued: Duration, work_s: f64 },
    /// The attempt was refused and did not run.
    Refused(Refusal),
    /// The backend server failed.
    Failed,
}

/// Answers, each with the id of its attempt.
pub(super) type Answers = Vec<(usize, Answer)>;

#[derive(Clone, Copy, Debug)]
struct Attempt {
    ticket: Ticket,
    work: Work,
    offered_at: Moment,
    started_at: Option<(Moment, Mark)>,
    /// Its work once started, in seconds at full speed.
    work_s: f64,
}

/// A simulated host.
pub(super) struct Host {
    pub(super) gate: Gate,
    pub(super) backend: Backend,
    limits: Limits,
    meter: Meter,
    attempts: BTreeMap<usize, Attempt>,
    tickets: BTreeMap<Ticket, usize>,
    /// States of the backend server: since when, its incarnation and whether it was cold.
    states: Vec<(Moment, u64, bool)>,
    /// Whether the current cold start began with a restart.
    restarted: bool,
    /// Cost of all ended calls, in millionths of the accounting unit.
    pub(super) cost: u64,
    /// The most calls in flight when a call started on the cold backend server and the gate could
    /// know that the server was cold.
    pub(super) cold_peak: u32,
    /// Calls started above the cold limit before the gate could know of the cold start.
    pub(super) blind_starts: u64,
    /// Incremented at each change; a tick of an earlier generation is outdated.
    pub(super) generation: u64,
    pub(super) wake: Option<Moment>,
}

impl Host {
    pub(super) fn new(policy: Policy, backend: Backend, limits: Limits, price: u64) -> Self {
        let mut host = Self {
            gate: new_gate(policy, Moment::ZERO, limits),
            backend,
            limits,
            meter: Meter::new(Moment::ZERO, price),
            attempts: BTreeMap::new(),
            tickets: BTreeMap::new(),
            states: vec![(Moment::ZERO, 1, false)],
            restarted: false,
            cost: 0,
            cold_peak: 0,
            blind_starts: 0,
            generation: 0,
            wake: None,
        };
        host.gate.observe(
            Moment::ZERO,
            ServerReport { incarnation: 1, cold: false, age: Duration::ZERO },
        );
        host
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
        self.attempts
            .insert(id, Attempt { ticket, work, offered_at: now, started_at: None, work_s: 0.0 });
        self.tickets.insert(ticket, id);
        if start {
            self.begin(now, id, &mut answers);
        }
        self.run_actions(now, answers)
    }

    pub(super) fn cancel(&mut self, now: Moment, id: usize) -> Answers {
        let Some(attempt) = self.attempts.get(&id).copied() else { return Answers::new() };
        match self.gate.cancel(attempt.ticket) {
            Cancelled::Running => {
                self.backend.cancel(now, id);
                self.end(now, id, Outcome::Cancelled);
            }
            Cancelled::NeverStarts | Cancelled::Unknown => self.remove(id),
        }
        self.run_actions(now, Answers::new())
    }

    /// Advances the backend server to `now`.
    pub(super) fn tick(&mut self, now: Moment) -> Answers {
        let milestones = self.backend.poll(now);
        let answers = self.apply(now, milestones);
        self.run_actions(now, answers)
    }

    pub(super) fn restart(&mut self, now: Moment) -> Answers {
        let lost = self.backend.restart(now);
        let answers = self.apply(now, lost);
        self.run_actions(now, answers)
    }

    /// Restarts the backend server and the sidecar, which loses its state.
    pub(super) fn restart_all(&mut self, now: Moment, policy: Policy) -> Answers {
        let answers = self.restart(now);
        self.gate = new_gate(policy, now, self.limits);
        answers
    }

    pub(super) fn set_speed_factor(&mut self, now: Moment, speed_factor: f64) -> Answers {
        self.backend.set_speed_factor(now, speed_factor);
        self.run_actions(now, Answers::new())
    }

    pub(super) fn set_zone(&mut self, now: Moment, serving: bool) -> Answers {
        self.gate.set_zone(serving);
        self.run_actions(now, Answers::new())
    }

    /// Passes the backend server's state of [`REPORT_LAG`] ago to the gate.
    pub(super) fn poll(&mut self, now: Moment) -> Answers {
        let state = (self.backend.incarnation, self.backend.is_cold(now));
        if self.states.last().is_none_or(|(_, i, c)| (*i, *c) != state) {
            self.states.push((now, state.0, state.1));
        }
        let reported_at = now - REPORT_LAG;
        if let Some((_, incarnation, cold)) =
            self.states.iter().rev().find(|(t, ..)| *t <= reported_at)
        {
            let report = ServerReport {
                incarnation: *incarnation,
                cold: *cold,
                age: now.since(reported_at),
            };
            self.gate.observe(now, report);
        }
        self.run_actions(now, Answers::new())
    }

    fn apply(&mut self, now: Moment, milestones: Vec<Milestone>) -> Answers {
        let mut answers = Answers::new();
        for milestone in milestones {
            match milestone {
                Milestone::FirstOutput(id) => {
                    if let Some(attempt) = self.attempts.get(&id) {
                        self.gate.first_output(now, attempt.ticket);
                    }
                }
                Milestone::Completed(id) => {
                    let work_s = self.attempts.get(&id).map_or(0.0, |a| a.work_s);
                    let queued = self.end(now, id, Outcome::Done);
                    answers.push((id, Answer::Done { queued, work_s }));
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

    /// Carries out the gate's actions until there are none.
    fn run_actions(&mut self, now: Moment, mut answers: Answers) -> Answers {
        loop {
            let actions = self.gate.poll(now);
            for (ticket, refusal) in &actions.refused {
                if let Some(id) = self.tickets.get(ticket).copied() {
                    self.remove(id);
                    answers.push((id, Answer::Refused(*refusal)));
                }
            }
            for ticket in &actions.start {
                if let Some(id) = self.tickets.get(ticket).copied() {
                    self.begin(now, id, &mut answers);
                }
            }
            if actions.start.is_empty() && actions.refused.is_empty() {
                self.wake = [actions.wake, self.backend.next_event()].into_iter().flatten().min();
                self.generation += 1;
                return answers;
            }
        }
    }

    fn begin(&mut self, now: Moment, id: usize, answers: &mut Answers) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let (work, mark) = (attempt.work, self.meter.start_call(now));
        attempt.started_at = Some((now, mark));
        let Some(work_s) = self.backend.start(now, id, work) else {
            self.restarted = true;
            self.end(now, id, Outcome::Failed);
            answers.push((id, Answer::Failed));
            return;
        };
        attempt.work_s = work_s;
        if self.backend.is_cold(now) {
            self.record_cold_start();
        }
    }

    fn record_cold_start(&mut self) {
        let inflight = self.backend.inflight();
        let adaptive = matches!(self.gate, Gate::Adaptive(_));
        if adaptive && !self.restarted && !self.gate.load().cold {
            self.blind_starts += u64::from(inflight > self.limits.cold_concurrency);
        } else {
            self.cold_peak = self.cold_peak.max(inflight);
        }
    }

    /// Ends a started attempt; returns its time in the queue.
    fn end(&mut self, now: Moment, id: usize, outcome: Outcome) -> Duration {
        let Some(attempt) = self.attempts.get(&id).copied() else { return Duration::ZERO };
        self.gate.finish(now, attempt.ticket, outcome);
        self.remove(id);
        let Some((started_at, mark)) = attempt.started_at else { return Duration::ZERO };
        self.cost += self.meter.end_call(now, mark);
        started_at.since(attempt.offered_at)
    }

    fn remove(&mut self, id: usize) {
        if let Some(attempt) = self.attempts.remove(&id) {
            self.tickets.remove(&attempt.ticket);
        }
    }

    /// Turns the backend server cold without a restart.
    pub(super) fn turn_cold(&mut self, now: Moment) -> Answers {
        self.restarted = false;
        self.backend.turn_cold(now);
        self.run_actions(now, Answers::new())
    }
}

fn new_gate(policy: Policy, now: Moment, limits: Limits) -> Gate {
    match policy.gate {
        GateKind::Adaptive => Gate::Adaptive(Box::new(Admission::new(now, limits))),
        GateKind::Fixed => Gate::Fixed(FixedGate::new(limits)),
    }
}
