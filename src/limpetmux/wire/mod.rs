//! Messages between the system's own processes.
//!
//! Each module except [`convert`] contains one protocol package. These modules are generated from
//! `proto/*.proto` by `cargo run -p xtask -- codegen` and committed.

/// Commands from operators to one process.
#[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms)]
#[rustfmt::skip]
#[path = "gen/limpetmux.admin.v1.rs"]
pub mod admin;

/// Calls from an entry to a sidecar to execute a stage.
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

/// Calls between the nodes of a deployment.
#[allow(missing_docs, clippy::all, clippy::pedantic, rust_2018_idioms)]
#[rustfmt::skip]
#[path = "gen/limpetmux.fleet.v1.rs"]
pub mod fleet;
