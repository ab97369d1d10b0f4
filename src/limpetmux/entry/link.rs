//! The connection to one sidecar and what this entry knows of its load.

use crate::wire::once::once_client::OnceClient;
use crate::wire::stage;
use crate::wire::stage::stage_client::StageClient;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};

/// The time allowed to connect to a sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between keep-alive pings on a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The time after which an unanswered ping closes the connection.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// One sidecar as seen by one entry.
#[derive(Debug)]
pub struct Link {
    addr: SocketAddr,
    channel: Option<Channel>,
    inflight: AtomicU32,
}

/// Counts an attempt on a link until dropped.
#[derive(Debug)]
pub struct Running<'a>(&'a Link);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Link {
    /// Creates a link that connects on first use.
    pub fn new(addr: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok();
        let channel = endpoint.map(|e| {
            e.connect_timeout(CONNECT_TIMEOUT)
                .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
                .keep_alive_timeout(KEEPALIVE_TIMEOUT)
                .tcp_nodelay(true)
                .connect_lazy()
        });
        Self { addr, channel, inflight: AtomicU32::new(0) }
    }

    /// Returns the address of the sidecar.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a client that shares the link's connection.
    pub fn client(&self) -> Option<StageClient<Channel>> {
        self.channel.clone().map(StageClient::new)
    }

    /// Returns a client for idempotency keys that shares the link's connection.
    pub fn once_client(&self) -> Option<OnceClient<Channel>> {
        self.channel.clone().map(OnceClient::new)
    }

    /// Returns the number of this entry's attempts on the sidecar.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }

    /// Counts an attempt.
    pub fn begin(&self) -> Running<'_> {
        self.inflight.fetch_add(1, Ordering::Relaxed);
        Running(self)
    }

    /// Takes note of a load that the sidecar reported.
    pub fn observe(&self, _load: &stage::Load) {}
}
