//! The stage endpoints of the users' backend server: running pieces and freeing their results.

use super::fault::UsersFault;
use super::reply::{Content, Notices, Reply, further};
use super::server::{ReceivedRequest, ServerState};
use serde_json::{Value, json};
use std::time::Duration;

/// The result of a piece that a backend server computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageResult {
    /// The request that it was computed for.
    pub request: String,
    /// The stage.
    pub stage: u64,
    /// The piece of the stage.
    pub piece: u64,
    /// The results that it was computed from.
    pub inputs: Vec<String>,
}

/// Computes the pieces of a call.
pub(super) fn stage_run(state: &mut ServerState, request: &ReceivedRequest) -> Reply {
    let id = request.header("x-limpetmux-request-id");
    let fault = state.fault;
    if let Some(status) = fault.refusal() {
        return Reply::refusal(status, id, fault);
    }
    let further = match fault {
        // The calls are computed again, so the results of the further answer are other ones.
        UsersFault::Further(answer) => further(answer, id, &results(state, request)),
        _ => Vec::new(),
    };
    Reply { further, ..reply(results(state, request), id, fault) }
}

/// Frees the results that a call names.
pub(super) fn stage_free(state: &mut ServerState, request: &ReceivedRequest) -> Reply {
    let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let freed = call["handles"].as_array().cloned().unwrap_or_default();
    state.freed.extend(freed.iter().filter_map(|h| h.as_str().map(str::to_owned)));
    reply(Vec::new(), request.header("x-limpetmux-request-id"), UsersFault::None)
}

/// Computes the results of a call and returns the body that names them.
fn results(state: &mut ServerState, request: &ReceivedRequest) -> Vec<u8> {
    let call: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let items = call["items"].as_array().cloned().unwrap_or_default();
    let host = request.header("host");
    let results: Vec<Value> = items
        .iter()
        .map(|item| {
            state.result_count += 1;
            let handle = format!("{host}/{}-{}", state.id, state.result_count);
            state.results.insert(handle.clone(), result(item));
            json!({"handle": handle})
        })
        .collect();
    json!({"items": results}).to_string().into_bytes()
}

fn result(item: &Value) -> StageResult {
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    StageResult {
        request: text(&item["id"]),
        stage: item["stage"].as_u64().unwrap_or_default(),
        piece: item["piece"].as_u64().unwrap_or_default(),
        inputs: item["inputs"].as_array().into_iter().flatten().map(text).collect(),
    }
}

/// Returns an answer with 200, which only resets, further answers and bad bytes affect.
fn reply(body: Vec<u8>, id: &str, fault: UsersFault) -> Reply {
    use UsersFault as F;
    let affects = matches!(fault, F::Further(_) | F::ResetRun | F::ResetHead | F::Bytes(_));
    Reply {
        fault: if affects { fault } else { UsersFault::None },
        work: Duration::ZERO,
        content: Content::Whole(body),
        server: String::new(),
        id: id.to_owned(),
        status: 200,
        signed: false,
        unrun: false,
        crashes: false,
        further: Vec::new(),
        notices: Notices::default(),
    }
}
