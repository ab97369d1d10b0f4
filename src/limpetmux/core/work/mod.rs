//! What requests are expected to cost, and how fast backend servers work.
//!
//! The adapter decodes what a backend server states about its load in its answers ([`load`]).
//! [`speed`] turns stated slowdowns, which are old when they are used, into one estimate for now.
//! Placement and piece queues read these estimates. See `docs/design/expected-work.md`.

pub mod load;
pub mod read_cost;
pub mod speed;
