//! The time that the stages of a request take, and by when each has to end.

use crate::core::catalog::{Catalog, Route};
use std::time::Duration;

/// The part of a call that a stage waits for its turn on an ordinary day.
const TURN_PARTS: u32 = 3;

/// Returns the usual time of each stage with the given pieces, zero for stages left out.
pub fn stage_times(catalog: &Catalog, route: &Route, pieces: &[u32]) -> Vec<Duration> {
    let time = |(index, stage): (usize, &crate::core::catalog::StageSpec)| {
        let count = pieces.get(index).copied().unwrap_or_default();
        let Some(spec) = catalog.pool(&stage.service).and_then(|p| p.pieces) else {
            return Duration::ZERO;
        };
        if count == 0 {
            return Duration::ZERO;
        }
        let batch = u32::try_from(spec.batch).unwrap_or(u32::MAX);
        spec.call + spec.item * count.min(batch) + spec.call / TURN_PARTS
    };
    route.stages.iter().enumerate().map(time).collect()
}

/// Returns for each stage the time that the stages behind it take on the longest way.
pub fn times_behind(route: &Route, times: &[Duration]) -> Vec<Duration> {
    let mut behind = vec![Duration::ZERO; route.stages.len()];
    for (index, stage) in route.stages.iter().enumerate().rev() {
        let own = behind[index] + times[index];
        for before in stage.after.iter().filter(|b| **b < index) {
            behind[*before] = behind[*before].max(own);
        }
    }
    behind
}

/// Returns the time of the whole chain, given an additional wait for each stage.
pub fn chain_time(route: &Route, times: &[Duration], waits: &[Duration]) -> Duration {
    let mut ends = vec![Duration::ZERO; route.stages.len()];
    for (index, stage) in route.stages.iter().enumerate() {
        let before = stage.after.iter().filter(|b| **b < index).map(|b| ends[*b]).max();
        let wait = if times[index].is_zero() { Duration::ZERO } else { waits[index] };
        ends[index] = before.unwrap_or_default() + times[index] + wait;
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns after what time each stage starts, without waits.
pub fn starts(route: &Route, times: &[Duration]) -> Vec<Duration> {
    let mut starts: Vec<Duration> = Vec::with_capacity(times.len());
    for (index, stage) in route.stages.iter().enumerate() {
        let before = stage.after.iter().filter(|b| **b < index).map(|b| starts[*b] + times[*b]);
        starts.push(before.max().unwrap_or_default());
    }
    starts
}
