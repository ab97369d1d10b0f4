//! Fixtures by functions, shared by the test suite, the benchmarks and the experiments.
//!
//! [`config`] builds configurations in the shape of the two deployments that the system serves
//! today; [`cases`] draws many cases from fixed seeds; [`policy`] builds what decisions under load
//! need.

pub mod cases;
pub mod config;
pub mod model;
pub mod policy;

pub use cases::check_cases;
pub use config::{sample_config, small_config};
