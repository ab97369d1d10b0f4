//! A caller whose requests and answers are recorded.

use super::{Fact, Recorder, RequestNo};
use crate::http::{Caller, split_events};
use crate::load::expected_summary;
use futures::future::join_all;
use limpetmux::core::refusal::{Execution, RefusalCode};
use limpetmux::util::hash::hash_bytes;
use serde_json::{Value, json};
use std::time::Duration;
use uuid::Uuid;

/// The workspace of the requests.
const WORKSPACE: &str = "exchange";
/// The pipeline whose stages are all idempotent.
const SUMMARY: &str = "call-summary";
/// The pipeline whose only stage may run at most once.
const PORT: &str = "port";
/// Deadline of a request, long enough for a slow machine.
const DEADLINE_MS: u64 = 60_000;
/// Delay before a refused request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of retries of a refused request.
const MAX_RETRIES: u32 = 200;

/// A caller of one entry that records its requests and their outcomes.
#[derive(Clone)]
pub struct RecordedCaller {
    caller: Caller,
    recorder: Recorder,
}

/// The outcome of a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The request.
    pub request: RequestNo,
    /// The texts of the `data` events of a streamed answer.
    pub pieces: Vec<String>,
    /// The response body, or the last event of a stream; null if the connection broke.
    pub body: Value,
}

impl Reply {
    /// Returns whether the caller got an answer and not a refusal.
    pub fn is_answer(&self) -> bool {
        self.body["trailer"].is_object()
    }

    /// Returns whether the request was refused as not run, so that the caller may retry.
    pub fn is_not_run(&self) -> bool {
        self.body["execution"] == Execution::NotRun.to_string()
    }

    /// Returns the name of each stage of the answer with its number of attempts.
    pub fn stages(&self) -> Vec<(String, u64)> {
        let stages = self.body["trailer"]["stages"].as_array().cloned().unwrap_or_default();
        let name = |stage: &Value| stage["stage"].as_str().unwrap_or_default().to_owned();
        stages.iter().map(|s| (name(s), s["attempts"].as_u64().unwrap_or_default())).collect()
    }

    /// Returns the host that completed a stage.
    pub fn host(&self, stage: usize) -> String {
        self.body["trailer"]["stages"][stage]["host"].as_str().unwrap_or_default().to_owned()
    }
}

impl RecordedCaller {
    /// Creates a caller of the entry at a base URL.
    pub fn new(base: &str, recorder: &Recorder) -> Self {
        Self { caller: Caller::new(base), recorder: recorder.clone() }
    }

    /// Requests a summary and reads the whole response.
    pub async fn summary(&self, input: &str) -> Reply {
        let request = self.recorder.record_sent(None);
        let body = json!({ "input": input, "deadline_ms": DEADLINE_MS });
        let answer = self.caller.try_post(WORKSPACE, SUMMARY, None, body.to_string()).await;
        let body = answer.map(|a| a.body).unwrap_or_default();
        let text = body["output"].as_str().unwrap_or_default().to_owned();
        self.finish(request, Vec::new(), body, text, expected_summary(&json!(input)))
    }

    /// Requests a summary as a stream and reads it to its end.
    pub async fn stream(&self, input: &str) -> Reply {
        let request = self.recorder.record_sent(None);
        let body = json!({ "input": input, "deadline_ms": DEADLINE_MS });
        let events = self.caller.try_stream(WORKSPACE, SUMMARY, &body).await.unwrap_or_default();
        let (pieces, body) = match events.last() {
            Some(last) if last.event == "done" => split_events(&events),
            Some(last) => (Vec::new(), serde_json::from_str(&last.data).unwrap_or_default()),
            None => Default::default(),
        };
        let text = verified_text(&pieces, &body);
        self.finish(request, pieces, body, text, expected_summary(&json!(input)))
    }

    /// Requests a port with an idempotency key and reads the whole response.
    pub async fn port(&self, key: &str) -> Reply {
        let request = self.recorder.record_sent(Some(key));
        let body = json!({ "input": { "key": key }, "deadline_ms": DEADLINE_MS });
        let answer = self.caller.try_post(WORKSPACE, PORT, Some(key), body.to_string()).await;
        let body = answer.map(|a| a.body).unwrap_or_default();
        let text = body["output"]["input"]["key"].as_str().unwrap_or_default().to_owned();
        self.finish(request, Vec::new(), body, text, key.to_owned())
    }

    /// Sends a request, and retries it while it is refused as not run.
    ///
    /// # Panics
    /// Panics if the retries are used up, so that the test ends.
    pub async fn retry_until_run<F>(&self, send: impl Fn(Self) -> F) -> Reply
    where
        F: Future<Output = Reply>,
    {
        let mut reply = send(self.clone()).await;
        for _ in 0..MAX_RETRIES {
            if !reply.is_not_run() {
                return reply;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            reply = send(self.clone()).await;
        }
        panic!("refused {MAX_RETRIES} times, last with {}", reply.body)
    }

    /// Records the outcome of a request.
    fn finish(
        &self,
        request: RequestNo,
        pieces: Vec<String>,
        body: Value,
        text: String,
        expected: String,
    ) -> Reply {
        let reply = Reply { request, pieces, body };
        let id = &reply.body["trailer"]["request"];
        let id = id.as_str().or(reply.body["request"].as_str());
        self.recorder.set_request_id(request, id.unwrap_or_default());
        let execution = reply.body["execution"].as_str().and_then(|e| e.parse::<Execution>().ok());
        // An answer that says so in place of a closed connection interrupts the request as well.
        let is_stopped = reply.body["code"] == <&str>::from(RefusalCode::Stopped);
        self.recorder.record(match execution.filter(|_| !is_stopped) {
            Some(execution) => Fact::Refused { request, execution },
            None if reply.is_answer() => Fact::Answered { request, text, expected },
            None => Fact::Cut { request },
        });
        reply
    }
}

/// Sends a summary, a streamed summary and a port request from each caller concurrently, and
/// returns all outcomes.
pub async fn send_round(callers: &[RecordedCaller], round: &str) -> Vec<Reply> {
    let send = |caller: &RecordedCaller| {
        let (caller, input) = (caller.clone(), format!("summary during {round}"));
        async move {
            let key = Uuid::now_v7().to_string();
            let summary = caller.retry_until_run(|c| {
                let input = input.clone();
                async move { c.summary(&input).await }
            });
            let stream = caller.retry_until_run(|c| {
                let input = input.clone();
                async move { c.stream(&input).await }
            });
            let port = caller.retry_until_run(|c| {
                let key = key.clone();
                async move { c.port(&key).await }
            });
            let (summary, stream, port) = tokio::join!(summary, stream, port);
            [summary, stream, port]
        }
    };
    join_all(callers.iter().map(send)).await.into_iter().flatten().collect()
}

/// Returns the text of a stream, or an empty text if the count or the checksum in the `done` event
/// does not match.
fn verified_text(pieces: &[String], done: &Value) -> String {
    let text = pieces.concat();
    let checksum = format!("{:016x}", hash_bytes(text.as_bytes()));
    let is_complete = done["count"] == json!(pieces.len()) && done["checksum"] == json!(checksum);
    if is_complete { text } else { String::new() }
}
