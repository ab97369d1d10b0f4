//! Connections that a handler can cut, as a process crash or a network failure does.
//!
//! An HTTP library ends a response with a failing body cleanly, and the caller takes it for
//! complete. Cutting the connection below the library is the only way to lose an answer.

use poem::Request;
use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Cuts the connection that a request arrived on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cutter(Arc<AtomicBool>);

impl Cutter {
    /// Fails all further writes; unwritten data is lost.
    pub(crate) fn cut(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    fn check(&self) -> Result<()> {
        let cut = self.0.load(Ordering::SeqCst);
        if cut { Err(Error::from(ErrorKind::ConnectionReset)) } else { Ok(()) }
    }
}

/// The cutters of the open connections, by the caller's address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections(Arc<Mutex<BTreeMap<SocketAddr, Cutter>>>);

impl Connections {
    fn map(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Cutter>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cutter of the connection that a request arrived on.
    pub(crate) fn cutter(&self, request: &Request) -> Cutter {
        let addr = request.remote_addr().as_socket_addr();
        addr.and_then(|a| self.map().get(a).cloned()).unwrap_or_default()
    }
}

/// Accepts connections that can be cut.
pub(crate) struct CutAcceptor {
    pub(crate) inner: TcpAcceptor,
    pub(crate) connections: Connections,
}

impl Acceptor for CutAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, scheme) = self.inner.accept().await?;
        let cutter = Cutter::default();
        let peer = stream.peer_addr()?;
        self.connections.map().insert(peer, cutter.clone());
        let connections = self.connections.clone();
        Ok((Connection { stream, cutter, peer, connections }, local, remote, scheme))
    }
}

/// One accepted connection.
pub(crate) struct Connection {
    stream: TcpStream,
    cutter: Cutter,
    peer: SocketAddr,
    connections: Connections,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.map().remove(&self.peer);
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.cutter.check()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        self.cutter.check()?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
