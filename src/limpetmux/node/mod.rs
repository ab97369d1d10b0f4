//! Puts the parts of a process together.
//!
//! [`serve_sidecar`] runs the gRPC server of a sidecar; [`local`] runs a whole small deployment in
//! one process: stand-ins, sidecars and one entry, each on its own loopback port, with the
//! declarations of [`deployment`].

pub mod deployment;
pub mod local;
pub mod process;
mod server;

pub use server::{ServeError, serve_sidecar};
