//! A loopback proxy that delays, cuts, silences or resets the connections through it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// The bytes that are passed on at a time.
const CHUNK: usize = 16 * 1024;

/// What a proxy does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Link {
    /// It passes all bytes on.
    #[default]
    Whole,
    /// It passes bytes on after a delay in milliseconds.
    Delayed(u64),
    /// It accepts connections and passes nothing on, either way.
    Silent,
    /// It passes on what the caller sends, and nothing that comes back.
    OneWay,
    /// It ends the connections that there are, and those that come.
    Reset,
}

/// A proxy before one address.
#[derive(Clone)]
pub struct Proxy {
    /// Where it accepts connections.
    pub addr: SocketAddr,
    link: Arc<watch::Sender<Link>>,
    target: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// Starts a proxy on a port of the system's choice.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let (link, seen) = watch::channel(Link::Whole);
        let target = Arc::new(Mutex::new(target));
        tokio::spawn(accept(listener, Arc::clone(&target), seen));
        Ok(Self { addr, link: Arc::new(link), target })
    }

    /// Changes what happens to connections, old and new ones.
    pub fn set(&self, link: Link) {
        self.link.send_replace(link);
    }

    /// Returns whether connections are passed on as they are.
    pub fn is_whole(&self) -> bool {
        *self.link.borrow() == Link::Whole
    }

    /// Leads new connections to another address.
    pub fn lead_to(&self, target: SocketAddr) {
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
            // A connection that ends is what the test wants to see at its ends.
            drop(pass(caller, target, link).await);
        });
    }
}

async fn pass(
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
        ended = copy(from_caller, to_server, link.clone(), false) => ended,
        ended = copy(from_server, to_caller, link, true) => ended,
        _ = resets.wait_for(|l| *l == Link::Reset) => Ok(()),
    }
}

/// Passes bytes on in one direction; `back` says that they come from the server.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut link: watch::Receiver<Link>,
    back: bool,
) -> std::io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let read = from.read(&mut buffer).await?;
        let passes = |l: &Link| !matches!((l, back), (Link::Silent, _) | (Link::OneWay, true));
        if link.wait_for(passes).await.is_err() {
            return Ok(());
        }
        let now = *link.borrow();
        if let Link::Delayed(ms) = now {
            sleep(Duration::from_millis(ms)).await;
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..read]).await?;
    }
}
