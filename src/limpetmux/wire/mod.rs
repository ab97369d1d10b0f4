//! Messages between the system's own processes.
//!
//! The modules below are generated from `proto/*.proto` by `cargo run -p xtask -- codegen` and
//! committed. One module stands for one protocol package.

/// Operators' commands to one process.
#[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms)]
#[rustfmt::skip]
#[path = "gen/limpetmux.admin.v1.rs"]
pub mod admin;

/// Stage execution between an entry and a sidecar.
#[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms)]
#[rustfmt::skip]
#[path = "gen/limpetmux.stage.v1.rs"]
pub mod stage;

/// Exchange of configuration records between nodes.
#[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms)]
#[rustfmt::skip]
#[path = "gen/limpetmux.peer.v1.rs"]
pub mod peer;

pub mod convert;

/// At-most-once execution.
#[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms)]
#[rustfmt::skip]
#[path = "gen/limpetmux.once.v1.rs"]
pub mod once;

/// What the nodes of a deployment tell each other.
#[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms)]
#[rustfmt::skip]
#[path = "gen/limpetmux.fleet.v1.rs"]
pub mod fleet;
