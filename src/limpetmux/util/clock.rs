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
