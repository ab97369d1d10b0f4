//! A concurrency limit that follows what the backend server bears.
//!
//! While calls wait for the limit, their number and mean duration over a window give the server's
//! throughput. The limit takes a step, and the next windows tell whether the step paid: a larger
//! limit must raise throughput, a smaller one must keep it. Calls differ in size, so one window may
//! mislead: a result near the threshold is settled by further windows, and calls that started
//! before the step are left out. A step that does not pay is undone and followed by a rest, which
//! grows with each failure in a row, and then the other direction is tried. Only throughput at two
//! limits is compared, so calls that become larger do not drag the limit down.

use std::time::Duration;

/// The number of samples in a window.
const WINDOW_SAMPLES: u32 = 32;
/// The share of the limit that a step changes, by one call at least.
const STEP: f64 = 0.1;
/// The factor of throughput that a smaller limit must reach.
const SMALLER_KEEPS: f64 = 0.97;
/// The factor of throughput that a larger limit must reach.
const LARGER_GAINS: f64 = 1.03;
/// How far the first window of a trial must lie from these to settle it; later windows divide it.
const DOUBT: f64 = 0.05;
/// The windows after which a trial is settled in any case.
const TRIAL_WINDOWS: u32 = 5;
/// The longest rest after a step that did not pay, in windows; the first one is a single window.
const REST_WINDOWS: u32 = 16;
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

/// A step that has yet to show whether it pays; throughput is in calls per microsecond.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// The limit before the step.
    before: u32,
    /// The throughput before the step.
    usual: f64,
    /// The sum of the throughput in the windows since.
    sum: f64,
    windows: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Paid,
    Failed,
    Open,
}

impl Trial {
    fn new(before: u32, usual: f64) -> Self {
        Self { before, usual, sum: 0.0, windows: 0 }
    }

    fn add(&mut self, throughput: f64) {
        self.sum += throughput;
        self.windows += 1;
    }

    /// Returns the mean throughput since the step.
    fn throughput(&self) -> f64 {
        self.sum / f64::from(self.windows.max(1))
    }

    fn verdict(&self, limit: u32) -> Verdict {
        let factor = if limit < self.before { SMALLER_KEEPS } else { LARGER_GAINS };
        let over = self.throughput() / self.usual - factor;
        let doubt = DOUBT / f64::from(self.windows.max(1));
        match over {
            _ if self.windows < TRIAL_WINDOWS && over.abs() < doubt => Verdict::Open,
            _ if over >= 0.0 => Verdict::Paid,
            _ => Verdict::Failed,
        }
    }
}

/// The adaptive limit.
#[derive(Clone, Debug)]
pub(super) struct Limiter {
    ceiling: u32,
    limit: u32,
    window: Window,
    /// Calls that started before the last step and have yet to end.
    stale: u32,
    trial: Option<Trial>,
    upwards: bool,
    rest: u32,
    /// The rest after the next step that does not pay.
    next_rest: u32,
    /// The smoothed throughput at the present limit.
    throughput: Option<f64>,
}

impl Limiter {
    pub(super) fn new(ceiling: u32) -> Self {
        Self {
            ceiling,
            limit: ceiling,
            window: Window::default(),
            stale: 0,
            trial: None,
            upwards: false,
            rest: 0,
            next_rest: 1,
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
        if self.stale > 0 {
            self.stale -= 1;
            return;
        }
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
        self.trial = None;
        self.throughput = None;
    }

    fn move_to(&mut self, limit: u32) {
        let before = self.limit;
        self.limit = limit.clamp(1, self.ceiling.max(1));
        self.stale = if self.limit == before { 0 } else { before };
        self.forget_window();
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        if window.pressed * 2 < window.samples {
            self.trial = None;
            return;
        }
        let throughput = window.inflight / window.sum_us.max(1.0);
        let Some(mut trial) = self.trial else {
            self.go_on(throughput);
            return;
        };
        trial.add(throughput);
        match trial.verdict(self.limit) {
            Verdict::Open => self.trial = Some(trial),
            Verdict::Paid => {
                self.next_rest = 1;
                self.go_on(trial.throughput());
            }
            Verdict::Failed => self.undo(trial),
        }
    }

    fn undo(&mut self, trial: Trial) {
        self.move_to(trial.before);
        self.throughput = Some(trial.usual);
        self.upwards = !self.upwards;
        self.rest = self.next_rest;
        self.next_rest = (self.next_rest * 2).min(REST_WINDOWS);
    }

    /// Rests, or takes the next step.
    fn go_on(&mut self, throughput: f64) {
        let mean = self.throughput.get_or_insert(throughput);
        *mean += (throughput - *mean) / REST_PARTS;
        let (before, usual) = (self.limit, *mean);
        self.trial = None;
        if self.rest > 0 {
            self.rest -= 1;
            return;
        }
        let size = step(self.limit);
        let next = if self.upwards { self.limit + size } else { self.limit.saturating_sub(size) };
        self.move_to(next);
        if self.limit == before {
            self.upwards = !self.upwards;
        } else {
            self.trial = Some(Trial::new(before, usual));
        }
    }
}

fn step(limit: u32) -> u32 {
    ((f64::from(limit) * STEP).round() as u32).max(1)
}
