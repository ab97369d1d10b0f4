//! Puts the parts of a process together.
//!
//! [`Services`] starts the control services that every process runs; [`process`] carries a process
//! of either role from its listeners to its report; [`run_entry`] and [`run_sidecar`] do so by
//! settings. [`local`] runs a whole small deployment in one process: stand-ins, sidecars and one
//! entry, each on its own loopback port, with the declarations of [`deployment`].

pub mod deployment;
pub mod local;
pub mod process;
mod role;
mod server;
mod services;

pub use role::{RoleError, run_entry, run_sidecar};
pub use server::{ServeError, bind, serve_sidecar};
pub use services::{Services, ServicesError, ServicesOptions};
