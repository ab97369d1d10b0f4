//! The speed of a backend server, from the slowdowns that it states.
//!
//! A slowdown that changes many times a second is worth its value for a short time, and its mean after
//! that. How short is learned: from pairs of stated values that follow each other closely, by how much
//! of the first one's distance to the mean is left in the second. See `docs/design/expected-work.md`.

use crate::core::time::Moment;
use std::time::Duration;

/// The time constant of the mean.
const MEAN_TIME: Duration = Duration::from_secs(4);
/// Two values further apart tell nothing about how fast the slowdown moves.
const MAX_GAP: Duration = Duration::from_millis(400);
/// The part of what was learned about the movement that a new pair of values replaces.
const PAIR_WEIGHT: f64 = 0.05;
/// How long a value counts before anything was learned.
const FIRST_DECAY: Duration = Duration::from_millis(60);
/// The shortest and the longest time that a value counts.
const DECAY_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(2));
/// How long the mean counts in full after the latest value.
const TRUST_TIME: Duration = Duration::from_secs(2);
/// The time constant with which it approaches the usual speed after that.
const RETURN_TIME: Duration = Duration::from_secs(4);
/// The spread of logarithms below which a slowdown does not move.
const STILL: f64 = 1e-6;

/// The stated slowdowns of one backend server.
///
/// Values are kept as logarithms, so that twice and half as slow count alike.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedRecord {
    latest: Option<(f64, Moment)>,
    mean: f64,
    /// Moving averages over pairs of values: the square of the first one's distance to the mean, its
    /// product with the second one's, and the seconds between the two.
    spread: f64,
    common: f64,
    gap: f64,
}

impl SpeedRecord {
    /// Records a slowdown that is stated at `now`.
    pub fn record(&mut self, now: Moment, slowdown: f64) {
        let value = slowdown.ln();
        let Some((earlier, at)) = self.latest.replace((value, now)) else {
            self.mean = value;
            return;
        };
        let gap = now.since(at);
        if gap <= MAX_GAP {
            self.learn_decay(earlier - self.mean, value - self.mean, gap);
        }
        let weight = 1.0 - (-gap.as_secs_f64() / MEAN_TIME.as_secs_f64()).exp();
        self.mean += (value - self.mean) * weight;
    }

    fn learn_decay(&mut self, first: f64, second: f64, gap: Duration) {
        let mix = |old: &mut f64, new: f64| *old += (new - *old) * PAIR_WEIGHT;
        mix(&mut self.spread, first * first);
        mix(&mut self.common, first * second);
        mix(&mut self.gap, gap.as_secs_f64());
    }

    /// Returns the expected slowdown at `now`; 1 if none was stated.
    pub fn slowdown(&self, now: Moment) -> f64 {
        let Some((value, at)) = self.latest else { return 1.0 };
        let kept = (-now.since(at).as_secs_f64() / self.decay().as_secs_f64()).exp();
        let mean = self.mean_at(now);
        (mean + (value - mean) * kept).exp()
    }

    /// Returns the expected mean slowdown of work that begins at `now` and usually takes `usual`; 1 if
    /// none was stated.
    pub fn slowdown_over(&self, now: Moment, usual: Duration) -> f64 {
        let Some((value, at)) = self.latest else { return 1.0 };
        let decay = self.decay().as_secs_f64();
        let turns = (usual.as_secs_f64() / decay).max(f64::EPSILON);
        let kept = (-now.since(at).as_secs_f64() / decay).exp() * (1.0 - (-turns).exp()) / turns;
        let mean = self.mean_at(now);
        (mean + (value - mean) * kept).exp()
    }

    /// Returns the mean at `now`; without new values it fades, so that the server is asked again.
    fn mean_at(&self, now: Moment) -> f64 {
        let silent = self.latest.map_or(Duration::ZERO, |(_, at)| now.since(at));
        let faded = silent.saturating_sub(TRUST_TIME).as_secs_f64() / RETURN_TIME.as_secs_f64();
        self.mean * (-faded).exp()
    }

    /// Returns the time after which about a third of a value's distance to the mean is left.
    pub fn decay(&self) -> Duration {
        let (shortest, longest) = DECAY_RANGE;
        if self.spread < STILL || self.gap <= 0.0 {
            return FIRST_DECAY;
        }
        let kept = (self.common / self.spread).clamp(0.01, 0.99);
        Duration::from_secs_f64(self.gap / -kept.ln()).clamp(shortest, longest)
    }
}
