//! Sends calls to the store on connections that read a bounded number of bytes for each answer.
//!
//! A [`Budget`] between the socket and the HTTP client counts all bytes of an answer: the head,
//! informational answers before it, the framing of the body and trailers. At its limit the
//! connection fails, and the call ends with an [`Exceeded`].

use super::names;
use crate::core::log_position::StoreEra;
use crate::core::read_limits::{Bound, Exceeded, MAX_HEAD_BYTES, MAX_HEADERS, Peer};
use crate::util::read_body::read_body;
use crate::util::watched_stream::WatchedStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// The time allowed for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// The time after which unacknowledged bytes close a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The most idle connections that are kept.
const MAX_IDLE: usize = 4;
/// The most bytes read before the head of an answer is known: informational answers, the head, and
/// what the HTTP client has read of the body by then.
const MAX_BYTES_TO_HEAD: usize = 8 * MAX_HEAD_BYTES;
/// How many bytes may be read for each byte that the body may have, because of its chunks.
const FRAMING_FACTOR: usize = 2;

/// Why a call has no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection could be established.
    #[error("no connection could be established")]
    Connect(#[source] io::Error),
    /// The connection failed before the end of the answer.
    #[error("the connection failed before the end of the answer")]
    Broken(#[source] hyper::Error),
    /// The answer exceeds a bound.
    #[error(transparent)]
    Exceeded(#[from] Exceeded),
    /// The answer states an era that is no number.
    #[error("the answer states an era that cannot be read")]
    Era,
}

/// An answer of the store, whatever its status.
#[derive(Debug)]
pub(super) struct StoreAnswer {
    pub(super) status: StatusCode,
    /// The era in which it was given; the first one if the store states none.
    pub(super) era: StoreEra,
    /// The body; empty for an answer without success.
    pub(super) body: Bytes,
}

impl From<hyper::Error> for CallError {
    fn from(error: hyper::Error) -> Self {
        if error.is_parse_too_large() {
            return Exceeded::count(Peer::Store, Bound::Head, MAX_HEAD_BYTES).into();
        }
        let io = error.source().and_then(|s| s.downcast_ref::<io::Error>());
        let stop = io.and_then(io::Error::get_ref).and_then(|e| e.downcast_ref::<Exceeded>());
        stop.copied().map_or(Self::Broken(error), Self::Exceeded)
    }
}

/// How many bytes may be read for the current answer.
#[derive(Debug, Default)]
struct Budget {
    limit: AtomicUsize,
    left: AtomicUsize,
    head_known: AtomicBool,
}

impl Budget {
    /// Begins with an answer whose head is not known.
    fn begin(&self) {
        self.head_known.store(false, Ordering::Relaxed);
        self.limit.store(MAX_BYTES_TO_HEAD, Ordering::Relaxed);
        self.left.store(MAX_BYTES_TO_HEAD, Ordering::Relaxed);
    }

    /// Continues with a body of at most `limit` bytes.
    fn begin_body(&self, limit: usize) {
        self.head_known.store(true, Ordering::Relaxed);
        self.limit.fetch_add(FRAMING_FACTOR * limit, Ordering::Relaxed);
        self.left.fetch_add(FRAMING_FACTOR * limit, Ordering::Relaxed);
    }

    fn take(&self, count: usize) -> Result<(), Exceeded> {
        let taken =
            self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |l| l.checked_sub(count));
        let bound = if self.head_known.load(Ordering::Relaxed) { Bound::Body } else { Bound::Head };
        let limit = self.limit.load(Ordering::Relaxed);
        taken.map(drop).map_err(|_| Exceeded::count(Peer::Store, bound, limit))
    }
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    budget: Arc<Budget>,
    expires: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The connections to a store; cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct Connections {
    addr: SocketAddr,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl Connections {
    pub(super) fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: Arc::default() }
    }

    /// Sends a call and reads its answer, whose body has at most `limit` bytes.
    ///
    /// A call that was not sent because an idle connection closed goes out on another one. The body
    /// of an answer without success is not read, and its connection closes.
    pub(super) async fn call(
        &self,
        mut request: Request<Full<Bytes>>,
        limit: usize,
    ) -> Result<StoreAnswer, CallError> {
        while let Some(mut connection) = self.take_idle() {
            connection.budget.begin();
            match connection.sender.try_send_request(request).await {
                Ok(answer) => return self.finish(connection, answer, limit).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let mut connection = connect(self.addr).await?;
        connection.budget.begin();
        let answer = connection.sender.send_request(request).await?;
        self.finish(connection, answer, limit).await
    }

    async fn finish(
        &self,
        connection: Connection,
        answer: Response<Incoming>,
        limit: usize,
    ) -> Result<StoreAnswer, CallError> {
        let (status, era) = (answer.status(), era(&answer)?);
        if !status.is_success() {
            return Ok(StoreAnswer { status, era, body: Bytes::new() });
        }
        connection.budget.begin_body(limit);
        let body = read_body::<CallError>(answer.into_body(), Peer::Store, limit).await?;
        self.keep(connection);
        Ok(StoreAnswer { status, era, body })
    }

    fn keep(&self, mut connection: Connection) {
        connection.expires = Instant::now() + IDLE_TIMEOUT;
        let mut idle = self.lock();
        if !connection.sender.is_closed() && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn take_idle(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|c| c.expires > now && c.sender.is_ready());
        idle.pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the era in which an answer was given.
fn era(answer: &Response<Incoming>) -> Result<StoreEra, CallError> {
    let Some(value) = answer.headers().get(names::STORE_ERA) else {
        return Ok(StoreEra::default());
    };
    let era = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    era.map(StoreEra).ok_or(CallError::Era)
}

/// Wraps a connection so that it fails once more bytes have been read than are left.
fn metered(
    stream: TcpStream,
    budget: Arc<Budget>,
) -> WatchedStream<impl FnMut(usize) -> io::Result<()>> {
    WatchedStream::new(stream, move |count| budget.take(count).map_err(io::Error::other))
}

async fn connect(addr: SocketAddr) -> Result<Connection, CallError> {
    let late = |_| CallError::Connect(io::ErrorKind::TimedOut.into());
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.map_err(late)?;
    let stream = stream.map_err(CallError::Connect)?;
    stream.set_nodelay(true).map_err(CallError::Connect)?;
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)).map_err(CallError::Connect)?;
    let budget = Arc::new(Budget::default());
    let stream = metered(stream, Arc::clone(&budget));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "limpetmux", "connection to the store closed: {error}");
        }
    });
    Ok(Connection { sender, driver, budget, expires: Instant::now() })
}
