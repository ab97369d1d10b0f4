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

    /// Creates a position.
    pub const fn new(era: StoreEra, offset: u64) -> Self {
        Self { era, offset }
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.offset)
    }
}
