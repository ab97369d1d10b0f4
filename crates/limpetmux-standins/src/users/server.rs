//! A backend server, which answers plain requests, streams and calls for pieces of stages.

use super::bytes::{EndedAnswer, Played, SharedAnswers, lock_answers};
use super::connection;
use super::fault::UsersFault;
use super::reply::{Content, Notices, Reply, all_events, event, further};
use super::stages::{StageResult, stage_free, stage_run};
use crate::raw::Message;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

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
    /// Whether the answer states that the backend server leaves.
    pub leaving: bool,
}

/// How a version of a backend server is bad; by default it is good.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionQuality {
    /// One in so many requests is bad; zero for none.
    pub one_in: u32,
    /// How much longer a bad request takes; it fails if there is none.
    pub delay: Option<Duration>,
    /// The prefix of the paths of the only route on which it is bad.
    pub path: Option<&'static str>,
    /// The requests that it runs before it is bad.
    pub after: usize,
    /// The requests of the last second above which it is bad.
    pub load: usize,
}

impl VersionQuality {
    /// Returns whether the next request is bad, given the earlier ones.
    fn is_bad(&self, requests: &[ReceivedRequest], path: &str) -> bool {
        let lately = |r: &&ReceivedRequest| r.at.elapsed() < Duration::from_secs(1);
        let number = u32::try_from(requests.len()).unwrap_or(u32::MAX);
        self.one_in > 0
            && number.is_multiple_of(self.one_in)
            && self.path.is_none_or(|prefix| path.starts_with(prefix))
            && requests.len() >= self.after
            && requests.iter().rev().take_while(lately).count() >= self.load
    }
}

/// A request or call that arrived at a backend server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at: Instant,
    /// The id of the request; empty for calls.
    pub id: String,
    /// The time of the `Retry-After` that it was refused with, unless a further answer to an earlier request
    /// stands before the refusal on its connection: then nobody takes the refusal for the answer to it.
    pub hold: Option<Duration>,
    /// The id that the backend server had.
    pub server: String,
    /// The requests per second that its answer names as the limit.
    pub limit: Option<f64>,
}

impl ReceivedRequest {
    /// Returns the value of a header, whose name is given in lower case; empty if it is absent.
    pub(super) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// The state of a backend server, which all its connections share.
pub(super) type SharedState = Arc<Mutex<ServerState>>;

#[derive(Default)]
pub(super) struct ServerState {
    pub(super) id: String,
    requests: Vec<ReceivedRequest>,
    pub(super) fault: UsersFault,
    pub(super) freed: Vec<String>,
    pub(super) result_count: u64,
    pub(super) results: BTreeMap<String, StageResult>,
    /// The answers that were endless or arrived byte by byte.
    pub(super) answers: SharedAnswers,
    /// The processing time of each request, or of each event of a stream.
    work: Duration,
    /// What it states of itself in its answers; with a `Retry-After` it refuses all requests.
    notices: Notices,
    /// The requests and calls that arrived, whether they ran or not.
    arrivals: Vec<Arrival>,
    /// The part of a prompt that ends the backend server when it begins to answer.
    crash_part: Option<String>,
    /// How its version is bad.
    quality: VersionQuality,
    /// Whether its process has ended.
    pub(super) ended: watch::Sender<bool>,
}

/// A backend server of the users, which serves plain requests, streams and stages.
#[derive(Clone)]
pub struct UsersServer {
    /// The address it listens on.
    pub addr: SocketAddr,
    state: SharedState,
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
        Ok(Self { addr: connection::serve(Arc::clone(&state), connection::ANY).await?, state })
    }

    /// Returns the record that lists it in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> String {
        self.entry_of("v1", service, zone, state)
    }

    /// Returns the record that lists it with a version in the store.
    pub fn entry_of(&self, version: &str, service: &str, zone: &str, state: &str) -> String {
        json!({"service": service, "address": self.addr.to_string(), "zone": zone,
            "version": version, "slots": 4, "state": state, "cold-remaining-ms": 0, "sequence": 1,
            "born": 1})
        .to_string()
    }

    /// Sets how its version is bad.
    pub fn set_quality(&self, quality: VersionQuality) {
        self.lock().quality = quality;
    }

    /// Sets the fault of the next requests.
    pub fn set_fault(&self, fault: UsersFault) {
        self.lock().fault = fault;
    }

    /// Sets whether its answers state that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().notices.leaving = leaving;
    }

    /// Makes it refuse all requests with a `Retry-After`, or serve them again.
    pub fn set_retry_after(&self, value: Option<&str>) {
        self.lock().notices.retry_after = value.map(str::to_owned);
    }

    /// Sets the requests per second that its answers name as its limit; it keeps to none itself.
    pub fn set_limit(&self, value: Option<&str>) {
        self.lock().notices.limit = value.map(str::to_owned);
    }

    /// Returns the requests and calls that arrived, whether they ran or not.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Sets the part of a prompt that ends the backend server when it begins to answer a request with
    /// it; the last part of a prompt never does.
    pub fn set_crash_part(&self, part: &str) {
        self.lock().crash_part = Some(part.to_owned());
    }

    /// Ends the backend server: its connections close, and its address refuses new ones.
    pub fn crash(&self) {
        self.lock().ended.send_replace(true);
    }

    /// Returns whether the backend server has ended.
    pub fn has_ended(&self) -> bool {
        *self.lock().ended.borrow()
    }

    /// Starts the backend server again at its address, under another id.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub async fn restart(&self, id: &str) -> std::io::Result<()> {
        {
            let mut state = self.lock();
            state.id = id.to_owned();
            state.ended = watch::Sender::new(false);
        }
        connection::serve(Arc::clone(&self.state), self.addr).await.map(drop)
    }

    /// Sets the processing time of each request, or of each event of a stream.
    pub fn set_work_time(&self, work: Duration) {
        self.lock().work = work;
    }

    /// Returns the requests that it ran, except stage calls.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.lock().requests.clone()
    }

    /// Returns the number of its answers that were endless or arrived byte by byte.
    pub fn played(&self) -> Played {
        lock_answers(&self.lock().answers).played
    }

    /// Returns those of them that have ended.
    pub fn ended_answers(&self) -> Vec<EndedAnswer> {
        lock_answers(&self.lock().answers).ended.clone()
    }

    /// Returns the number of stage results and the handles of those that were freed.
    pub fn results(&self) -> (u64, Vec<String>) {
        let state = self.lock();
        (state.result_count, state.freed.clone())
    }

    /// Returns the results of the pieces that it computed, by their handles.
    pub fn stage_results(&self) -> BTreeMap<String, StageResult> {
        self.lock().results.clone()
    }

    fn lock(&self) -> MutexGuard<'_, ServerState> {
        lock(&self.state)
    }
}

/// Runs or refuses a request and returns its answer; `is_displaced` tells whether a further answer to an
/// earlier request stands before it.
pub(super) fn reply(state: &SharedState, message: Message, is_displaced: bool) -> Reply {
    let state = &mut *lock(state);
    let notices = state.notices.clone();
    let request = ReceivedRequest { leaving: notices.leaving, ..received(message, state.fault) };
    let id = request.header("x-limpetmux-request-id").to_owned();
    state.arrivals.push(Arrival {
        at: request.at,
        id: id.clone(),
        hold: notices.hold().filter(|_| !is_displaced),
        server: state.id.clone(),
        limit: notices.limit.as_ref().and_then(|limit| limit.parse().ok()),
    });
    if notices.retry_after.is_some() {
        return Reply { notices, ..Reply::refusal(503, &id, UsersFault::None) };
    }
    let reply = match request.path.as_str() {
        "/stage-run" => stage_run(state, &request),
        "/stage-free" => stage_free(state, &request),
        _ => run(state, request),
    };
    Reply { notices, ..reply }
}

/// Records a request as a run and returns its answer, or a refusal if it does not run.
fn run(state: &mut ServerState, request: ReceivedRequest) -> Reply {
    let id = request.header("x-limpetmux-request-id").to_owned();
    let expected = request.headers.get("x-limpetmux-expected-instance");
    if expected.is_some_and(|e| *e != state.id) {
        return Reply::refusal(421, &id, UsersFault::None);
    }
    let (fault, server) = (state.fault, state.id.clone());
    if let Some(status) = fault.refusal() {
        return Reply::refusal(status, &id, fault);
    }
    let is_bad = state.quality.is_bad(&state.requests, &request.path);
    let extra = state.quality.delay.filter(|_| is_bad);
    let fails = is_bad && extra.is_none();
    let status = if fails { 500 } else { fault.run_status() };
    let streams = request.path.starts_with(STREAMS) && status == 200;
    let prompt = request.header("x-limpetmux-prompt-prefix").to_owned();
    state.requests.push(request);
    let body = event(1, &server, &id).into_bytes();
    let further = match fault {
        UsersFault::Further(answer) if streams => {
            further(answer, &id, all_events(&server, &id).as_bytes())
        }
        UsersFault::Further(answer) => further(answer, &id, &body),
        _ => Vec::new(),
    };
    let content = if streams { Content::Events } else { Content::Whole(body) };
    let work = state.work + extra.unwrap_or_default();
    let crashes =
        streams && state.crash_part.as_deref().is_some_and(|part| has_part(&prompt, part));
    Reply {
        fault,
        work,
        content,
        server,
        id,
        status,
        signed: true,
        unrun: false,
        crashes,
        further,
        notices: Notices::default(),
    }
}

/// Returns whether a part of a prompt, other than the last, has a name.
fn has_part(prompt: &str, name: &str) -> bool {
    let (shared, _) = prompt.rsplit_once(',').unwrap_or_default();
    shared.split(',').any(|part| part.split(':').next() == Some(name))
}

fn received(message: Message, fault: UsersFault) -> ReceivedRequest {
    let mut lines = message.head.lines();
    let target = lines.next().and_then(|line| line.split(' ').nth(1)).unwrap_or_default();
    let path = target.split('?').next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
    let (body, at) = (message.body, Instant::now());
    ReceivedRequest { path, headers, body, at, fault, leaving: false }
}

pub(super) fn lock(state: &SharedState) -> MutexGuard<'_, ServerState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
