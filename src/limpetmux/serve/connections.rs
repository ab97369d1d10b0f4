//! A pool of HTTP/1 connections to backend servers.
//!
//! A connection carries at most one request at a time. It returns to the pool only after a complete
//! answer to its request and is closed in every other case, so that late bytes cannot be taken for
//! the answer to another request. A request that was sent before goes out on a new connection, where
//! no copy of an earlier answer to it can arrive. Errors state whether the request was sent.

use super::head_watch::{BytesRead, HeadWatch, counted};
use crate::core::event_stream::Framing;
use crate::core::read_limits::{Bound, Exceeded, MAX_HEAD_BYTES, MAX_INFORMATIONAL, Peer};
use crate::event;
use crate::util::event::EventCode;
use crate::util::watched_stream::Written;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use strum::IntoStaticStr;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// The time allowed for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The time after which unacknowledged bytes close a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The idle time before the first TCP keep-alive probe, and the time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The unanswered keep-alive probes after which a connection of a peer closes.
const MAX_PROBES: u32 = 2;
/// The bytes that the system buffers of an answer or a request beyond those that the peer has room for.
const UNSENT_BYTES: u32 = 64 * 1024;
/// How long an idle connection is kept, unless its backend server states a shorter time.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// How much earlier than its backend server an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// The most idle connections to one backend server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// No connection was established, so nothing was sent.
    #[error("no connection could be established")]
    Connect(#[source] std::io::Error),
    /// The connection closed before the request was sent.
    #[error("the connection closed before the request was sent")]
    Unsent(#[source] hyper::Error),
    /// The connection closed after at least a part of the request was sent.
    #[error("the connection closed after the request was sent")]
    Broken(#[source] hyper::Error),
    /// The bytes that arrived are no head of an answer, or one that exceeds a bound.
    #[error("the head of the answer cannot be read")]
    Unreadable(#[source] hyper::Error),
    /// There were too many informational answers.
    #[error("the informational answers do not end")]
    Informational,
}

impl ConnectionError {
    /// Returns whether the backend server cannot have received the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unsent(_))
    }

    /// Returns the bound at which reading from a peer stopped, if it is the reason.
    pub fn exceeded(&self, peer: Peer) -> Option<Exceeded> {
        match self {
            Self::Unreadable(error) if error.is_parse_too_large() => {
                Some(Exceeded::count(peer, Bound::Head, MAX_HEAD_BYTES))
            }
            Self::Informational => Some(Exceeded::count(peer, Bound::Count, MAX_INFORMATIONAL)),
            _ => None,
        }
    }

    /// Creates the error of a request that was sent.
    fn sent(error: hyper::Error) -> Self {
        if error.is_parse() { Self::Unreadable(error) } else { Self::Broken(error) }
    }
}

/// Whether a request may go out on a connection that has carried others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any connection may be used.
    Allowed,
    /// Only a new connection may be used.
    Forbidden,
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    expires: Instant,
    /// The requests that were answered on it before.
    earlier: u32,
    read: BytesRead,
    written: Arc<Written>,
    /// The bytes that were written before the last request, and those of its body.
    sent_at: u64,
    /// Whether the last request was written whole when the head of its answer arrived.
    sent_first: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The pool of one process; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Connection>>>>,
}

/// A connection from which an answer is being read; dropping it closes the connection.
#[derive(Debug)]
pub struct ActiveConnection {
    connection: Connection,
    addr: SocketAddr,
    pool: ConnectionPool,
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer.
    ///
    /// An idle connection that closes before the request is sent is replaced by another one.
    ///
    /// # Errors
    /// Returns [`ConnectionError`], which states whether the request was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<(Response<Incoming>, ActiveConnection), ConnectionError> {
        self.send_watched(addr, request, reuse, &HeadWatch::default()).await
    }

    /// Sends a request as [`send`](Self::send) does; `watch` follows what arrives for it.
    ///
    /// # Errors
    /// Returns [`ConnectionError`], which states whether the request was sent.
    pub async fn send_watched(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
        watch: &HeadWatch,
    ) -> Result<(Response<Incoming>, ActiveConnection), ConnectionError> {
        let mut request = request;
        watch.attach(&mut request);
        let idle = || (reuse == Reuse::Allowed).then(|| self.take_idle(addr)).flatten();
        while let Some(mut connection) = idle() {
            match connection.send(request, watch).await {
                Ok(answer) => return Ok((answer, self.active(addr, connection))),
                Err(NoHead::Ended(error)) => return Err(error),
                Err(NoHead::Unsent(unsent, _)) => {
                    let earlier = connection.earlier;
                    event!(EventCode::ConnectionReplaced, addr = addr, earlier = earlier);
                    request = *unsent;
                }
            }
        }
        let mut connection = connect(addr).await?;
        match connection.send(request, watch).await {
            Ok(answer) => Ok((answer, self.active(addr, connection))),
            Err(NoHead::Ended(error)) => Err(error),
            Err(NoHead::Unsent(_, error)) => Err(ConnectionError::Unsent(error)),
        }
    }

    /// Closes idle connections that have expired or whose backend server has closed them.
    pub fn close_idle(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        for connections in idle.values_mut() {
            connections.retain(|c| c.expires > now && !c.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&addr)?;
        while let Some(connection) = connections.pop() {
            if connection.expires > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn active(&self, addr: SocketAddr, connection: Connection) -> ActiveConnection {
        ActiveConnection { connection, addr, pool: self.clone() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a connection returned no head of an answer.
enum NoHead {
    /// It closed before the request was sent.
    Unsent(Box<Request<Full<Bytes>>>, hyper::Error),
    /// The request was sent.
    Ended(ConnectionError),
}

impl Connection {
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        watch: &HeadWatch,
    ) -> Result<Response<Incoming>, NoHead> {
        watch.send_on(&self.read);
        let body = request.body().size_hint().lower();
        self.sent_at = self.written.flushed().saturating_add(body);
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = watch.too_many() => return Err(NoHead::Ended(ConnectionError::Informational)),
        };
        // The head goes before the body, so a flush behind more bytes than the body has is one behind the
        // whole request, unless both are so short that they are written at once.
        self.sent_first = self.written.flushed() > self.sent_at;
        sent.map_err(|mut error| match error.take_message() {
            Some(unsent) => NoHead::Unsent(Box::new(unsent), error.into_error()),
            None => NoHead::Ended(ConnectionError::sent(error.into_error())),
        })
    }
}

impl ActiveConnection {
    /// Returns how many requests were answered on the connection before this one.
    pub fn earlier(&self) -> u32 {
        self.connection.earlier
    }

    /// Returns whether the end of an answer whose body ended without an error shows that it is whole.
    ///
    /// An answer that ends with its connection may be cut if it began before the request was sent whole: the
    /// connection of a backend server that ends while it reads closes in order if it has just read all that
    /// had arrived, and a reset may be seen by the request's write alone. That the request was sent whole
    /// before the end shows nothing, as the system takes megabytes that the backend server never reads.
    pub fn proves_end(&self, framing: Framing) -> bool {
        framing != Framing::Connection || self.connection.sent_first
    }

    /// Returns the connection to the pool after its answer was read to the end.
    ///
    /// `keep` is how long the backend server keeps an idle connection, if it states that.
    pub fn keep(mut self, keep: Option<Duration>) {
        let idle = keep.map_or(MAX_IDLE, |k| k.saturating_sub(IDLE_MARGIN).min(MAX_IDLE));
        if idle.is_zero() || self.connection.sender.is_closed() {
            return;
        }
        self.connection.expires = Instant::now() + idle;
        self.connection.earlier += 1;
        let Self { connection, addr, pool } = self;
        let mut idle_by_addr = pool.lock();
        let kept = idle_by_addr.entry(addr).or_default();
        if kept.len() < MAX_IDLE_PER_SERVER {
            kept.push(connection);
        }
    }
}

/// What an attempt to connect shows about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Listener {
    /// It accepts connections.
    Present,
    /// Its host refuses connections to its address, so its process has ended.
    Absent,
    /// There was no answer in time, or none that shows either.
    Unknown,
}

/// Finds out whether a backend server accepts connections, by one that carries no request.
pub async fn find_listener(addr: SocketAddr) -> Listener {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => Listener::Present,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Listener::Absent,
        Ok(Err(_)) | Err(_) => Listener::Unknown,
    }
}

async fn connect(addr: SocketAddr) -> Result<Connection, ConnectionError> {
    let timed_out = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = stream
        .map_err(|_| ConnectionError::Connect(timed_out()))?
        .map_err(ConnectionError::Connect)?;
    set_timeouts(&stream).map_err(ConnectionError::Connect)?;
    let read = BytesRead::default();
    let stream = counted(stream, Arc::clone(&read));
    let written = stream.written();
    let stream = TokioIo::new(stream);
    // hyper allows 100 headers by default; setting their number costs an allocation for each head.
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
    let (sender, connection) = handshake.map_err(ConnectionError::Unsent)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "limpetmux", "connection to {addr} closed: {error}");
        }
    });
    Ok(Connection {
        sender,
        driver,
        expires: Instant::now(),
        earlier: 0,
        read,
        written,
        sent_at: 0,
        sent_first: false,
    })
}

/// Sets socket options that close a connection whose peer does not answer any more, also while the peer
/// does not take the bytes that it was sent.
fn set_timeouts(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    // Where the system lacks this option, more of a request counts as sent than the peer has room for.
    let _ = socket.set_tcp_notsent_lowat(UNSENT_BYTES);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes)
}

/// Sets socket options of a connection that the peer has opened. They close it if the peer does not
/// answer any more, but not if it takes bytes slowly; [`crate::util::progress`] bounds that.
pub fn set_probes(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // Where the system lacks this option, the progress of a write is seen in larger steps only.
    let _ = socket.set_tcp_notsent_lowat(UNSENT_BYTES);
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_interval(KEEPALIVE_INTERVAL).with_retries(MAX_PROBES))
}
