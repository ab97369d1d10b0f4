//! Timing and placement of the stages of a request, from the graph of their dependencies.
//!
//! An entry uses these functions to estimate when each stage starts, by when it has to end and in
//! which zone it runs best.

use crate::core::catalog::{Catalog, Route};
use std::sync::Arc;
use std::time::Duration;

/// Transfers of at least this many bytes decide the zone of a stage.
const LARGE_TRANSFER_BYTES: u64 = 500_000;
/// Under ordinary load a stage is assumed to wait in the queue for a call's base time divided by
/// this.
const QUEUE_WAIT_DIVISOR: u32 = 3;

/// Returns the usual time of each stage with the given pieces, zero for skipped stages.
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
        spec.call_time + spec.item_time * count.min(batch) + spec.call_time / QUEUE_WAIT_DIVISOR
    };
    route.stages.iter().enumerate().map(time).collect()
}

/// Returns for each stage the time of the longest path through the stages that depend on it.
pub fn downstream_times(route: &Route, times: &[Duration]) -> Vec<Duration> {
    let mut downstream = vec![Duration::ZERO; route.stages.len()];
    for (index, stage) in route.stages.iter().enumerate().rev() {
        let path = downstream[index] + times[index];
        for before in stage.after.iter().filter(|b| **b < index) {
            downstream[*before] = downstream[*before].max(path);
        }
    }
    downstream
}

/// Returns the time until all stages have ended, given an additional wait for each stage.
pub fn chain_time(route: &Route, times: &[Duration], waits: &[Duration]) -> Duration {
    let mut ends = vec![Duration::ZERO; route.stages.len()];
    for (index, stage) in route.stages.iter().enumerate() {
        let before = stage.after.iter().filter(|b| **b < index).map(|b| ends[*b]).max();
        let wait = if times[index].is_zero() { Duration::ZERO } else { waits[index] };
        ends[index] = before.unwrap_or_default() + times[index] + wait;
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the time after which each stage starts, without waits.
pub fn start_times(route: &Route, times: &[Duration]) -> Vec<Duration> {
    let mut starts: Vec<Duration> = Vec::with_capacity(times.len());
    for (index, stage) in route.stages.iter().enumerate() {
        let before = stage.after.iter().filter(|b| **b < index).map(|b| starts[*b] + times[*b]);
        starts.push(before.max().unwrap_or_default());
    }
    starts
}

/// Returns the zone in which a stage should run: that of its largest input or that of the model
/// engine, whichever saves more bytes between zones, or an empty name if both save little.
///
/// Every piece fetches all inputs, so small results add up.
pub fn preferred_zone(
    route: &Route,
    stage: usize,
    pieces: &[u32],
    zones: &[String],
    engine_zone: &str,
) -> String {
    let own_pieces = u64::from(pieces[stage]);
    let bytes = |s: usize| u64::from(pieces[s]).saturating_mul(route.stages[s].size);
    let fetched = |a: &usize| bytes(*a).saturating_mul(own_pieces);
    let input = route.stages[stage].after.iter().max_by_key(|a| fetched(a));
    let input_bytes = input.map_or(0, fetched);
    let is_last = dependent_count(route, stage) == 0;
    let output_bytes = if is_last { bytes(stage) } else { 0 };
    if input_bytes.max(output_bytes) < LARGE_TRANSFER_BYTES {
        return String::new();
    }
    match input {
        Some(input) if input_bytes >= output_bytes => zones[*input].clone(),
        _ => engine_zone.to_owned(),
    }
}

/// Returns the number of stages that depend on a stage.
pub fn dependent_count(route: &Route, stage: usize) -> usize {
    route.stages.iter().filter(|s| s.after.contains(&stage)).count()
}

/// Returns the stages that a stage depends on and whose results no unfinished stage needs any more.
pub fn finished_inputs(
    route: &Route,
    results: &[Option<Vec<Arc<str>>>],
    stage: usize,
) -> Vec<usize> {
    let is_done = |index: &usize| {
        let mut dependents =
            route.stages.iter().enumerate().filter(|(_, s)| s.after.contains(index));
        dependents.all(|(dependent, _)| results[dependent].is_some())
    };
    route.stages[stage].after.iter().copied().filter(is_done).collect()
}
