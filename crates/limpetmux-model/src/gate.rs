//! Admission control in front of a backend server: the production code or a simple baseline.

use limpetmux::core::admission::{
    Actions, Admission, AdmissionDecision, Cancelled, Limits, Load, Offer, Outcome, ServerReport,
    Ticket,
};
use limpetmux::core::refusal::{Refusal, RefusalCode};
use limpetmux::core::time::Moment;
use std::collections::{BTreeSet, VecDeque};

/// The admission control of one sidecar.
#[derive(Clone, Debug)]
pub enum Gate {
    /// The production code.
    Adaptive(Box<Admission>),
    /// A fixed concurrency limit and a bounded FIFO queue.
    Fixed(FixedGate),
}

/// A fixed concurrency limit with a bounded FIFO queue.
#[derive(Clone, Debug)]
pub struct FixedGate {
    limits: Limits,
    queue: VecDeque<Ticket>,
    running: BTreeSet<Ticket>,
    next_ticket: u64,
}

impl FixedGate {
    /// Creates an idle gate.
    pub fn new(limits: Limits) -> Self {
        Self { limits, queue: VecDeque::new(), running: BTreeSet::new(), next_ticket: 0 }
    }

    fn is_full(&self) -> bool {
        self.running.len() >= self.limits.concurrency as usize
    }

    fn offer(&mut self) -> AdmissionDecision {
        let ticket = Ticket(self.next_ticket);
        if self.is_full() && self.queue.len() >= self.limits.max_queued {
            return AdmissionDecision::Refused(Refusal::not_run(RefusalCode::Overloaded));
        }
        self.next_ticket += 1;
        if self.is_full() {
            self.queue.push_back(ticket);
            return AdmissionDecision::Queued(ticket);
        }
        self.running.insert(ticket);
        AdmissionDecision::Start(ticket)
    }

    fn poll(&mut self) -> Actions {
        let mut actions = Actions::default();
        while !self.is_full() {
            let Some(ticket) = self.queue.pop_front() else { break };
            self.running.insert(ticket);
            actions.start.push(ticket);
        }
        actions
    }

    fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        if self.running.contains(&ticket) {
            return Cancelled::Running;
        }
        let queued_before = self.queue.len();
        self.queue.retain(|t| *t != ticket);
        if self.queue.len() < queued_before { Cancelled::NeverStarts } else { Cancelled::Unknown }
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

    /// Returns the calls to start or refuse now.
    pub fn poll(&mut self, now: Moment) -> Actions {
        match self {
            Self::Adaptive(gate) => gate.poll(now),
            Self::Fixed(gate) => gate.poll(),
        }
    }

    /// Records the first output of a running call.
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

    /// Records a report of the backend server.
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
