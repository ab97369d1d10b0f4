//! The stage endpoints of the users' backend server: running pieces and freeing their results.

use super::server::ServerState;
use poem::http::StatusCode;
use poem::web::Data;
use poem::{IntoResponse, Response, handler};
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, PoisonError};

#[handler]
pub(super) fn stage_run(
    request: &poem::Request,
    body: Vec<u8>,
    state: Data<&Arc<Mutex<ServerState>>>,
) -> Response {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let call: Value = serde_json::from_slice(&body).unwrap_or_default();
    let items = call["items"].as_array().cloned().unwrap_or_default();
    let host = request.header("host").unwrap_or_default().to_owned();
    let results: Vec<Value> = items
        .iter()
        .map(|_| {
            state.result_count += 1;
            json!({"handle": format!("{host}/{}-{}", state.id, state.result_count)})
        })
        .collect();
    json!({"items": results}).to_string().into_response()
}

#[handler]
pub(super) fn stage_free(body: Vec<u8>, state: Data<&Arc<Mutex<ServerState>>>) -> Response {
    let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
    let call: Value = serde_json::from_slice(&body).unwrap_or_default();
    let freed = call["handles"].as_array().cloned().unwrap_or_default();
    state.freed.extend(freed.iter().filter_map(|h| h.as_str().map(str::to_owned)));
    StatusCode::OK.into_response()
}
