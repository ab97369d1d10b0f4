//! Incoming connections that are counted if they end before their handshake.
//!
//! The gRPC server drops a connection whose TLS handshake fails without a word, and asks those that
//! are through for their addresses. [`Watched`] tells the two apart.

use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::throttle::Throttle;
use std::io::{IoSlice, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tonic::transport::server::{Connected, TcpConnectInfo};

/// Counts the connections that were refused.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    count: AtomicU64,
    throttle: Throttle,
}

impl Refusals {
    /// Returns the number of refused connections.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    fn note(&self, peer: SocketAddr) {
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        if self.throttle.permits(clock::now()) {
            event!(EventCode::ConnectionRefused, peer = peer, count = count);
        }
    }
}

/// An incoming connection.
pub(super) struct Watched {
    stream: TcpStream,
    peer: Option<SocketAddr>,
    refusals: Arc<Refusals>,
    /// Whether the server has taken the connection, which it does after the handshake.
    taken: AtomicBool,
}

impl Watched {
    /// Watches a connection that was just accepted.
    pub fn new(stream: TcpStream, refusals: &Arc<Refusals>) -> Self {
        let (peer, refusals) = (stream.peer_addr().ok(), Arc::clone(refusals));
        Self { stream, peer, refusals, taken: AtomicBool::new(false) }
    }
}

impl Connected for Watched {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.taken.store(true, Ordering::Relaxed);
        self.stream.connect_info()
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let is_taken = self.taken.load(Ordering::Relaxed);
        if let (Some(peer), false) = (self.peer, is_taken) {
            self.refusals.note(peer);
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
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
