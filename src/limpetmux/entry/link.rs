//! The connection to one sidecar.

use crate::wire::stage::stage_client::StageClient;
use std::net::SocketAddr;
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
    client: Option<StageClient<Channel>>,
}

impl Link {
    /// Creates a link that connects on first use.
    pub fn new(addr: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok();
        let client = endpoint.map(|e| {
            let channel = e
                .connect_timeout(CONNECT_TIMEOUT)
                .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
                .keep_alive_timeout(KEEPALIVE_TIMEOUT)
                .tcp_nodelay(true)
                .connect_lazy();
            StageClient::new(channel)
        });
        Self { addr, client }
    }

    /// Returns the address of the sidecar.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a client that shares the link's connection.
    pub fn client(&self) -> Option<StageClient<Channel>> {
        self.client.clone()
    }
}
