//! Simulation in virtual time of a request burst at a backend server that has just restarted.

use crate::invariants::{Fact, Journal};
use limpetmux::core::admission::{
    Admission, AdmissionDecision, FlowId, Limits, Offer, Outcome, ServerReport, Ticket,
};
use limpetmux::core::refusal::Refusal;
use limpetmux::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Concurrent calls that the backend server handles when cold.
pub const COLD_CONCURRENCY: u32 = 2;
/// Concurrent calls that the backend server handles when warm.
pub const WARM_CONCURRENCY: u32 = 8;
/// Time at which the backend server becomes warm.
const WARM_AT_MS: u64 = 500;
/// Duration of a call on a cold and on a warm backend server.
const CALL_TIMES: [Duration; 2] = [Duration::from_millis(60), Duration::from_millis(20)];
/// Interval between the backend server's reports; also the age of a report on arrival.
const REPORT_INTERVAL_MS: u64 = 100;
/// Time at which the burst arrives.
const BURST_AT_MS: u64 = 100;
/// Number of requests in the burst.
const BURST_REQUESTS: u64 = 24;
/// Time from a request's arrival to its deadline.
const REQUEST_TIME: Duration = Duration::from_millis(600);
/// Time between two steps of the simulation.
const STEP_MS: usize = 10;
/// End of the simulation.
const END_MS: u64 = 1_000;

/// Runs the burst against an admission that starts at most `cold` concurrent calls on a cold
/// backend server, and returns the journal.
pub fn run_burst(cold: u32) -> Journal {
    Burst::run(cold)
}

/// A simulated backend server and the admission in front of it.
struct Burst {
    admission: Admission,
    journal: Journal,
    now: Moment,
    requests: BTreeMap<Ticket, u64>,
    /// End time and ticket of each running call.
    running: BTreeSet<(Moment, Ticket)>,
}

impl Burst {
    fn run(cold: u32) -> Journal {
        let warmup = Duration::from_millis(WARM_AT_MS);
        let limits = Limits {
            concurrency: WARM_CONCURRENCY,
            cold_concurrency: cold,
            warmup,
            max_queued: 64,
        };
        let mut burst = Self {
            admission: Admission::new(Moment::ZERO, limits),
            journal: Journal::default(),
            now: Moment::ZERO,
            requests: BTreeMap::new(),
            running: BTreeSet::new(),
        };
        burst.record(Fact::Cold { host: host(), bound: COLD_CONCURRENCY as usize });
        for ms in (0..=END_MS).step_by(STEP_MS) {
            burst.now = Moment::from_millis(ms);
            burst.step(ms);
        }
        burst.journal
    }

    fn record(&mut self, fact: Fact) {
        self.journal.record(self.now, fact);
    }

    fn step(&mut self, ms: u64) {
        if ms == WARM_AT_MS {
            self.record(Fact::Warm { host: host() });
        }
        self.end_calls();
        if ms.is_multiple_of(REPORT_INTERVAL_MS) {
            let age = Duration::from_millis(REPORT_INTERVAL_MS);
            let cold = ms < WARM_AT_MS + REPORT_INTERVAL_MS;
            self.admission.observe(self.now, ServerReport { incarnation: 1, cold, age });
        }
        if ms == BURST_AT_MS {
            (1..=BURST_REQUESTS).for_each(|request| self.offer(request));
        }
        let actions = self.admission.poll(self.now);
        actions.start.into_iter().for_each(|ticket| self.start(ticket));
        for (ticket, refusal) in actions.refused {
            let request = self.requests[&ticket];
            self.refuse(request, refusal);
        }
    }

    fn offer(&mut self, request: u64) {
        self.record(Fact::Sent { request, key: None });
        let deadline = self.now + REQUEST_TIME;
        let offer = Offer { flow: FlowId(request % 2), weight: 1, priority: 0, work: 1, deadline };
        match self.admission.offer(self.now, offer) {
            AdmissionDecision::Start(ticket) => {
                self.requests.insert(ticket, request);
                self.start(ticket);
            }
            AdmissionDecision::Queued(ticket) => {
                self.requests.insert(ticket, request);
            }
            AdmissionDecision::Refused(refusal) => self.refuse(request, refusal),
        }
    }

    fn refuse(&mut self, request: u64, refusal: Refusal) {
        self.record(Fact::Refused { request, execution: refusal.execution });
    }

    fn start(&mut self, ticket: Ticket) {
        let (request, zone) = (self.requests[&ticket], "mnl-a".to_owned());
        let fact =
            Fact::Started { request, stage: 0, host: host(), zone, idempotent: true, key: None };
        self.record(fact);
        let is_warm = self.now >= Moment::from_millis(WARM_AT_MS);
        self.running.insert((self.now + CALL_TIMES[usize::from(is_warm)], ticket));
    }

    fn end_calls(&mut self) {
        while let Some((end, ticket)) = self.running.first().copied() {
            if end > self.now {
                return;
            }
            self.running.pop_first();
            self.admission.finish(self.now, ticket, Outcome::Done);
            let request = self.requests[&ticket];
            self.record(Fact::Completed { request, stage: 0, host: host() });
            let text = format!("answer {request}");
            self.record(Fact::Answered { request, expected: text.clone(), text });
        }
    }
}

fn host() -> String {
    "generate-0".to_owned()
}
