//! The platform's append-only log with offsets.

use crate::limiter::Limiter;
use crate::server::{Faults, Server, StartError, too_many_requests};
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler};
use serde::{Deserialize, Serialize};
use serde_with::base64::Base64;
use serde_with::serde_as;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The rate limit and retention of the log.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// The port, or 0 for any.
    pub port: u16,
    /// The appends allowed per second, over all streams.
    pub rate: u32,
    /// The maximum number of records kept per stream.
    pub max_records: usize,
    /// The maximum age of a kept record.
    pub max_age: Duration,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { port: 0, rate: 400, max_records: usize::MAX, max_age: Duration::MAX }
    }
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, max_records: usize, max_age: Duration) {
        let now = Instant::now();
        while self.records.len() > max_records
            || self.records.front().is_some_and(|(at, _)| now.duration_since(*at) > max_age)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Debug)]
struct State {
    streams: Mutex<BTreeMap<String, Stream>>,
    retention: Mutex<(usize, Duration)>,
    limiter: Limiter,
    appended: Notify,
}

impl State {
    fn streams(&self) -> MutexGuard<'_, BTreeMap<String, Stream>> {
        let (max_records, max_age) = *self.retention.lock().unwrap_or_else(PoisonError::into_inner);
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.values_mut().for_each(|s| s.trim(max_records, max_age));
        streams
    }
}

/// A running log.
#[derive(Debug)]
pub struct Log {
    /// The server.
    pub server: Server,
    /// The fault switches.
    pub faults: Arc<Faults>,
    state: Arc<State>,
}

handle!(Log);

impl Log {
    /// Starts an empty log.
    ///
    /// # Errors
    /// Returns [`StartError`] if the port cannot be bound.
    pub async fn start(options: LogOptions) -> Result<Self, StartError> {
        let state = Arc::new(State {
            streams: Mutex::default(),
            retention: Mutex::new((options.max_records, options.max_age)),
            limiter: Limiter::new(options.rate),
            appended: Notify::new(),
        });
        let faults = Arc::new(Faults::default());
        let route = Route::new()
            .at("/v1/streams/:stream/records", get(read).post(append))
            .data(Arc::clone(&state));
        let server = Server::start(options.port, route, Arc::clone(&faults)).await?;
        Ok(Self { server, faults, state })
    }

    /// Changes the retention of all streams, with immediate effect.
    pub fn set_retention(&self, max_records: usize, max_age: Duration) {
        *self.state.retention.lock().unwrap_or_else(PoisonError::into_inner) =
            (max_records, max_age);
        drop(self.state.streams());
    }

    /// Deletes all streams, as when a log is lost and created again.
    pub fn reset(&self) {
        self.state.streams().clear();
    }

    /// Returns the offset that the next append to a stream will get.
    pub fn end(&self, stream: &str) -> u64 {
        self.state.streams().get(stream).map_or(0, Stream::end)
    }

    /// Returns the retained records of a stream, each with its offset.
    pub fn records(&self, stream: &str) -> Vec<(u64, Vec<u8>)> {
        let streams = self.state.streams();
        let Some(s) = streams.get(stream) else { return Vec::new() };
        (s.first..).zip(s.records.iter().map(|(_, data)| data.clone())).collect()
    }
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

#[handler]
async fn append(state: Data<&Arc<State>>, Path(name): Path<String>, data: Vec<u8>) -> Response {
    if !state.limiter.try_take() {
        return too_many_requests(Duration::from_secs(1));
    }
    let mut streams = state.streams();
    let stream = streams.entry(name).or_default();
    let offset = stream.end();
    stream.records.push_back((Instant::now(), data));
    drop(streams);
    state.appended.notify_waiters();
    (StatusCode::CREATED, Json(Appended { offset })).into_response()
}

#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    #[serde(default = "page_size")]
    max: usize,
    #[serde(default)]
    wait_ms: u64,
}

fn page_size() -> usize {
    1_000
}

#[serde_as]
#[derive(Serialize)]
struct Record {
    offset: u64,
    #[serde_as(as = "Base64")]
    data: Vec<u8>,
}

#[derive(Serialize)]
struct Page {
    first: u64,
    end: u64,
    records: Vec<Record>,
}

#[handler]
async fn read(
    state: Data<&Arc<State>>,
    Path(name): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Json<Page> {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let appended = state.appended.notified();
        tokio::pin!(appended);
        appended.as_mut().enable();
        let page = page(&state, &name, &query);
        if !page.records.is_empty() || Instant::now() >= deadline {
            return Json(page);
        }
        drop(tokio::time::timeout_at(deadline, appended).await);
    }
}

fn page(state: &State, name: &str, query: &ReadQuery) -> Page {
    let streams = state.streams();
    let Some(stream) = streams.get(name) else {
        return Page { first: 0, end: 0, records: Vec::new() };
    };
    let from = query.from.max(stream.first);
    let skip = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
    let rows = stream.records.iter().skip(skip).take(query.max);
    let records = (from..)
        .zip(rows)
        .map(|(offset, (_, data))| Record { offset, data: data.clone() })
        .collect();
    Page { first: stream.first, end: stream.end(), records }
}
