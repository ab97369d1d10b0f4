//! Gives one stage its attempts until one is whole.
//!
//! Attempts end with the first whole answer, a refusal that no retry can mend, an empty budget or
//! [`MAX_ATTEMPTS`]. A generation that breaks goes on after the pieces delivered so far; any other
//! stage starts again. A short idempotent stage that is late gets one hedge.

use super::attempt::{AttemptError, is_retryable, run_attempt};
use super::once::run_stage_once;
use super::pipeline::Run;
use super::policy::Picked;
use super::stream::TokenSink;
use crate::core::admission::FlowId;
use crate::core::budget::StageId;
use crate::core::config::{ServiceSpec, StageKind};
use crate::core::frames::AttemptKey;
use crate::core::keys::{HostKey, StageIndex};
use crate::core::routing::Query;
use crate::core::time::Moment;
use crate::core::verdict::{Execution, Refusal, RefusalCode};
use crate::core::view::StageRow;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::{convert, stage};
use bytes::Bytes;
use std::pin::pin;
use std::time::Duration;

/// The most attempts at one stage, hedges included, without those that hosts gave back unrun.
const MAX_ATTEMPTS: u32 = 4;
/// How long a stage waits at most while every host of its service starts or is being replaced.
const OUTAGE_LIMIT: Duration = Duration::from_secs(2);
/// The share of a stage's time that it spends on that wait at most.
const OUTAGE_SHARE: u32 = 2;
/// The pause after the first round over such hosts; it doubles with each round.
const OUTAGE_PAUSE: Duration = Duration::from_millis(50);
/// The most attempts at one stage that hosts may give back unrun.
const MAX_GIVEN_BACK: u32 = 24;
/// When it is worth asking again if no host is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One stage of a request in progress.
pub(super) struct Scene<'a> {
    pub(super) run: &'a Run<'a>,
    pub(super) index: StageIndex,
    pub(super) row: &'a StageRow,
    pub(super) id: StageId,
    pub(super) deadline: Moment,
    pub(super) input: Bytes,
    pub(super) sink: Option<&'a TokenSink>,
}

/// A stage's whole answer and where it ran.
#[derive(Debug)]
pub(super) struct StageRun {
    pub(super) pieces: Vec<Bytes>,
    pub(super) host: HostKey,
    pub(super) attempts: u32,
    pub(super) done: stage::Done,
}

/// The end of one attempt; the pieces of a failed one stay valid as a prefix.
struct Attempted {
    host: HostKey,
    pieces: Vec<Bytes>,
    result: Result<stage::Done, Refusal>,
}

impl Scene<'_> {
    pub(super) fn spec(&self) -> &ServiceSpec {
        &self.run.fleet.view.services[self.row.service].spec
    }

    fn flow(&self) -> FlowId {
        FlowId::of(&self.run.fleet.view.workspaces[self.run.order.workspace].name)
    }

    /// Returns whether a broken attempt can be continued by another one.
    fn is_resumable(&self) -> bool {
        self.spec().kind == StageKind::Generate
    }

    fn may_retry(&self) -> bool {
        let service = &self.run.fleet.view.services[self.row.service].name;
        self.run.entry.policy.may_retry(self.flow(), service)
    }

    fn pick(&self, tried: &[HostKey]) -> Option<Picked<'_>> {
        let affinity = self.is_resumable().then_some(self.run.order.affinity);
        let query = Query { service: self.row.service, affinity, exclude: tried };
        let fleet = self.run.fleet;
        let usable = |host| fleet.members.is_usable(&fleet.view, host);
        self.run.entry.policy.pick(fleet, query, usable)
    }

    /// Returns whether operators let any host of the service run, so that one may come back.
    fn is_declared(&self) -> bool {
        let view = &self.run.fleet.view;
        view.services[self.row.service].hosts.iter().any(|host| view.is_serving(*host))
    }

    /// Logs a failed attempt and reports a host that cannot be reached.
    pub(super) fn note_failure(&self, key: AttemptKey, host: HostKey, error: &AttemptError) {
        let fleet = self.run.fleet;
        if error.is_unreachable() {
            fleet.members.unreachable(&fleet.view, host);
        }
        if self.run.entry.refusals.permits(clock::now()) {
            event!(
                EventCode::AttemptFailed,
                attempt = key,
                host = fleet.view.hosts[host].name,
                error = error
            );
        }
    }
}

/// Runs one stage to its whole answer.
///
/// A stage that may not be repeated runs under the caller's key instead.
pub(super) async fn run_stage(scene: &Scene<'_>) -> Result<StageRun, Refusal> {
    if !scene.spec().idempotent {
        return run_stage_once(scene).await;
    }
    let service = &scene.run.fleet.view.services[scene.row.service].name;
    scene.run.entry.policy.fresh(scene.flow(), service);
    let (mut pieces, mut tried) = (Vec::new(), Vec::new());
    let (mut attempts, mut given_back) = (0, 0);
    let mut pause = OUTAGE_PAUSE;
    let patience = outage_end(clock::now(), scene.deadline);
    let mut last = Refusal::not_run(RefusalCode::Unavailable).retry_in(RETRY_AFTER);
    while attempts - given_back < MAX_ATTEMPTS && given_back < MAX_GIVEN_BACK {
        let Some(picked) = scene.pick(&tried) else {
            if !scene.is_declared() || !is_handover(last) || clock::now() >= patience {
                break;
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
            tried.clear();
            continue;
        };
        if attempts > 0 && !is_handover(last) && !scene.may_retry() {
            break;
        }
        tried.push(picked.host);
        let attempted = run_hedged(scene, &mut attempts, picked, &mut tried, &pieces).await;
        pieces.extend(attempted.pieces);
        match attempted.result {
            Ok(done) => {
                return Ok(StageRun { pieces, host: attempted.host, attempts, done });
            }
            Err(refusal) => last = refusal,
        }
        given_back += u32::from(is_handover(last));
        if !scene.is_resumable() {
            pieces.clear();
        }
        if !is_retryable(last, scene.spec().idempotent) {
            break;
        }
    }
    Err(last)
}

/// Returns until when a stage may wait for hosts that give every attempt back.
fn outage_end(now: Moment, deadline: Moment) -> Moment {
    now + OUTAGE_LIMIT.min(now.until(deadline) / OUTAGE_SHARE)
}

/// Returns whether a host that takes no work has given the attempt back.
///
/// Such an attempt goes on elsewhere without a retry token: it has cost no backend server anything,
/// and a shutdown that empties a queue must not fail requests for want of a budget.
fn is_handover(refusal: Refusal) -> bool {
    let is_out = matches!(
        refusal.code,
        RefusalCode::Draining
            | RefusalCode::ZoneOut
            | RefusalCode::Stale
            | RefusalCode::Unconfigured
            | RefusalCode::Unavailable
    );
    is_out && refusal.execution == Execution::NotRun
}

/// Runs an attempt, and a hedge beside it if the stage allows one and the attempt is late.
async fn run_hedged(
    scene: &Scene<'_>,
    attempts: &mut u32,
    picked: Picked<'_>,
    tried: &mut Vec<HostKey>,
    prefix: &[Bytes],
) -> Attempted {
    let number = *attempts;
    *attempts += 1;
    let mut first = pin!(run_on(scene, number, picked, prefix));
    let may_hedge = scene.spec().idempotent && !scene.is_resumable();
    let wait = scene.run.entry.policy.hedge_after(scene.id).filter(|_| may_hedge);
    let Some(wait) = wait else { return first.await };
    if let Ok(attempted) = tokio::time::timeout(wait, &mut first).await {
        return attempted;
    }
    let hedge = scene.pick(tried).filter(|_| scene.may_retry());
    let Some(hedge) = hedge else { return first.await };
    tried.push(hedge.host);
    *attempts += 1;
    let mut second = pin!(run_on(scene, number + 1, hedge, prefix));
    tokio::select! {
        attempted = &mut first => match attempted.result {
            Ok(_) => attempted,
            Err(_) => second.await,
        },
        attempted = &mut second => match attempted.result {
            Ok(_) => attempted,
            Err(_) => first.await,
        },
    }
}

/// Runs one attempt on the host that was picked for it.
async fn run_on(
    scene: &Scene<'_>,
    number: u32,
    mut picked: Picked<'_>,
    prefix: &[Bytes],
) -> Attempted {
    let host = picked.host;
    let key = AttemptKey { request: scene.run.order.id, stage: scene.index, attempt: number };
    let request = build_request(scene, key, prefix);
    let mut pieces = Vec::new();
    let live = scene.sink.filter(|_| scene.is_resumable());
    let deliver = |payload: Bytes| {
        pieces.push(payload.clone());
        async move {
            match live {
                Some(sink) => sink.send(payload).await,
                None => true,
            }
        }
    };
    let open = scene.run.progress.begin(scene.spec().idempotent);
    let (fleet, sent) = (scene.run.fleet, clock::now());
    let (result, load) = run_attempt(&fleet.links[host], key, request, deliver).await;
    if let Some(load) = load {
        picked.observe((&load).into());
        fleet.members.replied(&fleet.view, host, sent, &load);
    }
    let result = result.map_err(|error| {
        scene.note_failure(key, host, &error);
        error.refusal()
    });
    match &result {
        Ok(_) => {
            open.completed();
            picked.completed();
        }
        Err(refusal) => {
            open.refused(refusal.execution);
            picked.refused(*refusal);
        }
    }
    Attempted { host, pieces, result }
}

pub(super) fn build_request(
    scene: &Scene<'_>,
    key: AttemptKey,
    prefix: &[Bytes],
) -> stage::RunRequest {
    let (view, order) = (&scene.run.fleet.view, scene.run.order);
    let key_of_caller = order.key.as_ref().filter(|_| !scene.spec().idempotent);
    stage::RunRequest {
        id: Some(key.into()),
        revision: view.revision.0,
        workspace: view.workspaces[order.workspace].name.to_string(),
        pipeline: view.pipelines[order.pipeline].name.to_string(),
        priority: u32::from(order.priority),
        remaining_us: convert::micros(clock::now().until(scene.deadline)),
        input: scene.input.clone(),
        prefix: prefix.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect(),
        max_tokens: scene.row.tokens,
        idempotency: key_of_caller
            .map(|k| stage::Idempotency { key: k.key.clone(), body_hash: k.body_hash }),
        affinity: order.affinity,
    }
}
