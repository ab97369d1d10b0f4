//! Bounds the time in which a caller sends the head of a request.
//!
//! The HTTP server bounds a head in bytes only, and an idle connection only while no byte arrives.
//! [`TimedStream`] follows the bytes of a connection in both directions and fails its read if a head
//! that began does not end in time. The body is bounded where it is read.

use super::Entry;
use super::http::record_stop;
use crate::core::read_limits::{Exceeded, Peer};
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// The time from the first byte of a head to its last.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// The most bytes of one read; the buffer of a connection grows while reads fill it.
const READ_BYTES: usize = 8 * 1024 - 1;
/// The first bytes of an HTTP/2 connection.
const HTTP2_PREFACE: &[u8] = b"PRI ";
/// The first bytes of an answer after which the body of the same request follows.
const CONTINUE: &[u8] = b"HTTP/1.1 100";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The bytes of the head of an HTTP/2 frame.
const FRAME_HEAD_BYTES: usize = 9;
/// The type of the HTTP/2 frame that checks a connection, and of that which announces its close.
const PING: u8 = 6;
const GOAWAY: u8 = 7;

/// Accepts connections whose heads are bounded in time.
pub(super) struct TimedAcceptor {
    inner: TcpAcceptor,
    entry: Arc<Entry>,
}

impl TimedAcceptor {
    pub(super) fn new(inner: TcpAcceptor, entry: Arc<Entry>) -> Self {
        Self { inner, entry }
    }
}

impl Acceptor for TimedAcceptor {
    type Io = TimedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(
        &mut self,
    ) -> Result<(Self::Io, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        let (stream, local, remote, scheme) = self.inner.accept().await?;
        Ok((TimedStream::new(stream, Arc::clone(&self.entry)), local, remote, scheme))
    }
}

/// Follows the bytes of a connection to find the heads of its requests.
#[derive(Debug, Default)]
struct HeadScan {
    /// The last bytes that arrived, at most as many as end a head.
    tail: Vec<u8>,
    /// Whether bytes arrived since the last answer, without a head that ended.
    in_head: bool,
    /// Whether a head ended since the last answer.
    has_head: bool,
    is_http2: bool,
    is_known: bool,
}

impl HeadScan {
    /// Reads bytes that arrived; returns whether they begin a head.
    fn receive(&mut self, bytes: &[u8]) -> bool {
        if self.has_head && self.is_known {
            return false;
        }
        let mut seen = std::mem::take(&mut self.tail);
        seen.extend_from_slice(bytes);
        if !self.is_known {
            self.is_http2 = seen.starts_with(HTTP2_PREFACE);
            self.is_known = seen.len() >= HTTP2_PREFACE.len();
        }
        let is_first = !self.in_head && !self.has_head;
        let ends = !self.is_http2 && seen.windows(HEAD_END.len()).any(|w| w == HEAD_END);
        self.has_head |= ends;
        self.in_head = !self.has_head;
        self.tail = seen.split_off(seen.len().saturating_sub(HEAD_END.len() - 1));
        is_first
    }

    /// Reads bytes of an answer, after which another head may follow.
    fn answer(&mut self, bytes: &[u8]) {
        if bytes.starts_with(CONTINUE) || self.is_http2 && announces_close(bytes) {
            return;
        }
        (self.in_head, self.has_head) = (false, false);
        self.tail.clear();
    }
}

/// Returns whether bytes are whole HTTP/2 frames that announce the close of the connection, which is
/// no answer.
fn announces_close(bytes: &[u8]) -> bool {
    let (mut rest, mut announced) = (bytes, false);
    while let Some((head, body)) = rest.split_at_checked(FRAME_HEAD_BYTES) {
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        let (Some(next), PING | GOAWAY) = (body.get(length..), head[3]) else { return false };
        announced |= head[3] == GOAWAY;
        rest = next;
    }
    announced && rest.is_empty()
}

/// A connection whose read fails if a head takes too long.
pub(super) struct TimedStream {
    stream: TcpStream,
    scan: HeadScan,
    end: Pin<Box<Sleep>>,
    entry: Arc<Entry>,
}

impl TimedStream {
    fn new(stream: TcpStream, entry: Arc<Entry>) -> Self {
        let end = Box::pin(tokio::time::sleep(HEAD_TIMEOUT));
        Self { stream, scan: HeadScan::default(), end, entry }
    }

    /// Returns the time for a head. Over HTTP/2 a head is not told apart from other bytes, and an
    /// answer may take as long as a request may run.
    fn limit(&self) -> Duration {
        match self.scan.is_http2 {
            true => HEAD_TIMEOUT + self.entry.limits.max_deadline,
            false => HEAD_TIMEOUT,
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let was_http2 = self.scan.is_http2;
        let begins = !bytes.is_empty() && self.scan.receive(bytes);
        if begins || self.scan.is_http2 != was_http2 {
            let end = Instant::now() + self.limit();
            self.end.as_mut().reset(end);
        }
    }

    /// Returns an error if the head that is being read has taken too long.
    fn check_time(&mut self, cx: &mut Context<'_>) -> Result<()> {
        if !self.scan.in_head || self.end.as_mut().poll(cx).is_pending() {
            return Ok(());
        }
        let exceeded = Exceeded::time(Peer::Caller, self.limit());
        let peer = self.stream.peer_addr().map(|a| a.to_string()).unwrap_or_default();
        record_stop(&self.entry, exceeded, peer);
        Err(Error::new(ErrorKind::TimedOut, exceeded))
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let start = buffer.filled().len();
        let count = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(count));
        let read = Pin::new(&mut self.stream).poll_read(cx, &mut part)?;
        let count = part.filled().len();
        buffer.advance(count);
        if read.is_pending() {
            // Bytes that have arrived are read first, however late this process gets to them.
            self.check_time(cx)?;
            return Poll::Pending;
        }
        self.receive(&buffer.filled()[start..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<Result<usize>> {
        self.scan.answer(data);
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        if let Some(first) = data.iter().find(|slice| !slice.is_empty()) {
            self.scan.answer(first);
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, data)
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
