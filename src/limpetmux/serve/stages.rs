//! Has the stages of a request made by the nodes that queue their pieces.

use super::engines::{self, InputsAt};
use super::failure::{Failure, Reason};
use super::inputs::Inputs;
use super::node::Shared;
use super::request::Plan;
use crate::core::catalog::{Route, StageSpec};
use crate::core::chain;
use crate::core::placement::PlaceQuery;
use crate::core::pressure;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::Metric;
use crate::wire::fleet::{Outcome, StageDone, StageRun};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The nodes that are asked to make one stage, one after the other.
const GATE_TRIES: usize = 4;
/// The pause before the next node is asked.
const GATE_PAUSE: Duration = Duration::from_millis(30);
/// The time that a model engine needs before its first event, besides reading the prompt.
const ENGINE_START: Duration = Duration::from_millis(60);
/// The tokens of a prompt that a model engine reads in a millisecond.
const ENGINE_TOKENS_PER_MS: u32 = 40;
/// When a caller should come back whose stages failed.
const FAILED_RETRY: Duration = Duration::from_millis(300);
/// The times that lost inputs of a request are made anew.
const MAX_REMAKES: u32 = 2;
/// The part of its time after which a refused caller is asked to come back at the latest.
const RETRY_PARTS: u32 = 3;

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

struct Made {
    stage: usize,
    done: Result<StageDone, Failure>,
}

/// The stages of one request while they are made.
struct Chain<'a> {
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

/// Makes all stages of a request.
///
/// # Errors
/// Returns a refusal if they cannot be made in time; nothing has run then.
pub async fn make(shared: &Arc<Shared>, plan: &Arc<Plan>) -> Result<Inputs, Failure> {
    let pieces = plan.pieces();
    if pieces.iter().all(|n| *n == 0) {
        return Ok(Inputs::new(shared));
    }
    let times = chain::stage_times(&plan.catalog, plan.route(), &pieces);
    let engine = engine_time(plan);
    let ahead = admit(shared, plan, &times, engine)?;
    let planned = planned_engine(shared, plan, ahead).await;
    let engine = planned.expected.map_or(engine, |e| e + ENGINE_START);
    let behind = chain::times_behind(plan.route(), &times).into_iter().map(|b| b + engine);
    let mut chain = Chain::new(shared, plan, behind.collect(), planned);
    let mut running = FuturesUnordered::new();
    loop {
        for (stage, run) in chain.start() {
            running.push(make_stage(shared, plan, stage, run));
        }
        let Some(made) = running.next().await else { break };
        chain.take(made)?;
    }
    Ok(chain.finish())
}

impl<'a> Chain<'a> {
    fn new(
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
    fn start(&mut self) -> Vec<(usize, StageRun)> {
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
    fn take(&mut self, made: Made) -> Result<(), Failure> {
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
    fn finish(mut self) -> Inputs {
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

/// Refuses a request that the waits along its chain would make late; returns the time that its
/// stages take.
fn admit(
    shared: &Shared,
    plan: &Plan,
    times: &[Duration],
    engine: Duration,
) -> Result<Duration, Failure> {
    let now = clock::boot();
    let route = plan.route();
    let starts = chain::starts(route, times);
    let entries = shared.nodes().entries(now).len();
    let waits: Vec<Duration> = {
        let pressure = shared.pressure();
        let wait = |(s, start): (&StageSpec, &Duration)| {
            pressure.wait_after(now, &s.service, *start, entries)
        };
        route.stages.iter().zip(&starts).map(wait).collect()
    };
    let engine_wait = shared.pressure().wait(now, &plan.service);
    let ahead = chain::chain_time(route, times, &waits);
    let needed = ahead + engine + engine_wait;
    let none = vec![Duration::ZERO; waits.len()];
    let waited = needed.saturating_sub(chain::chain_time(route, times, &none) + engine);
    let aim = now.until(plan.aim());
    let Some(retry) = pressure::refuse(needed, aim, waited) else { return Ok(ahead) };
    event!(
        EventCode::NotAdmitted,
        request = plan.ask.id,
        needed_ms = needed.as_millis(),
        aim_ms = aim.as_millis(),
        waits_ms = waited.as_millis(),
        engine_wait_ms = engine_wait.as_millis(),
        version = plan.catalog.version
    );
    Err(Failure::later(Reason::Overloaded, retry.min(plan.left() / RETRY_PARTS)))
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

/// The model engine that a request will probably go to.
#[derive(Default)]
struct Planned {
    server: Option<Arc<str>>,
    zone: String,
    /// The time until its first event, if the keeper of the board was asked.
    expected: Option<Duration>,
}

/// Plans where a request will go once its stages have been made.
async fn planned_engine(shared: &Shared, plan: &Plan, ahead: Duration) -> Planned {
    let placed = engines::plan(shared, plan, ahead).await;
    let view = shared.view.load();
    let servers = view.usable(&plan.service);
    let entries = shared.nodes().entries(clock::boot());
    let query = PlaceQuery {
        prefix: plan.ask.prefix(),
        zone: &shared.own.zone,
        planned: None,
        chosen: placed.as_ref().map(|p| &*p.server),
        exclude: &[],
        entry: &shared.own.name,
        entries: &entries,
        cold_rate: 0.0,
        cold_for: Duration::ZERO,
    };
    let server = shared.placement().choose(clock::boot(), &servers, query).cloned();
    server.map_or_else(Planned::default, |s| Planned {
        zone: s.zone.to_string(),
        expected: placed.map(|p| p.expected),
        server: Some(s.id),
    })
}

/// Returns the time that a model engine takes until its first event.
pub fn engine_time(plan: &Plan) -> Duration {
    ENGINE_START + Duration::from_millis(u64::from(plan.ask.tokens / ENGINE_TOKENS_PER_MS / 2))
}

async fn make_stage(shared: &Arc<Shared>, plan: &Plan, stage: usize, run: StageRun) -> Made {
    let mut silent: Vec<SocketAddr> = Vec::new();
    let began = clock::boot();
    // Before that, nodes would not agree on who queues the pieces.
    while !shared.is_settled() {
        sleep(GATE_PAUSE).await;
    }
    for _ in 0..GATE_TRIES {
        let Some(addr) = gate(shared, &run.service, &silent) else { break };
        let left = plan.left();
        let mut run = run.clone();
        run.left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let answer = ask_gate(shared, addr, run, left).await;
        if let Ok(done) = &answer {
            let wait = Duration::from_millis(done.wait_ms);
            let service = &plan.route().stages[stage].service;
            shared.pressure().note(clock::boot(), service, wait, done.rate);
        }
        match answer {
            Ok(done) if done.outcome() == Outcome::Unavailable => {}
            Ok(done) => {
                let done = judge(shared, plan, stage, done);
                note_stage(shared, plan, stage, clock::boot().since(began), silent.len());
                return Made { stage, done };
            }
            Err(status) => {
                event!(EventCode::NodeSilent, node = addr, reason = status);
                shared.peers.close(addr);
                shared.nodes().suspect(addr, clock::boot());
                silent.push(addr);
            }
        }
        sleep(GATE_PAUSE).await;
    }
    Made { stage, done: Err(Failure::later(Reason::StagesFailed, FAILED_RETRY)) }
}

fn note_stage(shared: &Shared, plan: &Plan, stage: usize, took: Duration, silent: usize) {
    let stage = stage.to_string();
    let tags = [("pipeline", &*plan.route().name), ("stage", stage.as_str())];
    shared.metrics.time(Metric::StageTime, took, &tags);
    shared.metrics.count(Metric::StageAttempts, silent as u64 + 1, &tags);
}

fn judge(
    shared: &Shared,
    plan: &Plan,
    stage: usize,
    done: StageDone,
) -> Result<StageDone, Failure> {
    if done.outcome() == Outcome::Made {
        return Ok(done);
    }
    event!(
        EventCode::StageUnmade,
        request = plan.ask.id,
        stage = stage,
        outcome = done.outcome().as_str_name(),
        wait_ms = done.wait_ms,
        version = shared.view.load().orders.version()
    );
    let retry = Duration::from_millis(done.retry_ms).min(plan.left() / RETRY_PARTS);
    match done.outcome() {
        Outcome::Late => Err(Failure::later(Reason::Overloaded, retry)),
        Outcome::Gone => Err(Failure::later(Reason::InputsGone, FAILED_RETRY)),
        _ => Err(Failure::later(Reason::StagesFailed, FAILED_RETRY)),
    }
}

fn gate(shared: &Shared, service: &str, except: &[SocketAddr]) -> Option<SocketAddr> {
    shared.nodes().gate(clock::boot(), service, except).map(|n| n.addr)
}

async fn ask_gate(
    shared: &Shared,
    addr: SocketAddr,
    run: StageRun,
    left: Duration,
) -> Result<StageDone, tonic::Status> {
    let call = async { shared.peers.client(addr)?.run(run).await };
    match timeout(left, call).await {
        Ok(done) => done.map(tonic::Response::into_inner),
        Err(_) => Err(tonic::Status::deadline_exceeded("no answer in time")),
    }
}
