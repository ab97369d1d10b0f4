//! Connections to the other hosts of the service.

use crate::core::once::HostId;
use crate::core::view::View;
use crate::wire::once::once_client::OnceClient;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};

/// The time allowed for a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// One connection per address, made on first use.
#[derive(Debug, Default)]
pub(super) struct Peers {
    channels: Mutex<BTreeMap<SocketAddr, Channel>>,
}

impl Peers {
    /// Returns a client of a host, or `None` if the view does not declare it.
    pub fn client(&self, view: &View, id: HostId) -> Option<OnceClient<Channel>> {
        let (_, row) = view.hosts.iter().find(|(_, h)| HostId::of(h.name.as_str()) == id)?;
        self.channel(row.sidecar).map(OnceClient::new)
    }

    fn channel(&self, addr: SocketAddr) -> Option<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&addr) {
            return Some(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok()?;
        let endpoint = endpoint.connect_timeout(CALL_TIMEOUT).timeout(CALL_TIMEOUT);
        let channel = endpoint.connect_lazy();
        channels.insert(addr, channel.clone());
        Some(channel)
    }
}
