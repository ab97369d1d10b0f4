//! One module per verb: its arguments and its `exec`.

pub mod drain;
pub mod local;
pub mod status;
pub mod version;
