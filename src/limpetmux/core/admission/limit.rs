//! A concurrency limit that follows what the backend server bears.
//!
//! Samples of the time to first output are averaged over windows. A window far above the lowest
//! recent one means that calls wait inside the backend server, so the limit shrinks by a share; a
//! good window in which the limit was reached lets it grow towards the declared concurrency.

use std::time::Duration;

/// The least number of samples in a window.
const WINDOW_SAMPLES: u32 = 16;
/// A window this many times slower than the baseline shrinks the limit.
const TOLERANCE: f64 = 2.0;
/// The factor by which a slow window shrinks the limit.
const SHRINK: f64 = 0.85;
/// The share of the limit that a good window adds.
const GROWTH: f64 = 0.1;
/// The factor by which the baseline rises per window, so that it forgets old conditions.
const BASELINE_DRIFT: f64 = 1.005;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    sum_us: f64,
    samples: u32,
    /// Whether the limit was reached.
    pressed: bool,
}

/// The adaptive limit.
#[derive(Clone, Debug)]
pub(super) struct Limiter {
    ceiling: u32,
    limit: f64,
    window: Window,
    baseline_us: f64,
}

impl Limiter {
    pub(super) fn new(ceiling: u32) -> Self {
        Self {
            ceiling,
            limit: f64::from(ceiling),
            window: Window::default(),
            baseline_us: f64::INFINITY,
        }
    }

    pub(super) fn set_ceiling(&mut self, ceiling: u32) {
        let was_full = self.limit >= f64::from(self.ceiling);
        self.ceiling = ceiling;
        let top = f64::from(ceiling);
        self.limit = if was_full { top } else { self.limit.min(top) };
    }

    /// Returns the limit in whole calls, at least one.
    pub(super) fn limit(&self) -> u32 {
        (self.limit as u32).clamp(1, self.ceiling.max(1))
    }

    /// Takes in the time to first output of a call that started as the `inflight`th at once.
    pub(super) fn add(&mut self, first: Duration, inflight: u32) {
        self.window.sum_us += first.as_micros() as f64;
        self.window.samples += 1;
        self.window.pressed |= inflight >= self.limit();
        if self.window.samples >= WINDOW_SAMPLES.max(self.limit()) {
            self.close_window();
        }
    }

    /// Shrinks the limit below the number of calls at which the backend server refused one.
    pub(super) fn saturated(&mut self, inflight: u32) {
        self.limit = (f64::from(inflight).min(self.limit) * SHRINK).max(1.0);
        self.window = Window::default();
    }

    /// Drops samples that belong to another condition of the backend server.
    pub(super) fn forget_window(&mut self) {
        self.window = Window::default();
    }

    fn close_window(&mut self) {
        let Window { sum_us, samples, pressed } = std::mem::take(&mut self.window);
        let mean = sum_us / f64::from(samples.max(1));
        self.baseline_us = (self.baseline_us * BASELINE_DRIFT).min(mean);
        if mean > self.baseline_us * TOLERANCE {
            self.limit = (self.limit * SHRINK).max(1.0);
        } else if pressed {
            let step = (self.limit * GROWTH).max(1.0);
            self.limit = (self.limit + step).min(f64::from(self.ceiling));
        }
    }
}
