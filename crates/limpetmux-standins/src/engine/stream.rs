//! The completions endpoint, which generates its answer token by token.

use super::{KnownRequest, State, answer, text_hash};
use crate::backend::refuse;
use crate::connection::Cutter;
use crate::server::take_fault;
use crate::slot::Slot;
use futures::stream::{StreamExt, unfold};
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Body, IntoResponse, Response, handler};
use serde::Deserialize;
use serde_json::json;
use std::io::{Error, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The number of characters at the start of a prompt that identify its prefix in the cache.
const PREFIX_CHARS: usize = 64;
/// The tokens in one chunk while the engine sends bursts.
const BURST_TOKENS: usize = 8;
/// The number of requests that are remembered for cancels and cache transfers.
const MAX_REQUESTS: usize = 10_000;

#[derive(Deserialize)]
pub(crate) struct CompletionBody {
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    prefix: Vec<String>,
}

/// A running completion; dropping it cancels it.
struct Completion {
    state: Arc<State>,
    slot: Slot,
    request: String,
    tokens: Vec<String>,
    finish_reason: &'static str,
    next_token: usize,
    prefill: u32,
    break_at: Option<usize>,
    cutter: Cutter,
    ended: bool,
}

#[handler]
pub(crate) async fn complete(
    state: Data<&Arc<State>>,
    cutter: Data<&Cutter>,
    Json(body): Json<CompletionBody>,
) -> Response {
    let tokens = answer(&body.prompt, body.max_tokens);
    if !tokens.starts_with(&body.prefix) {
        return StatusCode::BAD_REQUEST.into();
    }
    let slot = match state.backend.acquire(body.priority).await {
        Ok(slot) => slot,
        Err(full) => return refuse(full),
    };
    let is_streamed = body.stream;
    let completion = Completion::new(&state, slot, body, tokens, cutter.clone());
    let chunks = unfold(completion, |mut completion| async move {
        let chunk = completion.advance().await?;
        Some((chunk, completion))
    });
    if is_streamed {
        let body = Body::from_bytes_stream(chunks);
        return Response::builder().content_type("text/event-stream").body(body);
    }
    buffered_response(chunks.collect().await)
}

/// Builds the response to a completion request that is not streamed.
fn buffered_response(chunks: Vec<Result<String, Error>>) -> Response {
    let Ok(chunks) = chunks.into_iter().collect::<Result<Vec<_>, _>>() else {
        return StatusCode::INTERNAL_SERVER_ERROR.into();
    };
    let events =
        chunks.iter().flat_map(|c| c.split("\n\n")).filter_map(|e| e.strip_prefix("data: "));
    let values = events.filter_map(|e| serde_json::from_str::<serde_json::Value>(e).ok());
    let (mut text, mut reason) = (String::new(), serde_json::Value::Null);
    for value in values {
        text += value["choices"][0]["text"].as_str().unwrap_or_default();
        reason = value["choices"][0]["finish_reason"].clone();
    }
    Json(json!({ "choices": [{ "index": 0, "text": text, "finish_reason": reason }] }))
        .into_response()
}

impl Completion {
    fn new(
        state: &Arc<State>,
        slot: Slot,
        body: CompletionBody,
        tokens: Vec<String>,
        cutter: Cutter,
    ) -> Self {
        let prompt = text_hash(&body.prompt);
        let head: String = body.prompt.chars().take(PREFIX_CHARS).collect();
        let hit = state.cache().touch(text_hash(&head));
        let imported = {
            let mut requests = state.requests();
            while requests.len() >= MAX_REQUESTS {
                requests.pop_first();
            }
            let old = requests.insert(
                body.request_id.clone(),
                KnownRequest { prompt, ..KnownRequest::default() },
            );
            old.is_some_and(|k| k.imported && k.prompt == prompt)
        };
        let prefill = if hit || imported { state.prefill.div_ceil(4) } else { state.prefill };
        let after = state.break_after.load(Ordering::SeqCst) as usize;
        let break_at = match state.breaks(&body.prompt) {
            true => Some(body.prefix.len()),
            false => take_fault(&state.pending_breaks).then_some(body.prefix.len() + after),
        };
        let at_limit = tokens.len() == body.max_tokens as usize;
        Self {
            state: Arc::clone(state),
            slot,
            request: body.request_id,
            finish_reason: if at_limit { "length" } else { "stop" },
            next_token: body.prefix.len(),
            tokens,
            prefill,
            break_at,
            cutter,
            ended: false,
        }
    }

    /// Returns the next chunk, or `None` once the completion has ended or was cancelled.
    async fn advance(&mut self) -> Option<Result<String, Error>> {
        if self.ended {
            return None;
        }
        let burst = if self.state.backend.bursts() { BURST_TOKENS } else { 1 };
        let mut chunk = String::new();
        for _ in 0..burst {
            if self.is_cancelled() {
                self.ended = true;
                return None;
            }
            if self.is_broken() {
                self.ended = true;
                self.cutter.cut();
                return Some(Err(Error::from(ErrorKind::ConnectionReset)));
            }
            if self.next_token >= self.tokens.len() {
                break;
            }
            self.state.backend.work(1 + std::mem::take(&mut self.prefill)).await;
            chunk += &self.event();
        }
        if self.next_token >= self.tokens.len() {
            chunk += "data: [DONE]\n\n";
            self.ended = true;
            self.slot.completed = true;
        }
        Some(Ok(chunk))
    }

    fn event(&mut self) -> String {
        let text = &self.tokens[self.next_token];
        self.next_token += 1;
        self.state.tokens.fetch_add(1, Ordering::SeqCst);
        let reason = (self.next_token == self.tokens.len()).then_some(self.finish_reason);
        let choice = json!({ "index": 0, "text": text, "finish_reason": reason });
        format!("data: {}\n\n", json!({ "choices": [choice] }))
    }

    fn is_broken(&self) -> bool {
        self.slot.is_aborted() || self.break_at.is_some_and(|at| self.next_token >= at)
    }

    fn is_cancelled(&self) -> bool {
        self.state.requests().get(&self.request).is_some_and(|k| k.cancelled)
    }
}
