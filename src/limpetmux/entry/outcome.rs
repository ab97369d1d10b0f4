//! Answers queries for the outcome of an idempotency key.

use super::once::{look_up, reports_run};
use super::request::find_pipeline;
use super::{Fleet, RequestError};
use crate::core::keys::{PipelineKey, StageIndex, WorkspaceKey};
use crate::core::once::{KeyId, homes};
use crate::wire::once::{LookUpReply, LookUpRequest};
use serde::Serialize;
use serde_json::value::RawValue;

/// The states that hosts report, the one that decides first, and what the caller is told.
///
/// A run that may have taken effect on one host is not denied by the other host, which may lag
/// behind and still hold the state from before the key moved.
const STATES: [(&str, &str); 5] = [
    ("answered", "answered"),
    ("running", "running"),
    (MAY_HAVE_RUN, UNKNOWN),
    ("not_run", "not_run"),
    ("absent", "absent"),
];
const MAY_HAVE_RUN: &str = "may_have_run";
const UNKNOWN: &str = "unknown";

/// The outcomes of the stages that may run at most once.
#[derive(Debug, Serialize)]
pub(super) struct Outcome {
    stages: Vec<StageOutcome>,
}

#[derive(Debug, Serialize)]
struct StageOutcome {
    stage: String,
    /// One of `answered`, `running`, `not_run`, `absent` and `unknown`.
    state: &'static str,
    /// The stored answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    output: Option<Box<RawValue>>,
}

/// Looks up the key of each non-idempotent stage on its home and successor.
///
/// # Errors
/// Returns [`RequestError`] if the workspace or its pipeline does not exist.
pub(super) async fn find_outcome(
    fleet: &Fleet,
    workspace: &str,
    pipeline: &str,
    key: &str,
) -> Result<Outcome, RequestError> {
    let (workspace, pipeline) = find_pipeline(&fleet.view, workspace, pipeline)?;
    let rows = &fleet.view.pipelines[pipeline].stages;
    let mut stages = Vec::new();
    for (position, row) in (0_u8..).zip(rows) {
        if fleet.view.services[row.service].spec.idempotent {
            continue;
        }
        let replies = look_up_stage(fleet, workspace, pipeline, StageIndex(position), key).await;
        stages.push(combine(row.name.to_string(), replies));
    }
    Ok(Outcome { stages })
}

async fn look_up_stage(
    fleet: &Fleet,
    workspace: WorkspaceKey,
    pipeline: PipelineKey,
    stage: StageIndex,
    key: &str,
) -> Vec<Option<LookUpReply>> {
    let view = &fleet.view;
    let service = view.pipelines[pipeline].stages[usize::from(stage.0)].service;
    let names = (&view.workspaces[workspace].name, &view.pipelines[pipeline].name);
    let id = KeyId::new(names.0.as_str(), names.1.as_str(), stage.0, key);
    let Some(homes) = homes(view, workspace, service, id) else { return Vec::new() };
    let mut replies = Vec::new();
    for host in std::iter::once(homes.home).chain(homes.successor) {
        let request = LookUpRequest {
            workspace: names.0.to_string(),
            pipeline: names.1.to_string(),
            stage: u32::from(stage.0),
            key: key.to_owned(),
            wait_us: 0,
        };
        replies.push(look_up(&fleet.connections[host], request).await);
    }
    replies
}

/// Combines the replies about one stage into the state that decides.
///
/// Without a reply of one host, the other one's does not prove that nothing ran.
fn combine(stage: String, replies: Vec<Option<LookUpReply>>) -> StageOutcome {
    let is_silent = replies.iter().any(Option::is_none);
    let replies: Vec<LookUpReply> = replies.into_iter().flatten().collect();
    let reports = |state| {
        let may_have_run = state == MAY_HAVE_RUN;
        let is_reported = |r: &LookUpReply| r.state == state || may_have_run && reports_run(r);
        may_have_run && is_silent || replies.iter().any(is_reported)
    };
    let state = STATES.into_iter().find(|(state, _)| reports(*state));
    let answer = replies.into_iter().find_map(|r| r.answer);
    let text = answer.and_then(|a| String::from_utf8(a.payload).ok());
    let output = text.and_then(|t| RawValue::from_string(t).ok());
    StageOutcome { stage, state: state.map_or(UNKNOWN, |(_, told)| told), output }
}
