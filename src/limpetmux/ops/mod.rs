//! One function per operator command.

pub mod admin_client;
pub mod drain;
pub mod status;
