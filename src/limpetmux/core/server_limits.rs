//! The request rates that backend servers name as their limits, and which of two statements holds.
//!
//! A limit applies to all hosts together, and for as long as the backend server names it. Answers on
//! several connections overtake each other, so a statement is ordered by the time in which it can have
//! been made. See `docs/design/limits.md`.

use crate::core::time::Moment;
use std::fmt;
use std::time::Duration;

/// Units of [`RequestRate`] in one request per second.
const MICROS: u64 = 1_000_000;

/// A rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(u64);

impl RequestRate {
    /// The lowest rate. A backend server that gets no requests cannot end its limit.
    pub const MIN: Self = Self(MICROS / 20);
    /// The highest rate.
    pub const MAX: Self = Self(MICROS * MICROS);

    /// Creates a rate from requests per second, within [`MIN`](Self::MIN) and [`MAX`](Self::MAX);
    /// `None` if the number is negative or not finite.
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        is_rate.then(|| Self::from_micros((rate * MICROS as f64) as u64))
    }

    /// Creates a rate from millionths of a request per second, within [`MIN`](Self::MIN) and
    /// [`MAX`](Self::MAX).
    pub fn from_micros(micros: u64) -> Self {
        Self(micros).clamp(Self::MIN, Self::MAX)
    }

    /// Returns millionths of a request per second.
    pub fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns requests per second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MICROS as f64
    }

    /// Returns the time between two requests.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.as_f64())
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_f64().fmt(f)
    }
}

/// What one answer states about the limit of the backend server that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing, as its value cannot be read or the answer is not one of this backend server.
    #[default]
    Unstated,
    /// There is no limit.
    Unlimited,
    /// The requests that it accepts from all hosts together.
    Limited(RequestRate),
}

impl LimitNotice {
    /// Returns the limit that is stated, if something is.
    pub fn stated(self) -> Option<Option<RequestRate>> {
        match self {
            Self::Unstated => None,
            Self::Unlimited => Some(None),
            Self::Limited(rate) => Some(Some(rate)),
        }
    }
}

/// A limit with the time in which its backend server can have stated it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLimit {
    /// The rate; `None` if there is no limit.
    pub rate: Option<RequestRate>,
    /// When the request was sent whose answer states it.
    pub asked_at: Moment,
    /// When that answer arrived.
    pub heard_at: Moment,
}

impl StatedLimit {
    /// Returns the newer of two statements; of two that may have been made in either order, the lower
    /// limit.
    pub fn or_newer(self, other: Self) -> Self {
        if other.asked_at >= self.heard_at {
            return other;
        }
        if other.heard_at <= self.asked_at {
            return self;
        }
        let strictness = |s: &Self| (s.rate.is_none(), s.rate, std::cmp::Reverse(s.asked_at));
        if strictness(&other) < strictness(&self) { other } else { self }
    }
}
