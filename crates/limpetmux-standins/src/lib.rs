//! Small in-process stand-ins of the platform and of the backend servers.
//!
//! Each stand-in implements its part of `docs/PROTOCOLS.md` over HTTP on the loopback interface, on
//! a port that the system chooses unless one is given. Starting one returns a handle with the
//! address, switches that inject faults, and counters for tests to read. Stand-ins do not depend on
//! the system under test.

/// Implements `url` and `stop` for a stand-in's handle.
macro_rules! handle {
    ($name:ident) => {
        impl $name {
            /// Returns the base URL without a trailing slash.
            pub fn url(&self) -> String {
                self.server.url()
            }

            /// Closes the listener and all connections at once and waits until they are closed.
            pub async fn stop(&mut self) {
                self.server.stop().await;
            }
        }
    };
}

pub mod backend;
pub mod cut;
pub mod engine;
pub mod hosts;
pub mod log;
pub mod plain;
pub mod pool;
pub mod power;
pub mod raw;
pub mod server;
pub mod users;
pub mod weights;

mod connection;
mod limiter;
mod slot;

pub use backend::{Backend, BackendOptions};
pub use engine::{Engine, EngineOptions};
pub use hosts::{HostState, Hosts};
pub use log::{Log, LogOptions};
pub use plain::Plain;
pub use pool::{Pool, PoolKind};
pub use power::Power;
pub use server::{Faults, Server, StartError};
pub use weights::{Weights, WeightsOptions};
