//! Clients of the platform's and the backend servers' published protocols.
//!
//! Each client is a plain struct of closures, so another protocol is one more constructor and no
//! shape of a protocol reaches `core`. The protocols spoken by default are written down in
//! `docs/PROTOCOLS.md`.

pub mod backend;
pub mod backend_http;
pub mod hosts;
pub mod log;
mod log_http;
pub mod orders;
pub mod power;
