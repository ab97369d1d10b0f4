//! The hosts that the request path uses: a configuration view and one link per host.

use super::Members;
use super::link::Link;
use crate::adapters::channel::Channels;
use crate::core::arena::Arena;
use crate::core::keys::HostKey;
use crate::core::view::View;
use crate::kernel::{Published, Publisher};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// One configuration together with the links to its hosts.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The configuration.
    pub view: Arc<View>,
    /// The link to each host's sidecar.
    pub links: Arena<HostKey, Arc<Link>>,
    /// The states of hosts from the membership service.
    pub members: Members,
    /// Opens the connections.
    pub channels: Channels,
}

impl Fleet {
    /// Builds the fleet of a view, reusing the links of `old` whose sidecar address is unchanged.
    fn build(view: Arc<View>, old: &Self) -> Self {
        let mut reusable: BTreeMap<SocketAddr, &Arc<Link>> =
            old.links.iter().map(|(_, link)| (link.addr(), link)).collect();
        let link = |addr| match reusable.remove(&addr) {
            Some(link) => Arc::clone(link),
            None => Arc::new(Link::new(&old.channels, addr)),
        };
        let links = view.hosts.iter().map(|(_, row)| row.sidecar).map(link).collect();
        Self { view, links, members: old.members.clone(), channels: old.channels.clone() }
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
