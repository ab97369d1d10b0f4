//! The integration tests, one module per subject.

#![allow(clippy::expect_used, clippy::unwrap_used)]

mod admin;
mod admission;
mod budget;
mod config_fold;
mod control;
mod cost;
mod kernel;
mod membership;
mod overload;
mod path;
mod planner;
mod routing;
mod shutdown;
mod standins;
