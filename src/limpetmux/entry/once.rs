//! Runs a stage that may run at most once, on the home host of the caller's idempotency key.
//!
//! If the answer of an attempt is lost, the outcome is looked up by key and the stage is not sent
//! again. The other of the key's two hosts is tried only if it is proven that nothing ran, or if
//! the first host no longer holds the key.

use super::attempt::{AttemptError, run_attempt};
use super::connection::SidecarConnection;
use super::stage::{StageContext, StageOutput, build_request};
use crate::core::frames::AttemptKey;
use crate::core::keys::HostKey;
use crate::core::once::{KeyId, homes};
use crate::core::read_limits::{Exceeded, Peer};
use crate::core::refusal::{Execution, Refusal, RefusalCode};
use crate::util::{clock, read_stop};
use crate::wire::{convert, once, stage};
use bytes::Bytes;
use std::time::Duration;

/// The maximum time spent on trying the home and the successor in turn. A successor that has itself
/// just been replaced takes over only after its promises have expired.
const MOVE_TIMEOUT: Duration = Duration::from_secs(15);
/// The pause after both hosts were tried, during which a move of the key may finish.
const ROUND_PAUSE: Duration = Duration::from_millis(200);
/// The timeout for asking one host about a key where no reply is no obstacle.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// The `Retry-After` time while the key moves between its hosts.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The time for the answer to a look-up, in addition to the time that the host was asked to wait.
const LOOK_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// How often both hosts are queried for a lost answer, in case a move of the key is in progress.
const LOOK_UP_ROUNDS: u32 = 3;
/// The part of a stage's remaining time that is reserved for the reply to a look-up.
const LOOK_UP_MARGIN: Duration = Duration::from_millis(50);

/// Refuses a key that was used with another input, before any stage runs.
///
/// A home that does not answer in time is skipped; it repeats the check before the stage runs.
///
/// # Errors
/// Returns a refusal with [`RefusalCode::KeyReused`].
pub(super) async fn check_key_reuse(ctx: &StageContext<'_>) -> Result<(), Refusal> {
    let (Ok(hosts), Some(caller)) = (key_hosts(ctx), &ctx.run.request.key) else { return Ok(()) };
    let Some(home) = hosts.first() else { return Ok(()) };
    let request = look_up_request(ctx, Duration::ZERO);
    let answer = look_up(&ctx.run.fleet.connections[*home], request);
    let reply = tokio::time::timeout(CHECK_TIMEOUT, answer).await.ok().flatten();
    match reply.and_then(|r| r.body_hash) {
        Some(hash) if hash != caller.body_hash => Err(Refusal::not_run(RefusalCode::KeyReused)),
        _ => Ok(()),
    }
}

/// Runs one stage under the caller's key.
pub(super) async fn run_stage_once(ctx: &StageContext<'_>) -> Result<StageOutput, Refusal> {
    let pending = ctx.run.progress.start_attempt(false);
    let result = try_hosts(ctx).await;
    match &result {
        Ok(_) => pending.mark_completed(),
        Err(refusal) => pending.mark_refused(refusal.execution),
    }
    result
}

async fn try_hosts(ctx: &StageContext<'_>) -> Result<StageOutput, Refusal> {
    let hosts = key_hosts(ctx)?;
    let mut last = Refusal::not_run(RefusalCode::Unavailable);
    let (mut is_moving, mut is_lost) = (false, false);
    let end = (clock::now() + MOVE_TIMEOUT).min(ctx.deadline);
    for (attempt, host) in (0..).zip(hosts.iter().cycle()) {
        match run_on_host(ctx, attempt, *host).await {
            Ok(output) => return Ok(output),
            Err(AttemptError::Refused(refusal)) => last = refusal,
            Err(error) if error.refusal().execution == Execution::NotRun => {
                last = error.refusal();
            }
            Err(error) => match recover(ctx, attempt, *host, error.refusal()).await {
                Recovered::Answered(output) => return Ok(output),
                Recovered::Unknown(refusal) => return Err(refusal),
                Recovered::NotRun => {
                    last = Refusal::not_run(RefusalCode::Unavailable);
                    is_lost = true;
                }
            },
        }
        // A leaving host returned this attempt unrun; its final handover gives the key's state to
        // the other host.
        is_moving |= is_leaving(last);
        let is_move_pending = is_moving && last.code == RefusalCode::Unvouched;
        if !other_may_hold(last) && !is_move_pending {
            return Err(unknown_if_lost(last, is_lost));
        }
        if usize::try_from(attempt).is_ok_and(|n| (n + 1).is_multiple_of(hosts.len())) {
            if clock::now() + ROUND_PAUSE >= end {
                break;
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }
    Err(unknown_if_lost(last, is_lost).retry_in(RETRY_AFTER))
}

/// Sets the execution of a refusal to unknown if an earlier attempt's answer was lost: the message
/// of that attempt may still be in transit, so the stage may still run.
fn unknown_if_lost(refusal: Refusal, is_lost: bool) -> Refusal {
    match is_lost {
        true => Refusal { execution: Execution::Unknown, ..refusal },
        false => refusal,
    }
}

/// Runs one attempt on one of the key's hosts.
async fn run_on_host(
    ctx: &StageContext<'_>,
    attempt: u32,
    host: HostKey,
) -> Result<StageOutput, AttemptError> {
    let key = AttemptKey { request: ctx.run.request.id, stage: ctx.index, attempt };
    let request = build_request(ctx, key, &[]);
    let mut pieces = Vec::new();
    let deliver = |payload: Bytes| {
        pieces.push(payload);
        std::future::ready(true)
    };
    let (fleet, sent) = (ctx.run.fleet, clock::now());
    let (result, load) = run_attempt(&fleet.connections[host], key, request, deliver).await;
    if let Some(load) = load {
        fleet.members.report_reply(&fleet.view, host, sent, &load);
    }
    let done = result.inspect_err(|error| ctx.record_failure(key, host, error))?;
    Ok(StageOutput { pieces, host, attempts: attempt + 1, done })
}

/// Returns the home and the successor of the caller's key.
fn key_hosts(ctx: &StageContext<'_>) -> Result<Vec<HostKey>, Refusal> {
    let (view, request) = (&ctx.run.fleet.view, ctx.run.request);
    let caller = request.key.as_ref().ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    let workspace = view.workspaces[request.workspace].name.as_str();
    let pipeline = view.pipelines[request.pipeline].name.as_str();
    let key = KeyId::new(workspace, pipeline, ctx.index.0, &caller.key);
    let homes = homes(view, request.workspace, ctx.row.service, key)
        .ok_or(Refusal::not_run(RefusalCode::Unavailable))?;
    Ok(std::iter::once(homes.home).chain(homes.successor).collect())
}

/// Returns whether the other host may hold the key.
fn other_may_hold(refusal: Refusal) -> bool {
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

/// Returns whether a leaving host refused an attempt without running it.
fn is_leaving(refusal: Refusal) -> bool {
    let leaving = matches!(refusal.code, RefusalCode::Draining | RefusalCode::ZoneOut);
    leaving && refusal.execution == Execution::NotRun
}

/// The outcome of a run whose answer was lost.
enum Recovered {
    /// The stage ran and its answer was stored.
    Answered(StageOutput),
    /// The holder of the key confirms that the stage did not run.
    NotRun,
    /// The outcome cannot be determined.
    Unknown(Refusal),
}

/// Looks up the outcome of a run whose answer was lost, first on its host and then on the other
/// host, which can answer for the key after a takeover.
async fn recover(ctx: &StageContext<'_>, attempt: u32, host: HostKey, lost: Refusal) -> Recovered {
    let unknown = Recovered::Unknown(Refusal::unknown(lost.code).retry_in(RETRY_AFTER));
    let Ok(mut hosts) = key_hosts(ctx) else { return unknown };
    hosts.sort_by_key(|h| *h != host);
    for round in 0..LOOK_UP_ROUNDS {
        if round > 0 {
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        for host in &hosts {
            match look_up_lost(ctx, attempt, *host).await {
                Some(Recovered::NotRun) if is_contradicted(ctx, &hosts, *host).await => {}
                Some(recovered) => return recovered,
                None => {}
            }
        }
    }
    unknown
}

/// Returns whether the key's other host reports a run, while `host` reports none: `host` may lag
/// behind a move of the key.
///
/// A host that is only slow to answer is waited for, as its report may be that of a run.
async fn is_contradicted(ctx: &StageContext<'_>, hosts: &[HostKey], host: HostKey) -> bool {
    for other in hosts.iter().filter(|h| **h != host) {
        let request = look_up_request(ctx, Duration::ZERO);
        let reply = look_up(&ctx.run.fleet.connections[*other], request).await;
        if reply.is_some_and(|r| reports_run(&r)) {
            return true;
        }
    }
    false
}

/// Returns whether a host reports that a key ran, runs or may have run.
///
/// A word that this version does not know, of a later one, may mean this too.
pub(super) fn reports_run(reply: &once::LookUpReply) -> bool {
    !matches!(reply.state.as_str(), "not_run" | "absent" | "unknown" | "not_home")
}

/// Looks up a lost run on one host; returns `None` if the host cannot determine the outcome.
///
/// A state of `absent` also means "not run": the host is responsible for the key and has no row.
async fn look_up_lost(ctx: &StageContext<'_>, attempt: u32, host: HostKey) -> Option<Recovered> {
    let wait = clock::now().until(ctx.deadline).saturating_sub(LOOK_UP_MARGIN);
    let reply = look_up(&ctx.run.fleet.connections[host], look_up_request(ctx, wait)).await?;
    if let Some(answer) = reply.answer {
        let pieces = vec![answer.payload.into()];
        let done = stage::Done { cost: answer.cost, ..stage::Done::default() };
        return Some(Recovered::Answered(StageOutput {
            pieces,
            host,
            attempts: attempt + 1,
            done,
        }));
    }
    matches!(reply.state.as_str(), "not_run" | "absent").then_some(Recovered::NotRun)
}

fn look_up_request(ctx: &StageContext<'_>, wait: Duration) -> once::LookUpRequest {
    let (view, request) = (&ctx.run.fleet.view, ctx.run.request);
    once::LookUpRequest {
        workspace: view.workspaces[request.workspace].name.to_string(),
        pipeline: view.pipelines[request.pipeline].name.to_string(),
        stage: u32::from(ctx.index.0),
        key: request.key.as_ref().map(|k| k.key.clone()).unwrap_or_default(),
        wait_us: convert::micros(wait),
    }
}

/// Looks up an outcome on one host; returns `None` if the host does not answer in time.
pub(super) async fn look_up(
    connection: &SidecarConnection,
    request: once::LookUpRequest,
) -> Option<once::LookUpReply> {
    let mut client = connection.once_client()?;
    let time = Duration::from_micros(request.wait_us).saturating_add(LOOK_UP_TIMEOUT);
    let Ok(reply) = tokio::time::timeout(time, client.look_up(request)).await else {
        read_stop::log(Exceeded::time(Peer::Node, time), connection.addr());
        return None;
    };
    reply.ok().map(|reply| reply.into_inner())
}
