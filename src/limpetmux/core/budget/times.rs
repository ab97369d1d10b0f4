//! Measured durations of stages, and the deadlines and hedge delays derived from them.

use super::quantiles::{Percentiles, Quantiles};
use crate::core::config::Name;
use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::time::Duration;

/// One in this many requests whose estimated time exceeds the deadline runs anyway, so that
/// outdated estimates are corrected.
const PROBE_EVERY: u32 = 32;
/// Stages with a longer 95th percentile are not hedged.
const HEDGE_LIMIT: Duration = Duration::from_millis(500);
/// Shortest delay of a hedge.
const MIN_HEDGE: Duration = Duration::from_millis(2);

/// A stage of a pipeline, identified by a number that stays the same in later configuration views.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StageId(pub u64);

impl StageId {
    /// Returns the id of a stage.
    pub fn of(pipeline: &Name, stage: &Name) -> Self {
        Self(hash_parts(&[pipeline.as_str().as_bytes(), stage.as_str().as_bytes()]))
    }
}

/// The histograms could not be created.
#[derive(Debug, thiserror::Error)]
#[error("cannot create the histogram of stage durations")]
pub struct TimesError(#[from] hdrhistogram::CreationError);

/// The durations of stages that one entry has measured.
#[derive(Clone, Debug)]
pub struct StageTimes {
    empty: Quantiles,
    stages: BTreeMap<StageId, Quantiles>,
    late_estimates: u32,
}

impl StageTimes {
    /// Creates a record without samples.
    ///
    /// # Errors
    /// Returns [`TimesError`] if the histogram library refuses the bounds.
    pub fn new() -> Result<Self, TimesError> {
        Ok(Self { empty: Quantiles::new()?, stages: BTreeMap::new(), late_estimates: 0 })
    }

    /// Records the duration of a completed stage, without its time in a sidecar's queue.
    ///
    /// Queueing is excluded because the sidecar limits it; including it would cause requests to be
    /// refused long after a short overload has passed.
    pub fn add(&mut self, now: Moment, stage: StageId, took: Duration) {
        let times = self.stages.entry(stage).or_insert_with(|| self.empty.clone());
        times.add(now, took);
    }

    /// Removes stages that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(StageId) -> bool) {
        self.stages.retain(|stage, _| exists(*stage));
    }

    /// Estimates the time that stages need one after the other; stages without quantiles count as
    /// zero.
    ///
    /// The estimate is the sum of the medians plus the square root of the sum of the squared
    /// distances from the median to the 90th percentile, as the durations are independent.
    pub fn estimate(&mut self, now: Moment, stages: &[StageId]) -> Duration {
        let mut sum = Duration::ZERO;
        let mut squares = 0.0;
        for stage in stages {
            let Some(percentiles) = self.percentiles(now, *stage) else { continue };
            sum += percentiles.median;
            squares += (percentiles.p90 - percentiles.median).as_secs_f64().powi(2);
        }
        sum + Duration::from_secs_f64(squares.sqrt())
    }

    /// Checks before the first stage of a request whether its stages fit into the remaining time.
    ///
    /// # Errors
    /// Returns a refusal, which states that nothing ran, with [`RefusalCode::Deadline`].
    pub fn check(
        &mut self,
        now: Moment,
        deadline: Moment,
        stages: &[StageId],
    ) -> Result<(), Refusal> {
        if now + self.estimate(now, stages) <= deadline {
            return Ok(());
        }
        self.late_estimates = (self.late_estimates + 1) % PROBE_EVERY;
        if self.late_estimates == 0 && now < deadline {
            return Ok(());
        }
        Err(Refusal::not_run(RefusalCode::Deadline))
    }

    /// Returns the deadline of a stage, which leaves enough time for the later ones.
    pub fn stage_deadline(&mut self, now: Moment, deadline: Moment, later: &[StageId]) -> Moment {
        deadline - self.estimate(now, later)
    }

    /// Returns the delay of a hedge of an idempotent stage, or `None` if the stage takes too long
    /// for a second run or has too few samples.
    pub fn hedge_after(&mut self, now: Moment, stage: StageId) -> Option<Duration> {
        let percentiles = self.percentiles(now, stage)?;
        (percentiles.p95 <= HEDGE_LIMIT).then(|| percentiles.p95.max(MIN_HEDGE))
    }

    fn percentiles(&mut self, now: Moment, stage: StageId) -> Option<Percentiles> {
        self.stages.get_mut(&stage)?.percentiles(now)
    }
}
