//! Runs attempts at one stage until one returns a complete answer.
//!
//! Attempts end with the first complete answer, a refusal that is not retryable, an empty retry
//! budget or [`MAX_ATTEMPTS`]. An interrupted generation resumes after the pieces delivered so far;
//! any other stage restarts. A short idempotent stage that is late gets one hedge.

use super::attempt::{AttemptError, is_retryable, run_attempt};
use super::once::run_stage_once;
use super::pipeline::Run;
use super::policy::PickedHost;
use super::stream::TokenSink;
use crate::core::admission::FlowId;
use crate::core::budget::StageId;
use crate::core::config::{ServiceSpec, StageKind};
use crate::core::frames::{AttemptKey, FrameFault};
use crate::core::keys::{HostKey, StageIndex};
use crate::core::refusal::{Execution, Refusal, RefusalCode};
use crate::core::routing::Query;
use crate::core::time::Moment;
use crate::core::view::StageRow;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::read_stop;
use crate::wire::{convert, stage};
use bytes::Bytes;
use std::pin::pin;
use std::time::Duration;

/// The maximum number of attempts at one stage, including hedges and excluding attempts that hosts
/// returned unrun.
const MAX_ATTEMPTS: u32 = 4;
/// The maximum time a stage waits while every host of its service starts or is being replaced.
const OUTAGE_LIMIT: Duration = Duration::from_secs(2);
/// The wait is also limited to the stage's remaining time divided by this number.
const OUTAGE_DIVISOR: u32 = 2;
/// The pause after the first round over all hosts; it doubles with each round.
const OUTAGE_PAUSE: Duration = Duration::from_millis(50);
/// The maximum number of attempts at one stage that hosts may return unrun.
const MAX_RETURNED_ATTEMPTS: u32 = 24;
/// The `Retry-After` time if no host is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The inputs of one stage of a request in progress.
pub(super) struct StageContext<'a> {
    pub(super) run: &'a Run<'a>,
    pub(super) index: StageIndex,
    pub(super) row: &'a StageRow,
    pub(super) id: StageId,
    pub(super) deadline: Moment,
    pub(super) input: Bytes,
    pub(super) sink: Option<&'a TokenSink>,
}

/// A stage's complete answer and the host it ran on.
#[derive(Debug)]
pub(super) struct StageOutput {
    pub(super) pieces: Vec<Bytes>,
    pub(super) host: HostKey,
    pub(super) attempts: u32,
    pub(super) done: stage::Done,
}

/// The result of one attempt; the pieces of a failed one remain valid as a prefix.
struct AttemptOutcome {
    host: HostKey,
    pieces: Vec<Bytes>,
    result: Result<stage::Done, Refusal>,
}

impl StageContext<'_> {
    pub(super) fn spec(&self) -> &ServiceSpec {
        &self.run.fleet.view.services[self.row.service].spec
    }

    fn flow(&self) -> FlowId {
        FlowId::of(self.run.fleet.view.workspaces[self.run.request.workspace].name.as_str())
    }

    /// Returns whether another attempt can resume an interrupted one.
    fn is_resumable(&self) -> bool {
        self.spec().kind == StageKind::Generate
    }

    fn may_retry(&self) -> bool {
        let service = &self.run.fleet.view.services[self.row.service].name;
        self.run.entry.policy.may_retry(self.flow(), service)
    }

    fn pick(&self, tried: &[HostKey]) -> Option<PickedHost<'_>> {
        let affinity = self.is_resumable().then_some(self.run.request.affinity);
        let query = Query { service: self.row.service, affinity, exclude: tried };
        let fleet = self.run.fleet;
        let usable = |host| fleet.members.is_usable(&fleet.view, host);
        self.run.entry.policy.pick(fleet, query, usable)
    }

    /// Returns whether any host of the service is declared as serving, so one may become available.
    fn has_serving_host(&self) -> bool {
        let view = &self.run.fleet.view;
        view.services[self.row.service].hosts.iter().any(|host| view.is_serving(*host))
    }

    /// Logs a failed attempt and reports a host that cannot be reached.
    pub(super) fn record_failure(&self, key: AttemptKey, host: HostKey, error: &AttemptError) {
        let fleet = self.run.fleet;
        if error.is_unreachable() {
            fleet.members.report_unreachable(&fleet.view, host);
        }
        if let AttemptError::InvalidFrames(FrameFault::Exceeded(exceeded)) = error {
            read_stop::record(&self.run.entry.metrics, *exceeded, key);
        }
        if self.run.entry.log_throttle.permits(clock::now()) {
            event!(
                EventCode::AttemptFailed,
                attempt = key,
                host = fleet.view.hosts[host].name,
                error = error
            );
        }
    }
}

/// Runs one stage to its complete answer or its last refusal.
///
/// A non-idempotent stage runs under the caller's idempotency key instead.
pub(super) async fn run_stage(ctx: &StageContext<'_>) -> Result<StageOutput, Refusal> {
    if !ctx.spec().idempotent {
        return run_stage_once(ctx).await;
    }
    let service = &ctx.run.fleet.view.services[ctx.row.service].name;
    ctx.run.entry.policy.record_first_attempt(ctx.flow(), service);
    let (mut pieces, mut tried) = (Vec::new(), Vec::new());
    let (mut attempts, mut returned) = (0, 0);
    let mut pause = OUTAGE_PAUSE;
    let wait_end = outage_deadline(clock::now(), ctx.deadline);
    let mut last = Refusal::not_run(RefusalCode::Unavailable).retry_in(RETRY_AFTER);
    while attempts - returned < MAX_ATTEMPTS && returned < MAX_RETURNED_ATTEMPTS {
        let Some(picked) = ctx.pick(&tried) else {
            if !ctx.has_serving_host() || !is_returned_unrun(last) || clock::now() >= wait_end {
                break;
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
            tried.clear();
            continue;
        };
        if attempts > 0 && !is_returned_unrun(last) && !ctx.may_retry() {
            break;
        }
        tried.push(picked.host);
        let outcome = run_hedged(ctx, &mut attempts, picked, &mut tried, &pieces).await;
        pieces.extend(outcome.pieces);
        match outcome.result {
            Ok(done) => {
                return Ok(StageOutput { pieces, host: outcome.host, attempts, done });
            }
            Err(refusal) => last = refusal,
        }
        returned += u32::from(is_returned_unrun(last));
        if !ctx.is_resumable() {
            pieces.clear();
        }
        if !is_retryable(last, ctx.spec().idempotent) {
            break;
        }
    }
    Err(last)
}

/// Returns the latest end of a stage's wait for hosts that return every attempt unrun.
fn outage_deadline(now: Moment, deadline: Moment) -> Moment {
    now + OUTAGE_LIMIT.min(now.until(deadline) / OUTAGE_DIVISOR)
}

/// Returns whether a host that accepts no work has returned the attempt unrun.
///
/// The next attempt on another host takes no retry token: no backend server did any work, and a
/// host that returns its whole queue at shutdown must not exhaust the retry budget.
fn is_returned_unrun(refusal: Refusal) -> bool {
    let is_unavailable = matches!(
        refusal.code,
        RefusalCode::Draining
            | RefusalCode::ZoneOut
            | RefusalCode::Stale
            | RefusalCode::Unconfigured
            | RefusalCode::Unavailable
    );
    is_unavailable && refusal.execution == Execution::NotRun
}

/// Runs an attempt and, if it is late and the stage allows one, a concurrent hedge.
async fn run_hedged(
    ctx: &StageContext<'_>,
    attempts: &mut u32,
    picked: PickedHost<'_>,
    tried: &mut Vec<HostKey>,
    prefix: &[Bytes],
) -> AttemptOutcome {
    let number = *attempts;
    *attempts += 1;
    let mut first = pin!(run_on_host(ctx, number, picked, prefix));
    let may_hedge = ctx.spec().idempotent && !ctx.is_resumable();
    let wait = ctx.run.entry.policy.hedge_after(ctx.id).filter(|_| may_hedge);
    let Some(wait) = wait else { return first.await };
    if let Ok(outcome) = tokio::time::timeout(wait, &mut first).await {
        return outcome;
    }
    let hedge = ctx.pick(tried).filter(|_| ctx.may_retry());
    let Some(hedge) = hedge else { return first.await };
    tried.push(hedge.host);
    *attempts += 1;
    let mut second = pin!(run_on_host(ctx, number + 1, hedge, prefix));
    tokio::select! {
        outcome = &mut first => match outcome.result {
            Ok(_) => outcome,
            Err(_) => second.await,
        },
        outcome = &mut second => match outcome.result {
            Ok(_) => outcome,
            Err(_) => first.await,
        },
    }
}

/// Runs one attempt on the host that was chosen for it.
async fn run_on_host(
    ctx: &StageContext<'_>,
    number: u32,
    mut picked: PickedHost<'_>,
    prefix: &[Bytes],
) -> AttemptOutcome {
    let host = picked.host;
    let key = AttemptKey { request: ctx.run.request.id, stage: ctx.index, attempt: number };
    let request = build_request(ctx, key, prefix);
    let mut pieces = Vec::new();
    let stream_sink = ctx.sink.filter(|_| ctx.is_resumable());
    let deliver = |payload: Bytes| {
        pieces.push(payload.clone());
        async move {
            match stream_sink {
                Some(sink) => sink.send(payload).await,
                None => true,
            }
        }
    };
    let pending = ctx.run.progress.start_attempt(ctx.spec().idempotent);
    let (fleet, sent) = (ctx.run.fleet, clock::now());
    let (result, load) = run_attempt(&fleet.connections[host], key, request, deliver).await;
    if let Some(load) = load {
        picked.record_load((&load).into());
        fleet.members.report_reply(&fleet.view, host, sent, &load);
    }
    let result = result.map_err(|error| {
        ctx.record_failure(key, host, &error);
        error.refusal()
    });
    match &result {
        Ok(_) => {
            pending.mark_completed();
            picked.mark_completed();
        }
        Err(refusal) => {
            pending.mark_refused(refusal.execution);
            picked.mark_refused(*refusal);
        }
    }
    AttemptOutcome { host, pieces, result }
}

pub(super) fn build_request(
    ctx: &StageContext<'_>,
    key: AttemptKey,
    prefix: &[Bytes],
) -> stage::RunRequest {
    let (view, request) = (&ctx.run.fleet.view, ctx.run.request);
    let caller_key = request.key.as_ref().filter(|_| !ctx.spec().idempotent);
    stage::RunRequest {
        id: Some(key.into()),
        revision: view.revision.0,
        workspace: view.workspaces[request.workspace].name.to_string(),
        pipeline: view.pipelines[request.pipeline].name.to_string(),
        priority: u32::from(request.priority),
        remaining_us: convert::micros(clock::now().until(ctx.deadline)),
        input: ctx.input.clone(),
        prefix: prefix.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect(),
        max_tokens: ctx.row.tokens,
        idempotency: caller_key
            .map(|k| stage::Idempotency { key: k.key.clone(), body_hash: k.body_hash }),
        affinity: request.affinity,
    }
}
