//! Runs a stage that may run at most once: on the home of the caller's key, never twice.
//!
//! A lost answer is asked for by key and never sent again. A refusal that is proven to have run
//! nothing, or a host that no longer holds the key, lets the other of the two hosts be asked.

use super::attempt::{AttemptError, run_attempt};
use super::link::Link;
use super::stage::{Scene, StageRun, build_request};
use crate::core::frames::AttemptKey;
use crate::core::keys::HostKey;
use crate::core::once::{KeyId, homes};
use crate::core::verdict::{Execution, Refusal, RefusalCode};
use crate::util::clock;
use crate::wire::{convert, once, stage};
use bytes::Bytes;
use std::time::Duration;

/// How long the home and the successor are asked in turn at most; a successor that has itself just
/// been replaced takes over only after its promises have lapsed.
const MOVE_LIMIT: Duration = Duration::from_secs(15);
/// The pause after both hosts were asked, in which a move of the key may end.
const PAUSE: Duration = Duration::from_millis(200);
/// The time allowed for the check of a key before the first stage.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// When it is worth asking again while the key moves between its hosts.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// How often both hosts are asked for a lost answer while a move of the key may be under way.
const LOOK_UP_ROUNDS: u32 = 3;
/// The time left for a look-up to answer before the stage's deadline.
const LOOK_UP_SLACK: Duration = Duration::from_millis(50);

/// Refuses a key that was used with another input, before any stage runs.
///
/// A home that does not answer in time is passed over: it decides again before the stage.
///
/// # Errors
/// Returns a refusal with [`RefusalCode::KeyReused`].
pub(super) async fn check_reuse(scene: &Scene<'_>) -> Result<(), Refusal> {
    let (Ok(hosts), Some(caller)) = (hosts_of(scene), &scene.run.order.key) else { return Ok(()) };
    let Some(home) = hosts.first() else { return Ok(()) };
    let request = look_up_request(scene, Duration::ZERO);
    let answer = look_up(&scene.run.fleet.links[*home], request);
    let reply = tokio::time::timeout(CHECK_TIMEOUT, answer).await.ok().flatten();
    match reply.and_then(|r| r.body_hash) {
        Some(hash) if hash != caller.body_hash => Err(Refusal::not_run(RefusalCode::KeyReused)),
        _ => Ok(()),
    }
}

/// Runs one stage under the caller's key.
pub(super) async fn run_stage_once(scene: &Scene<'_>) -> Result<StageRun, Refusal> {
    let open = scene.run.progress.begin(false);
    let result = ask_hosts(scene).await;
    match &result {
        Ok(_) => open.completed(),
        Err(refusal) => open.refused(refusal.execution),
    }
    result
}

async fn ask_hosts(scene: &Scene<'_>) -> Result<StageRun, Refusal> {
    let hosts = hosts_of(scene)?;
    let mut last = Refusal::not_run(RefusalCode::Unavailable);
    let (mut moving, mut lost) = (false, false);
    let end = (clock::now() + MOVE_LIMIT).min(scene.deadline);
    for (attempt, host) in (0..).zip(hosts.iter().cycle()) {
        match ask(scene, attempt, *host).await {
            Ok(run) => return Ok(run),
            Err(AttemptError::Refused(refusal)) => last = refusal,
            Err(error) if error.refusal().execution == Execution::NotRun => {
                last = error.refusal();
            }
            Err(error) => match recover(scene, attempt, *host, error.refusal()).await {
                Recovered::Answered(run) => return Ok(run),
                Recovered::Unknown(refusal) => return Err(refusal),
                Recovered::NotRun => {
                    last = Refusal::not_run(RefusalCode::Unavailable);
                    lost = true;
                }
            },
        }
        // A host that leaves has given this attempt back; its last table will tell the other host.
        moving |= is_leaving(last);
        let awaited = moving && last.code == RefusalCode::Unvouched;
        if !is_elsewhere(last) && !awaited {
            return Err(certain(last, lost));
        }
        if usize::try_from(attempt).is_ok_and(|n| (n + 1).is_multiple_of(hosts.len())) {
            if clock::now() + PAUSE >= end {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
    }
    Err(certain(last, lost).retry_in(RETRY_AFTER))
}

/// Returns the refusal that holds when an earlier attempt's answer was lost: the message of that
/// attempt may still be on its way, so nothing proves any more that the stage will not run.
fn certain(refusal: Refusal, lost: bool) -> Refusal {
    match lost {
        true => Refusal { execution: Execution::Unknown, ..refusal },
        false => refusal,
    }
}

/// Runs one attempt on one of the key's hosts.
async fn ask(scene: &Scene<'_>, attempt: u32, host: HostKey) -> Result<StageRun, AttemptError> {
    let key = AttemptKey { request: scene.run.order.id, stage: scene.index, attempt };
    let request = build_request(scene, key, &[]);
    let mut pieces = Vec::new();
    let deliver = |payload: Bytes| {
        pieces.push(payload);
        std::future::ready(true)
    };
    let (fleet, sent) = (scene.run.fleet, clock::now());
    let (result, load) = run_attempt(&fleet.links[host], key, request, deliver).await;
    if let Some(load) = load {
        fleet.members.replied(&fleet.view, host, sent, &load);
    }
    let done = result.inspect_err(|error| scene.note_failure(key, host, error))?;
    Ok(StageRun { pieces, host, attempts: attempt + 1, done })
}

/// Returns the home and the successor of the caller's key.
fn hosts_of(scene: &Scene<'_>) -> Result<Vec<HostKey>, Refusal> {
    let (view, order) = (&scene.run.fleet.view, scene.run.order);
    let caller = order.key.as_ref().ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    let workspace = view.workspaces[order.workspace].name.as_str();
    let pipeline = view.pipelines[order.pipeline].name.as_str();
    let key = KeyId::new(workspace, pipeline, scene.index.0, &caller.key);
    let homes = homes(view, order.workspace, scene.row.service, key)
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

/// Returns whether a leaving host has given an attempt back.
fn is_leaving(refusal: Refusal) -> bool {
    let leaving = matches!(refusal.code, RefusalCode::Draining | RefusalCode::ZoneOut);
    leaving && refusal.execution == Execution::NotRun
}

/// What became of a run whose answer was lost.
enum Recovered {
    /// The stage answered.
    Answered(StageRun),
    /// The holder of the key vouches that the stage did not run.
    NotRun,
    /// The outcome cannot be determined.
    Unknown(Refusal),
}

/// Asks for the outcome of a run whose answer was lost: the host itself, or, if that is gone or has
/// been replaced, the other host, which vouches for the key once it has taken over.
async fn recover(scene: &Scene<'_>, attempt: u32, host: HostKey, lost: Refusal) -> Recovered {
    let unknown = Recovered::Unknown(Refusal::unknown(lost.code).retry_in(RETRY_AFTER));
    let Ok(mut hosts) = hosts_of(scene) else { return unknown };
    hosts.sort_by_key(|h| *h != host);
    for round in 0..LOOK_UP_ROUNDS {
        if round > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        for host in &hosts {
            if let Some(known) = look_up_lost(scene, attempt, *host).await {
                return known;
            }
        }
    }
    unknown
}

/// Looks up a lost run on one host; a host that vouches for a key without a row says "not run".
async fn look_up_lost(scene: &Scene<'_>, attempt: u32, host: HostKey) -> Option<Recovered> {
    let wait = clock::now().until(scene.deadline).saturating_sub(LOOK_UP_SLACK);
    let reply = look_up(&scene.run.fleet.links[host], look_up_request(scene, wait)).await?;
    if let Some(answer) = reply.answer {
        let pieces = vec![answer.payload.into()];
        let done = stage::Done { cost: answer.cost, ..stage::Done::default() };
        return Some(Recovered::Answered(StageRun { pieces, host, attempts: attempt + 1, done }));
    }
    matches!(reply.state.as_str(), "not_run" | "absent").then_some(Recovered::NotRun)
}

fn look_up_request(scene: &Scene<'_>, wait: Duration) -> once::LookUpRequest {
    let (view, order) = (&scene.run.fleet.view, scene.run.order);
    once::LookUpRequest {
        workspace: view.workspaces[order.workspace].name.to_string(),
        pipeline: view.pipelines[order.pipeline].name.to_string(),
        stage: u32::from(scene.index.0),
        key: order.key.as_ref().map(|k| k.key.clone()).unwrap_or_default(),
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
