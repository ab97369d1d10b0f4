//! Simulates the production decision code under load and faults, in virtual time.
//!
//! [`run`] generates the requests of one [`Scenario`] and passes them to simulated entries and
//! hosts. Entries and sidecars decide with the production code of `core`; backend servers are
//! simple fakes. A [`Policy`] replaces single decisions with simple baselines. The same scenario
//! and policy give the same [`Summary`] on every run. A request has two stages: `encode` on the
//! encoders, a fast pool, and `write` on the writers, the pool whose capacity the load refers to.

mod arrivals;
mod backend;
mod entry;
mod event;
mod gate;
mod host;
mod route;
mod simulation;
mod summary;
mod usage;

pub use backend::BackendSpec;
pub use summary::Summary;
pub use usage::Usage;

use std::time::Duration;

/// How an entry chooses a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The production router.
    Router,
    /// A uniformly random host.
    Random,
    /// Each host in turn, per entry.
    RoundRobin,
    /// The host with the fewest calls of the same entry in flight.
    LeastInflight,
}

/// How a sidecar admits calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateKind {
    /// The production admission control.
    Adaptive,
    /// The declared concurrency limit and a queue of bounded length.
    Fixed,
}

/// The decisions that use the production code, and the baselines in place of the others.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The name in reports.
    pub name: &'static str,
    /// How entries choose hosts.
    pub route: Route,
    /// How sidecars admit calls.
    pub gate: GateKind,
    /// Whether time and retry budgets apply; without them any failure is retried at once.
    pub budget: bool,
    /// Whether open attempts are cancelled when the request's deadline passes.
    pub cancel: bool,
    /// Whether a late `encode` attempt is hedged.
    pub hedge: bool,
}

impl Policy {
    /// The production code for all decisions.
    pub const PRODUCTION: Self = Self {
        name: "limpetmux",
        route: Route::Router,
        gate: GateKind::Adaptive,
        budget: true,
        cancel: true,
        hedge: true,
    };

    /// The production policy, policies that replace one decision each, and one that replaces all.
    pub const ALL: [Self; 8] = [
        Self::PRODUCTION,
        Self { name: "random", route: Route::Random, ..Self::PRODUCTION },
        Self { name: "round-robin", route: Route::RoundRobin, ..Self::PRODUCTION },
        Self { name: "least-in-flight", route: Route::LeastInflight, ..Self::PRODUCTION },
        Self { name: "fixed limit", gate: GateKind::Fixed, ..Self::PRODUCTION },
        Self { name: "no budget", budget: false, ..Self::PRODUCTION },
        Self { name: "no cancel", cancel: false, ..Self::PRODUCTION },
        Self {
            name: "all plain",
            route: Route::Random,
            gate: GateKind::Fixed,
            budget: false,
            cancel: false,
            hedge: false,
        },
    ];
}

/// A fault, with the second at which it happens.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The n-th writer restarts and loses its calls.
    Restart(u64, usize),
    /// The n-th encoder runs at its normal speed divided by the last number from then on.
    Slow(u64, usize, u32),
    /// The n-th writer turns cold without losing calls.
    TurnCold(u64, usize),
    /// Operators take the n-th zone out of service.
    ZoneOut(u64, usize),
    /// Operators put the n-th zone back in service; its backend servers and sidecars restart.
    ZoneBack(u64, usize),
}

impl Fault {
    fn at(self) -> Duration {
        let (Self::Restart(second, _)
        | Self::TurnCold(second, _)
        | Self::Slow(second, _, _)
        | Self::ZoneOut(second, _)
        | Self::ZoneBack(second, _)) = self;
        Duration::from_secs(second)
    }
}

/// The load and the faults of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of all random draws.
    pub seed: u64,
    /// Arrivals as a share of the writers' capacity without any cache hit.
    pub load: f64,
    /// Start and end of a burst in seconds, and the factor by which it multiplies the load.
    pub burst: Option<(u64, u64, f64)>,
    /// The length of the run in seconds.
    pub seconds: u64,
    /// The length of the lead-in, which is not measured, in seconds.
    pub unmeasured_s: u64,
    /// The range of the work of an `encode` call, in seconds.
    pub encode_s: (f64, f64),
    /// The number of entries.
    pub entries: usize,
    /// Writers and encoders per zone; there are four zones.
    pub hosts: (usize, usize),
    /// The faults, in order of time.
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// A run of one minute at a constant load, with twelve entries and twelve writers.
    pub fn steady(load: f64) -> Self {
        Self {
            seed: 7,
            load,
            burst: None,
            seconds: 60,
            unmeasured_s: LEAD_IN_S,
            encode_s: ENCODE_S,
            entries: 12,
            hosts: (3, 2),
            faults: Vec::new(),
        }
    }
}

/// Default length of the lead-in, which is not measured, in seconds.
const LEAD_IN_S: u64 = 10;
/// Default range of the work of an `encode` call, in seconds.
const ENCODE_S: (f64, f64) = (0.005, 0.015);
/// The deadline of requests.
const DEADLINE: Duration = Duration::from_secs(2);
/// Declared concurrency of a writer: more calls than it runs at full speed.
const DECLARED_CONCURRENCY: u32 = 12;
/// The backend servers of the writers.
const WRITER: BackendSpec =
    BackendSpec { capacity: 8, cold_limit: 2, warmup: Duration::from_secs(5), cache_size: 24 };
/// The backend servers of the encoders.
const ENCODER: BackendSpec =
    BackendSpec { capacity: 4, cold_limit: 2, warmup: Duration::from_secs(1), cache_size: 0 };

/// Runs a scenario under a policy.
pub fn run(scenario: &Scenario, policy: Policy) -> Summary {
    simulation::Simulation::new(scenario, policy).run()
}
