//! A token bucket.

use std::sync::{Mutex, PoisonError};
use tokio::time::Instant;

/// Limits the rate of calls, with bursts of up to one second's worth of tokens.
#[derive(Debug)]
pub(crate) struct Limiter {
    rate: f64,
    /// The tokens left and the time of the last refill.
    bucket: Mutex<(f64, Instant)>,
}

impl Limiter {
    /// Creates a full bucket that refills at `rate` tokens per second.
    pub(crate) fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self { rate, bucket: Mutex::new((rate.max(1.0), Instant::now())) }
    }

    /// Takes one token; returns whether one was available.
    pub(crate) fn try_take(&self) -> bool {
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let refill = now.duration_since(bucket.1).as_secs_f64() * self.rate;
        *bucket = ((bucket.0 + refill).min(self.rate.max(1.0)), now);
        if bucket.0 < 1.0 {
            return false;
        }
        bucket.0 -= 1.0;
        true
    }
}
