//! Has the stages of a request made by the nodes that queue their pieces.

use super::chain::{Chain, Made, Planned};
use super::engines;
use super::failure::{Failure, Reason};
use super::inputs::Inputs;
use super::node::Shared;
use super::request::Plan;
use crate::core::catalog::StageSpec;
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
/// The part of its time after which a refused caller is asked to come back at the latest.
const RETRY_PARTS: u32 = 3;

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
