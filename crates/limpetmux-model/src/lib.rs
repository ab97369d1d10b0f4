//! The real decisions under load and faults, in virtual time.
//!
//! [`run`] feeds the arrivals of one [`Scenario`] to entries and sidecars that decide by the real
//! `core`, before small fakes of backend servers, and counts what came of it. A [`Policy`] replaces
//! single decisions by plain baselines. The same scenario and policy give the same [`Summary`] on
//! every run. A request has two stages: `encode` on a fast pool and `write` on the pool whose
//! capacity the load refers to.

mod arrivals;
mod backend;
mod entry;
mod event;
mod gate;
mod route;
mod side;
mod summary;
mod usage;
mod world;

pub use backend::BackendSpec;
pub use summary::Summary;
pub use usage::Usage;

use std::time::Duration;

/// How hosts are found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The real router.
    Router,
    /// Uniformly at random.
    Random,
    /// One after the other, per entry.
    RoundRobin,
    /// The fewest of the entry's own calls.
    LeastInflight,
}

/// What stands before a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateKind {
    /// The real admission.
    Adaptive,
    /// The declared limit and a queue bounded by length.
    Fixed,
}

/// Which decisions are real.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The name in reports.
    pub name: &'static str,
    /// How hosts are found.
    pub route: Route,
    /// What stands before a backend server.
    pub gate: GateKind,
    /// Whether time and retry budgets are kept; without them any failure is retried at once.
    pub budget: bool,
    /// Whether work is cancelled once its caller has gone.
    pub cancel: bool,
}

impl Policy {
    /// All decisions as in production.
    pub const REAL: Self = Self {
        name: "limpetmux",
        route: Route::Router,
        gate: GateKind::Adaptive,
        budget: true,
        cancel: true,
    };

    /// The real policy, the baselines that replace one decision each, and one that replaces all.
    pub const ALL: [Self; 8] = [
        Self::REAL,
        Self { name: "random", route: Route::Random, ..Self::REAL },
        Self { name: "round-robin", route: Route::RoundRobin, ..Self::REAL },
        Self { name: "least-in-flight", route: Route::LeastInflight, ..Self::REAL },
        Self { name: "fixed limit", gate: GateKind::Fixed, ..Self::REAL },
        Self { name: "no budget", budget: false, ..Self::REAL },
        Self { name: "no cancel", cancel: false, ..Self::REAL },
        Self {
            name: "all plain",
            route: Route::Random,
            gate: GateKind::Fixed,
            budget: false,
            cancel: false,
        },
    ];
}

/// A fault and the second at which it happens.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The n-th writer restarts and loses its calls.
    Restart(u64, usize),
    /// The n-th writer turns cold without losing calls.
    TurnCold(u64, usize),
    /// Operators take the n-th zone out.
    ZoneOut(u64, usize),
    /// Operators bring the n-th zone back; its backend servers and sidecars start anew.
    ZoneBack(u64, usize),
}

impl Fault {
    fn at(self) -> Duration {
        let (Self::Restart(second, _)
        | Self::TurnCold(second, _)
        | Self::ZoneOut(second, _)
        | Self::ZoneBack(second, _)) = self;
        Duration::from_secs(second)
    }
}

/// What happens in a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of all random draws.
    pub seed: u64,
    /// Arrivals as a share of the writers' capacity without any cache hit.
    pub load: f64,
    /// A time span in seconds, and the factor by which arrivals grow in it.
    pub burst: Option<(u64, u64, f64)>,
    /// The length of the run in seconds.
    pub seconds: u64,
    /// The number of entries.
    pub entries: usize,
    /// Writers and encoders per zone; there are four zones.
    pub hosts: (usize, usize),
    /// Faults in the order of time.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// A run of one minute at a share of capacity, on twelve writers behind twelve entries.
    pub fn steady(load: f64) -> Self {
        Self {
            seed: 7,
            load,
            burst: None,
            seconds: 60,
            entries: 12,
            hosts: (3, 2),
            faults: Vec::new(),
        }
    }
}

/// The first part of a run, which is not counted.
const LEAD_IN: Duration = Duration::from_secs(10);
/// The deadline of requests.
const DEADLINE: Duration = Duration::from_secs(2);
/// Calls that a writer is declared to run at once, more than it bears without slowing down.
const DECLARED: u32 = 12;
/// The writers.
const WRITER: BackendSpec =
    BackendSpec { capacity: 8, cold: 2, warmup: Duration::from_secs(5), cache: 24 };
/// The encoders.
const ENCODER: BackendSpec =
    BackendSpec { capacity: 4, cold: 2, warmup: Duration::from_secs(1), cache: 0 };

/// Runs a scenario under a policy.
pub fn run(scenario: &Scenario, policy: Policy) -> Summary {
    world::World::new(scenario, policy).run()
}
