//! Runs the stages of one request under its deadline.

use super::answer::{StageTrailer, Trailer};
use super::once::check_key_reuse;
use super::progress::Progress;
use super::stage::{StageContext, StageOutput, run_stage};
use super::stream::TokenSink;
use super::{Entry, Fleet, PipelineRequest};
use crate::core::budget::StageId;
use crate::core::config::{Name, StageKind};
use crate::core::keys::StageIndex;
use crate::core::refusal::{Execution, Refusal, RefusalCode};
use crate::core::view::StageRow;
use crate::util::clock;
use bytes::Bytes;
use std::time::Duration;
use tokio::time::Instant;

/// One request in progress.
pub(super) struct Run<'a> {
    pub(super) entry: &'a Entry,
    pub(super) fleet: &'a Fleet,
    pub(super) request: &'a PipelineRequest,
    pub(super) progress: Progress,
}

/// A complete answer.
#[derive(Debug)]
pub(super) struct Answer {
    /// The last stage's output: a JSON value, or the text of a generation.
    pub(super) output: Bytes,
    /// Whether the output is the text of a generation.
    pub(super) is_text: bool,
    /// The number of pieces of the output.
    pub(super) count: usize,
    pub(super) trailer: Trailer,
}

/// Runs a request to its complete answer or its final refusal.
pub(super) async fn run(
    entry: &Entry,
    fleet: &Fleet,
    request: &PipelineRequest,
    sink: Option<&TokenSink>,
) -> Result<Answer, Refusal> {
    let _permit = entry.policy.admit(&fleet.view.workspaces[request.workspace])?;
    let started = Instant::now();
    let run = Run { entry, fleet, request, progress: Progress::default() };
    let stages = run_stages(&run, started, sink);
    let result = tokio::select! {
        biased;
        result = tokio::time::timeout_at(started + request.deadline, stages) => {
            result.unwrap_or(Err(Refusal::unknown(RefusalCode::Deadline)))
        }
        () = entry.must_answer() => Err(Refusal::unknown(RefusalCode::Stopped)),
    };
    let result =
        result.map_err(|refusal| Refusal { execution: run.progress.execution(), ..refusal });
    let is_late = match &result {
        Ok(answer) => answer.trailer.elapsed > request.deadline,
        Err(refusal) => is_late(refusal),
    };
    if is_late {
        entry.policy.record_late(stage_names(&run));
    }
    result
}

/// Returns whether a refusal means that the deadline passed after the request had started.
pub(super) fn is_late(refusal: &Refusal) -> bool {
    refusal.code == RefusalCode::Deadline && refusal.execution != Execution::NotRun
}

/// Returns the names of a request's workspace, pipeline and current stage.
fn stage_names<'a>(run: &Run<'a>) -> [&'a Name; 3] {
    let view = &run.fleet.view;
    let pipeline = &view.pipelines[run.request.pipeline];
    let stage = &pipeline.stages[run.progress.current_stage()];
    [&view.workspaces[run.request.workspace].name, &pipeline.name, &stage.name]
}

async fn run_stages(
    run: &Run<'_>,
    started: Instant,
    sink: Option<&TokenSink>,
) -> Result<Answer, Refusal> {
    let row = &run.fleet.view.pipelines[run.request.pipeline];
    let ids: Vec<StageId> = row.stages.iter().map(|s| StageId::of(&row.name, &s.name)).collect();
    let deadline = clock::now() + run.request.deadline;
    run.entry.policy.check_deadline(deadline, &ids)?;
    let ctx = |position: usize, input: Bytes| StageContext {
        run,
        index: StageIndex(u8::try_from(position).unwrap_or(u8::MAX)),
        row: &row.stages[position],
        id: ids[position],
        deadline: run.entry.policy.stage_deadline(deadline, &ids[position + 1..]),
        input,
        sink: sink.filter(|_| position + 1 == row.stages.len()),
    };
    for (position, stage_row) in row.stages.iter().enumerate() {
        if !run.fleet.view.services[stage_row.service].spec.idempotent {
            check_key_reuse(&ctx(position, Bytes::new())).await?;
        }
    }
    let mut input = run.request.input.clone();
    let mut trailers = Vec::with_capacity(ids.len());
    for (position, stage_row) in row.stages.iter().enumerate() {
        let is_last = position + 1 == row.stages.len();
        run.progress.start_stage(position);
        let ctx = ctx(position, input);
        let stage_started = Instant::now();
        let stage = run_stage(&ctx).await?;
        trailers.push(record_stage(&ctx, &stage, stage_started.elapsed()));
        let is_text = stage_kind(run, stage_row) == StageKind::Generate;
        if is_last {
            let count = stage.pieces.len();
            let trailer = build_trailer(run, started.elapsed(), trailers);
            return Ok(Answer { output: concat_pieces(stage.pieces), is_text, count, trailer });
        }
        input = next_input(stage.pieces, is_text);
    }
    Err(Refusal::not_run(RefusalCode::BadRequest))
}

fn stage_kind(run: &Run<'_>, row: &StageRow) -> StageKind {
    run.fleet.view.services[row.service].spec.kind
}

/// Turns a stage's answer into the next stage's input, a JSON value.
fn next_input(pieces: Vec<Bytes>, is_text: bool) -> Bytes {
    let output = concat_pieces(pieces);
    if !is_text {
        return output;
    }
    serde_json::to_vec(&String::from_utf8_lossy(&output)).unwrap_or_default().into()
}

fn concat_pieces(mut pieces: Vec<Bytes>) -> Bytes {
    if pieces.len() == 1 {
        return pieces.swap_remove(0);
    }
    pieces.concat().into()
}

/// Builds the trailer of a completed stage and records its time and cost in the policy.
fn record_stage(ctx: &StageContext<'_>, stage: &StageOutput, elapsed: Duration) -> StageTrailer {
    let view = &ctx.run.fleet.view;
    let host = &view.hosts[stage.host];
    let trailer = StageTrailer {
        stage: ctx.row.name.to_string(),
        host: host.name.to_string(),
        zone: view.zones[host.zone].name.to_string(),
        attempts: stage.attempts,
        queued: Duration::from_micros(stage.done.queued_us),
        busy: Duration::from_micros(stage.done.busy_us),
        elapsed,
        cost: stage.done.cost,
    };
    let request = ctx.run.request;
    let workspace = &view.workspaces[request.workspace].name;
    let pipeline = &view.pipelines[request.pipeline].name;
    let names = [workspace, pipeline, &ctx.row.name];
    ctx.run.entry.policy.record_stage(names, ctx.id, &trailer);
    trailer
}

fn build_trailer(run: &Run<'_>, elapsed: Duration, stages: Vec<StageTrailer>) -> Trailer {
    let cost = stages.iter().map(|s| s.cost).sum();
    Trailer { request: run.request.id, elapsed, cost, stages }
}
