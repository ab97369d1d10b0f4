//! Runs the planner duty of one node under a lease in the platform log.
//!
//! The service runs on the control thread. It reads the duties stream, passes records, ticks and
//! load samples to the [`Agent`](crate::core::planner::Agent) and performs the agent's actions. The
//! folded plan is published as a [`PowerView`], which the router and the sidecars read. A sidecar
//! orders its backend server to load a model under the plan's fencing number ([`follow_model`]).

mod models;
mod probe;
mod service;

pub use models::{ModelParts, follow_model};
pub use probe::probe_load;
pub use service::{LoadFn, PlannerError, PlannerParts, PowerView, run, wait_for_sleep};
