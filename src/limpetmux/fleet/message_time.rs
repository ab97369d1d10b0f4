//! Bounds the time for the message of a call from another node.
//!
//! The service reads the whole message before it handles the call, so a message that drips would hold
//! its stream and its bytes until the connection ends.

use crate::core::read_limits::{Exceeded, MAX_MESSAGE_TIME, Peer};
use crate::util::metrics::Metrics;
use crate::util::read_stop;
use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::time::Sleep;
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::{Service, http};
use tonic::server::NamedService;

/// A service whose messages have to arrive in time.
#[derive(Clone)]
pub struct TimedMessages<S> {
    service: S,
    metrics: Metrics,
}

impl<S> TimedMessages<S> {
    /// Bounds the messages of a service.
    pub fn new(service: S, metrics: Metrics) -> Self {
        Self { service, metrics }
    }
}

impl<S: NamedService> NamedService for TimedMessages<S> {
    const NAME: &'static str = S::NAME;
}

impl<S: Service<http::Request<Body>>> Service<http::Request<Body>> for TimedMessages<S> {
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.service.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<Body>) -> S::Future {
        let path = request.uri().path().to_owned();
        let metrics = self.metrics.clone();
        let time = Box::pin(tokio::time::sleep(MAX_MESSAGE_TIME));
        self.service.call(request.map(|body| Body::new(TimedBody { body, time, path, metrics })))
    }
}

struct TimedBody {
    body: Body,
    time: Pin<Box<Sleep>>,
    path: String,
    metrics: Metrics,
}

impl HttpBody for TimedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_ready() || self.time.as_mut().poll(cx).is_pending() {
            return polled;
        }
        let late = Exceeded::time(Peer::Node, MAX_MESSAGE_TIME);
        read_stop::record(&self.metrics, late, &self.path);
        Poll::Ready(Some(Err(Status::deadline_exceeded("the message did not arrive in time"))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
