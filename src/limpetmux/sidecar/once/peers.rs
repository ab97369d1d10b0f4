//! Connections to the other hosts of the service.

use crate::adapters::channel::Channels;
use crate::core::once::HostId;
use crate::core::view::View;
use crate::wire::once::once_client::OnceClient;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tonic::transport::Channel;

/// The time allowed for a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection per address, made on first use.
#[derive(Debug)]
pub(super) struct Peers {
    channels: Channels,
    known: Mutex<BTreeMap<SocketAddr, Channel>>,
}

impl Peers {
    /// Creates the set without any connection.
    pub fn new(channels: Channels) -> Self {
        Self { channels, known: Mutex::default() }
    }

    /// Returns a client of a host, or `None` if the view does not declare it.
    pub fn client(&self, view: &View, id: HostId) -> Option<OnceClient<Channel>> {
        let (_, row) = view.hosts.iter().find(|(_, h)| HostId::of(h.name.as_str()) == id)?;
        self.channel(row.sidecar).map(OnceClient::new)
    }

    fn channel(&self, addr: SocketAddr) -> Option<Channel> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = known.get(&addr) {
            return Some(channel.clone());
        }
        let endpoint = self.channels.endpoint(addr, CALL_TIMEOUT).ok()?;
        let channel = endpoint.timeout(CALL_TIMEOUT).connect_lazy();
        known.insert(addr, channel.clone());
        Some(channel)
    }
}
