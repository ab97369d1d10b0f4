//! A concurrency limit that adapts to the backend server's throughput.
//!
//! While the limit is reached, the number of calls in flight and their mean duration over a window
//! give the server's throughput. The limiter changes the limit by a step and measures further
//! windows: a larger limit must raise throughput, a smaller one must keep it. Calls differ in size,
//! so a single window may be misleading: a result near the threshold is decided by further windows,
//! and calls that started before the step are not counted. A failed step is undone and followed by
//! a pause, which doubles with each consecutive failure; then the opposite direction is tried. Only
//! the throughput at two limits is compared, so larger calls alone do not lower the limit.

use std::time::Duration;

/// The number of samples in a window.
const WINDOW_SAMPLES: u32 = 32;
/// The fraction of the limit that a step changes; a step is at least one call.
const STEP: f64 = 0.1;
/// The minimum ratio of throughput after a step to throughput before it, for a smaller limit.
const MIN_RATIO_DOWN: f64 = 0.97;
/// The minimum ratio of throughput after a step to throughput before it, for a larger limit.
const MIN_RATIO_UP: f64 = 1.03;
/// The distance from the minimum ratio at which the first window decides a trial. After `n` windows
/// the distance is one `n`th of this.
const DECISION_MARGIN: f64 = 0.05;
/// The maximum number of windows in a trial.
const MAX_TRIAL_WINDOWS: u32 = 5;
/// The longest pause after a failed step, in windows; the first pause is a single window.
const MAX_PAUSE_WINDOWS: u32 = 16;
/// The weight of a window in the smoothed throughput is one over this number.
const THROUGHPUT_PARTS: f64 = 3.0;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    sum_us: f64,
    inflight: f64,
    samples: u32,
    /// Calls that started with the limit reached.
    at_limit: u32,
}

/// A step whose effect is being measured; throughput is in calls per microsecond.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// The limit before the step.
    before: u32,
    /// The throughput before the step.
    baseline: f64,
    /// The sum of the throughput of all windows since the step.
    sum: f64,
    windows: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialResult {
    Succeeded,
    Failed,
    Undecided,
}

impl Trial {
    fn new(before: u32, baseline: f64) -> Self {
        Self { before, baseline, sum: 0.0, windows: 0 }
    }

    fn add(&mut self, throughput: f64) {
        self.sum += throughput;
        self.windows += 1;
    }

    /// Returns the mean throughput since the step.
    fn throughput(&self) -> f64 {
        self.sum / f64::from(self.windows.max(1))
    }

    fn result(&self, limit: u32) -> TrialResult {
        let min_ratio = if limit < self.before { MIN_RATIO_DOWN } else { MIN_RATIO_UP };
        let excess = self.throughput() / self.baseline - min_ratio;
        let margin = DECISION_MARGIN / f64::from(self.windows.max(1));
        match excess {
            _ if self.windows < MAX_TRIAL_WINDOWS && excess.abs() < margin => {
                TrialResult::Undecided
            }
            _ if excess >= 0.0 => TrialResult::Succeeded,
            _ => TrialResult::Failed,
        }
    }
}

/// The adaptive limit.
#[derive(Clone, Debug)]
pub(super) struct Limiter {
    ceiling: u32,
    limit: u32,
    window: Window,
    /// The remaining number of calls to leave out because they may have started before the last
    /// change of the limit.
    stale: u32,
    trial: Option<Trial>,
    /// Whether the next step raises the limit.
    upwards: bool,
    /// Windows until the next step.
    pause: u32,
    /// Windows to pause after the next failed step.
    next_pause: u32,
    /// The smoothed throughput at the current limit.
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
            pause: 0,
            next_pause: 1,
            throughput: None,
        }
    }

    pub(super) fn set_ceiling(&mut self, ceiling: u32) {
        let was_at_ceiling = self.limit >= self.ceiling;
        self.ceiling = ceiling;
        let limit = if was_at_ceiling { ceiling } else { self.limit.min(ceiling) };
        self.move_to(limit);
    }

    /// Returns the limit in calls, at least one.
    pub(super) fn limit(&self) -> u32 {
        self.limit.clamp(1, self.ceiling.max(1))
    }

    /// Records the duration of a call; `inflight` calls, including this one, were in flight when it
    /// started.
    pub(super) fn add(&mut self, took: Duration, inflight: u32) {
        if self.stale > 0 {
            self.stale -= 1;
            return;
        }
        self.window.sum_us += took.as_micros() as f64;
        self.window.inflight += f64::from(inflight);
        self.window.samples += 1;
        self.window.at_limit += u32::from(inflight >= self.limit());
        if self.window.samples >= WINDOW_SAMPLES {
            self.close_window();
        }
    }

    /// Lowers the limit below the number of calls in flight at which the backend server refused a
    /// call as full.
    pub(super) fn saturated(&mut self, inflight: u32) {
        let limit = self.limit.min(inflight);
        self.move_to(limit - step_size(limit).min(limit.saturating_sub(1)));
        self.pause = MAX_PAUSE_WINDOWS;
    }

    /// Drops samples that were taken at another limit or state of the backend server.
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
        if window.at_limit * 2 < window.samples {
            self.trial = None;
            return;
        }
        let throughput = window.inflight / window.sum_us.max(1.0);
        let Some(mut trial) = self.trial else {
            self.next_step(throughput);
            return;
        };
        trial.add(throughput);
        match trial.result(self.limit) {
            TrialResult::Undecided => self.trial = Some(trial),
            TrialResult::Succeeded => {
                self.next_pause = 1;
                self.next_step(trial.throughput());
            }
            TrialResult::Failed => self.undo(trial),
        }
    }

    /// Restores the limit before a failed step and reverses the direction.
    fn undo(&mut self, trial: Trial) {
        self.move_to(trial.before);
        self.throughput = Some(trial.baseline);
        self.upwards = !self.upwards;
        self.pause = self.next_pause;
        self.next_pause = (self.next_pause * 2).min(MAX_PAUSE_WINDOWS);
    }

    /// Changes the limit by one step, unless the limiter is paused.
    fn next_step(&mut self, throughput: f64) {
        let mean = self.throughput.get_or_insert(throughput);
        *mean += (throughput - *mean) / THROUGHPUT_PARTS;
        let (before, baseline) = (self.limit, *mean);
        self.trial = None;
        if self.pause > 0 {
            self.pause -= 1;
            return;
        }
        let size = step_size(self.limit);
        let next = if self.upwards { self.limit + size } else { self.limit.saturating_sub(size) };
        self.move_to(next);
        if self.limit == before {
            self.upwards = !self.upwards;
        } else {
            self.trial = Some(Trial::new(before, baseline));
        }
    }
}

/// Returns the size of a step from a limit, in calls.
fn step_size(limit: u32) -> u32 {
    ((f64::from(limit) * STEP).round() as u32).max(1)
}
