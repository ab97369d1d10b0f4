//! A backend server, which answers plain requests, streams and calls for pieces of stages.

use super::fault::UsersFault;
use super::{serve, stages};
use poem::http::{HeaderMap, StatusCode, Version};
use poem::web::Data;
use poem::{EndpointExt, Response, Route, get, handler, post};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The prefix of paths that are answered by a stream of events.
pub const STREAMS: &str = "/stream";
/// The number of events in a stream.
pub const STREAM_EVENTS: u32 = 5;

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

#[derive(Default)]
pub(super) struct ServerState {
    pub(super) id: String,
    requests: Vec<ReceivedRequest>,
    fault: UsersFault,
    pub(super) freed: Vec<String>,
    pub(super) result_count: u64,
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
        Err(status) => return refusal(status, &id),
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
        let events = events(server, id, work, fault);
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

fn refusal(status: StatusCode, id: &str) -> Response {
    let refusal = Response::builder().status(status).header("x-limpetmux-request-id", id);
    refusal.header("x-limpetmux-not-executed", "1").finish()
}

/// Returns the events of a stream, each delayed by the processing time `work`.
fn events(
    server: String,
    id: String,
    work: Duration,
    fault: UsersFault,
) -> impl futures::Stream<Item = std::io::Result<Vec<u8>>> {
    futures::stream::unfold(1, move |number| {
        let (server, id) = (server.clone(), id.clone());
        async move {
            if number > STREAM_EVENTS {
                return None;
            }
            sleep(work).await;
            let sent = fault.sent_part(number, event(number, &server, &id))?;
            Some((Ok(sent.into_bytes()), number + 1))
        }
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
