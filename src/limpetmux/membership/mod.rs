//! Combines the host list, the configuration and observations of the request path into the
//! membership.
//!
//! The service owns the [`Membership`](crate::core::membership::Membership) of the process and
//! publishes [`HostStates`] whenever a state changes. A poller reads the platform's host list; the
//! request path reports replies that differ from the published states, and failed connections,
//! through a [`Reporter`]. While the list cannot be read, the last one read stays in force.

mod reporter;
mod service;

pub use reporter::Reporter;
pub use service::{MembershipMessage, MembershipParts, poll_interval, start};

pub use crate::core::membership::HostStates;
