//! The monotonic and wall clocks of the process.

use crate::core::time::Moment;
use std::sync::OnceLock;
use tokio::time::Instant;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Returns the current time of tokio's clock, which tests can pause.
pub fn now() -> Moment {
    let origin = *ORIGIN.get_or_init(Instant::now);
    let us = Instant::now().saturating_duration_since(origin).as_micros();
    Moment::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
}

/// Returns the current time of a clock that also advances while the host is suspended.
///
/// Leases and the ages of cached state are measured with it. Its moments must not be compared with
/// those of [`now`].
pub fn boot() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let secs = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Moment::from_micros(secs * 1_000_000 + nanos / 1_000)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch; the clock may jump.
pub fn unix_millis() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
