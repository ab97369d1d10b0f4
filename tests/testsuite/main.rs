//! The integration tests, one module per subject.

#![allow(clippy::expect_used, clippy::unwrap_used)]

mod config_fold;
mod control;
mod admission;
mod budget;
mod cost;
mod kernel;
mod planner;
mod routing;
mod standins;
