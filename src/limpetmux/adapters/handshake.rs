//! Incoming connections: counts those that end before their handshake is complete, and closes those
//! that have no call for too long.
//!
//! The gRPC server drops a connection without notice if its TLS handshake fails, and otherwise
//! calls [`Connected::connect_info`] after the handshake. [`Incoming`] uses this to tell failed
//! handshakes from complete ones.

use super::activity::Activity;
use super::admission::Admission;
use super::channel::HANDSHAKE_TIMEOUT;
use crate::core::read_limits::{Exceeded, Peer};
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::read_stop;
use crate::util::throttle::Throttle;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep};
use tonic::transport::server::Connected;

/// The bytes that a client sends before anything else, over HTTP/2 and at least over TLS.
const PREFACE_BYTES: usize = 24;

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
    admission: Arc<Admission>,
    /// Whether the server has accepted the connection, which it does after the handshake.
    accepted: AtomicBool,
    /// The end of the time for the preface, until it has arrived.
    end: Option<Pin<Box<Sleep>>>,
    /// The bytes of the preface that have arrived.
    preface: usize,
    activity: Activity,
    /// The end of the time without a call, or an earlier moment.
    idle: Pin<Box<Sleep>>,
    _permit: OwnedSemaphorePermit,
}

impl Incoming {
    /// Wraps a TCP connection from a listener, unless there are too many.
    pub fn admit(stream: TcpStream, admission: &Arc<Admission>) -> Option<Self> {
        let peer = stream.peer_addr().ok();
        Some(Self {
            _permit: admission.admit(peer)?,
            stream,
            peer,
            admission: Arc::clone(admission),
            accepted: AtomicBool::new(false),
            end: Some(Box::pin(tokio::time::sleep(HANDSHAKE_TIMEOUT))),
            preface: 0,
            activity: Activity::new(),
            idle: Box::pin(tokio::time::sleep(admission.bounds.idle)),
        })
    }

    /// Returns an error if the connection has had no call for too long.
    ///
    /// That is no fault of the peer, which has no call to make, and is not recorded.
    fn check_idle(&mut self, cx: &mut Context<'_>) -> Result<()> {
        let limit = self.admission.bounds.idle;
        while self.idle.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            let end = self.activity.idle_since().unwrap_or(now) + limit;
            if end <= now {
                return Err(Error::new(ErrorKind::TimedOut, "the connection has no calls"));
            }
            self.idle.as_mut().reset(end);
        }
        Ok(())
    }

    /// Returns an error if the peer has not sent its preface in time.
    fn check_time(&mut self, cx: &mut Context<'_>) -> Result<()> {
        let Some(end) = &mut self.end else { return Ok(()) };
        if end.as_mut().poll(cx).is_pending() {
            return Ok(());
        }
        let exceeded = Exceeded::time(Peer::Node, HANDSHAKE_TIMEOUT);
        if self.admission.failures.throttle.permits(clock::now()) {
            read_stop::log(exceeded, self.peer.map(|p| p.to_string()).unwrap_or_default());
        }
        Err(Error::new(ErrorKind::TimedOut, exceeded))
    }
}

impl Connected for Incoming {
    /// The calls of the connection, for the service that counts them.
    type ConnectInfo = Activity;

    fn connect_info(&self) -> Activity {
        self.accepted.store(true, Ordering::Relaxed);
        self.activity.clone()
    }
}

impl Drop for Incoming {
    fn drop(&mut self) {
        let is_accepted = self.accepted.load(Ordering::Relaxed);
        if let (Some(peer), false) = (self.peer, is_accepted) {
            self.admission.failures.record(peer);
        }
    }
}

impl AsyncRead for Incoming {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let start = buffer.filled().len();
        if Pin::new(&mut self.stream).poll_read(cx, buffer)?.is_pending() {
            // Bytes that have arrived are read first, however late this process gets to them.
            self.check_time(cx)?;
            self.check_idle(cx)?;
            return Poll::Pending;
        }
        if self.end.is_some() {
            self.preface += buffer.filled().len() - start;
            self.end = self.end.take().filter(|_| self.preface < PREFACE_BYTES);
        }
        Poll::Ready(Ok(()))
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
