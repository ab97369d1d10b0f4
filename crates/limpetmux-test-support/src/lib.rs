//! Fixtures by functions, shared by the test suite, the benchmarks and the experiments.
//!
//! [`config`] builds configurations in the shape of the two deployments that the system serves
//! today; [`sized`] builds larger ones for slopes and bounds; [`cases`] draws many cases from fixed seeds.

#![allow(clippy::expect_used, clippy::unwrap_used)]
//! today; [`cases`] draws many cases from fixed seeds; [`changes`] makes configuration records;
//! [`fake_log`] is a platform log in the process.
//! today; [`cases`] draws many cases from fixed seeds; [`policy`] builds what decisions under load
//! need.

pub mod cases;
pub mod changes;
pub mod config;
pub mod sized;
pub mod policy;

pub use cases::check_cases;
pub use config::{sample_config, small_config};
pub use sized::{Size, sized_config};
pub mod fake_log;

pub use cases::check_cases;
pub use config::{name, sample_config, small_config};
pub use fake_log::FakeLog;
