//! What the operator has ordered, and how far that may be believed.
//!
//! Keys are taken from callers at any moment, so a request that needs a key may be sent on only
//! while the newest orders were confirmed of late. The age counts from the start of the call that
//! confirmed them, on a clock that goes on while the host is suspended. Versions never go back
//! within one process. See `docs/design/platform.md`.

use crate::core::catalog::Catalog;
use crate::core::time::Moment;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The operator's configuration as one node holds it.
#[derive(Clone, Debug)]
pub struct Declared {
    /// The version, ready for look-ups.
    pub catalog: Arc<Catalog>,
    /// The configuration as it was written, for other nodes.
    pub raw: Arc<[u8]>,
    /// The offset of its record in the store's log.
    pub offset: u64,
}

/// The operator's orders as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// The offset that the view reaches to.
    pub end: u64,
    /// When the view was last known to be the store's.
    pub confirmed: Moment,
    /// The configuration in force, once one is known.
    pub declared: Option<Declared>,
    /// The availability zones whose backend servers must get nothing.
    pub evacuated: BTreeSet<Arc<str>>,
}

/// One change of the operator's orders.
#[derive(Clone, Debug)]
pub enum Order {
    /// A new configuration.
    Declare(Declared),
    /// Nothing more may be sent to the backend servers of a zone.
    Evacuate(Arc<str>),
    /// The zone is in use again.
    Restore(Arc<str>),
}

impl Orders {
    /// Takes in changes in their order up to `end`, asked for at `asked`.
    ///
    /// Returns whether the answer was current; a stale one confirms nothing.
    pub fn apply(&mut self, asked: Moment, end: u64, changes: Vec<Order>) -> bool {
        if end < self.end {
            return false;
        }
        for change in changes {
            match change {
                Order::Declare(declared) => self.declare(declared),
                Order::Evacuate(zone) => drop(self.evacuated.insert(zone)),
                Order::Restore(zone) => drop(self.evacuated.remove(&zone)),
            }
        }
        self.end = end;
        self.confirmed = self.confirmed.max(asked);
        true
    }

    /// Takes in a whole state as of `end`, from the store or from another node.
    ///
    /// Returns whether it was current.
    pub fn replace(
        &mut self,
        confirmed: Moment,
        end: u64,
        declared: Option<Declared>,
        evacuated: BTreeSet<Arc<str>>,
    ) -> bool {
        if end < self.end {
            return false;
        }
        if let Some(declared) = declared {
            self.declare(declared);
        }
        self.evacuated = evacuated;
        self.end = end;
        self.confirmed = self.confirmed.max(confirmed);
        true
    }

    /// Returns the age of the view.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.confirmed)
    }

    /// Returns the version in force, zero without one.
    pub fn version(&self) -> u64 {
        self.declared.as_ref().map_or(0, |d| d.catalog.version)
    }

    /// Puts a configuration in force unless a newer one is.
    fn declare(&mut self, declared: Declared) {
        let newer = |old: &Declared| {
            declared.offset > old.offset && declared.catalog.version >= old.catalog.version
        };
        if self.declared.as_ref().is_none_or(newer) {
            self.declared = Some(declared);
        }
    }
}
