//! Limits the rate at which one event is logged, so that an overload does not flood the log.

use crate::core::time::Moment;
use std::sync::atomic::{AtomicU64, Ordering};

/// The length of a window in microseconds.
const WINDOW_US: u64 = 1_000_000;
/// The maximum number of events logged in a window.
const MAX_PER_WINDOW: u64 = 20;

/// Permits a bounded number of events in each second.
#[derive(Debug, Default)]
pub struct Throttle {
    /// The number of the window to which `count` refers.
    window: AtomicU64,
    count: AtomicU64,
}

impl Throttle {
    /// Returns whether an event may be logged now.
    ///
    /// Racing threads may permit a few more events at the border of two windows.
    pub fn permits(&self, now: Moment) -> bool {
        let window = now.as_micros() / WINDOW_US;
        if self.window.swap(window, Ordering::Relaxed) != window {
            self.count.store(0, Ordering::Relaxed);
        }
        self.count.fetch_add(1, Ordering::Relaxed) < MAX_PER_WINDOW
    }
}
