//! Records what a running deployment does as facts.
//!
//! Time in the journal is logical: it advances only when the fixture calls [`Recorder::advance`],
//! after it has seen the system reach the expected state. The checks therefore do not depend on
//! the load of the machine, and work that starts after the advance starts too late.

use super::{Fact, Journal, RequestNo};
use futures::StreamExt;
use limpetmux::adapters::backend::{Backend, ChunkStream, Job};
use limpetmux::core::frames::RequestId;
use limpetmux::core::time::Moment;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use uuid::Uuid;

/// First provisional number, for requests whose id no caller has reported yet.
const FIRST_PROVISIONAL: RequestNo = 1 << 32;

/// Describes a backend server.
#[derive(Clone, Debug)]
pub struct BackendInfo {
    /// The host.
    pub host: String,
    /// The availability zone.
    pub zone: String,
    /// Whether its service is idempotent.
    pub idempotent: bool,
}

#[derive(Default)]
struct Inner {
    journal: Journal,
    now: Moment,
    sent_count: RequestNo,
    provisional: BTreeMap<RequestId, RequestNo>,
    numbers: BTreeMap<RequestId, RequestNo>,
    /// How often each node has started.
    start_counts: BTreeMap<String, u32>,
    /// Time at which each cold backend server becomes warm.
    warm_at: BTreeMap<String, Instant>,
}

/// A journal that is shared between tasks.
#[derive(Clone, Default)]
pub struct Recorder {
    inner: Arc<Mutex<Inner>>,
}

impl Inner {
    fn record(&mut self, fact: Fact) {
        self.journal.record(self.now, fact);
    }

    /// Returns the number of a request, a provisional one if no caller has reported its id yet.
    fn number(&mut self, id: RequestId) -> RequestNo {
        if let Some(number) = self.numbers.get(&id) {
            return *number;
        }
        let next = FIRST_PROVISIONAL + self.provisional.len() as RequestNo;
        *self.provisional.entry(id).or_insert(next)
    }
}

impl Recorder {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a fact.
    pub fn record(&self, fact: Fact) {
        self.inner().record(fact);
    }

    /// Advances the journal's time.
    pub fn advance(&self, time: Duration) {
        let mut inner = self.inner();
        inner.now = inner.now + time;
    }

    /// Returns a unique name for a node's next process, which may overlap with the previous one.
    pub fn next_process_name(&self, node: &str) -> String {
        let mut inner = self.inner();
        let count = inner.start_counts.entry(node.to_owned()).or_default();
        *count += 1;
        format!("{node}#{count}")
    }

    /// Records that a caller sends a request, and returns the request's number.
    pub fn record_sent(&self, key: Option<&str>) -> RequestNo {
        let mut inner = self.inner();
        inner.sent_count += 1;
        let request = inner.sent_count;
        inner.record(Fact::Sent { request, key: key.map(str::to_owned) });
        request
    }

    /// Sets the id that the system has assigned to a request.
    pub fn set_request_id(&self, request: RequestNo, id: &str) {
        let Ok(id) = Uuid::parse_str(id).map(RequestId) else { return };
        let mut inner = self.inner();
        let previous = inner.number(id);
        inner.numbers.insert(id, request);
        inner.journal.renumber(previous, request);
    }

    /// Records that a backend server is cold and runs at most `bound` calls until `warm_at`.
    pub fn record_cold(&self, host: &str, bound: usize, warm_at: Instant) {
        let mut inner = self.inner();
        inner.warm_at.insert(host.to_owned(), warm_at);
        inner.record(Fact::Cold { host: host.to_owned(), bound });
    }

    /// Returns the facts recorded so far.
    pub fn journal(&self) -> Journal {
        self.inner().journal.clone()
    }

    /// Wraps a backend server so that its calls are recorded.
    pub fn wrap_backend(&self, backend: Backend, info: BackendInfo) -> Backend {
        let (recorder, run) = (self.clone(), Arc::clone(&backend.run));
        Backend {
            run: Arc::new(move |job| {
                let call = recorder.start(&info, &job);
                let answer = run(job);
                Box::pin(async move {
                    match answer.await {
                        Ok(chunks) => Ok(record_chunks(chunks, call)),
                        Err(e) => {
                            call.end(if e.is_not_run() { End::Declined } else { End::Stopped });
                            Err(e)
                        }
                    }
                })
            }),
            ..backend
        }
    }

    fn start(&self, info: &BackendInfo, job: &Job) -> Call {
        let mut inner = self.inner();
        let host = info.host.clone();
        if inner.warm_at.get(&host).is_some_and(|at| Instant::now() >= *at) {
            inner.warm_at.remove(&host);
            inner.record(Fact::Warm { host: host.clone() });
        }
        let request = inner.number(job.key.request);
        let stage = job.key.stage.0;
        let key = if info.idempotent { None } else { key_of(&job.input) };
        let (zone, idempotent) = (info.zone.clone(), info.idempotent);
        inner.record(Fact::Started { request, stage, host: host.clone(), zone, idempotent, key });
        drop(inner);
        Call { recorder: self.clone(), id: job.key.request, stage, host, ended: false }
    }
}

/// How a call on a backend server ended.
#[derive(Clone, Copy)]
enum End {
    Completed,
    Stopped,
    Declined,
}

/// A call in progress; a call that is dropped before its end is recorded as stopped.
struct Call {
    recorder: Recorder,
    id: RequestId,
    stage: u8,
    host: String,
    ended: bool,
}

impl Call {
    fn end(mut self, end: End) {
        self.record(end);
    }

    fn record(&mut self, end: End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let mut inner = self.recorder.inner();
        let (request, stage, host) = (inner.number(self.id), self.stage, self.host.clone());
        inner.record(match end {
            End::Completed => Fact::Completed { request, stage, host },
            End::Stopped => Fact::Stopped { request, stage, host },
            End::Declined => Fact::Declined { request, stage, host },
        });
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.record(End::Stopped);
    }
}

/// Forwards the chunks of an answer and records its end before the reader receives it.
fn record_chunks(chunks: ChunkStream, call: Call) -> ChunkStream {
    let state = (chunks, Some(call));
    let next = |(mut chunks, mut call): (ChunkStream, Option<Call>)| async move {
        let chunk = chunks.next().await;
        let end = match &chunk {
            Some(Ok(_)) => None,
            Some(Err(_)) => Some(End::Stopped),
            None => Some(End::Completed),
        };
        if let Some(end) = end
            && let Some(call) = call.take()
        {
            call.end(end);
        }
        chunk.map(|chunk| (chunk, (chunks, call)))
    };
    futures::stream::unfold(state, next).boxed()
}

/// Returns the key by which a plain service distinguishes calls.
fn key_of(input: &[u8]) -> Option<String> {
    let input: Value = serde_json::from_slice(input).ok()?;
    let key = input.get("key").or_else(|| input.pointer("/input/key"))?;
    key.as_str().map(str::to_owned)
}
