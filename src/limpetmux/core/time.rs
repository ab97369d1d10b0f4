//! Monotonic time as a plain value.
//!
//! Decisions never read a clock. The caller passes a [`Moment`], taken from the tokio clock on a
//! running node and from a counter in tests, so that a replay makes the same decisions.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A point on one process's monotonic clock, in microseconds since an arbitrary origin.
///
/// Moments of two processes must never be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(u64);

impl Moment {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// The latest moment, which no process reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates a moment from microseconds since the origin.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a moment from milliseconds since the origin.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time since an earlier moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time until a later moment, or zero if it has passed.
    pub fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl std::ops::Add<Duration> for Moment {
    type Output = Self;

    fn add(self, d: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl std::ops::Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, d: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)))
    }
}
