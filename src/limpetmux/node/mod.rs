//! Puts the parts of a process together.
//!
//! [`Process`] starts the control services that every process runs; [`run_entry`] and
//! [`run_sidecar`] add a role and run it until it is drained; [`local`] runs a whole small
//! deployment in one process: stand-ins, sidecars and one entry, each on its own loopback port,
//! with the declarations of [`deployment`].

pub mod deployment;
pub mod local;
mod process;
mod role;
mod server;

pub use process::{Process, ProcessError, ProcessOptions};
pub use role::{RoleError, run_entry, run_sidecar};
pub use server::{ServeError, bind, grpc, serve};
