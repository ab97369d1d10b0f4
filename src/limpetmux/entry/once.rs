//! Runs a stage that may run at most once: on the home of the caller's key, never twice.
//!
//! A lost answer is asked for by key and never sent again. A refusal that is proven to have run
//! nothing, or a host that no longer holds the key, lets the other of the two hosts be asked.

use super::Fleet;
use super::attempt::run_attempt;
use super::link::Link;
use super::stage::{Scene, StageRun, build_request};
use crate::core::frames::AttemptKey;
use crate::core::keys::{HostKey, PipelineKey, StageIndex, WorkspaceKey};
use crate::core::once::{KeyId, homes};
use crate::core::verdict::{Execution, Refusal, RefusalCode};
use crate::util::clock;
use crate::wire::{convert, once, stage};
use bytes::Bytes;
use std::time::Duration;

/// The most times that the home and the successor are asked in turn.
const MAX_ATTEMPTS: u32 = 4;
/// When it is worth asking again while the key moves between its hosts.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The time left for a look-up to answer before the request's deadline.
const LOOK_UP_SLACK: Duration = Duration::from_millis(50);

/// A key together with the stage that it stands for.
#[derive(Clone, Copy)]
pub(super) struct Naming<'a> {
    pub(super) workspace: WorkspaceKey,
    pub(super) pipeline: PipelineKey,
    pub(super) stage: StageIndex,
    pub(super) key: &'a str,
}

impl Naming<'_> {
    /// Returns the home of the key and then its successor.
    pub(super) fn hosts(self, fleet: &Fleet) -> Option<Vec<HostKey>> {
        let view = &fleet.view;
        let workspace = view.workspaces[self.workspace].name.as_str();
        let pipeline = view.pipelines[self.pipeline].name.as_str();
        let service = view.stage(self.pipeline, self.stage)?.service;
        let id = KeyId::new(workspace, pipeline, self.stage.0, self.key);
        let homes = homes(view, self.workspace, service, id)?;
        Some(std::iter::once(homes.home).chain(homes.successor).collect())
    }

    /// Returns the question for the outcome, to be answered within a time.
    pub(super) fn look_up(self, fleet: &Fleet, wait: Duration) -> once::LookUpRequest {
        once::LookUpRequest {
            workspace: fleet.view.workspaces[self.workspace].name.to_string(),
            pipeline: fleet.view.pipelines[self.pipeline].name.to_string(),
            stage: u32::from(self.stage.0),
            key: self.key.to_owned(),
            wait_us: convert::micros(wait),
        }
    }
}

/// Runs one stage under the caller's key.
pub(super) async fn run_stage_once(scene: &Scene<'_>) -> Result<StageRun, Refusal> {
    let order = scene.run.order;
    let caller = order.key.as_ref().ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    let (workspace, pipeline) = (order.workspace, order.pipeline);
    let naming = Naming { workspace, pipeline, stage: scene.index, key: &caller.key };
    let hosts = naming.hosts(scene.run.fleet);
    let hosts = hosts.ok_or(Refusal::not_run(RefusalCode::Unavailable).retry_in(RETRY_AFTER))?;
    let mut last = Refusal::not_run(RefusalCode::Unavailable);
    for (number, host) in (0..MAX_ATTEMPTS).zip(hosts.iter().cycle()) {
        match ask(scene, naming, number, *host).await {
            Ok(run) => return Ok(run),
            Err(refusal) => last = refusal,
        }
        if !is_elsewhere(last) {
            return Err(last);
        }
    }
    Err(last.retry_in(RETRY_AFTER))
}

/// Asks one host to run the stage, and for the outcome if its answer is lost.
async fn ask(
    scene: &Scene<'_>,
    naming: Naming<'_>,
    number: u32,
    host: HostKey,
) -> Result<StageRun, Refusal> {
    let key = AttemptKey { request: scene.run.order.id, stage: scene.index, attempt: number };
    let mut pieces = Vec::new();
    let deliver = |payload: Bytes| {
        pieces.push(payload);
        std::future::ready(true)
    };
    let open = scene.run.progress.begin(false);
    let sent = clock::now();
    let fleet = scene.run.fleet;
    let request = build_request(scene, key, &[]);
    let (result, load) = run_attempt(&fleet.links[host], key, request, deliver).await;
    if let Some(load) = load {
        fleet.members.replied(&fleet.view, host, sent, &load);
    }
    let attempts = number + 1;
    let error = match result {
        Ok(done) => {
            open.completed();
            return Ok(StageRun { pieces, host, attempts, done });
        }
        Err(error) => error,
    };
    let refusal = scene.failed(key, host, &error);
    if error.is_lost() {
        let run = recover(scene, naming, host, refusal).await?;
        open.completed();
        return Ok(StageRun { attempts, ..run });
    }
    open.refused(refusal.execution);
    Err(refusal)
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
    scene: &Scene<'_>,
    naming: Naming<'_>,
    host: HostKey,
    lost: Refusal,
) -> Result<StageRun, Refusal> {
    let fleet = scene.run.fleet;
    let left = clock::now().until(scene.deadline);
    let request = naming.look_up(fleet, left.saturating_sub(LOOK_UP_SLACK));
    let reply = look_up(&fleet.links[host], request).await;
    let Some(once::LookUpReply { answer: Some(answer), .. }) = reply else {
        return Err(Refusal::unknown(lost.code).retry_in(RETRY_AFTER));
    };
    let done = stage::Done { cost: answer.cost, ..stage::Done::default() };
    Ok(StageRun { pieces: vec![answer.payload.into()], host, attempts: 1, done })
}

/// Looks up an outcome on one host; `None` if the host does not answer.
pub(super) async fn look_up(
    link: &Link,
    request: once::LookUpRequest,
) -> Option<once::LookUpReply> {
    link.once_client()?.look_up(request).await.ok().map(tonic::Response::into_inner)
}
