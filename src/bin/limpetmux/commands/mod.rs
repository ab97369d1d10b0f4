//! One module per subcommand, with its arguments and its `exec` function.

pub mod audit;
pub mod config;
pub mod drain;
pub mod entry;
pub mod explain;
pub mod local;
pub mod node;
mod operator;
pub mod quarantine;
mod role;
pub mod settings;
pub mod sheet;
pub mod sidecar;
pub mod status;
pub mod version;
