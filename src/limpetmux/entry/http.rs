//! The callers' HTTP interface.

use super::order::Parts;
use super::pipeline::{self, Answer};
use super::problem::Problem;
use super::{Entry, InFlight, Order, OrderError, Trailer, stream};
use crate::core::verdict::{Refusal, RefusalCode};
use bytes::Bytes;
use poem::http::{StatusCode, header};
use poem::listener::TcpAcceptor;
use poem::middleware::AddDataEndpoint;
use poem::web::{Data, Path};
use poem::{Body, EndpointExt, Request, Response, Route, Server, get, handler, post};
use serde::Serialize;
use serde_json::value::RawValue;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;

/// The header that carries a caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// When a caller should come back to an entry that is not ready.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

pub(super) fn routes(entry: Arc<Entry>) -> AddDataEndpoint<Route, Arc<Entry>> {
    Route::new()
        .at("/v1/workspaces/:workspace/pipelines/:pipeline/runs", post(run))
        .at("/healthz", get(health))
        .at("/readyz", get(ready))
        .data(entry)
}

pub(super) async fn serve(
    entry: Arc<Entry>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
    grace: Duration,
) -> std::io::Result<()> {
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(routes(entry), stop, Some(grace))
        .await
}

#[handler]
fn health() -> Response {
    StatusCode::OK.into()
}

#[handler]
fn ready(Data(entry): Data<&Arc<Entry>>) -> Response {
    if entry.is_ready() {
        return StatusCode::OK.into();
    }
    not_ready(entry).into_response()
}

fn not_ready(entry: &Entry) -> Problem {
    let view = &entry.fleet.load().view;
    let code = if view.revision == crate::core::revision::Revision::EMPTY {
        RefusalCode::Unconfigured
    } else {
        RefusalCode::Draining
    };
    Problem::of_refusal(Refusal::not_run(code).retry_in(NOT_READY_RETRY), None)
}

#[handler]
async fn run(
    Path((workspace, pipeline)): Path<(String, String)>,
    Data(entry): Data<&Arc<Entry>>,
    request: &Request,
    body: Body,
) -> Response {
    let inflight = InFlight::begin(entry);
    if !entry.accepts() {
        entry.counters.refused.fetch_add(1, Ordering::Relaxed);
        return not_ready(entry).into_response();
    }
    let fleet = entry.fleet.load();
    let key = request.headers().get(KEY_HEADER).map(|v| v.as_bytes());
    let order = match read_body(entry, request, body).await {
        Ok(body) => {
            let parts = Parts { workspace: &workspace, pipeline: &pipeline, key, body: &body };
            Order::read(parts, &entry.limits, &fleet)
        }
        Err(error) => Err(error),
    };
    match order {
        Ok(order) if order.stream => stream::respond(inflight, fleet, order),
        Ok(order) => answer_whole(entry, &fleet, &order).await,
        Err(error) => {
            entry.counters.rejected.fetch_add(1, Ordering::Relaxed);
            Problem::of_order(&error).into_response()
        }
    }
}

async fn read_body(entry: &Entry, request: &Request, body: Body) -> Result<Bytes, OrderError> {
    let limit = entry.limits.body;
    let stated = request.headers().get(header::CONTENT_LENGTH);
    let stated = stated.and_then(|v| v.to_str().ok()).and_then(|v| v.parse::<usize>().ok());
    if stated.is_some_and(|length| length > limit) {
        return Err(OrderError::Oversize { limit });
    }
    match body.into_bytes_limit(limit).await {
        Ok(bytes) => Ok(bytes),
        Err(poem::error::ReadBodyError::PayloadTooLarge) => Err(OrderError::Oversize { limit }),
        Err(_) => Err(OrderError::Unread),
    }
}

#[derive(Serialize)]
struct WholeBody<'a> {
    output: &'a RawValue,
    trailer: Trailer,
}

async fn answer_whole(entry: &Arc<Entry>, fleet: &super::Fleet, order: &Order) -> Response {
    let result = pipeline::run(entry, fleet, order, None).await;
    let refusal = match result.map(render) {
        Ok(Some(body)) => {
            entry.counters.answered.fetch_add(1, Ordering::Relaxed);
            return Response::builder().content_type("application/json").body(body);
        }
        Ok(None) => Refusal::unknown(RefusalCode::Failed),
        Err(refusal) => refusal,
    };
    entry.counters.refused.fetch_add(1, Ordering::Relaxed);
    Problem::of_refusal(refusal, Some(order.id)).into_response()
}

/// Writes the answer's JSON, or nothing if the backend server's output is not JSON.
fn render(answer: Answer) -> Option<Vec<u8>> {
    let text = String::from_utf8(answer.output.into()).ok()?;
    let output = if answer.is_text {
        serde_json::value::to_raw_value(&text).ok()?
    } else {
        RawValue::from_string(text).ok()?
    };
    serde_json::to_vec(&WholeBody { output: &output, trailer: answer.trailer }).ok()
}
