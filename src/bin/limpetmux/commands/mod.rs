//! One module per verb: its arguments and its `exec`.

pub mod audit;
pub mod config;
pub mod drain;
pub mod local;
mod operator;
pub mod sheet;
pub mod status;
pub mod version;
