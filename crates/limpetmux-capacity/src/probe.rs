//! Measurements of the production code, one function per subject.

use crate::alloc::{AllocationStats, measure};
use limpetmux::core::admission::{Admission, AdmissionDecision, FlowId, Limits, Offer, Outcome};
use limpetmux::core::config::{Fold, FoldOutcome, Replica, record};
use limpetmux::core::planner::{Agent, AgentOptions, DutyRecord, LoadSample, PROBES_PER_ROUND};
use limpetmux::core::routing::{CallOutcome, EntryPlace, Query, Router, RouterSettings};
use limpetmux::prelude::*;
use limpetmux::wire::peer::Sync;
use limpetmux_test_support::changes::{change, change_record, first_change, weight_edit};
use limpetmux_test_support::{Size, name, sized_config};
use prost::Message;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const SEED: u64 = 7;

/// Compiles the view of a size and measures its allocations.
pub fn view(size: Size) -> (View, AllocationStats) {
    let config = sized_config(size);
    measure(|| View::compile(Revision(1), &config))
}

/// Builds a fold that holds the configuration of a size and measures its allocations.
pub fn fold(size: Size) -> (Fold, AllocationStats) {
    let first = change_record(first_change(&sized_config(size)));
    measure(|| {
        let mut fold = Fold::new();
        let outcome = fold.step(Offset(0), &first);
        assert!(matches!(&outcome, Ok(FoldOutcome::Verdict(v)) if v.is_accepted()), "{outcome:?}");
        fold
    })
}

/// Folds `count` small changes, each of one workspace, and returns the allocations.
pub fn changes(fold: &mut Fold, count: u32) -> AllocationStats {
    let records: Vec<Vec<u8>> = (0..count).map(|i| small_change(fold, i)).collect();
    let ((), stats) = measure(|| {
        for record in &records {
            let outcome = fold.step(fold.next(), record);
            assert!(
                matches!(&outcome, Ok(FoldOutcome::Verdict(v)) if v.is_accepted()),
                "{outcome:?}"
            );
        }
    });
    stats
}

/// Returns the record of a small change that lies `distance` records after the fold's next offset.
pub fn small_change(fold: &Fold, distance: u32) -> Vec<u8> {
    let at = fold.next().0 + u64::from(distance);
    let edit = weight_edit(fold.config(), "workspace-0000", 1 + distance % 4 + distance % 2);
    change_record(change(u128::from(at) + 1, Revision(at), Offset(at), vec![edit]))
}

/// Returns the length of the snapshot record of a size, in bytes.
pub fn snapshot_bytes(size: Size) -> usize {
    let (fold, _) = fold(size);
    let body = record::Body::Snapshot(Box::new(fold.snapshot()));
    record::encode(&body, fold.format()).map_or(usize::MAX, |data| data.len())
}

/// Returns the length of one message of an idle exchange between peers, in bytes without framing.
pub fn idle_exchange_bytes(size: Size) -> usize {
    let mut replica = Replica::new();
    let first = change_record(first_change(&sized_config(size)));
    let page = [(Offset(0), first.as_slice())];
    let read = replica.next_read();
    let folded = replica.on_page(read, (Offset(0), Offset(1)), page.into_iter());
    assert!(folded.is_ok(), "{folded:?}");
    let position = replica.position();
    Sync { next: position.next.0, digest: position.digest, ..Sync::default() }.encoded_len()
}

/// An entry's router with one view.
pub struct Routing {
    view: View,
    router: Router,
    rng: Pcg64Mcg,
    decisions: u64,
}

impl Routing {
    /// Builds a router, makes one decision on the view of a size, and measures its allocations.
    pub fn new(size: Size) -> (Self, AllocationStats) {
        let (view, _) = view(size);
        let place = EntryPlace { zone: name("zone-0000"), ordinal: 0 };
        measure(|| {
            let router = Router::new(RouterSettings::new(place));
            let rng = Pcg64Mcg::seed_from_u64(SEED);
            let mut routing = Self { view, router, rng, decisions: 0 };
            routing.decide();
            routing
        })
    }

    /// Makes and finishes one decision.
    pub fn decide(&mut self) {
        self.decisions += 1;
        let now = Moment::from_micros(self.decisions * 100);
        let services = self.view.services.len() as u64;
        let service = ServiceKey((self.decisions % services) as u16);
        let query = Query { service, affinity: Some(self.decisions % 64), exclude: &[] };
        let pick = self.router.pick(now, &self.view, query, |_| true, &mut self.rng);
        if let Some(pick) = pick {
            self.router.finished(now, pick.slot, CallOutcome::Done);
        }
    }

    /// Makes `count` decisions and returns their allocations.
    pub fn decisions(&mut self, count: u32) -> AllocationStats {
        measure(|| (0..count).for_each(|_| self.decide())).1
    }
}

/// Offers and finishes `count` calls at one sidecar and returns the allocations.
pub fn admissions(count: u32) -> AllocationStats {
    let limits = Limits {
        concurrency: 32,
        cold_concurrency: 2,
        warmup: Duration::from_secs(60),
        max_queued: 1_024,
    };
    let mut admission = Admission::new(Moment::ZERO, limits);
    measure(|| (0..count).for_each(|i| admit(&mut admission, i))).1
}

/// Offers one call and finishes it if it starts.
pub fn admit(admission: &mut Admission, index: u32) {
    let now = Moment::from_micros(u64::from(index) * 1_000);
    let offer = Offer {
        flow: FlowId(u64::from(index % 330)),
        weight: 1,
        priority: 4,
        work: 1,
        deadline: now + Duration::from_secs(5),
    };
    if let AdmissionDecision::Start(ticket) = admission.offer(now, offer) {
        admission.finish(now, ticket, Outcome::Done);
    }
    admission.poll(now);
}

/// A planner agent that holds the lease, with one view.
pub struct Planning {
    view: View,
    agent: Agent,
    rounds: u64,
}

impl Planning {
    /// Builds the agent for a size and measures its allocations.
    pub fn new(size: Size) -> (Self, AllocationStats) {
        let (view, _) = view(size);
        measure(|| {
            let mut agent = Agent::new(AgentOptions::new("node".to_owned()), Offset(0));
            let grant = DutyRecord::Grant { holder: "node".to_owned(), previous: None };
            agent.on_tick(Moment::ZERO, 0.0);
            agent.on_record(Moment::ZERO, Offset(0), Some(&grant));
            let mut planning = Self { view, agent, rounds: 0 };
            // After these rounds every host has been probed once.
            (0..size.hosts.div_ceil(PROBES_PER_ROUND as u32)).for_each(|_| planning.plan());
            planning
        })
    }

    /// Returns how many hosts the next round probes for their load.
    pub fn probes(&self) -> usize {
        let usable = self.view.hosts.keys().collect();
        self.agent.probe_targets(&self.view, &usable).len()
    }

    /// Turns one round of load samples into a plan.
    pub fn plan(&mut self) {
        self.rounds += 1;
        let now = Moment::from_millis(self.rounds % 20 * 1_000);
        let sample = LoadSample { inflight: 20, queued: 0 };
        let usable = self.view.hosts.keys().collect();
        let hosts = self.agent.probe_targets(&self.view, &usable);
        let loads = hosts.into_iter().map(|h| (h, Some(sample))).collect();
        self.agent.on_loads(now, &self.view, &loads, &usable);
    }
}
