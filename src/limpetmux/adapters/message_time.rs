//! Bounds the time for the message of a call from another process.
//!
//! Each call has one message, which its service reads whole before it handles the call, so a message
//! that drips would hold its stream and its bytes until the connection ends.

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
use tonic::codegen::http;

/// Bounds the time for the message of a call; its answer may take longer.
pub(super) fn timed(request: http::Request<Body>, metrics: &Metrics) -> http::Request<Body> {
    let (path, metrics) = (request.uri().path().to_owned(), metrics.clone());
    let time = Box::pin(tokio::time::sleep(MAX_MESSAGE_TIME));
    request.map(|body| Body::new(TimedBody { body, time, path, metrics }))
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
