//! The operator's orders, and when they were last confirmed as current.
//!
//! The operator can revoke API keys at any time, so a request that needs a key is sent on only
//! while the latest confirmation is recent. Its age counts from the start of the call that
//! confirmed the orders, on a clock that also advances while the host is suspended. Within one
//! process the version in force never decreases. See `docs/design/platform.md`.

use crate::core::catalog::Catalog;
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
    /// The offset of the record in the store's log.
    pub offset: u64,
}

/// One node's copy of the operator's orders.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// The offset up to which the copy includes the store's log.
    pub end_offset: u64,
    /// When the copy was last confirmed to match the store.
    pub confirmed_at: Moment,
    /// The configuration in force, once one is known.
    pub config: Option<DeclaredConfig>,
    /// The availability zones whose backend servers must get no requests.
    pub evacuated: BTreeSet<Arc<str>>,
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
    pub fn apply(&mut self, requested_at: Moment, end: u64, changes: Vec<Order>) -> bool {
        let current = self.apply_part(end, changes);
        if current {
            self.confirmed_at = self.confirmed_at.max(requested_at);
        }
        current
    }

    /// Applies changes in their order up to `end`, after which the log has more records.
    ///
    /// One of those may revoke a key, so the copy is not confirmed. Returns whether the answer was
    /// current; a stale one has no effect.
    pub fn apply_part(&mut self, end: u64, changes: Vec<Order>) -> bool {
        if end < self.end_offset {
            return false;
        }
        for change in changes {
            match change {
                Order::Declare(declared) => self.declare(declared),
                Order::Evacuate(zone) => drop(self.evacuated.insert(zone)),
                Order::Restore(zone) => drop(self.evacuated.remove(&zone)),
            }
        }
        self.end_offset = end;
        true
    }

    /// Replaces the orders by a complete state as of `end`, from the store or from another node.
    ///
    /// Returns whether the state was current; a stale one has no effect.
    pub fn replace(
        &mut self,
        confirmed: Moment,
        end: u64,
        declared: Option<DeclaredConfig>,
        evacuated: BTreeSet<Arc<str>>,
    ) -> bool {
        if end < self.end_offset {
            return false;
        }
        if let Some(declared) = declared {
            self.declare(declared);
        }
        self.evacuated = evacuated;
        self.end_offset = end;
        self.confirmed_at = self.confirmed_at.max(confirmed);
        true
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
        let is_newer = |old: &DeclaredConfig| {
            declared.offset > old.offset && declared.catalog.version >= old.catalog.version
        };
        if self.config.as_ref().is_none_or(is_newer) {
            self.config = Some(declared);
        }
    }
}
