//! One module per verb: its arguments and its `exec`.

pub mod audit;
pub mod config;
pub mod local;
mod operator;
pub mod sheet;
pub mod version;
