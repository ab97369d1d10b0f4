//! The integration tests, one module per subject.

mod config_fold;
mod control;
mod kernel;
