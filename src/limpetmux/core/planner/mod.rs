//! Decides which hosts are awake.
//!
//! Hardware that no request needs is switched off. One node at a time holds the planner's lease and
//! appends plans to the duties stream of the platform log; every node folds that stream in the
//! same way ([`DutyFold`]). A host puts itself to sleep only when the folded plan says so, and the
//! fold rejects a plan whose planner lost its lease, so such a plan has no effect. [`Planner`]
//! derives the next plan from measured [`Demand`]. The alternatives are compared in
//! `docs/design/power.md`.

mod agent;
mod demand;
mod duty;
mod lease;
mod plan;
mod pools;
mod samples;
mod weights;

pub use agent::{Agent, AgentAction, AgentOptions, LoadSample};
pub use demand::{Demand, DemandTracker};
pub use duty::{DutyError, DutyFold, DutyRecord, DutyVerdict, PlanDelta};
pub use lease::{Lease, LeaseClock, LeaseState};
pub use plan::{HostPower, PlanInput, Planner, PlannerLimits, PoolPlan};
pub use samples::{PROBES_PER_ROUND, Samples};
pub use weights::WeightStore;
