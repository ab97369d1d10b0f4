//! Bodies of answers, and their forwarding while a backend server produces them.

use super::connections::ActiveConnection;
use crate::core::answer_limits::AnswerLimits;
use crate::core::event_stream::{EventScan, EventTail, Framing};
use crate::core::read_limits::{Bound, Exceeded, MAX_TRAILER_BYTES, Peer};
use crate::platform::server::ReplyHead;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::error::Error as _;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use strum::IntoStaticStr;
use tokio::time::{Instant, Sleep};

/// The pause of a caller after which bytes that are ready at the deadline may have waited for the
/// caller, so that they are no evidence against the backend server.
const CALLER_PAUSE: Duration = Duration::from_secs(1);
/// A process that notices a deadline later than this did not run meanwhile, so that what it had read
/// by then is no evidence against the backend server.
pub(super) const STALL_TIME: Duration = Duration::from_millis(250);
/// A stream that has more bytes than this at its deadline is not merely slow.
const LONG_STREAM_BYTES: usize = 1024 * 1024;

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
    /// The answer exceeded a bound.
    #[error(transparent)]
    Exceeded(#[from] Exceeded),
}

/// How a forwarded answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StreamEnd {
    /// All of it was forwarded.
    Complete,
    /// The connection to the backend server failed.
    Broken,
    /// The backend server ended it before its last event.
    Truncated,
    /// The request exceeded its deadline, and nothing shows that the backend server is at fault.
    Timeout,
    /// The answer exceeded a bound.
    Exceeded(Exceeded),
    /// The caller closed the connection.
    CallerGone,
}

/// Returns how an answer ended whose body could not be read.
pub(super) fn read_error(error: &hyper::Error) -> StreamEnd {
    match over_limit(error) {
        Some(exceeded) => StreamEnd::Exceeded(exceeded),
        None => StreamEnd::Broken,
    }
}

/// Returns the bound of hyper on chunk extensions and trailers, if it is what ended a body.
fn over_limit(error: &hyper::Error) -> Option<Exceeded> {
    // hyper has no type for these errors; their text is the only difference from other bad chunks.
    let source = error.source()?.downcast_ref::<std::io::Error>()?;
    let is_over = source.kind() == std::io::ErrorKind::InvalidData
        && source.to_string().ends_with("over limit");
    is_over.then(|| Exceeded::count(Peer::BackendServer, Bound::Head, MAX_TRAILER_BYTES))
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

/// What an answer is that is forwarded while a backend server produces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarding {
    /// Events, which tell whether it is complete.
    Events,
    /// Any bytes; its framing tells whether it is complete.
    Plain,
}

/// The body of an answer that is forwarded while a backend server produces it.
///
/// It states its own end to the caller, and only if the answer is complete. Its bytes, those of each
/// event and its time are bounded. At a bound it ends with an error, and its connection closes.
pub struct ForwardedBody {
    /// What was read before the caller got any of it.
    held: Option<Bytes>,
    body: Incoming,
    forwarding: Forwarding,
    connection: Option<ActiveConnection>,
    keep: Option<Duration>,
    closes: bool,
    received: Received,
    left: Duration,
    limits: AnswerLimits,
    deadline: Pin<Box<Sleep>>,
    /// When the last bytes were forwarded.
    forwarded: Instant,
    on_first: Option<Box<dyn FnOnce() + Send>>,
    on_end: Option<EndHook>,
    complete: bool,
}

/// Gets the end of a forwarded answer and what was read of it.
pub type EndHook = Box<dyn FnOnce(StreamEnd, &Received) + Send>;

/// Callbacks during a forwarded answer.
pub struct StreamHooks {
    /// Called before the first bytes are forwarded.
    pub on_first: Box<dyn FnOnce() + Send>,
    /// Called once at the end.
    pub on_end: EndHook,
}

impl ForwardedBody {
    /// Forwards a body for at most `left` and within `limits`; afterwards its connection returns to
    /// the pool for the time that the head states, unless the backend server closes it.
    pub fn new(
        body: Incoming,
        connection: ActiveConnection,
        head: &ReplyHead,
        (left, limits): (Duration, AnswerLimits),
        hooks: StreamHooks,
    ) -> Self {
        let deadline = Box::pin(tokio::time::sleep(left));
        let (on_first, on_end) = (Some(hooks.on_first), Some(hooks.on_end));
        Self {
            held: None,
            body,
            forwarding: Forwarding::Events,
            connection: Some(connection),
            keep: head.keep_alive,
            closes: head.closes,
            received: Received::new(head.framing),
            left,
            limits,
            deadline,
            forwarded: Instant::now(),
            on_first,
            on_end,
            complete: false,
        }
    }

    /// Forwards the rest of a plain body, after the bytes of it that were held.
    pub fn after(mut self, held: Bytes) -> Self {
        self.forwarding = Forwarding::Plain;
        self.received.bytes = held.len();
        self.held = Some(held);
        self
    }

    fn end(&mut self, end: StreamEnd) {
        let connection = self.connection.take();
        self.complete |= end == StreamEnd::Complete;
        if let (Some(connection), StreamEnd::Complete, false) = (connection, end, self.closes) {
            connection.keep(self.keep);
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(end, &self.received);
        }
    }

    /// Ends the body with an error of the backend server.
    fn exceed(&mut self, exceeded: Exceeded) -> BodyError {
        self.end(StreamEnd::Exceeded(exceeded));
        exceeded.into()
    }

    /// Ends the body at its deadline; `at_fault` tells whether the backend server caused that.
    fn end_late(&mut self, at_fault: bool) -> BodyError {
        let ran = self.deadline.deadline().elapsed() < STALL_TIME;
        if at_fault && ran {
            return self.exceed(Exceeded::time(Peer::BackendServer, self.left));
        }
        self.end(StreamEnd::Timeout);
        BodyError::Timeout
    }

    /// Returns whether the backend server is at fault if the body ends at its deadline.
    ///
    /// A backend server that is only slow sends whole events, and not many.
    fn is_at_fault(&self) -> bool {
        match (self.forwarding, self.received.events.tail()) {
            (Forwarding::Plain, _) | (Forwarding::Events, EventTail::Partial) => true,
            (Forwarding::Events, EventTail::Empty) => self.received.bytes > 0,
            (Forwarding::Events, EventTail::Whole) => self.received.bytes > LONG_STREAM_BYTES,
        }
    }

    fn is_complete(&self) -> bool {
        let framing = self.received.framing;
        let is_end_proved = self.connection.as_ref().is_some_and(|c| c.proves_end(framing));
        is_end_proved
            && (self.forwarding == Forwarding::Plain || self.received.is_complete_stream())
    }

    /// Counts bytes and checks them against their bounds before they are forwarded.
    fn accept(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let data = frame.data_ref().map(|d| &**d).unwrap_or_default();
        self.received.bytes += data.len();
        if self.forwarding == Forwarding::Events {
            self.received.events.push(data);
        }
        let now = Instant::now();
        let pause = now.duration_since(std::mem::replace(&mut self.forwarded, now));
        if now >= self.deadline.deadline() {
            let at_fault = pause < CALLER_PAUSE && self.is_at_fault();
            return Err(self.end_late(at_fault));
        }
        self.check_bytes()?;
        if let Some(on_first) = self.on_first.take() {
            on_first();
        }
        if self.forwarding == Forwarding::Plain && self.body.is_end_stream() {
            // The caller takes the last byte of the stated length for the end and reads no further.
            self.end(StreamEnd::Complete);
        }
        Ok(frame)
    }

    fn check_bytes(&mut self) -> Result<(), BodyError> {
        let (bytes, event) = (self.received.bytes, self.received.events.longest());
        let limits = self.limits;
        let (bound, limit) = match self.forwarding {
            Forwarding::Plain if bytes > limits.plain => (Bound::Body, limits.plain),
            Forwarding::Events if bytes > limits.stream => (Bound::Body, limits.stream),
            Forwarding::Events if event > limits.event => (Bound::Event, limits.event),
            _ => return Ok(()),
        };
        Err(self.exceed(Exceeded::count(Peer::BackendServer, bound, limit)))
    }
}

impl HttpBody for ForwardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(held) = self.held.take() {
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        if self.on_end.is_none() {
            let cut = (!self.complete).then_some(Err(BodyError::Truncated));
            return Poll::Ready(cut);
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(self.accept(frame))),
            Poll::Ready(Some(Err(error))) => {
                self.end(read_error(&error));
                Poll::Ready(Some(Err(error.into())))
            }
            Poll::Ready(None) if self.is_complete() => {
                self.end(StreamEnd::Complete);
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.end(StreamEnd::Truncated);
                Poll::Ready(Some(Err(BodyError::Truncated)))
            }
            Poll::Pending => {
                std::task::ready!(self.deadline.as_mut().poll(cx));
                let at_fault = self.is_at_fault();
                Poll::Ready(Some(Err(self.end_late(at_fault))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        // True only once `on_end` has run, because hyper stops polling then.
        self.on_end.is_none() && self.held.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        // With a length from the backend server, the caller would take the last byte of a stream for
        // its end. The length of a plain answer is in its head.
        SizeHint::default()
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        // An answer that was passed on to its end has ended before.
        self.end(StreamEnd::CallerGone);
    }
}
