//! The planner's lease as one node sees it.
//!
//! The log decides who holds the lease: a grant is accepted only if it names the grant before it.
//! Clocks decide only when a node tries: the holder counts from the moment it sent the grant, the
//! others from the moment they read it, so the holder always stops before another one starts.

use crate::core::revision::Offset;
use crate::core::time::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The accepted lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Lease {
    /// The node that holds the lease.
    pub holder: String,
    /// The offset of the grant that began the tenure: the fencing number of its orders.
    pub fence: Offset,
    /// The offset of the last accepted grant, which the next grant has to name.
    pub last: Offset,
}

/// What a node may do about the lease now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseState {
    /// This node holds the lease and may act under the fencing number.
    Held(Offset),
    /// Another node holds the lease.
    Other,
    /// The lease has lapsed, so this node may append a grant.
    Lapsed,
}

/// Watches the lease with the local clock.
#[derive(Clone, Debug)]
pub struct LeaseClock {
    term: Duration,
    margin: Duration,
    seen: Option<(Offset, Moment)>,
    sent: Option<Moment>,
    held: Option<Moment>,
}

impl LeaseClock {
    /// Creates a clock for leases of one term.
    ///
    /// `margin` is added by observers and subtracted by the holder; it covers the drift between
    /// two monotonic clocks over one term.
    pub fn new(term: Duration, margin: Duration) -> Self {
        Self { term, margin, seen: None, sent: None, held: None }
    }

    /// Notes that this node is about to append a grant.
    ///
    /// Of several grants on their way the earliest counts: any of them may be the accepted one.
    pub fn sending(&mut self, now: Moment) {
        self.sent.get_or_insert(now);
    }

    /// Notes the accepted lease after the log was read.
    pub fn observed(&mut self, now: Moment, lease: Option<&Lease>, own: &str) {
        let Some(lease) = lease else { return };
        if self.seen.is_some_and(|(last, _)| last == lease.last) {
            return;
        }
        self.seen = Some((lease.last, now));
        // Grants on their way name an earlier grant than this one, so none of them counts any more.
        let sent = self.sent.take();
        self.held = if lease.holder == own { sent } else { None };
    }

    /// Returns what this node may do.
    pub fn state(&self, now: Moment, lease: Option<&Lease>, own: &str) -> LeaseState {
        let Some(lease) = lease else { return LeaseState::Lapsed };
        if lease.holder == own {
            let usable = self.term.saturating_sub(self.margin);
            let live = self.held.is_some_and(|sent| now < sent + usable);
            return if live { LeaseState::Held(lease.fence) } else { LeaseState::Lapsed };
        }
        match self.seen {
            Some((_, at)) if now >= at + self.term + self.margin => LeaseState::Lapsed,
            _ => LeaseState::Other,
        }
    }

    /// Returns whether the holder should append its next grant.
    pub fn is_due(&self, now: Moment) -> bool {
        self.held.is_some_and(|sent| now >= sent + self.term / 3)
    }
}
