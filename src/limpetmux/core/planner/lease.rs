//! The planner's lease from the point of view of one node.
//!
//! The log decides which node holds the lease: a grant is accepted only if it names the grant
//! before it. Clocks only decide when a node acts: the holder measures the term from when it sent
//! the grant, the others from when they read it, so the holder always stops before another node
//! starts.

use crate::core::revision::Offset;
use crate::core::time::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The accepted lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Lease {
    /// The node that holds the lease.
    pub holder: String,
    /// The offset of the holder's first grant, kept by renewals; the fencing number of its orders.
    pub fence: Offset,
    /// The offset of the last accepted grant, which the next grant has to name.
    pub last: Offset,
}

/// The state of the lease for one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseState {
    /// This node holds the lease and may act under the fencing number.
    Held(Offset),
    /// Another node holds the lease.
    Other,
    /// The lease has expired, so this node may append a grant.
    Expired,
}

/// Tracks the lease with the local clock.
#[derive(Clone, Debug)]
pub struct LeaseClock {
    term: Duration,
    margin: Duration,
    /// The offset of the last accepted grant and when it was read.
    last_read: Option<(Offset, Moment)>,
    /// When the earliest grant in flight was sent.
    grant_sent: Option<Moment>,
    /// When this node sent the grant by which it holds the lease.
    held_since: Option<Moment>,
}

impl LeaseClock {
    /// Creates a clock for leases of one term.
    ///
    /// `margin` is added by observers and subtracted by the holder; it covers the drift between
    /// two monotonic clocks over one term.
    pub fn new(term: Duration, margin: Duration) -> Self {
        Self { term, margin, last_read: None, grant_sent: None, held_since: None }
    }

    /// Records that this node is about to append a grant.
    ///
    /// Of several grants in flight the earliest time counts, since any of them may be accepted.
    pub fn record_sent(&mut self, now: Moment) {
        self.grant_sent.get_or_insert(now);
    }

    /// Records the accepted lease after a read of the log.
    pub fn record_lease(&mut self, now: Moment, lease: Option<&Lease>, own_node: &str) {
        let Some(lease) = lease else { return };
        if self.last_read.is_some_and(|(last, _)| last == lease.last) {
            return;
        }
        self.last_read = Some((lease.last, now));
        // Grants in flight name an earlier grant than this one, so none of them can be accepted.
        let sent_at = self.grant_sent.take();
        self.held_since = if lease.holder == own_node { sent_at } else { None };
    }

    /// Returns the state of the lease for this node.
    pub fn state(&self, now: Moment, lease: Option<&Lease>, own_node: &str) -> LeaseState {
        let Some(lease) = lease else { return LeaseState::Expired };
        if lease.holder == own_node {
            let usable = self.term.saturating_sub(self.margin);
            let is_live = self.held_since.is_some_and(|sent| now < sent + usable);
            return if is_live { LeaseState::Held(lease.fence) } else { LeaseState::Expired };
        }
        match self.last_read {
            Some((_, at)) if now >= at + self.term + self.margin => LeaseState::Expired,
            _ => LeaseState::Other,
        }
    }

    /// Returns whether the holder should append its next grant.
    pub fn is_renewal_due(&self, now: Moment) -> bool {
        self.held_since.is_some_and(|sent| now >= sent + self.term / 3)
    }
}
