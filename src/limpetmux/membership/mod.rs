//! Feeds the host list, the configuration and what is seen on the wire into the membership.
//!
//! The service owns the [`Membership`](crate::core::membership::Membership) of the process and
//! publishes [`HostStates`] whenever a state changes. A poller reads the platform's host list; the
//! request path reports replies that tell something new through a [`Reporter`]. While the list
//! cannot be read, what was last read stays in force.

mod reporter;
mod service;

pub use reporter::Reporter;
pub use service::{MembershipMessage, MembershipParts, poll_interval, start};

pub use crate::core::membership::HostStates;
