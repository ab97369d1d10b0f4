//! A TCP connection that reports the bytes that are read from it, and can fail because of them. It also
//! counts the bytes that are written to it.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The bytes that were written to a connection.
#[derive(Debug, Default)]
pub struct Written {
    all: AtomicU64,
    /// The bytes up to the last flush, before which nothing was left to write.
    flushed: AtomicU64,
}

impl Written {
    /// Returns the bytes of whole messages, behind which nothing waits to be written.
    pub fn flushed(&self) -> u64 {
        self.flushed.load(Ordering::Relaxed)
    }

    fn add(&self, count: usize) {
        self.all.fetch_add(count as u64, Ordering::Relaxed);
    }

    fn flush(&self) {
        self.flushed.store(self.all.load(Ordering::Relaxed), Ordering::Relaxed);
    }
}

/// A TCP connection whose reads and flushes are reported; an error of `on_read` fails the read.
#[derive(Debug)]
pub struct WatchedStream<F, G = fn()> {
    stream: TcpStream,
    on_read: F,
    on_flush: G,
    /// The most bytes of one read.
    most: usize,
    written: Arc<Written>,
}

impl<F: FnMut(usize) -> Result<()> + Unpin> WatchedStream<F> {
    /// Wraps a connection; `on_read` gets the number of bytes of each read, 0 at the end.
    pub fn new(stream: TcpStream, on_read: F) -> Self {
        Self { stream, on_read, on_flush: || (), most: usize::MAX, written: Arc::default() }
    }

    /// Reads at most `most` bytes at a time, so that the buffer of whoever reads a fast peer does not grow.
    pub fn reading_at_most(self, most: usize) -> Self {
        Self { most, ..self }
    }

    /// Calls `on_flush` whenever nothing is left to write.
    pub fn reporting_flushes<G: FnMut()>(self, on_flush: G) -> WatchedStream<F, G> {
        let Self { stream, on_read, most, written, .. } = self;
        WatchedStream { stream, on_read, on_flush, most, written }
    }
}

impl<F, G> WatchedStream<F, G> {
    /// Returns the connection itself.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the count of the bytes that are written.
    pub fn written(&self) -> Arc<Written> {
        Arc::clone(&self.written)
    }
}

impl<F: FnMut(usize) -> Result<()> + Unpin, G: Unpin> AsyncRead for WatchedStream<F, G> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let room = buf.remaining().min(self.most);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        Poll::Ready((self.on_read)(count))
    }
}

impl<F: Unpin, G: FnMut() + Unpin> AsyncWrite for WatchedStream<F, G> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.written.add(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.written.add(count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.written.flush();
        (self.on_flush)();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
