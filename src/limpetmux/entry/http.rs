//! The HTTP interface for callers.

use super::outcome::find_outcome;
use super::pipeline::{self, Answer, is_late};
use super::problem::Problem;
use super::receive::TimedAcceptor;
use super::request::RequestParts;
use super::{Entry, Fleet, InFlight, PipelineRequest, RequestError, Trailer, stream};
use crate::core::frames::RequestId;
use crate::core::memory::SMALL_BYTES;
use crate::core::read_limits::Exceeded;
use crate::core::refusal::{Refusal, RefusalCode};
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::memory::Use;
use crate::util::metrics::Metric;
use crate::util::read_stop;
use bytes::{Bytes, BytesMut};
use poem::http::{StatusCode, header};
use poem::listener::TcpAcceptor;
use poem::middleware::AddDataEndpoint;
use poem::web::{Data, Path};
use poem::{Body, EndpointExt, Request, Response, Route, Server, get, handler, post};
use serde::Serialize;
use serde_json::value::RawValue;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpListener;

/// The header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The maximum size of a request's headers.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The maximum number of bytes read and discarded of a body after its request was answered.
const MAX_DISCARD_BYTES: u64 = 16 * 1024 * 1024;
/// The maximum time spent on reading and discarding such a body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);
/// The bytes of a body that are read at a time.
const PART_BYTES: usize = 8 * 1024;
/// The maximum time in which a caller sends the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// The `Retry-After` time when the entry has too many requests in progress.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The `Retry-After` time when the entry is not ready.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

const RUNS_PATH: &str = "/v1/workspaces/:workspace/pipelines/:pipeline/runs";
const OUTCOMES_PATH: &str = "/v1/workspaces/:workspace/pipelines/:pipeline/outcomes/:key";
const HEALTH_PATH: &str = "/healthz";
const READY_PATH: &str = "/readyz";
const OPENAPI_PATH: &str = "/openapi.json";

/// The methods and paths that an entry serves.
pub const ROUTES: [(&str, &str); 5] = [
    ("post", RUNS_PATH),
    ("get", OUTCOMES_PATH),
    ("get", HEALTH_PATH),
    ("get", READY_PATH),
    ("get", OPENAPI_PATH),
];

/// The OpenAPI description, as served.
pub const OPENAPI: &str = include_str!("../../../docs/openapi.json");

pub(super) fn routes(entry: Arc<Entry>) -> AddDataEndpoint<Route, Arc<Entry>> {
    Route::new()
        .at(RUNS_PATH, post(run))
        .at(OUTCOMES_PATH, get(outcome))
        .at(HEALTH_PATH, get(health))
        .at(READY_PATH, get(ready))
        .at(OPENAPI_PATH, get(openapi))
        .data(entry)
}

#[handler]
fn openapi() -> Response {
    Response::builder().content_type("application/json").body(OPENAPI)
}

pub(super) async fn serve(
    entry: Arc<Entry>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
    grace: Duration,
) -> std::io::Result<()> {
    let acceptor = TcpAcceptor::from_tokio(listener)?;
    let acceptor = TimedAcceptor::new(acceptor, Arc::clone(&entry));
    Server::new_with_acceptor(acceptor)
        .idle_timeout(IDLE_TIMEOUT)
        .http2_max_header_list_size(MAX_HEADER_BYTES as u32)
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
    let code = entry.refusal_code().unwrap_or(RefusalCode::Draining);
    let refusal = Refusal::not_run(code).retry_in(NOT_READY_RETRY_AFTER);
    Problem::of_refusal(refusal, None).into_response()
}

#[handler]
async fn run(
    Path((workspace, pipeline)): Path<(String, String)>,
    Data(entry): Data<&Arc<Entry>>,
    request: &Request,
    body: Body,
) -> Response {
    let inflight = InFlight::begin(entry);
    if let Some(code) = entry.refusal_code() {
        discard(body.into_async_read());
        let refusal = Refusal::not_run(code).retry_in(NOT_READY_RETRY_AFTER);
        return refuse(entry, refusal, None);
    }
    if entry.inflight() > entry.limits.max_inflight {
        discard(body.into_async_read());
        let refusal = Refusal::not_run(RefusalCode::Overloaded).retry_in(OVERLOADED_RETRY_AFTER);
        return refuse(entry, refusal, None);
    }
    let fleet = entry.fleet.load();
    let key = request.headers().get(KEY_HEADER).map(|v| v.as_bytes());
    let request = match read_body(entry, request, body).await {
        Ok(body) => {
            let parts =
                RequestParts { workspace: &workspace, pipeline: &pipeline, key, body: &body };
            PipelineRequest::parse(parts, &entry.limits, &fleet)
        }
        Err(error) => Err(error),
    };
    match request {
        Ok(request) if request.stream => stream::respond(inflight, fleet, request),
        Ok(request) => respond_whole(entry, &fleet, &request).await,
        Err(RequestError::Memory(full)) => {
            entry.memory.record_refusal(Use::Body, full, "unread");
            refuse_full(entry)
        }
        Err(RequestError::UploadEnded) => refuse_full(entry),
        Err(error) => reject(entry, &error),
    }
}

/// Refuses a request whose body there was no memory for.
fn refuse_full(entry: &Entry) -> Response {
    let refusal = Refusal::not_run(RefusalCode::Overloaded).retry_in(OVERLOADED_RETRY_AFTER);
    refuse(entry, refusal, None)
}

fn reject(entry: &Entry, error: &RequestError) -> Response {
    entry.counters.rejected.fetch_add(1, Ordering::Relaxed);
    entry.metrics.count(Metric::RequestsRejected, 1, &[]);
    if let Some(exceeded) = error.exceeded() {
        record_stop(entry, exceeded, "request");
    }
    if entry.log_throttle.permits(clock::now()) {
        event!(EventCode::RequestRejected, error = error);
    }
    Problem::of_request_error(error).into_response()
}

/// Counts a stopped read of a caller and logs it, unless callers cause too many log lines.
pub(super) fn record_stop(entry: &Entry, exceeded: Exceeded, subject: impl Display) {
    read_stop::count(&entry.metrics, exceeded);
    if entry.log_throttle.permits(clock::now()) {
        read_stop::log(exceeded, subject);
    }
}

fn refuse(entry: &Entry, refusal: Refusal, request: Option<RequestId>) -> Response {
    record_refusal(entry, refusal, request);
    Problem::of_refusal(refusal, request).into_response()
}

/// Counts and logs a refusal.
pub(super) fn record_refusal(entry: &Entry, refusal: Refusal, request: Option<RequestId>) {
    let counters = &entry.counters;
    let counter = if is_late(&refusal) { &counters.late } else { &counters.refused };
    counter.fetch_add(1, Ordering::Relaxed);
    let (code, execution) = (refusal.code, refusal.execution);
    let tags = [("code", code.into()), ("execution", execution.into())];
    entry.metrics.count(Metric::RequestsRefused, 1, &tags);
    if entry.log_throttle.permits(clock::now()) {
        let request = request.map(|r| r.to_string()).unwrap_or_default();
        event!(EventCode::RequestRefused, request = request, code = code, execution = execution);
    }
}

/// Counts a complete answer and records its times and costs.
pub(super) fn record_answer(
    entry: &Entry,
    fleet: &Fleet,
    request: &PipelineRequest,
    trailer: &Trailer,
) {
    let (counters, in_time) = (&entry.counters, trailer.elapsed <= request.deadline);
    let counter = if in_time { &counters.answered } else { &counters.late };
    counter.fetch_add(1, Ordering::Relaxed);
    let workspace = fleet.view.workspaces[request.workspace].name.as_str();
    let pipeline = fleet.view.pipelines[request.pipeline].name.as_str();
    let tags = [("workspace", workspace), ("pipeline", pipeline)];
    entry.metrics.count(Metric::RequestsAnswered, 1, &tags);
    entry.metrics.time(Metric::RequestTime, trailer.elapsed, &tags);
    for stage in &trailer.stages {
        let tags = [("workspace", workspace), ("pipeline", pipeline), ("stage", &*stage.stage)];
        entry.metrics.count(Metric::StageCost, stage.cost, &tags);
        entry.metrics.count(Metric::StageAttempts, u64::from(stage.attempts), &tags[1..]);
        entry.metrics.time(Metric::StageTime, stage.elapsed, &tags[1..]);
    }
}

#[handler]
async fn outcome(
    Path((workspace, pipeline, key)): Path<(String, String, String)>,
    Data(entry): Data<&Arc<Entry>>,
) -> Response {
    let fleet = entry.fleet.load();
    match find_outcome(&fleet, &workspace, &pipeline, &key).await {
        Ok(body) => {
            let body = serde_json::to_vec(&body).unwrap_or_default();
            Response::builder().content_type("application/json").body(body)
        }
        Err(error) => reject(entry, &error),
    }
}

async fn read_body(entry: &Entry, request: &Request, body: Body) -> Result<Bytes, RequestError> {
    let headers = request.headers().iter();
    if headers.map(|(n, v)| n.as_str().len() + v.len()).sum::<usize>() > MAX_HEADER_BYTES {
        discard(body.into_async_read());
        return Err(RequestError::HeadersTooLarge { limit: MAX_HEADER_BYTES });
    }
    let limit = entry.limits.max_body;
    let content_length = request.headers().get(header::CONTENT_LENGTH);
    let content_length =
        content_length.and_then(|v| v.to_str().ok()).and_then(|v| v.parse::<usize>().ok());
    let mut reader = body.into_async_read();
    if content_length.is_some_and(|length| length > limit) {
        discard(reader);
        return Err(RequestError::BodyTooLarge { limit });
    }
    let collected = collect(entry, &mut reader, content_length);
    let Ok(collected) = tokio::time::timeout(BODY_TIMEOUT, collected).await else {
        return Err(RequestError::BodyTimeout { limit_ms: BODY_TIMEOUT.as_millis() });
    };
    if !matches!(collected, Ok(_) | Err(RequestError::BodyUnreadable)) {
        discard(reader);
    }
    collected
}

/// Reads a body into memory that is claimed for it.
async fn collect(
    entry: &Entry,
    reader: &mut (impl AsyncRead + Unpin),
    stated: Option<usize>,
) -> Result<Bytes, RequestError> {
    let limit = entry.limits.max_body;
    let mut upload = entry.memory.begin_upload(stated.unwrap_or(SMALL_BYTES.min(limit)))?;
    // The read that finds the end needs room for a byte.
    let mut bytes = BytesMut::with_capacity(stated.map_or(0, |length| length + 1));
    let mut limited = reader.take(limit as u64 + 1);
    loop {
        let needed = (bytes.len() + PART_BYTES).min(stated.unwrap_or(limit + 1));
        upload.cover(needed, limit + 1)?;
        let read = tokio::select! {
            biased;
            () = upload.ended() => return Err(RequestError::UploadEnded),
            read = limited.read_buf(&mut bytes) => read,
        };
        match read.map_err(|_| RequestError::BodyUnreadable)? {
            0 => return Ok(upload.finish(bytes)),
            count => upload.progress(count),
        }
        if bytes.len() > limit {
            return Err(RequestError::BodyTooLarge { limit });
        }
    }
}

/// Reads and discards the rest of a body whose request has already been answered.
///
/// Closing the connection while the caller is still sending would reset it, and the caller would
/// lose the error answer.
fn discard(reader: impl AsyncRead + Send + Unpin + 'static) {
    tokio::spawn(async move {
        let mut rest = reader.take(MAX_DISCARD_BYTES);
        let mut sink = tokio::io::sink();
        // An error means that the caller disconnected.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, tokio::io::copy(&mut rest, &mut sink)).await;
    });
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    output: &'a RawValue,
    trailer: Trailer,
}

async fn respond_whole(entry: &Arc<Entry>, fleet: &Fleet, request: &PipelineRequest) -> Response {
    let answer = match pipeline::run(entry, fleet, request, None).await {
        Ok(answer) => answer,
        Err(refusal) => return refuse(entry, refusal, Some(request.id)),
    };
    record_answer(entry, fleet, request, &answer.trailer);
    match encode_answer(answer) {
        Some(body) => Response::builder().content_type("application/json").body(body),
        None => refuse(entry, Refusal::unknown(RefusalCode::Failed), Some(request.id)),
    }
}

/// Encodes the answer as JSON; returns `None` if the output is not valid UTF-8 or JSON.
fn encode_answer(answer: Answer) -> Option<Vec<u8>> {
    let text = String::from_utf8(answer.output.into()).ok()?;
    let output = if answer.is_text {
        serde_json::value::to_raw_value(&text).ok()?
    } else {
        RawValue::from_string(text).ok()?
    };
    serde_json::to_vec(&AnswerBody { output: &output, trailer: answer.trailer }).ok()
}
