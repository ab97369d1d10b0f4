//! Connections to the other hosts of the service.

use crate::adapters::channel::Channels;
use crate::adapters::kept::KeptChannel;
use crate::core::once::HostId;
use crate::core::read_limits::{MAX_MESSAGE_BYTES, MAX_TABLE_BYTES};
use crate::core::view::View;
use crate::util::clock;
use crate::wire::once::once_client::OnceClient;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tonic::transport::Channel;

/// The time allowed for a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection per address, created on first use.
#[derive(Debug)]
pub(super) struct Peers {
    channels: Channels,
    by_addr: Mutex<BTreeMap<SocketAddr, KeptChannel>>,
}

impl Peers {
    /// Creates an empty set of connections.
    pub fn new(channels: Channels) -> Self {
        Self { channels, by_addr: Mutex::default() }
    }

    /// Returns a client of a host, or `None` if the view does not declare the host.
    pub fn client(&self, view: &View, id: HostId) -> Option<OnceClient<Channel>> {
        let (_, row) = view.hosts.iter().find(|(_, h)| HostId::of(h.name.as_str()) == id)?;
        let client = self.channel(row.sidecar).map(OnceClient::new)?;
        let client = client.max_decoding_message_size(MAX_MESSAGE_BYTES);
        Some(client.max_encoding_message_size(MAX_TABLE_BYTES))
    }

    fn channel(&self, addr: SocketAddr) -> Option<Channel> {
        let mut by_addr = self.by_addr.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(kept) = by_addr.get(&addr) {
            return Some(kept.channel(clock::boot()));
        }
        let endpoint = self.channels.endpoint(addr, CALL_TIMEOUT).ok()?;
        let kept = KeptChannel::new(endpoint.timeout(CALL_TIMEOUT));
        let channel = kept.channel(clock::boot());
        by_addr.insert(addr, kept);
        Some(channel)
    }
}
