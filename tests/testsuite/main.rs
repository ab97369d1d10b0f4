//! The integration tests, one module per subject.

#![allow(clippy::expect_used, clippy::unwrap_used)]

mod admin;
mod admission;
mod budget;
mod catalogue;
mod config_fold;
mod config_ops;
mod config_replicas;
mod control;
mod cost;
mod frames;
mod fuzz;
mod invariants;
mod kernel;
mod membership;
mod once;
mod once_explore;
mod once_path;
mod openapi;
mod overload;
mod path;
mod planner;
mod planner_service;
mod processes;
mod requests;
mod restarts;
mod roles;
mod routing;
mod sessions;
mod settings;
mod sheet;
mod shutdown;
mod spread;
mod standins;
mod zones;
