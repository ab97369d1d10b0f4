//! A concurrency limit that follows what the backend server bears.
//!
//! While calls wait for the limit, their number and mean duration over a window give the server's
//! throughput. The limit takes a step, and the next window tells whether the step paid: a larger
//! limit must raise throughput, a smaller one must keep it. A step that does not pay is undone and
//! followed by a rest, after which the other direction is tried. Only throughput at two limits is
//! compared, so calls that become larger do not drag the limit down.

use std::time::Duration;

/// The number of samples in a window.
const WINDOW_SAMPLES: u32 = 64;
/// The share of the limit that a step changes, by one call at least.
const STEP: f64 = 0.1;
/// The factor of throughput that a smaller limit must reach.
const SMALLER_KEEPS: f64 = 0.97;
/// The factor of throughput that a larger limit must reach.
const LARGER_GAINS: f64 = 1.03;
/// The windows of rest after a step that did not pay.
const REST_WINDOWS: u32 = 6;
/// The weight of a window in the throughput at rest is one part in this.
const REST_PARTS: f64 = 3.0;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    sum_us: f64,
    inflight: f64,
    samples: u32,
    /// Calls that reached the limit.
    pressed: u32,
}

/// The limit before a step, and the throughput then, in calls per microsecond.
#[derive(Clone, Copy, Debug)]
struct Before {
    limit: u32,
    throughput: f64,
}

/// The adaptive limit.
#[derive(Clone, Debug)]
pub(super) struct Limiter {
    ceiling: u32,
    limit: u32,
    window: Window,
    before: Option<Before>,
    upwards: bool,
    rest: u32,
    /// The smoothed throughput at the present limit.
    throughput: Option<f64>,
}

impl Limiter {
    pub(super) fn new(ceiling: u32) -> Self {
        Self {
            ceiling,
            limit: ceiling,
            window: Window::default(),
            before: None,
            upwards: false,
            rest: 0,
            throughput: None,
        }
    }

    pub(super) fn set_ceiling(&mut self, ceiling: u32) {
        let was_full = self.limit >= self.ceiling;
        self.ceiling = ceiling;
        let limit = if was_full { ceiling } else { self.limit.min(ceiling) };
        self.move_to(limit);
    }

    /// Returns the limit in calls, at least one.
    pub(super) fn limit(&self) -> u32 {
        self.limit.clamp(1, self.ceiling.max(1))
    }

    /// Takes in the duration of a call that started as the `inflight`th at once.
    pub(super) fn add(&mut self, took: Duration, inflight: u32) {
        self.window.sum_us += took.as_micros() as f64;
        self.window.inflight += f64::from(inflight);
        self.window.samples += 1;
        self.window.pressed += u32::from(inflight >= self.limit());
        if self.window.samples >= WINDOW_SAMPLES {
            self.close_window();
        }
    }

    /// Shrinks the limit below the number of calls at which the backend server refused one.
    pub(super) fn saturated(&mut self, inflight: u32) {
        let limit = self.limit.min(inflight);
        self.move_to(limit - step(limit).min(limit.saturating_sub(1)));
        self.rest = REST_WINDOWS;
    }

    /// Drops samples that belong to another condition of the backend server.
    pub(super) fn forget_window(&mut self) {
        self.window = Window::default();
        self.before = None;
        self.throughput = None;
    }

    fn move_to(&mut self, limit: u32) {
        self.limit = limit.clamp(1, self.ceiling.max(1));
        self.forget_window();
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        if window.pressed * 2 < window.samples {
            self.before = None;
            return;
        }
        let throughput = window.inflight / window.sum_us.max(1.0);
        match self.before.take() {
            Some(before) if !self.paid(before, throughput) => {
                self.move_to(before.limit);
                self.upwards = !self.upwards;
                self.rest = REST_WINDOWS;
            }
            _ => self.go_on(throughput),
        }
    }

    fn paid(&self, before: Before, throughput: f64) -> bool {
        let factor = if self.limit < before.limit { SMALLER_KEEPS } else { LARGER_GAINS };
        throughput >= before.throughput * factor
    }

    /// Rests, or takes the next step.
    fn go_on(&mut self, throughput: f64) {
        let mean = self.throughput.get_or_insert(throughput);
        *mean += (throughput - *mean) / REST_PARTS;
        let before = Before { limit: self.limit, throughput: *mean };
        if self.rest > 0 {
            self.rest -= 1;
            return;
        }
        let size = step(self.limit);
        let next = if self.upwards { self.limit + size } else { self.limit.saturating_sub(size) };
        self.move_to(next);
        if self.limit == before.limit {
            self.upwards = !self.upwards;
        } else {
            self.before = Some(before);
        }
    }
}

fn step(limit: u32) -> u32 {
    ((f64::from(limit) * STEP).round() as u32).max(1)
}
