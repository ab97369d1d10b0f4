//! One attempt at a request at one backend server, and the transfer of its answer to the caller.

use super::connections::{ActiveConnection, ConnectionError};
use super::ended::{self, BrokenRequest};
use super::head_watch::HeadWatch;
use super::inputs::Inputs;
use super::node::Shared;
use super::request::{RoutedRequest, Running};
use super::rollout::SendEnd;
use super::stages::engine_time;
use super::stream::{Body, ForwardedBody, Received, STALL_TIME, StreamEnd, StreamHooks};
use crate::core::answer_limits::AnswerLimits;
use crate::core::engines::EngineReport;
use crate::core::listing::Server;
use crate::core::placement::PlaceEnd;
use crate::core::prompt_part;
use crate::core::quarantine::ServerRun;
use crate::core::read_limits::{Exceeded, Peer};
use crate::core::rollout::evidence::Answer;
use crate::core::time::Moment;
use crate::event;
use crate::platform::server::{self, ReplyHead};
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::Metric;
use crate::util::read_stop;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An attempt that ends with less time than this left has reached the request's deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// A caller that leaves after this time without a byte of the answer has found it slow.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// One attempt at a request; counts as in flight at its backend server until it ends.
pub struct Attempt {
    pub(super) shared: Arc<Shared>,
    pub(super) routed: Arc<RoutedRequest>,
    server: Arc<str>,
    run: ServerRun,
    addr: SocketAddr,
    /// The backend server as it was listed, if its service has a roll-out.
    tried: Option<Server>,
    pub(super) began: Moment,
    /// The limits on the answer.
    pub(super) limits: AnswerLimits,
    /// What has arrived of the answer.
    pub watch: HeadWatch,
    /// When the head of the answer arrived.
    pub head_at: Moment,
    /// The time to the first byte or event of the answer, once it has arrived.
    pub first: Option<Duration>,
    /// The time to the first event that the queue node of the pool expects.
    pub expected: Option<Duration>,
    ended: bool,
    /// Whether the answer broke off, which may be the end of the backend server.
    cut: bool,
}

impl Attempt {
    /// Begins an attempt that the placement has already counted.
    pub fn new(
        shared: &Arc<Shared>,
        routed: &Arc<RoutedRequest>,
        server: &Server,
        began: Moment,
    ) -> Self {
        let is_tried = shared.view.load().rollouts.concerns(&server.service);
        let tried = is_tried.then(|| server.clone());
        let run = ServerRun { server: Arc::clone(&server.id), started_ms: server.started_ms };
        let (server, addr) = (Arc::clone(&server.id), server.addr);
        Self {
            shared: Arc::clone(shared),
            routed: Arc::clone(routed),
            server,
            run,
            addr,
            tried,
            first: None,
            began,
            limits: shared.settings().answers,
            watch: HeadWatch::default(),
            head_at: began,
            expected: None,
            ended: false,
            cut: false,
        }
    }

    /// Ends the attempt; later calls have no effect.
    pub fn end(&mut self, end: PlaceEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            self.shared.placement().finished(clock::boot(), &self.server, end);
            self.record_evidence(end);
        }
    }

    /// Records the end as evidence on the version of the backend server.
    fn record_evidence(&self, end: PlaceEnd) {
        let Some(server) = &self.tried else { return };
        let took = clock::boot().since(self.began);
        let answered = |took| Some(SendEnd::Answer(Answer::Answered(took)));
        let end = match end {
            PlaceEnd::Answered(took) => answered(took),
            PlaceEnd::Streamed => answered(self.first.unwrap_or(took)),
            PlaceEnd::Failed if self.cut => Some(SendEnd::Broken),
            PlaceEnd::Failed => Some(SendEnd::Answer(Answer::Failed)),
            PlaceEnd::Broken => Some(SendEnd::Broken),
            PlaceEnd::Full | PlaceEnd::WrongServer => None,
            // Whoever waited this long has seen how slow it is.
            PlaceEnd::Neutral if self.first.is_none() && took < LONG_WAIT => None,
            PlaceEnd::Neutral => answered(self.first.unwrap_or(took)),
        };
        // A cold backend server is slow whatever its version.
        let is_timed = matches!(end, Some(SendEnd::Answer(Answer::Answered(_))));
        if is_timed && !server.cold.is_zero() {
            return;
        }
        if let Some(end) = end {
            self.shared.record_send(&self.routed.route().name, server, end);
        }
    }

    /// Ends the attempt as failed.
    pub fn fail(&mut self, reason: &str) {
        event!(
            EventCode::AttemptFailed,
            request = self.routed.head.id,
            server = self.server,
            reason = reason,
            took_ms = clock::boot().since(self.began).as_millis()
        );
        self.end(PlaceEnd::Failed);
    }

    /// Ends the attempt as failed because its answer cannot be used.
    pub fn fail_answer(&mut self, reason: &str, head: &ReplyHead) {
        let owner: &'static str = head.owner.into();
        event!(
            EventCode::AttemptFailed,
            request = self.routed.head.id,
            server = self.server,
            reason = reason,
            status = head.status.as_u16(),
            stated = head.states_unrun,
            owner = owner,
            signed = head.signed,
            took_ms = clock::boot().since(self.began).as_millis()
        );
        self.end(PlaceEnd::Failed);
    }

    /// Ends the attempt because the connection failed.
    pub fn fail_connection(&mut self, error: &ConnectionError) {
        event!(
            EventCode::AttemptFailed,
            request = self.routed.head.id,
            server = self.server,
            reason = error,
            took_ms = clock::boot().since(self.began).as_millis()
        );
        match error {
            ConnectionError::Unreadable(_) | ConnectionError::Informational => {
                self.end(PlaceEnd::Failed);
            }
            ConnectionError::Broken(_) => {
                self.examine_server(0);
                self.end(PlaceEnd::Broken);
            }
            _ => self.end(PlaceEnd::Broken),
        }
        if let Some(exceeded) = error.exceeded(Peer::BackendServer) {
            self.record_stop(exceeded);
        }
    }

    /// Ends the attempt as failed because its answer exceeds a bound.
    pub fn stop_reading(&mut self, exceeded: Exceeded) {
        self.record_stop(exceeded);
        self.fail(&exceeded.to_string());
    }

    /// Finds out whether the backend server has ended, after its answer broke off behind some events.
    pub(super) fn examine_server(&self, events: u64) {
        if self.routed.prompt.shared.is_empty() {
            return;
        }
        let request = BrokenRequest {
            id: self.routed.head.id.as_str().into(),
            parts: self.routed.prompt.shared.clone(),
            events,
        };
        ended::examine(&self.shared, &self.run, self.addr, request);
    }

    /// Logs and counts that reading from the backend server stopped.
    pub fn record_stop(&self, exceeded: Exceeded) {
        read_stop::record(&self.shared.metrics, exceeded, &self.server);
    }

    /// Returns the bound on time if the deadline ended the attempt inside an answer.
    ///
    /// A backend server that sent nothing is only slow.
    fn late(&self) -> Option<Exceeded> {
        let deadline = self.routed.deadline;
        let is_late = self.routed.time_left() < DEADLINE_MARGIN
            && clock::boot().since(deadline) < STALL_TIME
            && self.watch.has_begun();
        let allowed = deadline.since(self.began);
        is_late.then(|| Exceeded::time(Peer::BackendServer, allowed))
    }

    /// Logs what shows that the backend server did not run the request; `earlier` requests were
    /// answered on the connection before.
    pub fn record_not_run(&self, head: &ReplyHead, earlier: u32) {
        let owner: &'static str = head.owner.into();
        event!(
            EventCode::AttemptNotRun,
            request = self.routed.head.id,
            server = self.server,
            status = head.status.as_u16(),
            stated = head.states_unrun,
            owner = owner,
            signed = head.signed,
            earlier = earlier,
            took_ms = clock::boot().since(self.began).as_millis()
        );
    }

    /// Counts an answer that was read up to its end, however it ended.
    pub(super) fn count_answer(&self, received: &Received, end: StreamEnd) {
        let tags = [("framing", received.framing.into()), ("end", end.into())];
        self.shared.metrics.count(Metric::AnswersRead, 1, &tags);
    }

    pub(super) fn record_served(
        &self,
        status: StatusCode,
        first_latency: Duration,
        received: &Received,
    ) {
        let now = clock::boot();
        let view = self.shared.view.load();
        let workspace = self.routed.holder.as_ref().map_or("none", |h| &*h.workspace);
        let tags = [("workspace", workspace), ("pipeline", &*self.routed.route().name)];
        let (framing, tail) = names(received);
        self.shared.metrics.count(Metric::RequestsAnswered, 1, &tags);
        if status.is_success() {
            let parts = &self.routed.prompt.shared;
            self.shared.quarantine.record_use(&self.shared.metrics, self.began, parts);
        }
        self.shared.metrics.time(Metric::RequestTime, now.since(self.routed.arrived), &tags);
        event!(
            EventCode::RequestServed,
            request = self.routed.head.id,
            server = self.server,
            status = status.as_u16(),
            took_ms = now.since(self.routed.arrived).as_millis(),
            server_ms = now.since(self.began).as_millis(),
            head_ms = self.head_at.since(self.began).as_millis(),
            first_ms = first_latency.as_millis(),
            expected_ms = self.expected.unwrap_or_default().as_millis(),
            parts = prompt_part::list(&self.routed.prompt.shared),
            tokens = self.routed.head.prompt_tokens,
            framing = framing,
            bytes = received.bytes,
            events = received.events.events(),
            tail = tail,
            version = view.orders.version(),
            orders_age_ms = view.orders.age(now).as_millis()
        );
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let (false, Some(exceeded)) = (self.ended, self.late()) {
            self.stop_reading(exceeded);
        }
        self.end(PlaceEnd::Neutral);
    }
}

/// Forwards a streamed answer to the caller as its events arrive.
///
/// The first event shows that the model engine has read its inputs, so they are freed then.
pub fn stream(
    mut attempt: Attempt,
    answer: Response<Incoming>,
    connection: ActiveConnection,
    head: &ReplyHead,
    inputs: Option<Inputs>,
) -> Response<Body> {
    let (mut parts, body) = answer.into_parts();
    server::strip(&mut parts);
    parts.headers.remove(CONTENT_LENGTH);
    let running = Running::new(&attempt.shared);
    let bounds = (attempt.routed.time_left(), attempt.limits);
    let status = head.status;
    let began = attempt.began;
    let mut inputs = inputs;
    let to_first = Arc::new(std::sync::Mutex::new(None));
    let measured = Arc::clone(&to_first);
    let (shared, routed) = (Arc::clone(&attempt.shared), Arc::clone(&attempt.routed));
    let (server, expected) = (Arc::clone(&attempt.server), attempt.expected);
    let on_first = Box::new(move || {
        if let Some(inputs) = &mut inputs {
            inputs.free();
        }
        let now = clock::boot();
        let took = now.since(began);
        let wait = took.saturating_sub(engine_time(&routed));
        shared.queue_waits().record(now, &routed.service, wait, 0.0);
        if let Some(expected) = expected {
            let request = routed.head.id.as_str().into();
            shared.record_engine_time(EngineReport { server, request, expected, took });
        }
        if let Ok(mut at) = measured.lock() {
            *at = Some(clock::boot().since(began));
        }
    });
    let on_end = Box::new(move |end: StreamEnd, received: &Received| {
        attempt.first = to_first.lock().ok().and_then(|at| *at);
        let first_latency = attempt.first.unwrap_or_default();
        attempt.count_answer(received, end);
        if end == StreamEnd::Complete {
            attempt.end(PlaceEnd::Streamed);
            attempt.record_served(status, first_latency, received);
        }
        finish_cut(&mut attempt, end, received);
        drop(running);
    });
    let hooks = StreamHooks { on_first, on_end };
    let body = ForwardedBody::new(body, connection, head, bounds, hooks);
    Response::from_parts(parts, body.boxed_unsync())
}

/// Returns the names of an answer's framing and of its tail, for log lines.
fn names(received: &Received) -> (&'static str, &'static str) {
    (received.framing.into(), received.events.tail().into())
}

/// Ends an attempt whose answer was forwarded, unless it is complete.
pub(super) fn finish_cut(attempt: &mut Attempt, end: StreamEnd, received: &Received) {
    let (framing, tail) = names(received);
    match end {
        StreamEnd::Complete => {}
        StreamEnd::Broken | StreamEnd::Truncated | StreamEnd::Exceeded(_) => {
            match end {
                StreamEnd::Exceeded(exceeded) => attempt.stop_reading(exceeded),
                _ => {
                    attempt.examine_server(received.events.events());
                    attempt.cut = true;
                    attempt.fail("the answer ended early");
                }
            }
            event!(
                EventCode::RequestFailed,
                request = attempt.routed.head.id,
                reason = <&str>::from(end),
                framing = framing,
                bytes = received.bytes,
                events = received.events.events(),
                tail = tail
            );
        }
        StreamEnd::Timeout => {
            attempt.end(PlaceEnd::Neutral);
            event!(EventCode::RequestFailed, request = attempt.routed.head.id, reason = "timeout");
        }
        StreamEnd::CallerGone => {
            attempt.end(PlaceEnd::Neutral);
            event!(
                EventCode::CallerGone,
                request = attempt.routed.head.id,
                server = attempt.server
            );
        }
    }
}
