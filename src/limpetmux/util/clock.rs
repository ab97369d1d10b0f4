//! The process's monotonic clock.

use crate::core::time::Moment;
use std::sync::OnceLock;
use tokio::time::Instant;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Returns the current moment; follows tokio's clock, so tests can pause it.
pub fn now() -> Moment {
    let origin = *ORIGIN.get_or_init(Instant::now);
    let us = Instant::now().saturating_duration_since(origin).as_micros();
    Moment::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
}

/// Returns the moment on a clock that goes on while the host is suspended.
///
/// Leases and ages of beliefs are measured on it; it must not be mixed with [`now`].
pub fn boot() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Moment::from_micros(secs * 1_000_000 + nanos / 1_000)
}

/// Returns the Unix milliseconds of the time of day, which may jump.
pub fn unix_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
