//! One request at one backend server, and how its answer reaches the caller.

use super::forward::Sent;
use super::inputs::Inputs;
use super::links::{Lease, LinkError};
use super::node::Shared;
use super::request::{Plan, Running};
use super::stages::engine_time;
use super::stream::{Body, Passing, PassingHooks, StreamEnd};
use crate::core::engines::EngineReport;
use crate::core::listing::Server;
use crate::core::placement::PlaceEnd;
use crate::core::time::Moment;
use crate::event;
use crate::platform::server::{self, ReplyHead};
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::Metric;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;

/// One request at one backend server; counts as in flight there until it ends.
pub struct Visit {
    shared: Arc<Shared>,
    plan: Arc<Plan>,
    server: Arc<str>,
    began: Moment,
    /// When the head of the answer came.
    pub head: Moment,
    /// The time until the first event that the board of the pool expects.
    pub expected: Option<Duration>,
    ended: bool,
}

impl Visit {
    /// Begins a visit that the placement has counted.
    pub fn new(shared: &Arc<Shared>, plan: &Arc<Plan>, server: &Server, began: Moment) -> Self {
        let server = Arc::clone(&server.id);
        Self {
            shared: Arc::clone(shared),
            plan: Arc::clone(plan),
            server,
            began,
            head: began,
            expected: None,
            ended: false,
        }
    }

    /// Ends the visit, once.
    pub fn end(&mut self, end: PlaceEnd) {
        if !std::mem::replace(&mut self.ended, true) {
            self.shared.placement().finished(clock::boot(), &self.server, end);
        }
    }

    /// Ends the visit as failed.
    pub fn failed(&mut self, reason: &str) {
        event!(
            EventCode::AttemptFailed,
            request = self.plan.ask.id,
            server = self.server,
            reason = reason,
            took_ms = clock::boot().since(self.began).as_millis()
        );
        self.end(PlaceEnd::Failed);
    }

    /// Ends the visit because the connection failed.
    pub fn failed_by(&mut self, error: &LinkError) {
        event!(
            EventCode::AttemptFailed,
            request = self.plan.ask.id,
            server = self.server,
            reason = error,
            took_ms = clock::boot().since(self.began).as_millis()
        );
        self.end(PlaceEnd::Broken);
    }

    fn served(&self, status: StatusCode, first: Duration) {
        let now = clock::boot();
        let view = self.shared.view.load();
        let workspace = self.plan.holder.as_ref().map_or("none", |h| &*h.workspace);
        let tags = [("workspace", workspace), ("pipeline", &*self.plan.route().name)];
        self.shared.metrics.count(Metric::RequestsAnswered, 1, &tags);
        self.shared.metrics.time(Metric::RequestTime, now.since(self.plan.arrived), &tags);
        event!(
            EventCode::RequestServed,
            request = self.plan.ask.id,
            server = self.server,
            status = status.as_u16(),
            took_ms = now.since(self.plan.arrived).as_millis(),
            server_ms = now.since(self.began).as_millis(),
            head_ms = self.head.since(self.began).as_millis(),
            first_ms = first.as_millis(),
            expected_ms = self.expected.unwrap_or_default().as_millis(),
            prefix = self.plan.ask.prefix().unwrap_or_default(),
            tokens = self.plan.ask.tokens,
            version = view.orders.version(),
            orders_age_ms = view.orders.age(now).as_millis()
        );
    }

    /// Reads an answer to its end before the caller gets any of it.
    pub async fn whole(
        mut self,
        answer: Response<Incoming>,
        lease: Lease,
        head: &ReplyHead,
    ) -> Sent {
        let (mut parts, body) = answer.into_parts();
        let body: Bytes = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                self.failed(&error.to_string());
                return Sent::Lost;
            }
        };
        if !head.closes {
            lease.keep(head.keep);
        }
        server::strip(&mut parts.headers);
        let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
        let answer = Response::from_parts(parts, body);
        if head.status.is_server_error() {
            self.failed(head.status.as_str());
            return Sent::Failed(answer);
        }
        self.end(PlaceEnd::Answered(clock::boot().since(self.began)));
        self.served(head.status, clock::boot().since(self.began));
        Sent::Answer(answer)
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.end(PlaceEnd::Neutral);
    }
}

/// Passes a stream on as its events come.
pub fn pass_on(
    mut visit: Visit,
    answer: Response<Incoming>,
    lease: Lease,
    head: &ReplyHead,
    inputs: Option<Inputs>,
) -> Response<Body> {
    let (mut parts, body) = answer.into_parts();
    server::strip(&mut parts.headers);
    let running = Running::new(&visit.shared);
    let left = visit.plan.left();
    let status = head.status;
    let began = visit.began;
    let mut inputs = inputs;
    let first_at = Arc::new(std::sync::Mutex::new(None));
    let seen = Arc::clone(&first_at);
    let (shared, plan) = (Arc::clone(&visit.shared), Arc::clone(&visit.plan));
    let (server, expected) = (Arc::clone(&visit.server), visit.expected);
    let first = Box::new(move || {
        if let Some(inputs) = &mut inputs {
            inputs.free();
        }
        let now = clock::boot();
        let took = now.since(began);
        let wait = took.saturating_sub(engine_time(&plan));
        shared.pressure().note(now, &plan.service, wait, 0.0);
        if let Some(expected) = expected {
            shared.note_engine_time(EngineReport { server, expected, took });
        }
        if let Ok(mut at) = seen.lock() {
            *at = Some(clock::boot().since(began));
        }
    });
    let ended = Box::new(move |end: StreamEnd| {
        let first = first_at.lock().ok().and_then(|at| *at).unwrap_or_default();
        finish_stream(&mut visit, end, status, first);
        drop(running);
    });
    let hooks = PassingHooks { first, ended };
    let passing = Passing::new(body, lease, (head.keep, head.closes), left, hooks);
    Response::from_parts(parts, passing.boxed_unsync())
}

fn finish_stream(visit: &mut Visit, end: StreamEnd, status: StatusCode, first: Duration) {
    match end {
        StreamEnd::Whole => {
            visit.end(PlaceEnd::Streamed);
            visit.served(status, first);
        }
        StreamEnd::Broken => {
            visit.failed("the stream broke off");
            event!(EventCode::RequestFailed, request = visit.plan.ask.id, reason = "broken");
        }
        StreamEnd::Timeout => {
            visit.end(PlaceEnd::Neutral);
            event!(EventCode::RequestFailed, request = visit.plan.ask.id, reason = "timeout");
        }
        StreamEnd::CallerGone => {
            visit.end(PlaceEnd::Neutral);
            event!(EventCode::CallerGone, request = visit.plan.ask.id, server = visit.server);
        }
    }
}
