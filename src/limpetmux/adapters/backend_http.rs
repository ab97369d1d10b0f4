//! HTTP client for model engines, pools and plain services.

use super::answer;
use super::backend::{Backend, BackendError, Chunk, ChunkStream, Job, LoadReport};
use super::completion_lines::lines;
use super::one_call::OneCallClient;
use crate::core::answer_limits::AnswerLimits;
use crate::core::config::{Fencing, StageKind};
use crate::core::frames::AttemptKey;
use crate::core::read_limits::{Bound, Exceeded, MAX_NOTE_BYTES, MAX_PIECES, Peer};
use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures::{FutureExt, Stream, StreamExt, TryStreamExt, future::BoxFuture, stream};
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// The timeout of a load report and of a cancellation, including the body of its answer.
const NOTE_TIMEOUT: Duration = Duration::from_secs(1);

impl Backend {
    /// Creates a client of the protocols in `docs/PROTOCOLS.md`; `base` is the server's URL.
    pub fn http(client: OneCallClient, base: &str) -> Self {
        Self::http_within(AnswerLimits::SIDECAR, client, base)
    }

    /// Creates a client with other limits on answers.
    pub fn http_within(limits: AnswerLimits, client: OneCallClient, base: &str) -> Self {
        let base: Arc<str> = base.trim_end_matches('/').into();
        let (run_client, run_base) = (client.clone(), Arc::clone(&base));
        let (cancel_client, cancel_base) = (client.clone(), Arc::clone(&base));
        Self {
            run: Arc::new(move |job| run(limits, run_client.clone(), Arc::clone(&run_base), job)),
            cancel: Arc::new(move |key| {
                cancel(cancel_client.clone(), Arc::clone(&cancel_base), key).boxed()
            }),
            load: Arc::new(move || load(client.clone(), Arc::clone(&base)).boxed()),
        }
    }
}

#[derive(Serialize)]
struct InputBody<'a> {
    input: &'a RawValue,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    priority: u32,
    request_id: String,
    prefix: &'a [String],
}

#[derive(Deserialize)]
struct CompletionEvent {
    choices: Vec<Choice>,
    /// Present if the model engine has failed.
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<FinishReason>,
}

/// Why a completion has ended.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum FinishReason {
    Stop,
    Length,
    #[serde(other)]
    Failure,
}

#[derive(Serialize)]
struct CancelBody {
    request_id: String,
}

#[derive(Deserialize)]
struct CancelResponse {
    cancelled: bool,
}

fn run(
    limits: AnswerLimits,
    client: OneCallClient,
    base: Arc<str>,
    job: Job,
) -> BoxFuture<'static, Result<ChunkStream, BackendError>> {
    async move {
        match job.kind {
            StageKind::Generate => generate(limits, &client, &base, &job).await,
            _ => call(limits, &client, &base, &job).await,
        }
    }
    .boxed()
}

fn path_of(kind: StageKind) -> &'static str {
    match kind {
        StageKind::Encode => "/v1/embeddings",
        StageKind::Retrieve => "/v1/search",
        StageKind::Rerank => "/v1/rerank",
        StageKind::Generate => "/v1/completions",
        StageKind::Plain => "/v1/call",
    }
}

async fn call(
    limits: AnswerLimits,
    client: &OneCallClient,
    base: &str,
    job: &Job,
) -> Result<ChunkStream, BackendError> {
    let input: &RawValue = serde_json::from_slice(&job.input).map_err(BackendError::Malformed)?;
    let mut request = client.post(format!("{base}{}", path_of(job.kind)));
    if job.kind == StageKind::Plain {
        request = request.header("x-attempt-id", job.key.to_string());
        if let Some(fence) = checked_fence(job) {
            request = request.header("x-fence", fence);
        }
    }
    let response = send(request.json(&InputBody { input }), Promises::of(job)).await?;
    let ends_with_connection = response.content_length().is_none()
        && !response.headers().contains_key(reqwest::header::TRANSFER_ENCODING);
    let payload = answer::read_body(response, Peer::BackendServer, limits.plain).await?;
    check_json(&payload, ends_with_connection)?;
    Ok(stream::once(async move { Ok(Chunk { payload: payload.into(), tokens: 0 }) }).boxed())
}

/// Checks that a body is one whole JSON value.
///
/// A body that ends with its connection may be cut anywhere, and a number that is cut is another
/// number.
fn check_json(body: &[u8], ends_with_connection: bool) -> Result<(), BackendError> {
    match serde_json::from_slice::<&RawValue>(body) {
        Ok(value) if ends_with_connection && is_number(value) => Err(BackendError::Truncated),
        Ok(_) => Ok(()),
        Err(error) if error.is_eof() => Err(BackendError::Truncated),
        Err(error) => Err(BackendError::Malformed(error)),
    }
}

fn is_number(value: &RawValue) -> bool {
    value.get().starts_with(|c: char| c == '-' || c.is_ascii_digit())
}

async fn generate(
    limits: AnswerLimits,
    client: &OneCallClient,
    base: &str,
    job: &Job,
) -> Result<ChunkStream, BackendError> {
    let text = std::str::from_utf8(&job.input).unwrap_or_default();
    let prompt: String = serde_json::from_str(text).unwrap_or_else(|_| text.to_owned());
    let body = CompletionBody {
        model: job.model.as_ref().map_or("", |m| m.as_str()),
        prompt: &prompt,
        max_tokens: job.max_tokens,
        stream: true,
        priority: job.priority,
        request_id: job.key.to_string(),
        prefix: &job.prefix,
    };
    let request = client.post(format!("{base}{}", path_of(job.kind)));
    let response = send(request.json(&body), Promises::of(job)).await?;
    let body = response.bytes_stream().map_err(BackendError::ResponseLost);
    Ok(token_stream(limits, body, !job.prefix.is_empty()))
}

/// The state of reading a streamed completion.
struct CompletionState<S> {
    events: S,
    ready: VecDeque<Chunk>,
    /// The number of chunks so far.
    chunks: u64,
    /// Whether the last choice had a finish reason.
    finished: bool,
    ended: bool,
}

/// Turns the body of a streamed completion into one chunk per token.
///
/// A resumed generation whose prefix was already complete has no more tokens and no finish reason.
///
/// # Errors
/// The stream ends with a [`BackendError`] if the body ends early, is not an event stream or
/// exceeds a bound.
pub fn token_stream(
    limits: AnswerLimits,
    body: impl Stream<Item = Result<Bytes, BackendError>> + Send + 'static,
    is_resumed: bool,
) -> ChunkStream {
    let events = Box::pin(lines(limits, body).eventsource());
    let ready = VecDeque::new();
    let state = CompletionState { events, ready, chunks: 0, finished: is_resumed, ended: false };
    stream::unfold(state, |mut state| async move {
        let item = next_token(&mut state).await?;
        state.ended |= item.is_err();
        Some((item, state))
    })
    .boxed()
}

async fn next_token<S>(state: &mut CompletionState<S>) -> Option<Result<Chunk, BackendError>>
where
    S: Stream<Item = Result<Event, EventStreamError<BackendError>>> + Unpin,
{
    loop {
        if let Some(chunk) = state.ready.pop_front() {
            return Some(Ok(chunk));
        }
        if state.ended {
            return None;
        }
        let event = match state.events.next().await {
            Some(Ok(event)) => event,
            Some(Err(EventStreamError::Transport(error))) => return Some(Err(error)),
            Some(Err(_)) => return Some(Err(BackendError::NotEventStream)),
            None => return Some(Err(BackendError::Truncated)),
        };
        if let Err(error) = read_event(state, &event.data) {
            return Some(Err(error));
        }
    }
}

fn read_event<S>(state: &mut CompletionState<S>, data: &str) -> Result<(), BackendError> {
    if data == "[DONE]" {
        state.ended = true;
        return if state.finished { Ok(()) } else { Err(BackendError::Truncated) };
    }
    let event: CompletionEvent = serde_json::from_str(data).map_err(BackendError::Malformed)?;
    if event.error.is_some() {
        return Err(BackendError::FailedInStream);
    }
    for choice in event.choices {
        if matches!(choice.finish_reason, Some(FinishReason::Failure)) {
            return Err(BackendError::FailedInStream);
        }
        state.finished = choice.finish_reason.is_some();
        if !choice.text.is_empty() {
            state.chunks += 1;
            if state.chunks > MAX_PIECES {
                let (peer, bound) = (Peer::BackendServer, Bound::Count);
                return Err(Exceeded { peer, bound, limit: MAX_PIECES }.into());
            }
            state.ready.push_back(Chunk { payload: choice.text.into(), tokens: 1 });
        }
    }
    Ok(())
}

async fn cancel(
    client: OneCallClient,
    base: Arc<str>,
    key: AttemptKey,
) -> Result<bool, BackendError> {
    let body = CancelBody { request_id: key.to_string() };
    let request = client.post(format!("{base}/v1/cancel")).timeout(NOTE_TIMEOUT).json(&body);
    let response = send(request, Promises::default()).await?;
    let response: CancelResponse =
        answer::read_json(response, Peer::BackendServer, MAX_NOTE_BYTES).await?;
    Ok(response.cancelled)
}

async fn load(client: OneCallClient, base: Arc<str>) -> Result<LoadReport, BackendError> {
    let request = client.get(format!("{base}/v1/load")).timeout(NOTE_TIMEOUT);
    let response = send(request, Promises::default()).await?;
    Ok(answer::read_json(response, Peer::BackendServer, MAX_NOTE_BYTES).await?)
}

/// Returns the fencing number that the backend server checks before it runs a call.
fn checked_fence(job: &Job) -> Option<u64> {
    match job.fence {
        Some((fence, Fencing::Checked)) if job.kind == StageKind::Plain => Some(fence),
        _ => None,
    }
}

/// Which statuses the protocol of a call promises to mean that it did not run.
///
/// Any other call may answer the same status when its run has failed.
#[derive(Clone, Copy, Debug, Default)]
struct Promises {
    /// Whether 503 refuses the call.
    refuses: bool,
    /// Whether 409 refuses the call's fencing number.
    fences: bool,
}

impl Promises {
    fn of(job: &Job) -> Self {
        let refuses = job.kind == StageKind::Generate;
        Self { refuses, fences: checked_fence(job).is_some() }
    }
}

async fn send(request: RequestBuilder, promises: Promises) -> Result<Response, BackendError> {
    let response = answer::send(request, Peer::BackendServer).await?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let retry_after = retry_after(&response);
    let status_code = status.as_u16();
    Err(match status {
        StatusCode::CONFLICT if promises.fences => BackendError::Fenced,
        StatusCode::SERVICE_UNAVAILABLE if promises.refuses => {
            BackendError::Refused { status: status_code, retry_after }
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            BackendError::Overloaded { status: status_code, retry_after }
        }
        _ => BackendError::Failed { status: status_code },
    })
}

/// Reads the `Retry-After` header of a response, in whole seconds.
pub(super) fn retry_after(response: &Response) -> Option<Duration> {
    let value = response.headers().get(reqwest::header::RETRY_AFTER)?;
    value.to_str().ok()?.parse().ok().map(Duration::from_secs)
}
