//! One module per verb: its arguments and its `exec`.

pub mod local;
pub mod settings;
pub mod version;
