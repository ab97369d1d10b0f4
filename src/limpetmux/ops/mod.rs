//! One function per operator command.

pub mod audit;
pub mod config;
pub mod config_client;
pub mod config_files;
pub mod sheet;
mod sheet_error;
pub mod sheet_plan;
