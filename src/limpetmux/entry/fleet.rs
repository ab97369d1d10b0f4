//! The hosts that the request path uses: a configuration view and one connection per host.

use super::Members;
use super::connection::SidecarConnection;
use crate::adapters::channel::Channels;
use crate::core::arena::Arena;
use crate::core::keys::HostKey;
use crate::core::view::View;
use crate::kernel::{Published, Publisher};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// One configuration together with the connections to its hosts.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The configuration.
    pub view: Arc<View>,
    /// The connection to each host's sidecar.
    pub connections: Arena<HostKey, Arc<SidecarConnection>>,
    /// The states of hosts from the membership service.
    pub members: Members,
    /// Opens the connections.
    pub channels: Channels,
}

impl Fleet {
    /// Builds the fleet of a view, reusing the connections of `old` whose sidecar address is the
    /// same.
    fn build(view: Arc<View>, old: &Self) -> Self {
        let mut reusable: BTreeMap<SocketAddr, &Arc<SidecarConnection>> =
            old.connections.iter().map(|(_, connection)| (connection.addr(), connection)).collect();
        let connect = |addr| match reusable.remove(&addr) {
            Some(connection) => Arc::clone(connection),
            None => Arc::new(SidecarConnection::new(&old.channels, addr)),
        };
        let connections = view.hosts.iter().map(|(_, row)| row.sidecar).map(connect).collect();
        Self { view, connections, members: old.members.clone(), channels: old.channels.clone() }
    }
}

/// Publishes a fleet for every new view, in a task that ends with the publisher of the views.
pub(super) fn publish_fleets(
    mut views: Published<View>,
    members: Members,
    channels: Channels,
) -> Published<Fleet> {
    let initial = Fleet { members, channels, ..Fleet::default() };
    let publisher = Publisher::new(Fleet::build(views.load(), &initial));
    let reader = publisher.reader();
    tokio::spawn(async move {
        while views.changed().await {
            let fleet = Fleet::build(views.load(), &publisher.load());
            publisher.publish(fleet);
        }
    });
    reader
}
