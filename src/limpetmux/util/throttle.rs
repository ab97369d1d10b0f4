//! Limits how often one event is logged, so that an overload does not flood the log.

use crate::core::time::Moment;
use std::sync::atomic::{AtomicU64, Ordering};

/// The length of a window in microseconds.
const WINDOW_US: u64 = 1_000_000;
/// The events that are let through in a window.
const PER_WINDOW: u64 = 20;

/// Lets a bounded number of events through in each second.
#[derive(Debug, Default)]
pub struct Throttle {
    /// The number of the window that `passed` counts in.
    window: AtomicU64,
    passed: AtomicU64,
}

impl Throttle {
    /// Returns whether an event may be logged now.
    ///
    /// Racing threads may let a few more through at the border of two windows.
    pub fn permits(&self, now: Moment) -> bool {
        let window = now.as_micros() / WINDOW_US;
        if self.window.swap(window, Ordering::Relaxed) != window {
            self.passed.store(0, Ordering::Relaxed);
        }
        self.passed.fetch_add(1, Ordering::Relaxed) < PER_WINDOW
    }
}
