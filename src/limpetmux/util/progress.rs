//! A connection that fails if its peer takes no bytes for too long while there are some to take.
//!
//! The time that the operating system offers for this counts from the first byte that waits, so it also
//! ends connections whose peer takes bytes steadily, but slowly. Here each byte that is taken starts the
//! time anew; `docs/design/reads.md` lists it with the other bounds.

use super::event::EventCode;
use super::metrics::{Metric, Metrics};
use crate::core::read_limits::Peer;
use crate::event;
use std::fmt::Display;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// The peer took none of the bytes that wait for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer has taken nothing for {} ms", .0.as_millis())]
pub struct Stalled(pub Duration);

impl Stalled {
    /// Returns the stall that ended a connection, if one did.
    pub fn of(error: &hyper::Error) -> Option<Self> {
        let source = std::error::Error::source(error)?.downcast_ref::<Error>()?;
        source.get_ref()?.downcast_ref().copied()
    }

    /// Logs and counts a connection that ended; `subject` is the address of the peer.
    pub fn record(self, metrics: &Metrics, peer: Peer, subject: impl Display) {
        metrics.count(Metric::WritesStopped, 1, &[("peer", peer.into())]);
        let limit_ms = self.0.as_millis();
        event!(EventCode::WriteStopped, peer = peer, limit_ms = limit_ms, subject = subject);
    }
}

/// A connection whose writes fail once its peer has taken nothing for a time.
#[derive(Debug)]
pub struct ProgressStream<S> {
    stream: S,
    limit: Duration,
    /// Ends the wait of a write; absent while none waits.
    end: Option<Pin<Box<Sleep>>>,
}

impl<S> ProgressStream<S> {
    /// Wraps a connection whose peer may pause for `limit`.
    pub fn new(stream: S, limit: Duration) -> Self {
        Self { stream, limit, end: None }
    }

    /// Returns the connection itself.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Follows the result of a write.
    fn watch(&mut self, cx: &mut Context<'_>, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if written.is_ready() {
            self.end = None;
            return written;
        }
        let limit = self.limit;
        let end = self.end.get_or_insert_with(|| Box::pin(sleep(limit)));
        std::task::ready!(end.as_mut().poll(cx));
        Poll::Ready(Err(Error::new(ErrorKind::TimedOut, Stalled(limit))))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ProgressStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ProgressStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.watch(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
