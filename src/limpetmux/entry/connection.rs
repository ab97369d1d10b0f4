//! The connection to one sidecar.

use crate::adapters::channel::Channels;
use crate::adapters::kept::KeptChannel;
use crate::core::read_limits::MAX_MESSAGE_BYTES;
use crate::util::clock;
use crate::wire::once::once_client::OnceClient;
use crate::wire::stage::stage_client::StageClient;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::Channel;

/// The timeout for connecting to a sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between keep-alive pings on a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The time after which an unanswered ping closes the connection.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// An entry's connection to one sidecar.
#[derive(Debug)]
pub struct SidecarConnection {
    addr: SocketAddr,
    kept: Option<KeptChannel>,
}

impl SidecarConnection {
    /// Creates a connection that is opened on first use.
    pub fn new(channels: &Channels, addr: SocketAddr) -> Self {
        let endpoint = channels.endpoint(addr, CONNECT_TIMEOUT).ok();
        let kept = endpoint.map(|e| {
            let endpoint = e.http2_keep_alive_interval(KEEPALIVE_INTERVAL);
            KeptChannel::new(endpoint.keep_alive_timeout(KEEPALIVE_TIMEOUT))
        });
        Self { addr, kept }
    }

    /// Returns the address of the sidecar.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn channel(&self) -> Option<Channel> {
        self.kept.as_ref().map(|kept| kept.channel(clock::boot()))
    }

    /// Returns a client for stages that shares this connection.
    pub fn client(&self) -> Option<StageClient<Channel>> {
        let client = self.channel().map(StageClient::new)?;
        let client = client.max_decoding_message_size(MAX_MESSAGE_BYTES);
        Some(client.max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Returns a client for idempotency keys that shares this connection.
    pub fn once_client(&self) -> Option<OnceClient<Channel>> {
        let client = self.channel().map(OnceClient::new)?;
        let client = client.max_decoding_message_size(MAX_MESSAGE_BYTES);
        Some(client.max_encoding_message_size(MAX_MESSAGE_BYTES))
    }
}
