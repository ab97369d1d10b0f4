//! What stands before a backend server: the real admission, or a plain baseline.

use limpetmux::core::admission::{
    Actions, Admission, AdmissionDecision, Cancelled, Limits, Load, Offer, Outcome, ServerReport,
    Ticket,
};
use limpetmux::core::refusal::{Refusal, RefusalCode};
use limpetmux::core::time::Moment;
use std::collections::{BTreeSet, VecDeque};

/// The gate of one sidecar.
#[derive(Clone, Debug)]
pub enum Gate {
    /// The real decisions.
    Adaptive(Box<Admission>),
    /// A fixed limit and a first-in-first-out queue bounded by length.
    Fixed(FixedGate),
}

/// A fixed concurrency limit before a queue of bounded length.
#[derive(Clone, Debug)]
pub struct FixedGate {
    limits: Limits,
    queue: VecDeque<Ticket>,
    running: BTreeSet<Ticket>,
    issued: u64,
}

impl FixedGate {
    /// Creates an idle gate.
    pub fn new(limits: Limits) -> Self {
        Self { limits, queue: VecDeque::new(), running: BTreeSet::new(), issued: 0 }
    }

    fn is_full(&self) -> bool {
        self.running.len() >= self.limits.concurrency as usize
    }

    fn offer(&mut self) -> AdmissionDecision {
        let ticket = Ticket(self.issued);
        if self.is_full() && self.queue.len() >= self.limits.max_queued {
            return AdmissionDecision::Refused(Refusal::not_run(RefusalCode::Overloaded));
        }
        self.issued += 1;
        if self.is_full() {
            self.queue.push_back(ticket);
            return AdmissionDecision::Queued(ticket);
        }
        self.running.insert(ticket);
        AdmissionDecision::Start(ticket)
    }

    fn next(&mut self) -> Actions {
        let mut step = Actions::default();
        while !self.is_full() {
            let Some(ticket) = self.queue.pop_front() else { break };
            self.running.insert(ticket);
            step.start.push(ticket);
        }
        step
    }

    fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        if self.running.contains(&ticket) {
            return Cancelled::Running;
        }
        let before = self.queue.len();
        self.queue.retain(|t| *t != ticket);
        if self.queue.len() < before { Cancelled::NeverStarts } else { Cancelled::Unknown }
    }

    fn load(&self) -> Load {
        Load {
            inflight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.limits.concurrency,
            ..Load::default()
        }
    }
}

impl Gate {
    /// Offers a call.
    pub fn offer(&mut self, now: Moment, offer: Offer) -> AdmissionDecision {
        match self {
            Self::Adaptive(gate) => gate.offer(now, offer),
            Self::Fixed(gate) => gate.offer(),
        }
    }

    /// Returns what to do now.
    pub fn next(&mut self, now: Moment) -> Actions {
        match self {
            Self::Adaptive(gate) => gate.poll(now),
            Self::Fixed(gate) => gate.next(),
        }
    }

    /// Records a first output.
    pub fn first_output(&mut self, now: Moment, ticket: Ticket) {
        if let Self::Adaptive(gate) = self {
            gate.first_output(now, ticket);
        }
    }

    /// Records the end of a running call.
    pub fn finish(&mut self, now: Moment, ticket: Ticket, outcome: Outcome) {
        match self {
            Self::Adaptive(gate) => gate.finish(now, ticket, outcome),
            Self::Fixed(gate) => drop(gate.running.remove(&ticket)),
        }
    }

    /// Cancels a call.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        match self {
            Self::Adaptive(gate) => gate.cancel(ticket),
            Self::Fixed(gate) => gate.cancel(ticket),
        }
    }

    /// Takes in a report of the backend server.
    pub fn observe(&mut self, now: Moment, report: ServerReport) {
        if let Self::Adaptive(gate) = self {
            gate.observe(now, report);
        }
    }

    /// Records whether the host's zone serves.
    pub fn set_zone(&mut self, serving: bool) {
        if let Self::Adaptive(gate) = self {
            gate.set_zone(serving);
        }
    }

    /// Returns the load to report to entries.
    pub fn load(&self) -> Load {
        match self {
            Self::Adaptive(gate) => gate.load(),
            Self::Fixed(gate) => gate.load(),
        }
    }
}
