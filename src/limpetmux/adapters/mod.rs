//! Clients of the platform's and the backend servers' published protocols.
//!
//! Each client is a plain struct of closures, so that another protocol needs only another
//! constructor and no protocol type reaches `core`. `docs/PROTOCOLS.md` specifies the default
//! protocols. [`channel`] creates the connections between the system's own processes.

mod activity;
pub mod admission;
pub mod answer;
pub mod backend;
pub mod backend_http;
pub mod channel;
mod completion_lines;
mod handshake;
pub mod hosts;
pub mod kept;
pub mod log;
mod log_http;
mod message_time;
pub mod one_call;
pub mod orders;
pub mod power;
pub mod tls;
