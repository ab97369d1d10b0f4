//! Runs a stage that may run at most once: on the home of the caller's key, never twice.
//!
//! A lost answer is asked for by key and never sent again. A refusal that is proven to have run
//! nothing, or a host that no longer holds the key, lets the other of the two hosts be asked.

use super::attempt::{AttemptError, run_attempt};
use super::link::Link;
use super::pipeline::Run;
use super::stage::{StageRun, build_request};
use crate::core::frames::AttemptKey;
use crate::core::keys::{HostKey, StageIndex};
use crate::core::once::{KeyId, homes};
use crate::core::verdict::{Execution, Refusal, RefusalCode};
use crate::wire::{convert, once, stage};
use bytes::Bytes;
use std::time::Duration;
use tokio::time::Instant;

/// The most times that the home and the successor are asked in turn.
const MAX_ATTEMPTS: u32 = 12;
/// The pause after both hosts were asked, in which a move of the key may end.
const PAUSE: Duration = Duration::from_millis(200);
/// When it is worth asking again while the key moves between its hosts.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The time left for a look-up to answer before the request's deadline.
const LOOK_UP_SLACK: Duration = Duration::from_millis(50);

/// Runs one stage under the caller's key.
pub(super) async fn run_stage_once(
    run: &mut Run<'_>,
    index: StageIndex,
    input: &Bytes,
) -> Result<StageRun, Refusal> {
    let started = Instant::now();
    let mut state = StageRun::default();
    let result = ask_hosts(run, index, input, &mut state).await;
    state.elapsed = started.elapsed();
    match result {
        Ok(()) => Ok(state),
        Err(refusal) => {
            run.dispatched |= refusal.execution != Execution::NotRun;
            run.undetermined |= refusal.execution == Execution::Unknown;
            Err(refusal)
        }
    }
}

async fn ask_hosts(
    run: &Run<'_>,
    index: StageIndex,
    input: &Bytes,
    state: &mut StageRun,
) -> Result<(), Refusal> {
    let hosts = hosts_of(run, index)?;
    let fleet = run.fleet;
    let row = &fleet.view.pipelines[run.order.pipeline].stages[usize::from(index.0)];
    let mut last = Refusal::not_run(RefusalCode::Unavailable);
    for (attempt, host) in (0..MAX_ATTEMPTS).zip(hosts.iter().cycle()) {
        state.tried.push(*host);
        state.pieces.clear();
        let key = AttemptKey { request: run.order.id, stage: index, attempt };
        let request = build_request(run, row, key, input, &[]);
        let pieces = &mut state.pieces;
        let deliver = |payload: Bytes| {
            pieces.push(payload);
            std::future::ready(true)
        };
        match run_attempt(&fleet.links[*host], key, request, deliver).await {
            Ok(closed) => {
                state.done = closed.done;
                return Ok(());
            }
            Err(AttemptError::Refused(refusal)) => last = refusal,
            Err(error) if error.refusal().execution == Execution::NotRun => {
                last = error.refusal();
            }
            Err(error) => return recover(run, index, *host, state, error.refusal()).await,
        }
        if !is_elsewhere(last) {
            return Err(last);
        }
        if usize::try_from(attempt).is_ok_and(|n| (n + 1).is_multiple_of(hosts.len())) {
            tokio::time::sleep(PAUSE).await;
        }
    }
    Err(last.retry_in(RETRY_AFTER))
}

/// Returns the home and the successor of the caller's key.
fn hosts_of(run: &Run<'_>, index: StageIndex) -> Result<Vec<HostKey>, Refusal> {
    let view = &run.fleet.view;
    let row = &view.pipelines[run.order.pipeline].stages[usize::from(index.0)];
    let caller = run.order.key.as_ref();
    let caller = caller.ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    let workspace = view.workspaces[run.order.workspace].name.as_str();
    let pipeline = view.pipelines[run.order.pipeline].name.as_str();
    let key = KeyId::new(workspace, pipeline, index.0, &caller.key);
    let homes = homes(view, run.order.workspace, row.service, key)
        .ok_or(Refusal::not_run(RefusalCode::Unavailable))?;
    Ok(std::iter::once(homes.home).chain(homes.successor).collect())
}

/// Returns whether the other host may hold the key.
fn is_elsewhere(refusal: Refusal) -> bool {
    match refusal.code {
        RefusalCode::NotHome => true,
        RefusalCode::Draining
        | RefusalCode::ZoneOut
        | RefusalCode::Stale
        | RefusalCode::Unconfigured
        | RefusalCode::Unavailable => refusal.execution == Execution::NotRun,
        _ => false,
    }
}

/// Asks for the outcome of a run whose answer was lost.
async fn recover(
    run: &Run<'_>,
    index: StageIndex,
    host: HostKey,
    state: &mut StageRun,
    lost: Refusal,
) -> Result<(), Refusal> {
    let left = run.deadline.saturating_duration_since(Instant::now());
    let wait = left.saturating_sub(LOOK_UP_SLACK);
    let request = look_up_request(run, index, wait);
    let reply = look_up(&run.fleet.links[host], request).await;
    let Some(once::LookUpReply { answer: Some(answer), .. }) = reply else {
        return Err(Refusal::unknown(lost.code).retry_in(RETRY_AFTER));
    };
    state.pieces = vec![answer.payload.into()];
    state.done = stage::Done { cost: answer.cost, ..stage::Done::default() };
    Ok(())
}

fn look_up_request(run: &Run<'_>, index: StageIndex, wait: Duration) -> once::LookUpRequest {
    let view = &run.fleet.view;
    once::LookUpRequest {
        workspace: view.workspaces[run.order.workspace].name.to_string(),
        pipeline: view.pipelines[run.order.pipeline].name.to_string(),
        stage: u32::from(index.0),
        key: run.order.key.as_ref().map(|k| k.key.clone()).unwrap_or_default(),
        wait_us: convert::micros(wait),
    }
}

/// Looks up an outcome on one host; `None` if the host does not answer.
pub(super) async fn look_up(
    link: &Link,
    request: once::LookUpRequest,
) -> Option<once::LookUpReply> {
    link.once_client()?.look_up(request).await.ok().map(|reply| reply.into_inner())
}
