//! Builds calls for pieces of stages and decodes their answers.

use super::names;
use crate::core::pieces::{CallEnd, CallItem, PieceError, PieceOutcome, Source};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

#[derive(Serialize)]
struct Items<'a> {
    items: Vec<Item<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Item<'a> {
    id: &'a str,
    stage: u32,
    piece: u32,
    left_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    inputs: Option<&'a [Arc<str>]>,
}

#[derive(Deserialize)]
struct Answer {
    items: Vec<AnswerItem>,
}

#[derive(Deserialize)]
struct AnswerItem {
    /// The name of the result.
    handle: Option<Arc<str>>,
    reason: Option<Reason>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Reason {
    Late,
    Gone,
    Room,
    #[serde(other)]
    Error,
}

#[derive(Serialize)]
struct Handles<'a> {
    handles: &'a [Arc<str>],
}

/// Why a call cannot be built.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The body cannot be serialized.
    #[error("the body cannot be serialized")]
    Body(#[from] serde_json::Error),
    /// A value is not valid in an HTTP request.
    #[error("the request cannot be built")]
    Request(#[from] hyper::http::Error),
}

/// Builds a call that computes pieces.
///
/// # Errors
/// Returns [`CallError`] if the body cannot be serialized or a value is not valid in a request.
pub fn run(
    server: &str,
    addr: SocketAddr,
    items: &[CallItem],
) -> Result<Request<Full<Bytes>>, CallError> {
    let body = serde_json::to_vec(&Items { items: items.iter().map(item).collect() })?;
    let mut request = post("/stage-run", addr, body)?;
    let expected = HeaderValue::from_str(server).map_err(hyper::http::Error::from)?;
    request.headers_mut().insert(names::EXPECTED_SERVER, expected);
    Ok(request)
}

/// Builds a call that frees results.
///
/// # Errors
/// Returns [`CallError`] if the body cannot be serialized or a value is not valid in a request.
pub fn free(addr: SocketAddr, results: &[Arc<str>]) -> Result<Request<Full<Bytes>>, CallError> {
    let body = serde_json::to_vec(&Handles { handles: results })?;
    Ok(post("/stage-free", addr, body)?)
}

/// Returns the address of the backend server that holds a result; its name begins with it.
pub fn holder(result: &str) -> Option<SocketAddr> {
    result.split('/').next()?.parse().ok()
}

/// Decodes the answer to a call that computes pieces.
pub fn decode(status: StatusCode, not_run: bool, body: &[u8]) -> CallEnd {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return CallEnd::WrongServer;
    }
    if not_run {
        return CallEnd::Refused;
    }
    if !status.is_success() {
        return CallEnd::Lost;
    }
    match serde_json::from_slice::<Answer>(body) {
        Ok(answer) => CallEnd::Answered(answer.items.into_iter().map(piece).collect()),
        Err(error) => {
            log::debug!(target: "limpetmux", "cannot decode an answer with pieces: {error}");
            CallEnd::Lost
        }
    }
}

fn item(item: &CallItem) -> Item<'_> {
    let (key, inputs) = match &item.source {
        Source::Key(key) => (Some(&**key), None),
        Source::Inputs(inputs) => (None, Some(&**inputs)),
    };
    Item {
        id: &item.request,
        stage: item.stage,
        piece: item.piece,
        left_ms: u64::try_from(item.remaining.as_millis()).unwrap_or(u64::MAX),
        key,
        inputs,
    }
}

fn piece(item: AnswerItem) -> PieceOutcome {
    match (item.handle, item.reason) {
        (Some(result), None) => PieceOutcome::Completed(result),
        (_, Some(Reason::Late)) => PieceOutcome::Failed(PieceError::Late),
        (_, Some(Reason::Gone)) => PieceOutcome::Failed(PieceError::InputMissing),
        (_, Some(Reason::Room)) => PieceOutcome::Failed(PieceError::NoRoom),
        (None, None) | (_, Some(Reason::Error)) => PieceOutcome::Failed(PieceError::ServerFailed),
    }
}

fn post(
    path: &str,
    addr: SocketAddr,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let host = HeaderValue::from_str(&addr.to_string())?;
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, host)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))
}
