//! Runs the stages of one request under its deadline.

use super::answer::{StageTrailer, Trailer};
use super::stage::{StageRun, run_stage};
use super::stream::TokenSink;
use super::{Entry, Fleet, Order};
use crate::core::config::StageKind;
use crate::core::keys::{StageIndex, ZoneKey};
use crate::core::verdict::{Execution, Refusal, RefusalCode};
use bytes::Bytes;
use std::time::Duration;
use tokio::time::Instant;

/// One request in progress.
pub(super) struct Run<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) order: &'a Order,
    pub(super) zone: Option<ZoneKey>,
    pub(super) deadline: Instant,
    /// Whether any backend server may have been asked.
    pub(super) dispatched: bool,
    /// Whether the outcome of a stage that may not be repeated is not known.
    pub(super) undetermined: bool,
}

/// A whole answer.
#[derive(Debug)]
pub(super) struct Answer {
    /// The last stage's output: a JSON value, or the text of a generation.
    pub(super) output: Bytes,
    /// Whether the output is the text of a generation.
    pub(super) is_text: bool,
    /// The number of pieces that make the output.
    pub(super) count: usize,
    pub(super) trailer: Trailer,
}

/// Runs a request to its whole answer or its final refusal.
pub(super) async fn run(
    entry: &Entry,
    fleet: &Fleet,
    order: &Order,
    sink: Option<&TokenSink>,
) -> Result<Answer, Refusal> {
    let started = Instant::now();
    let zone = entry.zone.as_ref().and_then(|z| fleet.view.zone(z.as_str()));
    let deadline = started + order.deadline;
    let mut run = Run { fleet, order, zone, deadline, dispatched: false, undetermined: false };
    let result = tokio::time::timeout_at(deadline, run_stages(&mut run, started, sink)).await;
    let refusal = match result {
        Ok(Ok(answer)) => return Ok(answer),
        Ok(Err(refusal)) => refusal,
        Err(_) => {
            // The attempt that was cut off may have reached its backend server.
            run.dispatched = true;
            run.undetermined |= !is_repeatable(&run);
            Refusal::unknown(RefusalCode::Deadline)
        }
    };
    Err(final_refusal(&run, refusal))
}

fn is_repeatable(run: &Run<'_>) -> bool {
    let stages = &run.fleet.view.pipelines[run.order.pipeline].stages;
    stages.iter().all(|s| run.fleet.view.services[s.service].spec.idempotent)
}

/// States how much of the whole request can have run.
fn final_refusal(run: &Run<'_>, refusal: Refusal) -> Refusal {
    let execution = if run.undetermined {
        Execution::Unknown
    } else if run.dispatched {
        Execution::PartlyRun
    } else {
        Execution::NotRun
    };
    Refusal { execution, ..refusal }
}

async fn run_stages(
    run: &mut Run<'_>,
    started: Instant,
    sink: Option<&TokenSink>,
) -> Result<Answer, Refusal> {
    let count = run.fleet.view.pipelines[run.order.pipeline].stages.len();
    let mut input = run.order.input.clone();
    let mut stages = Vec::with_capacity(count);
    for position in 0..count {
        let index = StageIndex(u8::try_from(position).unwrap_or(u8::MAX));
        let is_last = position + 1 == count;
        let stage = run_stage(run, index, &input, sink.filter(|_| is_last)).await?;
        run.dispatched = true;
        stages.push(trailer_of(run, index, &stage));
        let is_text = kind_of(run, index) == StageKind::Generate;
        if is_last {
            let trailer = total(run, started.elapsed(), stages);
            let count = stage.pieces.len();
            let output = join(stage.pieces);
            return Ok(Answer { output, is_text, count, trailer });
        }
        input = next_input(stage.pieces, is_text);
    }
    Err(Refusal::not_run(RefusalCode::BadRequest))
}

fn kind_of(run: &Run<'_>, index: StageIndex) -> StageKind {
    let view = &run.fleet.view;
    let row = &view.pipelines[run.order.pipeline].stages[usize::from(index.0)];
    view.services[row.service].spec.kind
}

/// Turns a stage's answer into the next stage's input, a JSON value.
fn next_input(pieces: Vec<Bytes>, is_text: bool) -> Bytes {
    let output = join(pieces);
    if !is_text {
        return output;
    }
    serde_json::to_vec(&String::from_utf8_lossy(&output)).unwrap_or_default().into()
}

fn join(mut pieces: Vec<Bytes>) -> Bytes {
    if pieces.len() == 1 {
        return pieces.swap_remove(0);
    }
    pieces.concat().into()
}

fn trailer_of(run: &Run<'_>, index: StageIndex, stage: &StageRun) -> StageTrailer {
    let view = &run.fleet.view;
    let row = &view.pipelines[run.order.pipeline].stages[usize::from(index.0)];
    let host = stage.tried.last().map(|h| &view.hosts[*h]);
    StageTrailer {
        stage: row.name.to_string(),
        host: host.map(|h| h.name.to_string()).unwrap_or_default(),
        zone: host.map(|h| view.zones[h.zone].name.to_string()).unwrap_or_default(),
        attempts: u32::try_from(stage.tried.len()).unwrap_or(u32::MAX),
        queued: Duration::from_micros(stage.done.queued_us),
        busy: Duration::from_micros(stage.done.busy_us),
        elapsed: stage.elapsed,
        cost: stage.done.cost,
    }
}

fn total(run: &Run<'_>, elapsed: Duration, stages: Vec<StageTrailer>) -> Trailer {
    let cost = stages.iter().map(|s| s.cost).sum();
    Trailer { request: run.order.id, elapsed, cost, stages }
}
