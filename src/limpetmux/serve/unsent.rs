//! Counts a request as running until its answer was written to the connection of its caller.
//!
//! The HTTP server holds the end of an answer while a caller takes it slowly. A process that exited
//! meanwhile would cut it. What the operating system has taken is sent after the exit, too. See
//! `docs/design/platform.md`.

use super::request::Running;
use super::stream::{Body, BodyError};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

/// The answers of one connection that were not written yet; cheap to clone.
#[derive(Clone, Default)]
pub(super) struct Unsent(Arc<Mutex<Answers>>);

#[derive(Default)]
struct Answers {
    /// The answers of which the HTTP server has not taken all yet.
    open: usize,
    /// Counts the latest request while an answer waits, which is enough to keep the process.
    running: Option<Running>,
}

impl Unsent {
    /// Returns the body of an answer, which counts `running` until it was written.
    pub(super) fn hold(&self, running: Running, body: Body) -> Body {
        let mut answers = self.lock();
        answers.open += 1;
        answers.running = Some(running);
        HeldBody { body, unsent: self.clone() }.boxed_unsync()
    }

    /// Records that all bytes that the HTTP server has taken were written.
    pub(super) fn flushed(&self) {
        let mut answers = self.lock();
        if answers.open == 0 {
            answers.running = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Answers> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The body of an answer; it is dropped once the HTTP server has taken all of it.
struct HeldBody {
    body: Body,
    unsent: Unsent,
}

impl HttpBody for HeldBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.unsent.lock().open -= 1;
    }
}
