//! The integration tests, one module per subject.

#![allow(clippy::expect_used, clippy::unwrap_used)]

mod kernel;
mod path;
mod planner;
mod standins;
