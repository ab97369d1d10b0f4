//! Progress of the stages of one request: which can start, which have results, and which have to
//! run again.

use super::engines::InputLocation;
use super::failure::{Failure, Reason};
use super::inputs::Inputs;
use super::node::Shared;
use super::request::RoutedRequest;
use crate::core::catalog::{Route, StageSpec};
use crate::core::chain;
use crate::util::clock;
use crate::wire::fleet::{StageDone, StageRun};
use std::sync::Arc;
use std::time::Duration;

/// How often the stages of a request may run again because their results were lost.
const MAX_RERUNS: u32 = 2;

/// Pieces of a request that are expected at their services but not submitted yet.
struct PendingPieces<'a> {
    shared: &'a Shared,
    /// The service and the number of pieces of each stage; zero once they are submitted.
    pieces: Vec<(Arc<str>, usize)>,
}

impl<'a> PendingPieces<'a> {
    fn new(shared: &'a Shared, route: &Route, pieces: &[u32]) -> Self {
        let stages = route.stages.iter().zip(pieces);
        let pieces: Vec<(Arc<str>, usize)> =
            stages.map(|(s, n)| (Arc::clone(&s.service), *n as usize)).collect();
        let mut queue_waits = shared.queue_waits();
        pieces.iter().for_each(|(service, n)| queue_waits.add_expected(service, *n));
        Self { shared, pieces }
    }

    fn mark_submitted(&mut self, stage: usize) {
        let (service, pieces) = &mut self.pieces[stage];
        self.shared.queue_waits().remove_expected(service, std::mem::take(pieces));
    }
}

impl Drop for PendingPieces<'_> {
    fn drop(&mut self) {
        (0..self.pieces.len()).for_each(|stage| self.mark_submitted(stage));
    }
}

/// The outcome of one stage.
pub(super) struct StageOutcome {
    pub(super) stage: usize,
    pub(super) done: Result<StageDone, Failure>,
}

/// The model engine that a request will probably go to.
#[derive(Default)]
pub(super) struct PlannedEngine {
    pub(super) server: Option<Arc<str>>,
    pub(super) zone: String,
    /// The expected time to its first event, if the queue node of its pool chose it.
    pub(super) expected: Option<Duration>,
}

/// The state of the stages of one request while they run.
pub(super) struct Chain<'a> {
    routed: &'a Arc<RoutedRequest>,
    pieces: Vec<u32>,
    /// The time from the end of each stage to the first event of the answer.
    remaining: Vec<Duration>,
    /// The zone of the model engine.
    engine_zone: String,
    inputs: Inputs,
    pending: PendingPieces<'a>,
    /// The results of each finished stage; a stage without pieces has none from the start.
    results: Vec<Option<Vec<Arc<str>>>>,
    started: Vec<bool>,
    /// The availability zone that holds most results of each stage.
    zones: Vec<String>,
    /// Whether the results of each stage occupy memory that other pieces wait for.
    room_short: Vec<bool>,
    /// Whether the results of each stage may have been freed.
    freed: Vec<bool>,
    reruns: u32,
}

impl<'a> Chain<'a> {
    /// Creates the chain of a request that has no results yet.
    pub(super) fn new(
        shared: &'a Arc<Shared>,
        routed: &'a Arc<RoutedRequest>,
        remaining: Vec<Duration>,
        planned: PlannedEngine,
    ) -> Self {
        let pieces = routed.pieces();
        let count = pieces.len();
        let mut inputs = Inputs::new(shared);
        inputs.planned = planned.server;
        Self {
            routed,
            remaining,
            engine_zone: planned.zone,
            inputs,
            pending: PendingPieces::new(shared, routed.route(), &pieces),
            results: pieces.iter().map(|n| (*n == 0).then(Vec::new)).collect(),
            started: pieces.iter().map(|n| *n == 0).collect(),
            zones: vec![String::new(); count],
            room_short: vec![false; count],
            freed: vec![false; count],
            reruns: 0,
            pieces,
        }
    }

    /// Marks the stages whose inputs exist and that have not started as started, and returns the
    /// messages that run them.
    pub(super) fn start(&mut self) -> Vec<(usize, StageRun)> {
        let mut runs = Vec::new();
        for (index, stage) in self.routed.route().stages.iter().enumerate() {
            let done = |a: &usize| self.results.get(*a).is_some_and(Option::is_some);
            if self.started[index] || !stage.after.iter().all(done) {
                continue;
            }
            self.started[index] = true;
            self.pending.mark_submitted(index);
            runs.push((index, self.stage_run(index, stage)));
        }
        runs
    }

    fn stage_run(&mut self, index: usize, stage: &StageSpec) -> StageRun {
        let route = self.routed.route();
        let inputs =
            stage.after.iter().filter_map(|a| self.results[*a].clone()).flatten().collect();
        let frees = stage.after.iter().all(|a| chain::dependent_count(route, *a) == 1);
        let tight = stage.after.iter().any(|a| self.room_short[*a]);
        if frees && tight {
            stage.after.iter().for_each(|a| self.freed[*a] = true);
        }
        StageRun {
            service: stage.service.to_string(),
            request: self.routed.head.id.clone(),
            stage: u32::try_from(index).unwrap_or(u32::MAX),
            pieces: self.pieces[index],
            due_ms: due_in_ms(self.routed, self.remaining[index]),
            priority: u32::from(self.routed.priority()),
            zone: chain::preferred_zone(route, index, &self.pieces, &self.zones, &self.engine_zone),
            size: stage.size,
            workspace: self.routed.workspace().unwrap_or_default().to_owned(),
            frees,
            tight,
            ..source(self.routed, inputs)
        }
    }

    /// Records the outcome of a stage.
    pub(super) fn record(&mut self, outcome: StageOutcome) -> Result<(), Failure> {
        let done = match outcome.done {
            Ok(done) => done,
            Err(failure) if failure.reason == Reason::InputsGone => {
                return self.rerun_inputs(outcome.stage, failure);
            }
            Err(failure) => return Err(failure),
        };
        let route = self.routed.route();
        let names: Vec<Arc<str>> = done.results.iter().map(|r| Arc::from(r.as_str())).collect();
        let service = Arc::clone(&route.stages[outcome.stage].service);
        self.inputs.held.push((service, names.clone()));
        self.zones[outcome.stage] = done.zone;
        self.room_short[outcome.stage] = done.tight;
        self.results[outcome.stage] = Some(names);
        for input in chain::finished_inputs(route, &self.results, outcome.stage) {
            self.freed[input] = true;
            let names = self.results[input].as_deref().unwrap_or_default();
            match chain::dependent_count(route, input) {
                1 => self.inputs.remove(names),
                _ => self.inputs.free_some(names),
            }
        }
        Ok(())
    }

    /// Schedules a stage whose inputs were lost to run again after those inputs, if time is left.
    fn rerun_inputs(&mut self, stage: usize, failure: Failure) -> Result<(), Failure> {
        self.reruns += 1;
        if self.reruns > MAX_RERUNS || self.routed.time_left() < self.remaining[stage] {
            return Err(failure);
        }
        self.started[stage] = false;
        self.reset_inputs(stage);
        Ok(())
    }

    /// Frees the results of the stages before a stage so that those stages run again, and does the
    /// same for each of them whose own inputs may have been freed.
    fn reset_inputs(&mut self, stage: usize) {
        for input in self.routed.route().stages[stage].after.clone() {
            if self.pieces[input] == 0 {
                continue;
            }
            if let Some(names) = self.results[input].take() {
                self.inputs.free_some(&names);
            }
            self.started[input] = false;
            self.freed[input] = false;
            let after = &self.routed.route().stages[input].after;
            if after.iter().any(|a| self.freed[*a]) {
                self.reset_inputs(input);
            }
        }
    }

    /// Returns the inputs of the model engine.
    pub(super) fn finish(mut self) -> Inputs {
        let route = self.routed.route();
        self.inputs.location = input_location(route, &self.pieces, &self.zones);
        let last =
            (0..route.stages.len()).filter(|index| chain::dependent_count(route, *index) == 0);
        let results = last.filter_map(|index| self.results[index].clone()).flatten();
        self.inputs.results = results.collect();
        self.inputs
    }
}

/// Returns the location of the largest input of the model engine.
fn input_location(route: &Route, pieces: &[u32], zones: &[String]) -> InputLocation {
    let bytes = |index: &usize| u64::from(pieces[*index]) * route.stages[*index].size;
    let last = (0..route.stages.len()).filter(|index| chain::dependent_count(route, *index) == 0);
    let largest = last.max_by_key(bytes);
    largest.map_or_else(InputLocation::default, |stage| InputLocation {
        zone: zones[stage].clone(),
        bytes: bytes(&stage),
    })
}

fn source(routed: &RoutedRequest, inputs: Vec<Arc<str>>) -> StageRun {
    let inputs: Vec<String> = inputs.iter().map(ToString::to_string).collect();
    let key = if inputs.is_empty() { routed.head.piece_key.clone() } else { String::new() };
    StageRun { key, inputs, ..StageRun::default() }
}

/// Returns the milliseconds until a stage is due, negative if it is late, given the time that the
/// steps after it take.
fn due_in_ms(routed: &RoutedRequest, remaining: Duration) -> i64 {
    let now = clock::boot();
    let due = routed.latency_deadline() - remaining;
    let left = i64::try_from(now.until(due).as_millis()).unwrap_or(i64::MAX);
    let late = i64::try_from(due.until(now).as_millis()).unwrap_or(i64::MAX);
    if late > 0 { -late } else { left }
}
