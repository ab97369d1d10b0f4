//! Streams an answer as server-sent events.
//!
//! Each piece is sent as a `data` event. A complete answer ends with one `done` event that has the
//! count of pieces, a checksum and the trailer; any other outcome ends with one `error` event.

use super::pipeline::{self, Answer};
use super::problem::Problem;
use super::{Fleet, InFlight, PipelineRequest, Trailer, http};
use crate::util::hash::hash_bytes;
use bytes::Bytes;
use futures::StreamExt;
use poem::web::sse::{Event, SSE};
use poem::{IntoResponse, Response};
use serde::Serialize;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;

/// The capacity of the queue of events that the caller has not read yet.
const EVENT_QUEUE: usize = 64;

/// Sends the pieces of a streamed answer to the caller.
#[derive(Clone, Debug)]
pub(super) struct TokenSink(mpsc::Sender<Event>);

#[derive(Serialize)]
struct Piece<'a> {
    text: &'a str,
}

#[derive(Serialize)]
struct Done {
    count: usize,
    checksum: String,
    trailer: Trailer,
}

impl TokenSink {
    /// Sends one piece; returns `false` if the caller disconnected.
    pub(super) async fn send(&self, payload: Bytes) -> bool {
        let text = String::from_utf8_lossy(&payload);
        self.event("data", &Piece { text: &text }).await
    }

    async fn event(&self, kind: &str, body: &impl Serialize) -> bool {
        let body = serde_json::to_string(body).unwrap_or_default();
        self.0.send(Event::message(body).event_type(kind)).await.is_ok()
    }
}

/// Aborts a task when dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts a request and returns its events; the request is cancelled if the caller disconnects.
pub(super) fn respond(inflight: InFlight, fleet: Arc<Fleet>, request: PipelineRequest) -> Response {
    let (sender, receiver) = mpsc::channel(EVENT_QUEUE);
    let sink = TokenSink(sender);
    let task = AbortOnDrop(tokio::spawn(run(inflight, fleet, request, sink)));
    let events = ReceiverStream::new(receiver).map(move |event| {
        let _guard = &task;
        event
    });
    SSE::new(events).into_response()
}

async fn run(inflight: InFlight, fleet: Arc<Fleet>, request: PipelineRequest, sink: TokenSink) {
    let entry = inflight.entry();
    match pipeline::run(entry, &fleet, &request, Some(&sink)).await {
        Ok(answer) => {
            http::record_answer(entry, &fleet, &request, &answer.trailer);
            finish(&sink, answer).await;
        }
        Err(refusal) => {
            http::record_refusal(entry, refusal, Some(request.id));
            sink.event("error", &Problem::of_refusal(refusal, Some(request.id))).await;
        }
    }
}

async fn finish(sink: &TokenSink, answer: Answer) {
    if !answer.is_text {
        sink.send(answer.output.clone()).await;
    }
    let checksum = format!("{:016x}", hash_bytes(&answer.output));
    let done = Done { count: answer.count, checksum, trailer: answer.trailer };
    sink.event("done", &done).await;
}
