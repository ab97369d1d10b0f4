//! The adapter for the users' platform.
//!
//! Only this folder knows how the platform spells headers, calls, fields, topics and settings. It
//! decodes them into the product's own types and contains no decisions, state or recovery.
//! [`boot`] reads the settings file of a process, [`store`] is the client of the platform's log,
//! [`orders`], [`rollout`] and [`servers`] decode its records, [`caller`] parses requests of callers,
//! [`server`] builds requests to backend servers and parses the heads of their answers, and
//! [`stage`] builds calls for pieces. See `docs/design/platform.md`.

pub mod boot;
pub mod caller;
pub mod names;
pub mod orders;
pub mod rollout;
pub mod server;
pub mod servers;
pub mod stage;
pub mod store;
mod store_call;
