//! The terms that decide between engines for a prompt, and their sum.
//!
//! An engine pool estimates one [`PlaceTerms`] for each engine and chooses the least cost. The terms
//! are public, so that a report can show what spoke for and against each engine. See
//! `docs/design/expected-work.md`.

use super::{LATE_WEIGHT, TRANSFER_BYTES_PER_MS, WAIT_WEIGHT, WORK_MARGIN};
use crate::core::work::read_cost::ReadSize;
use std::time::Duration;

/// What a prompt is expected to cost at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceTerms {
    /// The time that the engine spends on other prompts first.
    pub wait: Duration,
    /// The time that it spends on this prompt, at its own pace.
    pub work: Duration,
    /// The time on this prompt with the parts cached that planned prompts will read, at the usual pace
    /// unless the engine is much slower for now.
    pub expected: Duration,
    /// How much longer than the usual engine this one takes.
    pub pace: f64,
    /// The tokens that it fetches from another engine.
    pub fetched: u32,
    /// What it reads.
    pub size: ReadSize,
    /// The cost of the fetch for both engines.
    pub fetch_cost: Duration,
    /// The bytes of inputs that cross zones.
    pub transferred: u64,
}

impl PlaceTerms {
    /// Returns the sum of the terms in milliseconds; `budget` is the time until the first event is late.
    ///
    /// The pace of an engine that is not much slower than usual counts only where it makes the prompt
    /// late: if it always did, the fast engines would be busy with prompts that have time when one comes
    /// that has none.
    pub fn cost(&self, budget: Duration) -> f64 {
        let ms = |d: Duration| d.as_secs_f64() * 1_000.0;
        let late = (self.wait + self.work.mul_f64(1.0 + WORK_MARGIN)).saturating_sub(budget);
        ms(self.expected)
            + ms(self.wait) * WAIT_WEIGHT
            + ms(late) * LATE_WEIGHT
            + ms(self.fetch_cost)
            + self.transferred as f64 / TRANSFER_BYTES_PER_MS
    }
}
