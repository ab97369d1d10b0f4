//! Tells which incoming connections have calls, so that only one without any counts as idle.

use super::message_time;
use crate::util::metrics::Metrics;
use hyper::body::{Body as HttpBody, Bytes, Frame, SizeHint};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::time::Instant;
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::{Service, http};
use tonic::service::Routes;

/// The calls of one incoming connection; cheap to clone.
#[derive(Clone, Debug)]
pub struct Activity(Arc<Mutex<Calls>>);

#[derive(Debug)]
struct Calls {
    running: usize,
    /// When the last call ended, or the connection was accepted.
    ended: Instant,
}

impl Activity {
    /// Creates the record of a connection without calls.
    pub fn new() -> Self {
        Self(Arc::new(Mutex::new(Calls { running: 0, ended: Instant::now() })))
    }

    /// Returns since when no call has run, or `None` while one runs.
    pub fn idle_since(&self) -> Option<Instant> {
        let calls = self.lock();
        (calls.running == 0).then_some(calls.ended)
    }

    fn begin(&self) -> RunningCall {
        self.lock().running += 1;
        RunningCall(self.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Calls> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that runs until this is dropped.
struct RunningCall(Activity);

impl Drop for RunningCall {
    fn drop(&mut self) {
        let mut calls = self.0.lock();
        calls.running -= 1;
        calls.ended = Instant::now();
    }
}

/// Services whose calls count as running on their connection until their answers have ended.
///
/// The time for their messages is bounded, and stops are recorded with the metrics.
#[derive(Clone)]
pub(super) struct CountedCalls {
    pub routes: Routes,
    pub metrics: Metrics,
}

type Answer = http::Response<Body>;

impl Service<http::Request<Body>> for CountedCalls {
    type Response = Answer;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Answer, Infallible>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Service::<http::Request<Body>>::poll_ready(&mut self.routes, cx)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let running = request.extensions().get::<Activity>().map(Activity::begin);
        let answer = self.routes.call(message_time::timed(request, &self.metrics));
        Box::pin(async move {
            Ok(answer.await?.map(|body| Body::new(CountedBody { body, _running: running })))
        })
    }
}

struct CountedBody {
    body: Body,
    _running: Option<RunningCall>,
}

impl HttpBody for CountedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
