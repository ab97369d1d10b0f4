//! Runs the stages of a request by calling the queue nodes of their services.
//!
//! The queue node of a service is the node that queues the pieces of its stages and sends them to
//! backend servers.

use super::chain::{Chain, PlannedEngine, StageOutcome};
use super::engines;
use super::failure::{Failure, Reason};
use super::inputs::Inputs;
use super::node::Shared;
use super::request::{RoutedRequest, check_parts};
use crate::core::catalog::StageSpec;
use crate::core::chain;
use crate::core::placement::PlaceQuery;
use crate::core::queue_waits;
use crate::event;
use crate::fleet::convert;
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

/// How many queue nodes are called for one stage, one after the other.
const MAX_QUEUE_NODE_CALLS: usize = 4;
/// The pause before the next queue node is called.
const QUEUE_NODE_PAUSE: Duration = Duration::from_millis(30);
/// The time allowed for the answer of a node that is asked whether it is alive.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The time that a model engine needs before its first event, in addition to reading the prompt.
const ENGINE_START: Duration = Duration::from_millis(60);
/// The time in which the engine of a request is chosen once more when its stages have ended.
const CHOICE_TIME: Duration = Duration::from_millis(20);
/// The tokens of a prompt that a model engine reads in a millisecond.
const ENGINE_TOKENS_PER_MS: u32 = 40;
/// The retry delay for a caller whose stages failed.
const FAILED_RETRY_DELAY: Duration = Duration::from_millis(300);
/// The retry delay of a refused caller is at most its remaining time divided by this.
const RETRY_TIME_DIVISOR: u32 = 3;

/// The workspace of requests without a key, in logs and metrics.
const NO_WORKSPACE: &str = "none";

/// Why a call to a queue node has no answer.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// The time of the request is used up.
    #[error("the time of the request is used up")]
    OutOfTime,
    /// The node does not answer, or refuses.
    #[error("the node does not answer")]
    Silent(#[from] tonic::Status),
}

/// Runs all stages of a request.
///
/// # Errors
/// Returns a refusal if they cannot finish in time; the request itself has not run then.
pub async fn run(shared: &Arc<Shared>, routed: &Arc<RoutedRequest>) -> Result<Inputs, Failure> {
    let pieces = routed.pieces();
    if pieces.iter().all(|n| *n == 0) {
        return Ok(Inputs::new(shared));
    }
    let times = chain::stage_times(&routed.catalog, routed.route(), &pieces);
    let engine = engine_time(routed);
    let stage_time = admit(shared, routed, &times, engine)?;
    let planned = planned_engine(shared, routed, stage_time).await?;
    let engine = planned.expected.map_or(engine, |e| e + CHOICE_TIME);
    let remaining = chain::downstream_times(routed.route(), &times).into_iter().map(|b| b + engine);
    let mut chain = Chain::new(shared, routed, remaining.collect(), planned);
    let mut running = FuturesUnordered::new();
    loop {
        check_parts(shared, &routed.head, &routed.prompt)?;
        for (stage, run) in chain.start() {
            running.push(run_stage(shared, routed, stage, run));
        }
        let Some(outcome) = running.next().await else { break };
        chain.record(outcome)?;
    }
    Ok(chain.finish())
}

/// Refuses a request that queueing along its chain would make late; otherwise returns the time that
/// its stages take.
fn admit(
    shared: &Shared,
    routed: &RoutedRequest,
    times: &[Duration],
    engine: Duration,
) -> Result<Duration, Failure> {
    let now = clock::boot();
    let route = routed.route();
    let starts = chain::start_times(route, times);
    let entries = shared.nodes().entries(now).len();
    let waits: Vec<Duration> = {
        let queue_waits = shared.queue_waits();
        let wait = |(s, start): (&StageSpec, &Duration)| {
            queue_waits.wait_after(now, &s.service, routed.workspace(), *start, entries)
        };
        route.stages.iter().zip(&starts).map(wait).collect()
    };
    let engine_wait = shared.queue_waits().wait(now, &routed.service, None);
    let stage_time = chain::chain_time(route, times, &waits);
    let needed = stage_time + engine + engine_wait;
    let no_waits = vec![Duration::ZERO; waits.len()];
    let waited = needed.saturating_sub(chain::chain_time(route, times, &no_waits) + engine);
    let latency_left = now.until(routed.latency_deadline());
    let Some(retry) = queue_waits::late_retry_delay(needed, latency_left, waited) else {
        return Ok(stage_time);
    };
    event!(
        EventCode::NotAdmitted,
        request = routed.head.id,
        workspace = routed.workspace().unwrap_or(NO_WORKSPACE),
        needed_ms = needed.as_millis(),
        aim_ms = latency_left.as_millis(),
        waits_ms = waited.as_millis(),
        engine_wait_ms = engine_wait.as_millis(),
        version = routed.catalog.version
    );
    Err(refuse_full(shared, routed, retry))
}

/// Counts and returns the refusal of a request for which a service has no room for a time.
pub fn refuse_full(shared: &Shared, routed: &RoutedRequest, room_in: Duration) -> Failure {
    let workspace = routed.workspace().unwrap_or(NO_WORKSPACE);
    let tags = [("workspace", workspace), ("service", &*routed.service)];
    shared.metrics.count(Metric::WorkspaceRefused, 1, &tags);
    let retry = room_in.min(routed.time_left() / RETRY_TIME_DIVISOR);
    Failure::with_retry(Reason::Overloaded, retry)
}

/// Plans which model engine a request will be sent to after its stages.
async fn planned_engine(
    shared: &Shared,
    routed: &RoutedRequest,
    stage_time: Duration,
) -> Result<PlannedEngine, Failure> {
    let choice = engines::plan(shared, routed, stage_time).await?;
    let view = shared.view.load();
    // By the time that its stages have ended, a limited engine may be open again.
    let patience = stage_time + routed.time_left() / RETRY_TIME_DIVISOR;
    let servers = shared.available(&view, &routed.service, patience)?;
    let entries = shared.nodes().entries(clock::boot());
    let query = PlaceQuery {
        prefix: routed.prompt.prefix(),
        zone: &shared.local_node.zone,
        planned: None,
        chosen: choice.as_ref().map(|p| &*p.server),
        exclude: &[],
        entry: &shared.local_node.name,
        entries: &entries,
        cold_rate: 0.0,
        cold_time: Duration::ZERO,
    };
    let server = shared.placement().choose(clock::boot(), &servers, query).cloned();
    Ok(server.map_or_else(PlannedEngine::default, |s| PlannedEngine {
        zone: s.zone.to_string(),
        expected: choice.map(|p| p.expected),
        server: Some(s.id),
    }))
}

/// Estimates the time that a model engine takes until its first event.
pub fn engine_time(routed: &RoutedRequest) -> Duration {
    ENGINE_START
        + Duration::from_millis(u64::from(routed.head.prompt_tokens / ENGINE_TOKENS_PER_MS / 2))
}

async fn run_stage(
    shared: &Arc<Shared>,
    routed: &RoutedRequest,
    stage: usize,
    run: StageRun,
) -> StageOutcome {
    let (mut silent, mut unavailable): (Vec<SocketAddr>, Vec<SocketAddr>) = Default::default();
    let began = clock::boot();
    // Before discovery has finished, nodes would not agree on the queue node of a service.
    while !shared.has_discovered() {
        sleep(QUEUE_NODE_PAUSE).await;
    }
    let service = &routed.route().stages[stage].service;
    for calls in 1..=MAX_QUEUE_NODE_CALLS {
        let Some(addr) = queue_node(shared, &run.service, &silent, &unavailable) else { break };
        let left = routed.time_left();
        let mut run = run.clone();
        run.left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        match call_queue_node(shared, addr, run, left).await {
            Ok(done) => {
                record_waits(shared, service, &done);
                if done.outcome() != Outcome::Unavailable {
                    record_stage(shared, routed, stage, clock::boot().since(began), calls);
                    let done = check_outcome(shared, routed, stage, done);
                    return StageOutcome { stage, done };
                }
                // Its view may lack what the next one knows.
                event!(EventCode::QueueUnavailable, node = addr, service = service);
                unavailable.push(addr);
            }
            Err(CallError::OutOfTime) => {
                tokio::spawn(check_node(Arc::clone(shared), addr));
                break;
            }
            Err(CallError::Silent(status)) => {
                skip_node(shared, addr, status.message());
                silent.push(addr);
            }
        }
        sleep(QUEUE_NODE_PAUSE).await;
    }
    StageOutcome { stage, done: Err(Failure::with_retry(Reason::StagesFailed, FAILED_RETRY_DELAY)) }
}

/// Records the waits that a queue node has stated.
fn record_waits(shared: &Shared, service: &Arc<str>, done: &StageDone) {
    let wait = Duration::from_millis(done.wait_ms);
    let workspaces = done.workspace_waits.iter();
    let workspaces = workspaces
        .map(|w| (Arc::from(w.workspace.as_str()), Duration::from_millis(w.wait_ms)))
        .collect();
    let mut queue_waits = shared.queue_waits();
    queue_waits.record(clock::boot(), service, wait, done.rate);
    queue_waits.record_workspaces(service, workspaces);
}

fn record_stage(
    shared: &Shared,
    routed: &RoutedRequest,
    stage: usize,
    took: Duration,
    calls: usize,
) {
    let stage = stage.to_string();
    let tags = [("pipeline", &*routed.route().name), ("stage", stage.as_str())];
    shared.metrics.time(Metric::StageTime, took, &tags);
    shared.metrics.count(Metric::StageAttempts, calls as u64, &tags);
}

fn check_outcome(
    shared: &Shared,
    routed: &RoutedRequest,
    stage: usize,
    done: StageDone,
) -> Result<StageDone, Failure> {
    if done.outcome() == Outcome::Made {
        return Ok(done);
    }
    event!(
        EventCode::StageUnmade,
        request = routed.head.id,
        stage = stage,
        workspace = routed.workspace().unwrap_or(NO_WORKSPACE),
        outcome = done.outcome().as_str_name(),
        wait_ms = done.wait_ms,
        version = shared.view.load().orders.version()
    );
    let retry = Duration::from_millis(done.retry_ms);
    match done.outcome() {
        Outcome::Late => Err(refuse_full(shared, routed, retry)),
        Outcome::Gone => Err(Failure::with_retry(Reason::InputsGone, FAILED_RETRY_DELAY)),
        _ => Err(Failure::with_retry(Reason::StagesFailed, FAILED_RETRY_DELAY)),
    }
}

/// Returns the first queue node that has not been called; without one, the first one that answered.
fn queue_node(
    shared: &Shared,
    service: &str,
    silent: &[SocketAddr],
    unavailable: &[SocketAddr],
) -> Option<SocketAddr> {
    let (now, nodes) = (clock::boot(), shared.nodes());
    let new = nodes.queue_node(now, service, &[silent, unavailable].concat());
    new.or_else(|| nodes.queue_node(now, service, silent)).map(|n| n.addr)
}

async fn call_queue_node(
    shared: &Shared,
    addr: SocketAddr,
    run: StageRun,
    left: Duration,
) -> Result<StageDone, CallError> {
    let call = async { shared.peers.client(addr)?.run(run).await };
    match timeout(left, call).await {
        Ok(done) => Ok(done?.into_inner()),
        Err(_) => Err(CallError::OutOfTime),
    }
}

/// Skips a node that does not answer a question either, after a call to it has used up the time of its
/// request; the end of that time alone says nothing of the node.
async fn check_node(shared: Arc<Shared>, addr: SocketAddr) {
    if !shared.nodes().begin_check(addr, clock::boot()) {
        return;
    }
    let question = convert::members_only(&shared.local_node);
    let call = async { shared.peers.client(addr)?.pull(question).await };
    match timeout(CHECK_TIMEOUT, call).await {
        Ok(Ok(_)) => {}
        Ok(Err(status)) => skip_node(&shared, addr, status.message()),
        Err(_) => skip_node(&shared, addr, "no answer in time"),
    }
}

fn skip_node(shared: &Shared, addr: SocketAddr, reason: &str) {
    event!(EventCode::NodeSilent, node = addr, reason = reason);
    shared.peers.close(addr);
    shared.nodes().record_failure(addr, clock::boot());
}
