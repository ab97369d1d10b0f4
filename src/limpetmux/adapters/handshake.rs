//! Counts incoming connections that end before their handshake is complete.
//!
//! The gRPC server drops a connection without notice if its TLS handshake fails, and otherwise
//! calls [`Connected::connect_info`] after the handshake. [`Incoming`] uses this to tell failed
//! handshakes from complete ones.

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

/// Counts and logs connections that ended before their handshake was complete.
#[derive(Debug, Default)]
pub(super) struct HandshakeFailures {
    count: AtomicU64,
    throttle: Throttle,
}

impl HandshakeFailures {
    /// Returns the number of connections counted so far.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    fn record(&self, peer: SocketAddr) {
        let count = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        if self.throttle.permits(clock::now()) {
            event!(EventCode::ConnectionRefused, peer = peer, count = count);
        }
    }
}

/// An incoming connection.
pub(super) struct Incoming {
    stream: TcpStream,
    peer: Option<SocketAddr>,
    failures: Arc<HandshakeFailures>,
    /// Whether the server has accepted the connection, which it does after the handshake.
    accepted: AtomicBool,
}

impl Incoming {
    /// Wraps a TCP connection from a listener.
    pub fn new(stream: TcpStream, failures: &Arc<HandshakeFailures>) -> Self {
        let (peer, failures) = (stream.peer_addr().ok(), Arc::clone(failures));
        Self { stream, peer, failures, accepted: AtomicBool::new(false) }
    }
}

impl Connected for Incoming {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.accepted.store(true, Ordering::Relaxed);
        self.stream.connect_info()
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        let is_accepted = self.accepted.load(Ordering::Relaxed);
        if let (Some(peer), false) = (self.peer, is_accepted) {
            self.failures.record(peer);
        }
    }
}

impl AsyncRead for Incoming {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Incoming {
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
