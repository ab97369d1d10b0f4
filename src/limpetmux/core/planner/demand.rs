//! The demand for a service, measured as the number of calls that run or wait, and its trend.

use crate::core::time::Moment;
use std::time::Duration;

/// The demand for one service, in calls that run or wait at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The smoothed level.
    pub level: f64,
    /// The smoothed change of the level per second.
    pub slope: f64,
}

impl Demand {
    /// Returns the demand expected after some time; a falling demand is not extrapolated.
    pub fn forecast(self, horizon: Duration) -> f64 {
        self.level + self.slope.max(0.0) * horizon.as_secs_f64()
    }
}

/// Smooths samples of the demand for one service (double exponential smoothing).
#[derive(Clone, Debug)]
pub struct DemandTracker {
    window: Duration,
    state: Option<(Moment, Demand)>,
}

impl DemandTracker {
    /// Creates a tracker that smooths over the given window.
    pub fn new(window: Duration) -> Self {
        Self { window, state: None }
    }

    /// Adds a sample of the number of calls that run or wait now.
    pub fn observe(&mut self, now: Moment, calls: f64) {
        let Some((at, old)) = self.state else {
            self.state = Some((now, Demand { level: calls, slope: 0.0 }));
            return;
        };
        let elapsed_s = now.since(at).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        let weight = 1.0 - (-elapsed_s / self.window.as_secs_f64()).exp();
        let expected = old.level + old.slope * elapsed_s;
        let level = expected + weight * (calls - expected);
        let slope = old.slope + weight * ((level - old.level) / elapsed_s - old.slope);
        self.state = Some((now, Demand { level: level.max(0.0), slope }));
    }

    /// Returns the smoothed demand; zero before the first sample.
    pub fn demand(&self) -> Demand {
        self.state.map(|(_, d)| d).unwrap_or_default()
    }
}
