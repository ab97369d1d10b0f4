//! The hosts as the request path sees them: a view and one link per host.

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
    /// What is known of hosts beside the configuration.
    pub members: Members,
    /// Makes the connections.
    pub channels: Channels,
}

impl Fleet {
    /// Builds the fleet of a view, keeping links whose sidecar address stays.
    fn build(view: Arc<View>, old: &Self) -> Self {
        let mut known: BTreeMap<SocketAddr, &Arc<Link>> =
            old.links.iter().map(|(_, link)| (link.addr(), link)).collect();
        let link = |addr| match known.remove(&addr) {
            Some(link) => Arc::clone(link),
            None => Arc::new(Link::new(&old.channels, addr)),
        };
        let links = view.hosts.iter().map(|(_, row)| row.sidecar).map(link).collect();
        Self { view, links, members: old.members.clone(), channels: old.channels.clone() }
    }
}

/// Publishes the fleet of every view; the task ends with the last reader or the view's publisher.
pub(super) fn follow(
    mut views: Published<View>,
    members: Members,
    channels: Channels,
) -> Published<Fleet> {
    let empty = Fleet { members, channels, ..Fleet::default() };
    let publisher = Publisher::new(Fleet::build(views.load(), &empty));
    let reader = publisher.reader();
    tokio::spawn(async move {
        while views.changed().await {
            let fleet = Fleet::build(views.load(), &publisher.load());
            publisher.publish(fleet);
        }
    });
    reader
}
