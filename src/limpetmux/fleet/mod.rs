//! How the nodes of a deployment know each other and share what they read from the store.
//!
//! One node reads the store for all: the first in an order that all compute alike. The others pull
//! from it, which also tells it that they live. A node whose view grows old reads the store itself,
//! and one that the store turns away pulls from whoever has a fresh view. [`follow`] does this on
//! the control thread, [`service`] answers other nodes, [`peers`] keeps the connections to them,
//! [`convert`] translates views into messages. See `docs/design/platform.md`.

pub mod convert;
pub mod follow;
pub mod peers;
pub mod service;
