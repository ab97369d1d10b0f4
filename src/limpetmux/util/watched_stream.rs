//! A TCP connection that reports the bytes that are read from it, and can fail because of them.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A TCP connection whose reads are reported; an error of `on_read` fails the read.
#[derive(Debug)]
pub struct WatchedStream<F> {
    stream: TcpStream,
    on_read: F,
}

impl<F: FnMut(usize) -> Result<()> + Unpin> WatchedStream<F> {
    /// Wraps a connection; `on_read` gets the number of bytes of each read, 0 at the end.
    pub fn new(stream: TcpStream, on_read: F) -> Self {
        Self { stream, on_read }
    }
}

impl<F> WatchedStream<F> {
    /// Returns the connection itself.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }
}

impl<F: FnMut(usize) -> Result<()> + Unpin> AsyncRead for WatchedStream<F> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        Poll::Ready((self.on_read)(count))
    }
}

impl<F: Unpin> AsyncWrite for WatchedStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
