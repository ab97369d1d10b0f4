//! Tells a caller how the runs under an idempotency key ended.

use super::once::{Naming, look_up};
use super::problem::Problem;
use super::{Entry, Fleet};
use crate::core::keys::{PipelineKey, StageIndex, WorkspaceKey};
use crate::core::verdict::{Refusal, RefusalCode};
use crate::wire::once::LookUpReply;
use poem::Response;
use serde::Serialize;
use serde_json::value::RawValue;
use std::sync::Arc;
use std::time::Duration;

/// The longest wait for a run that has not ended.
const WAIT: Duration = Duration::from_secs(1);
/// The longest time for one host's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// When it is worth asking again if a host does not answer.
const RETRY_AFTER: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct Outcome {
    pipeline: String,
    stage: String,
    /// One of `answered`, `running`, `not_run` and `unknown`.
    state: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    output: Option<Box<RawValue>>,
    #[serde(rename = "cost_micros", skip_serializing_if = "Option::is_none")]
    cost: Option<u64>,
}

#[derive(Serialize)]
struct Outcomes<'a> {
    key: &'a str,
    outcomes: Vec<Outcome>,
}

/// Asks the hosts of a key in every pipeline of the workspace that has a stage under the key.
pub(super) async fn respond(entry: &Arc<Entry>, workspace: &str, key: &str) -> Response {
    let fleet = entry.fleet.load();
    let Some(workspace) = fleet.view.workspace(workspace) else {
        let error = super::OrderError::Workspace { name: workspace.to_owned() };
        return Problem::of_order(&error).into_response();
    };
    let mut outcomes = Vec::new();
    for (pipeline, stage) in stages_under_keys(&fleet, workspace) {
        match ask(&fleet, Naming { workspace, pipeline, stage, key }).await {
            Some(reply) if reply.state == "absent" => {}
            Some(reply) => outcomes.push(describe(&fleet, (pipeline, stage), reply)),
            None => {
                let refusal = Refusal::unknown(RefusalCode::Unavailable).retry_in(RETRY_AFTER);
                return Problem::of_refusal(refusal, None).into_response();
            }
        }
    }
    if outcomes.is_empty() {
        return Problem::of_order(&super::OrderError::KeyUnknown).into_response();
    }
    let body = serde_json::to_vec(&Outcomes { key, outcomes }).unwrap_or_default();
    Response::builder().content_type("application/json").body(body)
}

fn stages_under_keys(fleet: &Fleet, workspace: WorkspaceKey) -> Vec<(PipelineKey, StageIndex)> {
    let view = &fleet.view;
    let pipelines = view.workspaces[workspace].pipelines.iter().copied();
    let stages = pipelines.flat_map(|pipeline| {
        let stages = view.pipelines[pipeline].stages.iter();
        (0_u8..).zip(stages).map(move |(index, row)| (pipeline, StageIndex(index), row))
    });
    let once = stages.filter(|(_, _, row)| !view.services[row.service].spec.idempotent);
    once.map(|(pipeline, index, _)| (pipeline, index)).collect()
}

/// Asks the home and, if that one does not keep the key, the successor.
async fn ask(fleet: &Fleet, naming: Naming<'_>) -> Option<LookUpReply> {
    for host in naming.hosts(fleet)? {
        let request = naming.look_up(fleet, WAIT);
        let answer = look_up(&fleet.links[host], request);
        let reply = tokio::time::timeout(ANSWER_TIMEOUT, answer).await.ok().flatten();
        if let Some(reply) = reply.filter(|r| r.state != "not_home") {
            return Some(reply);
        }
    }
    None
}

fn describe(
    fleet: &Fleet,
    (pipeline, stage): (PipelineKey, StageIndex),
    reply: LookUpReply,
) -> Outcome {
    let row = &fleet.view.pipelines[pipeline];
    let cost = reply.answer.as_ref().map(|a| a.cost);
    let output = reply.answer.and_then(|a| String::from_utf8(a.payload).ok());
    Outcome {
        pipeline: row.name.to_string(),
        stage: row.stages[usize::from(stage.0)].name.to_string(),
        state: reply.state,
        output: output.and_then(|text| RawValue::from_string(text).ok()),
        cost,
    }
}
