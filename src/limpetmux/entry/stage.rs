//! Gives one stage its attempts until one is whole.

use super::attempt::{is_retryable, run_attempt};
use super::pick::{Choice, choose_host};
use super::pipeline::Run;
use super::stream::TokenSink;
use crate::core::config::StageKind;
use crate::core::frames::AttemptKey;
use crate::core::keys::{HostKey, StageIndex};
use crate::core::verdict::{Execution, Refusal, RefusalCode};
use crate::core::view::StageRow;
use crate::wire::{convert, stage};
use bytes::Bytes;
use std::time::Duration;
use tokio::time::Instant;

/// The most attempts at one stage.
const MAX_ATTEMPTS: u32 = 4;
/// When it is worth asking again if no host is available.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The pieces of a stage's answer and where the attempts ran.
#[derive(Debug, Default)]
pub(super) struct StageRun {
    pub(super) pieces: Vec<Bytes>,
    pub(super) tried: Vec<HostKey>,
    pub(super) done: stage::Done,
    pub(super) elapsed: Duration,
}

/// Runs one stage to its whole answer.
///
/// A generation that breaks goes on after the pieces delivered so far; any other stage starts
/// again. Attempts end with the first whole answer, a refusal that no retry can mend, or
/// [`MAX_ATTEMPTS`].
pub(super) async fn run_stage(
    run: &mut Run<'_>,
    index: StageIndex,
    input: &Bytes,
    sink: Option<&TokenSink>,
) -> Result<StageRun, Refusal> {
    let fleet = run.fleet;
    let row = &fleet.view.pipelines[run.order.pipeline].stages[usize::from(index.0)];
    let service = &fleet.view.services[row.service].spec;
    if !service.idempotent {
        return super::once::run_stage_once(run, index, input).await;
    }
    let started = Instant::now();
    let mut state = StageRun::default();
    let mut last = Refusal::not_run(RefusalCode::Unavailable).retry_in(RETRY_AFTER);
    for attempt in 0..MAX_ATTEMPTS {
        let choice = Choice {
            service: row.service,
            tried: &state.tried,
            zone: run.zone,
            affinity: run.order.affinity,
        };
        let Some(host) = choose_host(fleet, choice) else { break };
        state.tried.push(host);
        let key = AttemptKey { request: run.order.id, stage: index, attempt };
        let request = build_request(run, row, key, input, &state.pieces);
        let resumable = service.kind == StageKind::Generate;
        if !resumable {
            state.pieces.clear();
        }
        let pieces = &mut state.pieces;
        let live = sink.filter(|_| resumable);
        let deliver = |payload: Bytes| {
            pieces.push(payload.clone());
            async move {
                match live {
                    Some(sink) => sink.send(payload).await,
                    None => true,
                }
            }
        };
        match run_attempt(&fleet.links[host], key, request, deliver).await {
            Ok(closed) => {
                state.done = closed.done;
                state.elapsed = started.elapsed();
                return Ok(state);
            }
            Err(error) => last = error.refusal(),
        }
        run.dispatched |= last.execution != Execution::NotRun;
        run.undetermined |= last.execution == Execution::Unknown && !service.idempotent;
        if !is_retryable(last, service.idempotent) {
            break;
        }
    }
    Err(last)
}

pub(super) fn build_request(
    run: &Run<'_>,
    row: &StageRow,
    key: AttemptKey,
    input: &Bytes,
    pieces: &[Bytes],
) -> stage::RunRequest {
    let view = &run.fleet.view;
    let idempotency = run.order.key.as_ref();
    let repeatable = view.services[row.service].spec.idempotent;
    stage::RunRequest {
        id: Some(key.into()),
        revision: view.revision.0,
        workspace: view.workspaces[run.order.workspace].name.to_string(),
        pipeline: view.pipelines[run.order.pipeline].name.to_string(),
        priority: u32::from(run.order.priority),
        remaining_us: convert::micros(run.deadline.saturating_duration_since(Instant::now())),
        input: input.clone(),
        prefix: pieces.iter().map(|p| String::from_utf8_lossy(p).into_owned()).collect(),
        max_tokens: row.tokens,
        idempotency: idempotency
            .filter(|_| !repeatable)
            .map(|k| stage::Idempotency { key: k.key.clone(), body_hash: k.body_hash }),
        affinity: run.order.affinity,
    }
}
