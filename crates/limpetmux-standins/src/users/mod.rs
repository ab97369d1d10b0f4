//! Small stand-ins of the users' platform: its store with keyed topics, and a backend server.
//!
//! They implement the part of the published protocol that the adapter uses and count the requests
//! they receive, so that tests over TCP need no other program.

mod stages;

use futures::StreamExt;
use poem::http::{HeaderMap, StatusCode, Version};
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, Server, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_with::{base64::Base64, serde_as};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The prefix of paths that are answered by a stream of events.
pub const STREAMS: &str = "/stream";
/// The number of events in a stream.
pub const STREAM_EVENTS: u32 = 5;
/// The bytes of a stream that is cut; its first event is shorter, and its last event is longer.
const CUT_BYTES: usize = 60;
/// The interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct Topics {
    topics: BTreeMap<String, Topic>,
    calls: u64,
    down: bool,
}

/// The platform's store.
#[derive(Clone)]
pub struct UsersStore {
    /// The address it listens on.
    pub addr: SocketAddr,
    topics: Arc<Mutex<Topics>>,
}

#[derive(Deserialize)]
struct TopicQuery {
    topic: String,
    #[serde(default)]
    from: usize,
    #[serde(default, rename = "wait-ms")]
    wait_ms: u64,
}

#[serde_as]
#[derive(Serialize)]
struct Item<'a> {
    key: &'a str,
    #[serde_as(as = "Base64")]
    value: &'a [u8],
    offset: usize,
}

impl UsersStore {
    /// Starts a store on a port that the system chooses.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let topics: Arc<Mutex<Topics>> = Arc::default();
        let routes = Route::new()
            .at("/log-newest", get(newest))
            .at("/log-read", get(read))
            .at("/log-append", post(append))
            .data(Arc::clone(&topics));
        Ok(Self { addr: serve(routes).await?, topics })
    }

    /// Writes the newest record of a key, as the operator or a backend server does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = lock(&self.topics);
        let topic = topics.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.as_bytes().to_vec()));
    }

    /// Makes the store refuse all calls, or serve them again.
    pub fn set_down(&self, down: bool) {
        lock(&self.topics).down = down;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.topics).calls
    }
}

fn lock(topics: &Mutex<Topics>) -> MutexGuard<'_, Topics> {
    topics.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a call; returns the 503 status if the store is down.
fn count_call(topics: &Mutex<Topics>) -> Result<(), StatusCode> {
    let mut topics = lock(topics);
    topics.calls += 1;
    if topics.down { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
}

#[handler]
fn newest(Query(query): Query<TopicQuery>, topics: Data<&Arc<Mutex<Topics>>>) -> Response {
    if let Err(status) = count_call(&topics) {
        return status.into_response();
    }
    let topics = lock(&topics);
    let records = topics.topics.get(&query.topic).map_or(&[][..], |t| &t.records);
    let mut items: BTreeMap<&str, Item<'_>> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        items.insert(key, Item { key, value, offset });
        if value.is_empty() {
            items.remove(key.as_str());
        }
    }
    let items: Vec<Item<'_>> = items.into_values().collect();
    let body = json!({"items": items, "has-more": false, "end": records.len()});
    body.to_string().into_response()
}

#[handler]
async fn read(Query(query): Query<TopicQuery>, topics: Data<&Arc<Mutex<Topics>>>) -> Response {
    if let Err(status) = count_call(&topics) {
        return status.into_response();
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        if let Some(body) = page(&lock(&topics), &query, Instant::now() >= deadline) {
            return body.into_response();
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Encodes the records from an offset on; returns `None` to wait for records until `timed_out`.
fn page(topics: &Topics, query: &TopicQuery, timed_out: bool) -> Option<Vec<u8>> {
    let records = topics.topics.get(&query.topic).map_or(&[][..], |t| &t.records);
    if records.len() <= query.from && !timed_out {
        return None;
    }
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend(0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(query.from) {
        let mut record = vec![u8::try_from(key.len()).unwrap_or(u8::MAX)];
        record.extend(key.as_bytes());
        record.extend(value);
        body.extend(u32::try_from(record.len()).unwrap_or(u32::MAX).to_be_bytes());
        body.extend(record);
    }
    Some(body)
}

#[handler]
fn append(
    Query(query): Query<TopicQuery>,
    body: Vec<u8>,
    topics: Data<&Arc<Mutex<Topics>>>,
) -> Response {
    if let Err(status) = count_call(&topics) {
        return status.into_response();
    }
    let mut topics = lock(&topics);
    let topic = topics.topics.entry(query.topic).or_default();
    let offset = topic.records.len();
    let mut rest = &body[..];
    while let Some((len, data)) = rest.split_first_chunk::<4>() {
        let (record, next) = data.split_at(u32::from_be_bytes(*len) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        topic.records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        rest = next;
    }
    json!({"offset": offset, "end": topic.records.len()}).to_string().into_response()
}

/// A request that a backend server received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// When it started to run.
    pub at: Instant,
    /// The fault of the backend server at that time.
    pub fault: UsersFault,
}

/// How a backend server handles the next requests other than stage calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UsersFault {
    /// It answers correctly.
    #[default]
    None,
    /// It refuses the request and states that it did not run it.
    Refused,
    /// It runs the request and fails.
    Error,
    /// It answers under the id of another request.
    WrongId,
    /// It answers without its signature.
    Unsigned,
    /// It answers with neither a length nor chunks, so the answer ends with its connection.
    Unframed,
    /// It ends a stream inside an event, with its connection; other answers are as for `Unframed`.
    CutStream,
    /// It ends a stream inside an event, but states its end as if it were whole.
    CutChunks,
    /// It ends a stream before its first event, with its connection.
    CutHead,
}

impl UsersFault {
    /// Returns the version of its answers; those of the older one are not sent in chunks.
    fn version(self) -> Version {
        match self {
            Self::Unframed | Self::CutStream | Self::CutHead => Version::HTTP_10,
            _ => Version::HTTP_11,
        }
    }

    /// Returns whether it cuts streams.
    pub fn cuts_streams(self) -> bool {
        self.stream_bytes() < usize::MAX
    }

    /// Returns how many bytes of a stream are sent.
    fn stream_bytes(self) -> usize {
        match self {
            Self::CutStream | Self::CutChunks => CUT_BYTES,
            Self::CutHead => 0,
            _ => usize::MAX,
        }
    }
}

#[derive(Default)]
struct ServerState {
    id: String,
    requests: Vec<ReceivedRequest>,
    fault: UsersFault,
    freed: Vec<String>,
    result_count: u64,
    /// The processing time of each request, or of each event of a stream.
    work: Duration,
}

/// A backend server of the users, which serves plain requests, streams and stages.
#[derive(Clone)]
pub struct UsersServer {
    /// The address it listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<ServerState>>,
}

impl UsersServer {
    /// Changes the id, as when a backend server restarts at the same address.
    pub fn set_id(&self, id: &str) {
        self.lock().id = id.to_owned();
    }

    /// Starts a backend server with an id on a port that the system chooses.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str) -> std::io::Result<Self> {
        let state = ServerState { id: id.to_owned(), ..ServerState::default() };
        let state = Arc::new(Mutex::new(state));
        let routes = Route::new()
            .at("/stage-run", post(stages::stage_run))
            .at("/stage-free", post(stages::stage_free))
            .at("/*path", get(answer).post(answer))
            .data(Arc::clone(&state));
        Ok(Self { addr: serve(routes).await?, state })
    }

    /// Returns the record that lists it in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        json!({"service": service, "address": self.addr.to_string(), "zone": zone, "version": "v1",
            "slots": 4, "state": state, "cold-remaining-ms": 0, "sequence": 1, "born": 1})
        .to_string()
    }

    /// Sets the fault of the next requests.
    pub fn set_fault(&self, fault: UsersFault) {
        self.lock().fault = fault;
    }

    /// Sets the processing time of each request, or of each event of a stream.
    pub fn set_work_time(&self, work: Duration) {
        self.lock().work = work;
    }

    /// Returns the requests that it ran, except stage calls.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.lock().requests.clone()
    }

    /// Returns the number of stage results and the handles of those that were freed.
    pub fn results(&self) -> (u64, Vec<String>) {
        let state = self.lock();
        (state.result_count, state.freed.clone())
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[handler]
async fn answer(
    request: &poem::Request,
    body: Vec<u8>,
    state: Data<&Arc<Mutex<ServerState>>>,
) -> Response {
    let path = request.uri().path().to_owned();
    let headers = header_texts(request.headers());
    let id = headers.get("x-limpetmux-request-id").cloned().unwrap_or_default();
    let (at, fault) = (Instant::now(), UsersFault::None);
    let received = ReceivedRequest { path, headers, body, at, fault };
    let streams = received.path.starts_with(STREAMS);
    let (fault, server, work) = match run(&mut lock_server(&state), received) {
        Ok(run) => run,
        Err(status) => return refusal(status),
    };
    sleep(work).await;
    let status = if fault == UsersFault::Error { 500 } else { 200 };
    let echo = if fault == UsersFault::WrongId { "another" } else { &id };
    let answer = Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or_default())
        .version(fault.version())
        .header("x-limpetmux-request-id", echo);
    let signature = (fault != UsersFault::Unsigned).then_some("signed");
    let answer = match signature {
        Some(text) => answer.header("x-limpetmux-response-signature", text),
        None => answer,
    };
    if streams && status == 200 {
        let events = cut(events(server, id, work), fault.stream_bytes());
        return answer.body(poem::Body::from_bytes_stream(events));
    }
    let body = event(1, &server, &id);
    if fault.version() == Version::HTTP_10 {
        // A body of unknown length, whose answer has no length.
        let body = futures::stream::iter([Ok::<_, std::io::Error>(body)]);
        return answer.body(poem::Body::from_bytes_stream(body));
    }
    answer.body(body)
}

/// Records a request and returns the fault, server id and processing time of its answer, or the
/// status of its refusal if it does not run.
fn run(
    state: &mut ServerState,
    request: ReceivedRequest,
) -> Result<(UsersFault, String, Duration), StatusCode> {
    let expected = request.headers.get("x-limpetmux-expected-instance");
    if expected.is_some_and(|e| *e != state.id) {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
    if state.fault == UsersFault::Refused {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    state.requests.push(ReceivedRequest { fault: state.fault, ..request });
    Ok((state.fault, state.id.clone(), state.work))
}

fn refusal(status: StatusCode) -> Response {
    let refusal = Response::builder().status(status);
    refusal.header("x-limpetmux-not-executed", "1").finish()
}

/// Returns the events of a stream, each delayed by the processing time `work`.
fn events(
    server: String,
    id: String,
    work: Duration,
) -> impl futures::Stream<Item = std::io::Result<Vec<u8>>> {
    futures::stream::unfold(1, move |number| {
        let (server, id) = (server.clone(), id.clone());
        async move {
            if number > STREAM_EVENTS {
                return None;
            }
            sleep(work).await;
            Some((Ok(event(number, &server, &id).into_bytes()), number + 1))
        }
    })
}

/// Ends a stream after a number of bytes.
fn cut(
    parts: impl futures::Stream<Item = std::io::Result<Vec<u8>>>,
    bytes: usize,
) -> impl futures::Stream<Item = std::io::Result<Vec<u8>>> {
    parts.scan(bytes, |left, part| {
        let part = part.map(|mut p| {
            p.truncate(*left);
            *left -= p.len();
            p
        });
        let ended = part.as_ref().is_ok_and(Vec::is_empty);
        std::future::ready((!ended).then_some(part))
    })
}

fn event(number: u32, server: &str, id: &str) -> String {
    format!("id: {number}\ndata: from {server} for {id}\n\n")
}

fn lock_server(state: &Mutex<ServerState>) -> MutexGuard<'_, ServerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn header_texts(headers: &HeaderMap) -> BTreeMap<String, String> {
    let text = |v: &poem::http::HeaderValue| v.to_str().unwrap_or_default().to_owned();
    headers.iter().map(|(n, v)| (n.as_str().to_owned(), text(v))).collect()
}

async fn serve(routes: impl poem::Endpoint + 'static) -> std::io::Result<SocketAddr> {
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
    let addr = acceptor.local_addr()[0].as_socket_addr().copied();
    let addr = addr.ok_or(std::io::ErrorKind::AddrNotAvailable)?;
    tokio::spawn(async move {
        if let Err(error) = Server::new_with_acceptor(acceptor).run(routes).await {
            eprintln!("stand-in server failed: {error}");
        }
    });
    Ok(addr)
}
