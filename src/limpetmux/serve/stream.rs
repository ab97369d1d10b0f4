//! Bodies of answers, passed on as they come.

use super::links::Lease;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Sleep;

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why an answer ended early; its connection is closed without the end of the body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The backend server broke off.
    #[error("the backend server broke off")]
    Broken(#[from] hyper::Error),
    /// The longest time for the request is over.
    #[error("the longest time for the request is over")]
    Timeout,
}

/// How a streamed answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It was passed on to its end.
    Whole,
    /// The backend server broke off.
    Broken,
    /// The longest time was over.
    Timeout,
    /// The caller went away.
    CallerGone,
}

/// An answer that is passed on while a backend server makes it.
pub struct Passing {
    body: Incoming,
    lease: Option<Lease>,
    keep: Option<Duration>,
    closes: bool,
    limit: Pin<Box<Sleep>>,
    first: Option<Box<dyn FnOnce() + Send>>,
    ended: Option<Box<dyn FnOnce(StreamEnd) + Send>>,
}

/// What happens along a streamed answer.
pub struct PassingHooks {
    /// Called with the first bytes.
    pub first: Box<dyn FnOnce() + Send>,
    /// Called once at the end.
    pub ended: Box<dyn FnOnce(StreamEnd) + Send>,
}

impl Passing {
    /// Passes a body on for at most `left`; its connection is kept for `keep` afterwards.
    pub fn new(
        body: Incoming,
        lease: Lease,
        (keep, closes): (Option<Duration>, bool),
        left: Duration,
        hooks: PassingHooks,
    ) -> Self {
        let limit = Box::pin(tokio::time::sleep(left));
        let (first, ended) = (Some(hooks.first), Some(hooks.ended));
        Self { body, lease: Some(lease), keep, closes, limit, first, ended }
    }

    fn end(&mut self, end: StreamEnd) {
        let lease = self.lease.take();
        if let (Some(lease), StreamEnd::Whole, false) = (lease, end, self.closes) {
            lease.keep(self.keep);
        }
        if let Some(ended) = self.ended.take() {
            ended(end);
        }
    }
}

impl HttpBody for Passing {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(first) = self.first.take() {
                    first();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.end(StreamEnd::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) => {
                self.end(StreamEnd::Whole);
                Poll::Ready(None)
            }
            Poll::Pending => match self.limit.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    self.end(StreamEnd::Timeout);
                    Poll::Ready(Some(Err(BodyError::Timeout)))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        // The end is only known once the hooks have run.
        self.ended.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Passing {
    fn drop(&mut self) {
        // An answer with a length is not read beyond its last byte.
        let whole = self.body.is_end_stream();
        self.end(if whole { StreamEnd::Whole } else { StreamEnd::CallerGone });
    }
}
