//! The users' platform, translated.
//!
//! This folder is the only place that knows how the platform spells headers, calls, fields, topics
//! and settings. Each name is decoded once into a type whose fields say what they hold; decisions,
//! state and recovery stay in the product. [`boot`] reads the settings file of a process,
//! [`store`] speaks to the platform's log, [`orders`] and [`servers`] decode what lies there,
//! [`caller`] reads requests of callers, [`server`] makes requests to backend servers and reads
//! their answers, [`stage`] makes calls for pieces. See `docs/design/platform.md`.

pub mod boot;
pub mod caller;
pub mod names;
pub mod orders;
pub mod server;
pub mod servers;
pub mod stage;
pub mod store;
