//! Fixtures shared by the test suite, the benchmarks and the experiments.
//!
//! Most modules build one kind of input: configurations in the shape of the two deployments that
//! the system serves today, larger ones for scaling and limit tests, configuration records, an
//! in-process platform log, and property-test cases from fixed seeds. [`http`] is a client of an
//! entry, [`deployment`] and [`processes`] start whole deployments, and [`invariants`] checks what
//! was recorded from them.

#![allow(clippy::expect_used, clippy::unwrap_used)]

pub mod burst;
pub mod cases;
pub mod changes;
pub mod config;
pub mod deployment;
pub mod fake_log;
pub mod fake_once;
pub mod http;
pub mod invariants;
pub mod load;
pub mod lone_entry;
pub mod once;
pub mod once_fleet;
pub mod policy;
pub mod processes;
pub mod sized;
pub mod tls;

pub use cases::check_cases;
pub use config::{name, sample_config, small_config};
pub use deployment::Deployment;
pub use fake_log::FakeLog;
pub use fake_once::FakeOnce;
pub use sized::{Size, sized_config};
