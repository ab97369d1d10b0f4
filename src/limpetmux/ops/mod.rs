//! The operator commands: one module per command, and the clients that the commands share.

pub mod activate;
pub mod admin_client;
pub mod audit;
pub mod config;
pub mod config_client;
pub mod config_files;
pub mod drain;
pub mod explain;
pub mod quarantine;
pub mod sheet;
mod sheet_error;
pub mod sheet_plan;
pub mod status;
