//! A loopback proxy that delays, blocks or resets the connections through it.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// The most bytes that are forwarded at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// How a proxy treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Link {
    /// It forwards all bytes.
    #[default]
    Whole,
    /// It forwards bytes after a delay in milliseconds.
    Delayed(u64),
    /// It accepts connections and forwards nothing in either direction.
    Silent,
    /// It forwards what the caller sends, and nothing in the other direction.
    OneWay,
    /// It closes existing and new connections.
    Reset,
}

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    /// The address it listens on.
    pub addr: SocketAddr,
    link: Arc<watch::Sender<Link>>,
    target: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// Starts a proxy on a port that the system chooses.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (link, receiver) = watch::channel(Link::Whole);
        let target = Arc::new(Mutex::new(target));
        tokio::spawn(accept(listener, Arc::clone(&target), receiver));
        Ok(Self { addr, link: Arc::new(link), target })
    }

    /// Changes the treatment of existing and new connections.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Returns whether the proxy forwards all bytes without delay.
    pub fn is_whole(&self) -> bool {
        *self.link.borrow() == Link::Whole
    }

    /// Directs new connections to another address.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<SocketAddr>>,
    link: watch::Receiver<Link>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        let target = *target.lock().unwrap_or_else(PoisonError::into_inner);
        let link = link.clone();
        tokio::spawn(async move {
            // An error is ignored: the caller and the server both see that the connection closed.
            drop(forward(caller, target, link).await);
        });
    }
}

async fn forward(
    caller: TcpStream,
    target: SocketAddr,
    link: watch::Receiver<Link>,
) -> std::io::Result<()> {
    let server = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut resets = link.clone();
    tokio::select! {
        result = copy(from_caller, to_server, link.clone(), false) => result,
        result = copy(from_server, to_caller, link, true) => result,
        _ = resets.wait_for(|l| *l == Link::Reset) => Ok(()),
    }
}

/// Forwards bytes in one direction; `from_server` is whether the server sends them.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    from_server: bool,
) -> std::io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                // Dropping the write half would end the connection in order before it is reset.
                to.as_ref().set_zero_linger()?;
                to.forget();
                return Err(error);
            }
            read => read?,
        };
        let is_open =
            |l: &Link| !matches!((l, from_server), (Link::Silent, _) | (Link::OneWay, true));
        if link.wait_for(is_open).await.is_err() {
            return Ok(());
        }
        let state = *link.borrow();
        if let Link::Delayed(ms) = state {
            sleep(Duration::from_millis(ms)).await;
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..read]).await?;
    }
}
