//! Connections to other nodes, opened on first use.

use crate::adapters::channel::Channels;
use crate::adapters::kept::KeptChannel;
use crate::core::read_limits::MAX_MESSAGE_BYTES;
use crate::util::clock;
use crate::wire::fleet::fleet_client::FleetClient;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tonic::transport::Channel;

/// The time allowed for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// The time between two HTTP/2 keep-alive pings on a connection with calls.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// The time allowed for the answer to a keep-alive ping.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(700);
/// The most connections that are kept; all are dropped when one more is needed.
const MAX_CONNECTIONS: usize = 1_024;

/// The connections of one node to others; cheap to clone.
#[derive(Clone, Debug)]
pub struct Peers {
    channels: Channels,
    open: Arc<Mutex<BTreeMap<SocketAddr, KeptChannel>>>,
}

impl Peers {
    /// Creates a set without connections.
    pub fn new(channels: Channels) -> Self {
        Self { channels, open: Arc::default() }
    }

    /// Returns the factory of the channels to other nodes.
    pub fn channels(&self) -> &Channels {
        &self.channels
    }

    /// Returns a client of a node; the first call opens the connection.
    ///
    /// # Errors
    /// Returns an error if the address or the certificates cannot be used.
    pub fn client(&self, addr: SocketAddr) -> Result<FleetClient<Channel>, tonic::Status> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(kept) = open.get(&addr) {
            return Ok(client(kept.channel(clock::boot())));
        }
        let endpoint = self.channels.endpoint(addr, CONNECT_TIMEOUT);
        let endpoint = endpoint.map_err(|e| tonic::Status::unavailable(e.to_string()))?;
        let endpoint = endpoint.http2_keep_alive_interval(KEEP_ALIVE_INTERVAL);
        let kept = KeptChannel::new(endpoint.keep_alive_timeout(KEEP_ALIVE_TIMEOUT));
        let channel = kept.channel(clock::boot());
        if open.len() >= MAX_CONNECTIONS {
            open.clear();
        }
        open.insert(addr, kept);
        Ok(client(channel))
    }

    /// Drops the connection to a node that does not answer; the next call opens a new one.
    pub fn close(&self, addr: SocketAddr) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&addr);
    }
}

fn client(channel: Channel) -> FleetClient<Channel> {
    FleetClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}
