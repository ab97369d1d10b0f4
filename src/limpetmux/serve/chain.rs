//! The stages of one request: which can be made, what was made, and what has to be made anew.

use super::engines::InputsAt;
use super::failure::{Failure, Reason};
use super::inputs::Inputs;
use super::node::Shared;
use super::request::Plan;
use crate::core::catalog::{Route, StageSpec};
use crate::core::chain;
use crate::util::clock;
use crate::wire::fleet::{StageDone, StageRun};
use std::sync::Arc;
use std::time::Duration;

/// The times that lost inputs of a request are made anew.
const MAX_REMAKES: u32 = 2;

/// Pieces of a request that have not come to their services yet.
struct Coming<'a> {
    shared: &'a Shared,
    /// The service and the pieces of each stage, zero once they have come.
    pieces: Vec<(Arc<str>, usize)>,
}

impl<'a> Coming<'a> {
    fn new(shared: &'a Shared, route: &Route, pieces: &[u32]) -> Self {
        let stages = route.stages.iter().zip(pieces);
        let pieces: Vec<(Arc<str>, usize)> =
            stages.map(|(s, n)| (Arc::clone(&s.service), *n as usize)).collect();
        let mut pressure = shared.pressure();
        pieces.iter().for_each(|(service, n)| pressure.expect(service, *n));
        Self { shared, pieces }
    }

    fn arrived(&mut self, stage: usize) {
        let (service, pieces) = &mut self.pieces[stage];
        self.shared.pressure().arrived(service, std::mem::take(pieces));
    }
}

impl Drop for Coming<'_> {
    fn drop(&mut self) {
        (0..self.pieces.len()).for_each(|stage| self.arrived(stage));
    }
}

/// What became of a stage.
pub(super) struct Made {
    pub(super) stage: usize,
    pub(super) done: Result<StageDone, Failure>,
}

/// The model engine that a request will probably go to.
#[derive(Default)]
pub(super) struct Planned {
    pub(super) server: Option<Arc<str>>,
    pub(super) zone: String,
    /// The time until its first event, if the keeper of the board was asked.
    pub(super) expected: Option<Duration>,
}

/// The stages of one request while they are made.
pub(super) struct Chain<'a> {
    plan: &'a Arc<Plan>,
    pieces: Vec<u32>,
    /// The time from the end of each stage to the first event.
    behind: Vec<Duration>,
    /// The zone of the model engine.
    engine_zone: String,
    inputs: Inputs,
    coming: Coming<'a>,
    /// The results of each stage once it has been made; a stage without pieces has none.
    results: Vec<Option<Vec<Arc<str>>>>,
    started: Vec<bool>,
    /// Where most results of each stage lie.
    zones: Vec<String>,
    /// Whether the results of each stage take up room that others wait for.
    tight: Vec<bool>,
    /// Whether the results of each stage may have been given up.
    freed: Vec<bool>,
    remakes: u32,
}

impl<'a> Chain<'a> {
    /// Creates the chain of a request that nothing was made of.
    pub(super) fn new(
        shared: &'a Arc<Shared>,
        plan: &'a Arc<Plan>,
        behind: Vec<Duration>,
        planned: Planned,
    ) -> Self {
        let pieces = plan.pieces();
        let count = pieces.len();
        let mut inputs = Inputs::new(shared);
        inputs.planned = planned.server;
        Self {
            plan,
            behind,
            engine_zone: planned.zone,
            inputs,
            coming: Coming::new(shared, plan.route(), &pieces),
            results: pieces.iter().map(|n| (*n == 0).then(Vec::new)).collect(),
            started: pieces.iter().map(|n| *n == 0).collect(),
            zones: vec![String::new(); count],
            tight: vec![false; count],
            freed: vec![false; count],
            remakes: 0,
            pieces,
        }
    }

    /// Returns the stages that can be made now and were not started yet.
    pub(super) fn start(&mut self) -> Vec<(usize, StageRun)> {
        let mut runs = Vec::new();
        for (index, stage) in self.plan.route().stages.iter().enumerate() {
            let made = |a: &usize| self.results.get(*a).is_some_and(Option::is_some);
            if self.started[index] || !stage.after.iter().all(made) {
                continue;
            }
            self.started[index] = true;
            self.coming.arrived(index);
            runs.push((index, self.stage_run(index, stage)));
        }
        runs
    }

    fn stage_run(&mut self, index: usize, stage: &StageSpec) -> StageRun {
        let route = self.plan.route();
        let needs = stage.after.iter().filter_map(|a| self.results[*a].clone()).flatten().collect();
        let frees = stage.after.iter().all(|a| chain::users(route, *a) == 1);
        let tight = stage.after.iter().any(|a| self.tight[*a]);
        if frees && tight {
            stage.after.iter().for_each(|a| self.freed[*a] = true);
        }
        StageRun {
            service: stage.service.to_string(),
            request: self.plan.ask.id.clone(),
            stage: u32::try_from(index).unwrap_or(u32::MAX),
            pieces: self.pieces[index],
            due_ms: signed_millis(self.plan, self.behind[index]),
            priority: u32::from(self.plan.priority()),
            zone: chain::nearest(route, index, &self.pieces, &self.zones, &self.engine_zone),
            size: stage.size,
            frees,
            tight,
            ..source(self.plan, needs)
        }
    }

    /// Takes in what became of a stage.
    pub(super) fn take(&mut self, made: Made) -> Result<(), Failure> {
        let done = match made.done {
            Ok(done) => done,
            Err(failure) if failure.reason == Reason::InputsGone => {
                return self.make_again(made.stage, failure);
            }
            Err(failure) => return Err(failure),
        };
        let route = self.plan.route();
        let names: Vec<Arc<str>> = done.results.iter().map(|r| Arc::from(r.as_str())).collect();
        let service = Arc::clone(&route.stages[made.stage].service);
        self.inputs.held.push((service, names.clone()));
        self.zones[made.stage] = done.zone;
        self.tight[made.stage] = done.tight;
        self.results[made.stage] = Some(names);
        for before in chain::spent(route, &self.results, made.stage) {
            self.freed[before] = true;
            let names = self.results[before].as_deref().unwrap_or_default();
            match chain::users(route, before) {
                1 => self.inputs.forget(names),
                _ => self.inputs.free_some(names),
            }
        }
        Ok(())
    }

    /// Makes the inputs of a stage anew that were lost, and then the stage, if there is time.
    fn make_again(&mut self, stage: usize, failure: Failure) -> Result<(), Failure> {
        self.remakes += 1;
        if self.remakes > MAX_REMAKES || self.plan.left() < self.behind[stage] {
            return Err(failure);
        }
        self.started[stage] = false;
        self.reset_inputs(stage);
        Ok(())
    }

    /// Gives up the inputs of a stage, and those of the stages behind them that are gone as well.
    fn reset_inputs(&mut self, stage: usize) {
        for before in self.plan.route().stages[stage].after.clone() {
            if self.pieces[before] == 0 {
                continue;
            }
            if let Some(names) = self.results[before].take() {
                self.inputs.free_some(&names);
            }
            self.started[before] = false;
            self.freed[before] = false;
            let after = &self.plan.route().stages[before].after;
            if after.iter().any(|a| self.freed[*a]) {
                self.reset_inputs(before);
            }
        }
    }

    /// Returns what the model engine needs.
    pub(super) fn finish(mut self) -> Inputs {
        let route = self.plan.route();
        self.inputs.at = inputs_at(route, &self.pieces, &self.zones);
        let last = (0..route.stages.len()).filter(|index| chain::users(route, *index) == 0);
        let results = last.filter_map(|index| self.results[index].clone()).flatten();
        self.inputs.results = results.collect();
        self.inputs
    }
}

/// Returns where most bytes of the results lie that the model engine needs.
fn inputs_at(route: &Route, pieces: &[u32], zones: &[String]) -> InputsAt {
    let bytes = |index: &usize| u64::from(pieces[*index]) * route.stages[*index].size;
    let last = (0..route.stages.len()).filter(|index| chain::users(route, *index) == 0);
    let most = last.max_by_key(bytes);
    most.map_or_else(InputsAt::default, |m| InputsAt { zone: zones[m].clone(), bytes: bytes(&m) })
}

fn source(plan: &Plan, needs: Vec<Arc<str>>) -> StageRun {
    let inputs: Vec<String> = needs.iter().map(ToString::to_string).collect();
    let key = if inputs.is_empty() { plan.ask.source.clone() } else { String::new() };
    StageRun { key, inputs, ..StageRun::default() }
}

/// Returns the milliseconds until a stage should have ended, given the time behind it.
fn signed_millis(plan: &Plan, behind: Duration) -> i64 {
    let now = clock::boot();
    let due = plan.aim() - behind;
    let ahead = i64::try_from(now.until(due).as_millis()).unwrap_or(i64::MAX);
    let over = i64::try_from(due.until(now).as_millis()).unwrap_or(i64::MAX);
    if over > 0 { -over } else { ahead }
}
