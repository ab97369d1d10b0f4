//! Callers that send requests in a loop and check every answer.

use crate::http::{read_events, split_events};
use limpetmux_standins::{PoolKind, engine, pool};
use reqwest::Client;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;

/// Delay before a refused request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// One in this many requests has an idempotency key and may run at most once.
const ONCE_EVERY: u64 = 4;
/// Output tokens of the `call-summary` pipeline.
const OUTPUT_TOKENS: u32 = 32;

/// Counts of the outcomes of all callers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Complete answers that match the caller's request.
    pub complete: u64,
    /// Refusals with execution `not_run`, after which the caller retried.
    pub refused: u64,
    /// All other outcomes: broken connections, wrong answers and refusals of requests that ran at
    /// least partly or may have run.
    pub faults: Vec<String>,
}

/// The outcome of one attempt.
enum Outcome {
    Complete,
    NotRun,
    Fault(String),
}

/// A group of running callers.
pub struct Load {
    /// Base URLs that a load balancer would currently send to.
    pub urls: Arc<Mutex<Vec<String>>>,
    tally: Arc<Mutex<Tally>>,
    /// Idempotency keys that callers have used so far.
    pub keys: Arc<Mutex<Vec<String>>>,
    stopping: Arc<AtomicBool>,
    callers: JoinSet<()>,
}

#[derive(Clone)]
struct Caller {
    client: Client,
    urls: Arc<Mutex<Vec<String>>>,
    tally: Arc<Mutex<Tally>>,
    next_number: Arc<AtomicU64>,
    keys: Arc<Mutex<Vec<String>>>,
    stopping: Arc<AtomicBool>,
    /// The non-idempotent pipeline that one in `ONCE_EVERY` requests runs, if any.
    once_pipeline: Option<&'static str>,
}

impl Load {
    /// Starts callers; each sends its next request when its previous one has ended.
    pub fn start(urls: Vec<String>, callers: usize, once_pipeline: Option<&'static str>) -> Self {
        let caller = Caller {
            client: Client::builder().no_proxy().build().unwrap(),
            urls: Arc::new(Mutex::new(urls)),
            tally: Arc::default(),
            next_number: Arc::default(),
            keys: Arc::default(),
            stopping: Arc::default(),
            once_pipeline,
        };
        let mut set = JoinSet::new();
        for _ in 0..callers {
            set.spawn(caller.clone().run());
        }
        let Caller { urls, tally, keys, stopping, .. } = caller;
        Self { urls, tally, keys, stopping, callers: set }
    }

    /// Returns the outcomes so far.
    pub fn tally(&self) -> Tally {
        self.tally.lock().unwrap().clone()
    }

    /// Waits until `count` further requests have got complete answers.
    pub async fn wait_for_answers(&self, count: u64) {
        let target = self.tally().complete + count;
        crate::deployment::wait_for(|| self.tally().complete >= target).await;
    }

    /// Lets every caller finish its current request and returns the outcomes.
    pub async fn stop(mut self) -> Tally {
        self.stopping.store(true, Ordering::SeqCst);
        while self.callers.join_next().await.is_some() {}
        self.tally()
    }
}

impl Caller {
    async fn run(self) {
        while !self.stopping.load(Ordering::SeqCst) {
            let number = self.next_number.fetch_add(1, Ordering::SeqCst);
            let key = self
                .once_pipeline
                .filter(|_| number.is_multiple_of(ONCE_EVERY))
                .map(|_| self.new_key());
            while !self.record(self.send_request(number, key.as_deref()).await) {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Counts the outcome of an attempt; returns whether the request needs no retry.
    fn record(&self, outcome: Outcome) -> bool {
        let mut tally = self.tally.lock().unwrap();
        match outcome {
            Outcome::Complete => tally.complete += 1,
            Outcome::Fault(fault) => tally.faults.push(fault),
            Outcome::NotRun => {
                tally.refused += 1;
                return false;
            }
        }
        true
    }

    fn url(&self, number: u64) -> String {
        let urls = self.urls.lock().unwrap();
        urls[usize::try_from(number).unwrap() % urls.len()].clone()
    }

    /// Creates the key of a request that may run at most once; it carries the current time.
    fn new_key(&self) -> String {
        let key = uuid::Uuid::now_v7().to_string();
        self.keys.lock().unwrap().push(key.clone());
        key
    }

    async fn send_request(&self, number: u64, key: Option<&str>) -> Outcome {
        let base = self.url(number);
        match (key, self.once_pipeline) {
            (Some(key), Some(pipeline)) => self.run_once(&base, pipeline, key).await,
            _ => self.run_summary(&base, number, number.is_multiple_of(2)).await,
        }
    }

    async fn run_summary(&self, base: &str, number: u64, stream: bool) -> Outcome {
        let input = json!(format!("summary {number}"));
        let body = json!({ "input": input, "stream": stream, "deadline_ms": 30_000 });
        let text = match self.send(base, "call-summary", None, &body).await {
            Ok(text) => text,
            Err(outcome) => return outcome,
        };
        let output = if stream { parse_stream(&text) } else { parse_output(&text) };
        check_output(output, json!(expected_summary(&input)), &text)
    }

    async fn run_once(&self, base: &str, pipeline: &str, key: &str) -> Outcome {
        let body = json!({ "input": { "key": key }, "deadline_ms": 30_000 });
        match self.send(base, pipeline, Some(key), &body).await {
            Ok(text) => {
                let output = parse_output(&text).map(|o| o["input"]["key"].clone());
                check_output(output, json!(key), &text)
            }
            Err(outcome) => outcome,
        }
    }

    async fn send(
        &self,
        base: &str,
        pipeline: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<String, Outcome> {
        let url = format!("{base}/v1/workspaces/exchange/pipelines/{pipeline}/runs");
        let mut request = self.client.post(url).body(body.to_string());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.map_err(|e| {
            if e.is_connect() {
                Outcome::NotRun
            } else {
                Outcome::Fault(format!("connection broke: {e:?}"))
            }
        })?;
        let status = response.status();
        let text = response
            .text()
            .await
            .map_err(|e| Outcome::Fault(format!("connection broke: {e:?}")))?;
        if status.is_success() {
            return Ok(text);
        }
        let problem: Value = serde_json::from_str(&text).unwrap_or_default();
        if problem["execution"] == "not_run" {
            return Err(Outcome::NotRun);
        }
        Err(Outcome::Fault(format!("{pipeline} {status}: {text}")))
    }
}

/// Returns the answer of the stand-ins to an input of the `call-summary` pipeline.
pub fn expected_summary(input: &Value) -> String {
    let kinds = [PoolKind::Encode, PoolKind::Retrieve, PoolKind::Rerank];
    let reranked = kinds.iter().fold(input.clone(), |input, kind| pool::output(*kind, &input));
    engine::answer(&reranked.to_string(), OUTPUT_TOKENS).concat()
}

fn check_output(output: Option<Value>, expected: Value, text: &str) -> Outcome {
    match output {
        Some(output) if output == expected => Outcome::Complete,
        // A stream reports its problem in the last event, after the response head has been sent.
        None if text.contains("\"not_run\"") => Outcome::NotRun,
        other => Outcome::Fault(format!("expected {expected}, got {other:?} in {text}")),
    }
}

fn parse_output(text: &str) -> Option<Value> {
    let body: Value = serde_json::from_str(text).ok()?;
    Some(body["output"].clone())
}

fn parse_stream(text: &str) -> Option<Value> {
    let events = read_events(text.as_bytes());
    if events.last()?.event != "done" {
        return None;
    }
    let (pieces, done) = split_events(&events);
    (done["count"].as_u64() == Some(pieces.len() as u64)).then(|| json!(pieces.concat()))
}
