//! The integration tests, one module per subject.

#![allow(clippy::expect_used, clippy::unwrap_used)]

mod kernel;
mod membership;
mod planner;
mod shutdown;
mod standins;
