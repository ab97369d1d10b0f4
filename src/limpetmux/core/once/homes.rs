//! The choice of a key's home and successor.
//!
//! Both follow from the configured hosts alone, so a host that is down, cold or switched off moves
//! no key; only a change of the declared hosts does.

use super::KeyId;
use crate::core::keys::{HostKey, RegionKey, ServiceKey, WorkspaceKey};
use crate::core::view::View;
use crate::util::hash::{hash_bytes, hash_parts};
use serde::{Deserialize, Serialize};

/// Identifies a host across revisions: the hash of its declared name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u64);

impl HostId {
    /// Returns the identity of the host with the given name.
    pub fn of(name: &str) -> Self {
        Self(hash_bytes(name.as_bytes()))
    }
}

/// The hosts that may run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Homes {
    /// The host that runs the key.
    pub home: HostKey,
    /// The host that may take over; `None` if the service stands in one availability zone only.
    pub successor: Option<HostKey>,
}

/// Returns the home and the successor of a key, or `None` if the service has no host in the
/// workspace's home region.
///
/// The order is a rendezvous hash over the service's declared hosts in that region. The successor
/// is the best-placed host of another availability zone than the home's.
pub fn homes(
    view: &View,
    workspace: WorkspaceKey,
    service: ServiceKey,
    key: KeyId,
) -> Option<Homes> {
    homes_in(view, view.workspaces.get(workspace)?.region, service, key)
}

/// Returns the home and the successor of a key among a service's hosts in one region.
pub fn homes_in(view: &View, region: RegionKey, service: ServiceKey, key: KeyId) -> Option<Homes> {
    let mut order: Vec<(u64, HostKey)> = view
        .services
        .get(service)?
        .hosts
        .iter()
        .filter(|h| view.zones[view.hosts[**h].zone].region == region)
        .map(|h| (score(view, *h, key), *h))
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    let (_, home) = *order.first()?;
    let zone = view.hosts[home].zone;
    let successor = order.iter().map(|(_, h)| *h).find(|h| view.hosts[*h].zone != zone);
    Some(Homes { home, successor })
}

fn score(view: &View, host: HostKey, key: KeyId) -> u64 {
    let name = view.hosts[host].name.as_str();
    hash_parts(&[name.as_bytes(), &key.digest().to_le_bytes()])
}
