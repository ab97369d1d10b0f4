//! Connections to backend servers: kept, reused, and ended without doubt about what was sent.
//!
//! At most one request at a time is on a connection. A connection goes back to the pool only after
//! a whole answer to its own request; in every other case it is closed, so that bytes that come
//! late cannot meet another request.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// The time allowed for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The time after which bytes that were not acknowledged end a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The time without bytes after which the other side is asked whether it is there.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// How long a connection is kept without a request if its backend server does not say.
const IDLE: Duration = Duration::from_secs(4);
/// How much earlier than its backend server a connection without a request is closed.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// The most connections without a request for each backend server.
const IDLE_LINKS: usize = 16;

/// Why no answer came.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// No connection came about, so nothing was sent.
    #[error("no connection")]
    Connect(#[source] std::io::Error),
    /// The connection ended before the request was sent.
    #[error("the connection ended before the request was sent")]
    Unsent(#[source] hyper::Error),
    /// The connection ended after the request was sent, at least in part.
    #[error("the connection broke")]
    Broken(#[source] hyper::Error),
}

impl LinkError {
    /// Returns whether the backend server cannot have seen the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Unsent(_))
    }
}

#[derive(Debug)]
struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    until: Instant,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The connections of one process to backend servers; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Links {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<Link>>>>,
}

/// A connection while an answer is read from it; dropping it closes the connection.
#[derive(Debug)]
pub struct Lease {
    link: Link,
    addr: SocketAddr,
    links: Links,
}

impl Links {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Returns [`LinkError`], which tells whether the request was sent.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), LinkError> {
        let mut request = request;
        while let Some(mut link) = self.take(addr) {
            match link.sender.try_send_request(request).await {
                Ok(answer) => return Ok((answer, self.lease(addr, link))),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(LinkError::Broken(error.into_error())),
                },
            }
        }
        let mut link = connect(addr).await?;
        match link.sender.try_send_request(request).await {
            Ok(answer) => Ok((answer, self.lease(addr, link))),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(LinkError::Unsent(error.into_error())),
                None => Err(LinkError::Broken(error.into_error())),
            },
        }
    }

    /// Closes connections that have been without a request for too long.
    pub fn close_idle(&self) {
        let now = Instant::now();
        let mut idle = self.lock();
        for links in idle.values_mut() {
            links.retain(|l| l.until > now && !l.sender.is_closed());
        }
        idle.retain(|_, links| !links.is_empty());
    }

    fn take(&self, addr: SocketAddr) -> Option<Link> {
        let now = Instant::now();
        let mut idle = self.lock();
        let links = idle.get_mut(&addr)?;
        while let Some(link) = links.pop() {
            if link.until > now && link.sender.is_ready() {
                return Some(link);
            }
        }
        None
    }

    fn lease(&self, addr: SocketAddr, link: Link) -> Lease {
        Lease { link, addr, links: self.clone() }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Vec<Link>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Keeps the connection for further requests, after its answer was read to the end.
    pub fn keep(mut self, keep: Option<Duration>) {
        let idle = keep.map_or(IDLE, |k| k.saturating_sub(IDLE_MARGIN).min(IDLE));
        if idle.is_zero() || self.link.sender.is_closed() {
            return;
        }
        self.link.until = Instant::now() + idle;
        let Self { link, addr, links } = self;
        let mut pool = links.lock();
        let kept = pool.entry(addr).or_default();
        if kept.len() < IDLE_LINKS {
            kept.push(link);
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<Link, LinkError> {
    let late = || std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let stream = stream.map_err(|_| LinkError::Connect(late()))?.map_err(LinkError::Connect)?;
    guard(&stream).map_err(LinkError::Connect)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(LinkError::Unsent)?;
    let driver = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "limpetmux", "connection to {addr} ended: {error}");
        }
    });
    Ok(Link { sender, driver, until: Instant::now() })
}

/// Makes a connection end by itself when the other side is not there any more.
pub fn guard(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER);
    socket.set_tcp_keepalive(&probes)
}
