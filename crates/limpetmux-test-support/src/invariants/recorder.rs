//! Records what a running deployment does as facts.
//!
//! Time in the journal is logical: it stands still until the fixture has seen that the system is
//! where it should be and calls [`Recorder::pass`]. A verdict thus never depends on how busy the
//! machine is, and work that starts after the passed time is work that starts too late.

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

/// The first number of the calls whose request no caller has named yet.
const FIRST_UNNAMED: RequestNo = 1 << 32;

/// Where a backend server stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// The host.
    pub host: String,
    /// The availability zone.
    pub zone: String,
    /// Whether its calls may be repeated.
    pub repeatable: bool,
}

#[derive(Default)]
struct Inner {
    journal: Journal,
    now: Moment,
    sent: RequestNo,
    unnamed: BTreeMap<RequestId, RequestNo>,
    named: BTreeMap<RequestId, RequestNo>,
    /// How often each node has started.
    starts: BTreeMap<String, u32>,
    /// When each cold backend server is warm.
    warm_at: BTreeMap<String, Instant>,
}

/// A journal that many tasks write.
#[derive(Clone, Default)]
pub struct Recorder {
    inner: Arc<Mutex<Inner>>,
}

impl Inner {
    fn note(&mut self, fact: Fact) {
        self.journal.note(self.now, fact);
    }

    /// Returns the number of a request, a provisional one if no caller has named it yet.
    fn number(&mut self, id: RequestId) -> RequestNo {
        if let Some(number) = self.named.get(&id) {
            return *number;
        }
        let next = FIRST_UNNAMED + self.unnamed.len() as RequestNo;
        *self.unnamed.entry(id).or_insert(next)
    }
}

impl Recorder {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a fact.
    pub fn note(&self, fact: Fact) {
        self.inner().note(fact);
    }

    /// Lets time pass.
    pub fn pass(&self, time: Duration) {
        let mut inner = self.inner();
        inner.now = inner.now + time;
    }

    /// Returns a name for the next process of a node, which may overlap with the last one.
    pub fn process(&self, node: &str) -> String {
        let mut inner = self.inner();
        let start = inner.starts.entry(node.to_owned()).or_default();
        *start += 1;
        format!("{node}#{start}")
    }

    /// Records that a caller sends a request and returns its number.
    pub fn sent(&self, key: Option<&str>) -> RequestNo {
        let mut inner = self.inner();
        inner.sent += 1;
        let request = inner.sent;
        inner.note(Fact::Sent { request, key: key.map(str::to_owned) });
        request
    }

    /// Tells which id the system has given to a request.
    pub fn name(&self, request: RequestNo, id: &str) {
        let Ok(id) = Uuid::parse_str(id).map(RequestId) else { return };
        let mut inner = self.inner();
        let provisional = inner.number(id);
        inner.named.insert(id, request);
        inner.journal.renumber(provisional, request);
    }

    /// Records that a backend server is cold until `warm_at` and bears `bound` calls until then.
    pub fn turned_cold(&self, host: &str, bound: usize, warm_at: Instant) {
        let mut inner = self.inner();
        inner.warm_at.insert(host.to_owned(), warm_at);
        inner.note(Fact::Cold { host: host.to_owned(), bound });
    }

    /// Returns what has been recorded.
    pub fn journal(&self) -> Journal {
        self.inner().journal.clone()
    }

    /// Wraps a backend server so that its calls are recorded.
    pub fn watch(&self, backend: Backend, place: Place) -> Backend {
        let (recorder, run) = (self.clone(), Arc::clone(&backend.run));
        Backend {
            run: Arc::new(move |job| {
                let call = recorder.start(&place, &job);
                let answer = run(job);
                Box::pin(async move {
                    match answer.await {
                        Ok(chunks) => Ok(watch_chunks(chunks, call)),
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

    fn start(&self, place: &Place, job: &Job) -> Call {
        let mut inner = self.inner();
        let host = place.host.clone();
        if inner.warm_at.get(&host).is_some_and(|at| Instant::now() >= *at) {
            inner.warm_at.remove(&host);
            inner.note(Fact::Warm { host: host.clone() });
        }
        let request = inner.number(job.key.request);
        let stage = job.key.stage.0;
        let key = if place.repeatable { None } else { key_of(&job.input) };
        let (zone, repeatable) = (place.zone.clone(), place.repeatable);
        inner.note(Fact::Started { request, stage, host: host.clone(), zone, repeatable, key });
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

/// A call in progress; dropping it means that nobody waits for the answer any more.
struct Call {
    recorder: Recorder,
    id: RequestId,
    stage: u8,
    host: String,
    ended: bool,
}

impl Call {
    fn end(mut self, end: End) {
        self.note(end);
    }

    fn note(&mut self, end: End) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let mut inner = self.recorder.inner();
        let (request, stage, host) = (inner.number(self.id), self.stage, self.host.clone());
        inner.note(match end {
            End::Completed => Fact::Completed { request, stage, host },
            End::Stopped => Fact::Stopped { request, stage, host },
            End::Declined => Fact::Declined { request, stage, host },
        });
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.note(End::Stopped);
    }
}

/// Passes the pieces of an answer on and records its end before the reader learns of it.
fn watch_chunks(chunks: ChunkStream, call: Call) -> ChunkStream {
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

/// Returns the key by which a plain service tells calls apart.
fn key_of(input: &[u8]) -> Option<String> {
    let input: Value = serde_json::from_slice(input).ok()?;
    let key = input.get("key").or_else(|| input.pointer("/input/key"))?;
    key.as_str().map(str::to_owned)
}
