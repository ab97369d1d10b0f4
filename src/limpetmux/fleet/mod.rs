//! Discovery of the nodes of a deployment, and sharing of the view that they read from the store.
//!
//! One node reads the store for all: the first in an order that every node computes alike. The
//! others pull from it, and their pulls show it that they are alive. A node whose view becomes
//! stale reads the store itself; if the store does not answer, it pulls from a node with a fresh
//! view.
//!
//! [`follow`] does this on the control thread, [`service`] answers other nodes, [`peers`] keeps the
//! connections to them, and [`convert`] converts views to messages and back, as [`evidence`] does
//! with evidence about parts of prompts and [`rollout`] with what is known of versions that are tried. See
//! `docs/design/platform.md`.

pub mod convert;
pub mod evidence;
pub mod follow;
pub mod peers;
pub mod rollout;
pub mod service;
