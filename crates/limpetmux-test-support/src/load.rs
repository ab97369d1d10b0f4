//! Callers that keep asking and check every answer.

use crate::http::{read_events, split_events};
use limpetmux_standins::{PoolKind, engine, pool};
use reqwest::Client;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;

/// The wait before a refused request is sent again.
const RETRY: Duration = Duration::from_millis(20);
/// One in this many requests runs at most once.
const ONCE_EVERY: u64 = 4;
/// The tokens of the `call-summary` pipeline.
const TOKENS: u32 = 32;

/// What the callers have seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Whole answers that are the caller's own.
    pub whole: u64,
    /// Refusals that said "not run"; the caller asked again.
    pub refused: u64,
    /// Everything else: cut, wrong or undetermined.
    pub faults: Vec<String>,
}

/// The end of one request.
enum Ending {
    Whole,
    NotRun,
    Fault(String),
}

/// Callers in progress.
pub struct Load {
    /// The base URLs that a balancer would send to now.
    pub urls: Arc<Mutex<Vec<String>>>,
    tally: Arc<Mutex<Tally>>,
    /// The idempotency keys under which callers have asked so far.
    pub keys: Arc<Mutex<Vec<String>>>,
    stopping: Arc<AtomicBool>,
    callers: JoinSet<()>,
}

#[derive(Clone)]
struct Caller {
    client: Client,
    urls: Arc<Mutex<Vec<String>>>,
    tally: Arc<Mutex<Tally>>,
    asked: Arc<AtomicU64>,
    keys: Arc<Mutex<Vec<String>>>,
    stopping: Arc<AtomicBool>,
    /// The non-idempotent pipeline that every fourth request runs, if any.
    once: Option<&'static str>,
}

impl Load {
    /// Starts callers; each sends its next request when the last one has ended.
    pub fn start(urls: Vec<String>, callers: usize, once: Option<&'static str>) -> Self {
        let caller = Caller {
            client: Client::builder().no_proxy().build().unwrap(),
            urls: Arc::new(Mutex::new(urls)),
            tally: Arc::default(),
            asked: Arc::default(),
            keys: Arc::default(),
            stopping: Arc::default(),
            once,
        };
        let mut set = JoinSet::new();
        for _ in 0..callers {
            set.spawn(caller.clone().run());
        }
        let Caller { urls, tally, keys, stopping, .. } = caller;
        Self { urls, tally, keys, stopping, callers: set }
    }

    /// Returns what has been seen so far.
    pub fn tally(&self) -> Tally {
        self.tally.lock().unwrap().clone()
    }

    /// Waits until `count` further requests have been answered whole.
    pub async fn answered(&self, count: u64) {
        let target = self.tally().whole + count;
        crate::deployment::wait_for(|| self.tally().whole >= target).await;
    }

    /// Lets every caller finish its request and returns what has been seen.
    pub async fn stop(mut self) -> Tally {
        self.stopping.store(true, Ordering::SeqCst);
        while self.callers.join_next().await.is_some() {}
        self.tally()
    }
}

impl Caller {
    async fn run(self) {
        while !self.stopping.load(Ordering::SeqCst) {
            let number = self.asked.fetch_add(1, Ordering::SeqCst);
            let key =
                self.once.filter(|_| number.is_multiple_of(ONCE_EVERY)).map(|_| self.new_key());
            while !self.note(self.ask(number, key.as_deref()).await) {
                tokio::time::sleep(RETRY).await;
            }
        }
    }

    /// Counts the end of a request; returns whether it was the last one.
    fn note(&self, ending: Ending) -> bool {
        let mut tally = self.tally.lock().unwrap();
        match ending {
            Ending::Whole => tally.whole += 1,
            Ending::Fault(fault) => tally.faults.push(fault),
            Ending::NotRun => {
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

    /// Makes the key of a request that may run at most once; its time is the present.
    fn new_key(&self) -> String {
        let key = uuid::Uuid::now_v7().to_string();
        self.keys.lock().unwrap().push(key.clone());
        key
    }

    async fn ask(&self, number: u64, key: Option<&str>) -> Ending {
        let base = self.url(number);
        match (key, self.once) {
            (Some(key), Some(pipeline)) => self.ask_once(&base, pipeline, key).await,
            _ => self.ask_summary(&base, number, number.is_multiple_of(2)).await,
        }
    }

    async fn ask_summary(&self, base: &str, number: u64, stream: bool) -> Ending {
        let input = json!(format!("summary {number}"));
        let body = json!({ "input": input, "stream": stream, "deadline_ms": 30_000 });
        let text = match self.send(base, "call-summary", None, &body).await {
            Ok(text) => text,
            Err(ending) => return ending,
        };
        let output = if stream { streamed(&text) } else { whole(&text) };
        judge(output, json!(expected(&input)), &text)
    }

    async fn ask_once(&self, base: &str, pipeline: &str, key: &str) -> Ending {
        let body = json!({ "input": { "key": key }, "deadline_ms": 30_000 });
        match self.send(base, pipeline, Some(key), &body).await {
            Ok(text) => {
                let output = whole(&text).map(|o| o["input"]["key"].clone());
                judge(output, json!(key), &text)
            }
            Err(ending) => ending,
        }
    }

    async fn send(
        &self,
        base: &str,
        pipeline: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<String, Ending> {
        let url = format!("{base}/v1/workspaces/exchange/pipelines/{pipeline}/runs");
        let mut request = self.client.post(url).body(body.to_string());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let answer = request.send().await.map_err(|e| {
            if e.is_connect() { Ending::NotRun } else { Ending::Fault(format!("cut: {e:?}")) }
        })?;
        let status = answer.status();
        let text = answer.text().await.map_err(|e| Ending::Fault(format!("cut: {e:?}")))?;
        if status.is_success() {
            return Ok(text);
        }
        let problem: Value = serde_json::from_str(&text).unwrap_or_default();
        if problem["execution"] == "not_run" {
            return Err(Ending::NotRun);
        }
        Err(Ending::Fault(format!("{pipeline} {status}: {text}")))
    }
}

/// Returns what the stand-ins answer to an input of the `call-summary` pipeline.
pub fn expected(input: &Value) -> String {
    let kinds = [PoolKind::Encode, PoolKind::Retrieve, PoolKind::Rerank];
    let reranked = kinds.iter().fold(input.clone(), |input, kind| pool::output(*kind, &input));
    engine::answer(&reranked.to_string(), TOKENS).concat()
}

fn judge(output: Option<Value>, expected: Value, text: &str) -> Ending {
    match output {
        Some(output) if output == expected => Ending::Whole,
        // A stream ends with its problem, whose status came too late for the head.
        None if text.contains("\"not_run\"") => Ending::NotRun,
        other => Ending::Fault(format!("expected {expected}, got {other:?} in {text}")),
    }
}

fn whole(text: &str) -> Option<Value> {
    let body: Value = serde_json::from_str(text).ok()?;
    Some(body["output"].clone())
}

fn streamed(text: &str) -> Option<Value> {
    let events = read_events(text.as_bytes());
    if events.last()?.event != "done" {
        return None;
    }
    let (pieces, done) = split_events(&events);
    (done["count"].as_u64() == Some(pieces.len() as u64)).then(|| json!(pieces.concat()))
}
