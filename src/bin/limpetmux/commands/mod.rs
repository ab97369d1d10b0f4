//! One module per verb: its arguments and its `exec`.

pub mod drain;
pub mod entry;
pub mod local;
mod role;
pub mod settings;
pub mod sidecar;
pub mod status;
pub mod version;
