//! The operator's orders, and when they were last confirmed as current.
//!
//! The operator can revoke API keys at any time, so a request that needs a key is sent on only
//! while the latest confirmation is recent. Its age counts from the start of the call that
//! confirmed the orders, on a clock that also advances while the host is suspended. Within one
//! process the version in force never decreases, not even after a restore of the store from a copy.
//! See `docs/design/platform.md` and `docs/design/restored-store.md`.

use crate::core::catalog::Catalog;
use crate::core::evacuations::{Evacuations, UNLISTED_GRACE};
use crate::core::log_position::LogPosition;
use crate::core::time::Moment;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// One version of the operator's configuration with its record.
#[derive(Clone, Debug)]
pub struct DeclaredConfig {
    /// The version, indexed for lookups.
    pub catalog: Arc<Catalog>,
    /// The record as stored, to pass on to other nodes.
    pub raw: Arc<[u8]>,
    /// The position of the record in the store's log.
    pub position: LogPosition,
}

impl DeclaredConfig {
    /// Returns what orders configurations: the version, as a restored store gives offsets out again.
    fn rank(&self) -> (u64, LogPosition) {
        (self.catalog.version, self.position)
    }
}

/// The operator's orders as of one position of the log, as the store or another node states them.
#[derive(Clone, Debug)]
pub struct StatedOrders {
    /// When the store stated them.
    pub confirmed_at: Moment,
    /// The position up to which they include the store's log.
    pub end: LogPosition,
    /// The configuration, if it is known or has changed.
    pub config: Option<DeclaredConfig>,
    /// All zones that the store lists as evacuated.
    pub evacuated: BTreeSet<Arc<str>>,
    /// The zones that stay evacuated although the restored store does not list them, and since when.
    pub unlisted: Vec<(Arc<str>, Moment)>,
}

/// One node's copy of the operator's orders.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// The position up to which the copy includes the store's log.
    pub end: LogPosition,
    /// When the copy was last confirmed to match the store.
    pub confirmed_at: Moment,
    /// The configuration in force, once one is known.
    pub config: Option<DeclaredConfig>,
    /// The availability zones whose backend servers must get no requests.
    pub evacuated: Evacuations,
    /// When the copy reached the era of its end.
    era_since: Moment,
}

/// One change of the operator's orders.
#[derive(Clone, Debug)]
pub enum Order {
    /// A new configuration.
    Declare(DeclaredConfig),
    /// The backend servers of a zone must get no more requests.
    Evacuate(Arc<str>),
    /// The backend servers of a zone may get requests again.
    Restore(Arc<str>),
}

impl Orders {
    /// Applies changes in their order up to `end`, the end of the log, requested at `requested_at`.
    ///
    /// Returns whether the answer was current; a stale one has no effect.
    pub fn apply(&mut self, requested_at: Moment, end: LogPosition, changes: Vec<Order>) -> bool {
        let current = self.apply_part(end, changes);
        if current {
            self.confirm(requested_at);
        }
        current
    }

    /// Applies changes in their order up to `end`, after which the log has more records.
    ///
    /// One of those may revoke a key, so the copy is not confirmed. Returns whether the answer was
    /// current; a stale one has no effect.
    pub fn apply_part(&mut self, end: LogPosition, changes: Vec<Order>) -> bool {
        // The changes since a position say nothing about the log of another era.
        if end < self.end || end.era != self.end.era {
            return false;
        }
        for change in changes {
            match change {
                Order::Declare(declared) => self.declare(declared),
                Order::Evacuate(zone) => self.evacuated.begin(zone),
                Order::Restore(zone) => self.evacuated.end(zone),
            }
        }
        self.end = end;
        true
    }

    /// Takes over a complete state that was received at `now`, from the store or from another node.
    ///
    /// Of a state that is stale, only what a restore cannot have undone is taken over: a later version
    /// and, soon after the restore, evacuations. Returns whether the state was current.
    pub fn replace(&mut self, now: Moment, stated: StatedOrders) -> bool {
        if let Some(declared) = stated.config {
            self.declare(declared);
        }
        if stated.end < self.end {
            let is_earlier_era = stated.end.era < self.end.era;
            if is_earlier_era && now.since(self.era_since) < UNLISTED_GRACE {
                for zone in stated.evacuated {
                    self.evacuated.add_unlisted(zone, now);
                }
            }
            return false;
        }
        if self.end.is_start() || stated.end.era > self.end.era {
            self.era_since = now;
            self.evacuated.restore(now, stated.evacuated);
        } else {
            self.evacuated.replace(stated.evacuated);
        }
        for (zone, since) in stated.unlisted {
            self.evacuated.add_unlisted(zone, since);
        }
        self.end = stated.end;
        self.confirm(stated.confirmed_at);
        true
    }

    /// Records that the copy matched the store at a moment, and ends what the store had not listed for
    /// long enough by then.
    fn confirm(&mut self, at: Moment) {
        self.confirmed_at = self.confirmed_at.max(at);
        self.evacuated.expire(self.confirmed_at);
    }

    /// Returns the time since the latest confirmation.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.confirmed_at)
    }

    /// Returns the version in force, or zero if there is none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |d| d.catalog.version)
    }

    /// Puts a configuration in force unless it is older than the one in force.
    fn declare(&mut self, declared: DeclaredConfig) {
        if self.config.as_ref().is_none_or(|old| declared.rank() > old.rank()) {
            self.config = Some(declared);
        }
    }
}
