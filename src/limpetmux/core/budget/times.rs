//! How long stages take, and what follows for deadlines and hedging.

use super::quantiles::{Quantiles, Spread};
use crate::core::config::Name;
use crate::core::time::Moment;
use crate::core::verdict::{Refusal, RefusalCode};
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::time::Duration;

/// Of requests that do not seem to fit, one in this many runs all the same, so that estimates
/// made under other conditions are corrected.
const PROBE_EVERY: u32 = 32;
/// Stages with a longer 95th percentile are not hedged.
const HEDGE_LIMIT: Duration = Duration::from_millis(500);
/// The least time before a hedge.
const MIN_HEDGE: Duration = Duration::from_millis(2);

/// A stage of a pipeline, as a number that outlives one configuration view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StageId(pub u64);

impl StageId {
    /// Returns the id of a stage.
    pub fn of(pipeline: &Name, stage: &Name) -> Self {
        Self(hash_parts(&[pipeline.as_str().as_bytes(), stage.as_str().as_bytes()]))
    }
}

/// The histograms cannot be created.
#[derive(Debug, thiserror::Error)]
#[error("cannot create the histogram of stage durations")]
pub struct TimesError(#[from] hdrhistogram::CreationError);

/// The durations of stages that one entry has seen.
#[derive(Clone, Debug)]
pub struct StageTimes {
    empty: Quantiles,
    stages: BTreeMap<StageId, Quantiles>,
    unfit: u32,
}

impl StageTimes {
    /// Creates a record without samples.
    ///
    /// # Errors
    /// Returns [`TimesError`] if the histogram library refuses the bounds.
    pub fn new() -> Result<Self, TimesError> {
        Ok(Self { empty: Quantiles::new()?, stages: BTreeMap::new(), unfit: 0 })
    }

    /// Takes in the duration of a completed stage, without its time in a sidecar's queue.
    ///
    /// Queueing is left out because the sidecar bounds it; counting it here would let a short
    /// overload refuse requests long after it has passed.
    pub fn add(&mut self, now: Moment, stage: StageId, took: Duration) {
        let times = self.stages.entry(stage).or_insert_with(|| self.empty.clone());
        times.add(now, took);
    }

    /// Drops stages that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(StageId) -> bool) {
        self.stages.retain(|stage, _| exists(*stage));
    }

    /// Estimates the time that stages need one after the other; unknown ones count as nothing.
    ///
    /// Medians add up. Their spreads are independent, so the squares of the distances to the 90th
    /// percentile add up instead.
    pub fn need(&mut self, now: Moment, stages: &[StageId]) -> Duration {
        let mut sum = Duration::ZERO;
        let mut squares = 0.0;
        for stage in stages {
            let Some(spread) = self.spread(now, *stage) else { continue };
            sum += spread.median;
            squares += (spread.p90 - spread.median).as_secs_f64().powi(2);
        }
        sum + Duration::from_secs_f64(squares.sqrt())
    }

    /// Refuses a request, before its first stage, whose stages do not fit into the time left.
    ///
    /// # Errors
    /// Returns a refusal that nothing ran, with [`RefusalCode::Deadline`].
    pub fn check(
        &mut self,
        now: Moment,
        deadline: Moment,
        stages: &[StageId],
    ) -> Result<(), Refusal> {
        if now + self.need(now, stages) <= deadline {
            return Ok(());
        }
        self.unfit = (self.unfit + 1) % PROBE_EVERY;
        if self.unfit == 0 && now < deadline {
            return Ok(());
        }
        Err(Refusal::not_run(RefusalCode::Deadline))
    }

    /// Returns the moment by which a stage must be done so that the later ones still fit.
    pub fn stage_deadline(&mut self, now: Moment, deadline: Moment, later: &[StageId]) -> Moment {
        deadline - self.need(now, later)
    }

    /// Returns how long to wait for an idempotent stage before a hedge, or `None` if the stage is
    /// too long to be worth a second run or too little known.
    pub fn hedge_after(&mut self, now: Moment, stage: StageId) -> Option<Duration> {
        let spread = self.spread(now, stage)?;
        (spread.p95 <= HEDGE_LIMIT).then(|| spread.p95.max(MIN_HEDGE))
    }

    fn spread(&mut self, now: Moment, stage: StageId) -> Option<Spread> {
        self.stages.get_mut(&stage)?.spread(now)
    }
}
