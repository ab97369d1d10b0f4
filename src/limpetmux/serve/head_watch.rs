//! Bounds what a backend server sends before the head of its answer, and tells whether it has begun.
//!
//! hyper bounds the bytes and the number of headers of one head, but reads any number of
//! informational answers before it. A [`HeadWatch`] counts them. It also counts the bytes that arrive
//! after a request was sent, which tell an answer that drips from one that has not begun.

use crate::core::read_limits::MAX_INFORMATIONAL;
use hyper::Request;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The number of bytes that were read from a connection.
pub type BytesRead = Arc<AtomicU64>;

/// Follows what arrives for one request; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct HeadWatch {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    informational: AtomicUsize,
    too_many: Notify,
    /// The connection that carries the request, and what was read from it before.
    sent_on: Mutex<Option<(BytesRead, u64)>>,
}

impl HeadWatch {
    /// Counts the informational answers to a request.
    pub(super) fn attach<B>(&self, request: &mut Request<B>) {
        let inner = Arc::clone(&self.inner);
        hyper::ext::on_informational(request, move |_| {
            if inner.informational.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
                inner.too_many.notify_one();
            }
        });
    }

    /// Follows the bytes of the connection on which the request is about to be sent.
    pub(super) fn send_on(&self, read: &BytesRead) {
        let mut sent_on = self.inner.sent_on.lock().unwrap_or_else(PoisonError::into_inner);
        *sent_on = Some((Arc::clone(read), read.load(Ordering::Relaxed)));
    }

    /// Waits until there are too many informational answers.
    pub(super) async fn too_many(&self) {
        self.inner.too_many.notified().await;
    }

    /// Returns whether bytes have arrived since the request was sent.
    pub fn has_begun(&self) -> bool {
        let sent_on = self.inner.sent_on.lock().unwrap_or_else(PoisonError::into_inner);
        sent_on.as_ref().is_some_and(|(read, before)| read.load(Ordering::Relaxed) > *before)
    }
}

/// A TCP connection that counts the bytes that are read from it.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    read: BytesRead,
}

impl CountedStream {
    pub(super) fn new(stream: TcpStream, read: BytesRead) -> Self {
        Self { stream, read }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        self.read.fetch_add(count as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
