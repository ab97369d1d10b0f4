//! Assembles processes from their components.
//!
//! [`Services`] starts the control services that every process runs. [`process`] runs a process of
//! either role from its bound listeners to the report of its shutdown. [`run_entry`] and
//! [`run_sidecar`] start both from settings. [`local`] runs a small deployment in one process:
//! stand-ins, sidecars and one entry, each on a loopback port of its own, with the configuration
//! from [`deployment`].

pub mod deployment;
pub mod local;
pub mod process;
mod role;
mod server;
mod services;

pub use role::{RoleError, run_entry, run_sidecar};
pub use server::{ServeError, bind, serve_sidecar};
pub use services::{Services, ServicesError, ServicesOptions};
