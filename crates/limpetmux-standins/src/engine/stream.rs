//! Completions, token by token.

use super::{Known, State, answer, text_hash};
use crate::backend::refuse;
use crate::connection::Cutter;
use crate::server::take;
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

const PREFIX_CHARS: usize = 64;
const BURST_TOKENS: usize = 8;
const MAX_KNOWN: usize = 10_000;

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

/// One running completion; dropping it cancels it.
struct Run {
    state: Arc<State>,
    slot: Slot,
    request: String,
    tokens: Vec<String>,
    reason: &'static str,
    next: usize,
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
    let streams = body.stream;
    let run = Run::new(&state, slot, body, tokens, cutter.clone());
    let chunks = unfold(run, |mut run| async move {
        let chunk = run.advance().await?;
        Some((chunk, run))
    });
    if streams {
        let body = Body::from_bytes_stream(chunks);
        return Response::builder().content_type("text/event-stream").body(body);
    }
    whole(chunks.collect().await)
}

/// Joins the chunks of a completion that was not to be streamed.
fn whole(chunks: Vec<Result<String, Error>>) -> Response {
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

impl Run {
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
            while requests.len() >= MAX_KNOWN {
                requests.pop_first();
            }
            let old =
                requests.insert(body.request_id.clone(), Known { prompt, ..Known::default() });
            old.is_some_and(|k| k.imported && k.prompt == prompt)
        };
        let prefill = if hit || imported { state.prefill.div_ceil(4) } else { state.prefill };
        let after = state.break_after.load(Ordering::SeqCst) as usize;
        let break_at = take(&state.breaks).then_some(body.prefix.len() + after);
        let full = tokens.len() == body.max_tokens as usize;
        Self {
            state: Arc::clone(state),
            slot,
            request: body.request_id,
            reason: if full { "length" } else { "stop" },
            next: body.prefix.len(),
            tokens,
            prefill,
            break_at,
            cutter,
            ended: false,
        }
    }

    /// Returns the next chunk, or `None` after the end or a cancel.
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
            if self.next >= self.tokens.len() {
                break;
            }
            self.state.backend.work(1 + std::mem::take(&mut self.prefill)).await;
            chunk += &self.event();
        }
        if self.next >= self.tokens.len() {
            chunk += "data: [DONE]\n\n";
            self.ended = true;
            self.slot.done = true;
        }
        Some(Ok(chunk))
    }

    fn event(&mut self) -> String {
        let text = &self.tokens[self.next];
        self.next += 1;
        self.state.tokens.fetch_add(1, Ordering::SeqCst);
        let reason = (self.next == self.tokens.len()).then_some(self.reason);
        let choice = json!({ "index": 0, "text": text, "finish_reason": reason });
        format!("data: {}\n\n", json!({ "choices": [choice] }))
    }

    fn is_broken(&self) -> bool {
        self.slot.is_broken() || self.break_at.is_some_and(|at| self.next >= at)
    }

    fn is_cancelled(&self) -> bool {
        self.state.requests().get(&self.request).is_some_and(|k| k.cancelled)
    }
}
