//! Positions in the platform log and the configuration revisions derived from them.

use serde::{Deserialize, Serialize};

/// The offset of one record in a log stream, counted from zero.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset that follows this one; the last offset, which no log reaches, follows
    /// itself.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl std::fmt::Display for Offset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// The offset of the last accepted change that a configuration includes.
///
/// Zero stands for the empty configuration before any change, so revision `n` is the change at
/// offset `n - 1`. A node never moves to a lower revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// The empty configuration before any change.
    pub const EMPTY: Self = Self(0);

    /// Returns the revision that the record at `offset` creates once accepted.
    pub const fn at(offset: Offset) -> Self {
        Self(offset.next().0)
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "r{}", self.0)
    }
}
