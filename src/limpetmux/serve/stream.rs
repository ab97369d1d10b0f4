//! Bodies of answers, and the forwarding of streamed ones.

use super::connections::ActiveConnection;
use crate::core::event_stream::{EventScan, Framing};
use crate::platform::server::ReplyHead;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use strum::IntoStaticStr;
use tokio::time::Sleep;

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why an answer ended early; the caller's connection is closed without the end of the body.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The backend server ended the answer early.
    #[error("the backend server ended the answer early")]
    Broken(#[from] hyper::Error),
    /// The stream ended inside an event, or with its connection before the first one.
    #[error("the stream ended before its last event")]
    Truncated,
    /// The request exceeded its deadline.
    #[error("the request exceeded its deadline")]
    Timeout,
}

/// How a streamed answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StreamEnd {
    /// All of it was forwarded.
    Complete,
    /// The connection to the backend server failed.
    Broken,
    /// The backend server ended it before its last event.
    Truncated,
    /// The request exceeded its deadline.
    Timeout,
    /// The caller closed the connection.
    CallerGone,
}

/// What has been read of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// How the answer states where its body ends.
    pub framing: Framing,
    /// The bytes of the body.
    pub bytes: usize,
    /// The events of the body, if it is streamed.
    pub events: EventScan,
}

impl Received {
    /// Creates the record of an answer of which nothing has been read.
    pub fn new(framing: Framing) -> Self {
        Self { framing, ..Self::default() }
    }

    /// Returns whether a streamed body that ended without an error is complete.
    pub fn is_complete_stream(&self) -> bool {
        self.events.is_complete(self.framing)
    }
}

/// The body of an answer that is forwarded while a backend server produces it.
///
/// It states its own end to the caller, and only if the events are complete.
pub struct StreamedBody {
    body: Incoming,
    connection: Option<ActiveConnection>,
    keep: Option<Duration>,
    closes: bool,
    received: Received,
    deadline: Pin<Box<Sleep>>,
    on_first: Option<Box<dyn FnOnce() + Send>>,
    on_end: Option<EndHook>,
}

/// Gets the end of a streamed answer and what was read of it.
pub type EndHook = Box<dyn FnOnce(StreamEnd, &Received) + Send>;

/// Callbacks during a streamed answer.
pub struct StreamHooks {
    /// Called before the first bytes are forwarded.
    pub on_first: Box<dyn FnOnce() + Send>,
    /// Called once at the end.
    pub on_end: EndHook,
}

impl StreamedBody {
    /// Forwards a body for at most `left`; afterwards its connection returns to the pool for the
    /// time that the head states, unless the backend server closes it.
    pub fn new(
        body: Incoming,
        connection: ActiveConnection,
        head: &ReplyHead,
        left: Duration,
        hooks: StreamHooks,
    ) -> Self {
        let deadline = Box::pin(tokio::time::sleep(left));
        let (on_first, on_end) = (Some(hooks.on_first), Some(hooks.on_end));
        Self {
            body,
            connection: Some(connection),
            keep: head.keep_alive,
            closes: head.closes,
            received: Received::new(head.framing),
            deadline,
            on_first,
            on_end,
        }
    }

    fn end(&mut self, end: StreamEnd) {
        let connection = self.connection.take();
        if let (Some(connection), StreamEnd::Complete, false) = (connection, end, self.closes) {
            connection.keep(self.keep);
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(end, &self.received);
        }
    }
}

impl HttpBody for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(on_first) = self.on_first.take() {
                    on_first();
                }
                if let Some(data) = frame.data_ref() {
                    self.received.bytes += data.len();
                    self.received.events.push(data);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                self.end(StreamEnd::Broken);
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) if self.received.is_complete_stream() => {
                self.end(StreamEnd::Complete);
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.end(StreamEnd::Truncated);
                Poll::Ready(Some(Err(BodyError::Truncated)))
            }
            Poll::Pending => match self.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    self.end(StreamEnd::Timeout);
                    Poll::Ready(Some(Err(BodyError::Timeout)))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        // True only once `on_end` has run, because hyper stops polling then.
        self.on_end.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        // With a length from the backend server, the caller would take its last byte for the end.
        SizeHint::default()
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        // An answer that was passed on to its end has ended before.
        self.end(StreamEnd::CallerGone);
    }
}
