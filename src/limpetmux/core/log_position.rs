//! Positions in the platform's log, which may be restored from a copy.
//!
//! After a restore the log lacks its latest records and gives their offsets out again, so an offset
//! identifies a record only together with the era in which it was given out. Positions order by era
//! first: whatever was read after a restore is newer than all that was read before it, even at a lower
//! offset. See `docs/design/restored-store.md`.

use std::fmt;

/// How often the platform's store has been restored from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// An era that no store reaches.
    pub const MAX: Self = Self(u64::MAX);
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A position in one topic of the platform's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// The era in which the offset was given out.
    pub era: StoreEra,
    /// The offset in the topic.
    pub offset: u64,
}

impl LogPosition {
    /// The position before all records.
    pub const START: Self = Self { era: StoreEra(0), offset: 0 };
    /// The position after all records.
    pub const LAST: Self = Self { era: StoreEra::MAX, offset: u64::MAX };

    /// Creates a position.
    pub const fn new(era: StoreEra, offset: u64) -> Self {
        Self { era, offset }
    }

    /// Returns whether it lies before all records of its era.
    pub const fn is_start(self) -> bool {
        self.offset == 0
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.offset)
    }
}
