//! Selection of a key's home and successor.
//!
//! Both depend only on the configured hosts: keys move when the declared hosts change, not when a
//! host is down, cold or powered off. A host uses the hosts that it has [`Declared`] in the claims
//! stream, see [`super::declared`].

use super::{Declared, KeyId, Role};
use crate::core::keys::{HostKey, RegionKey, ServiceKey, WorkspaceKey};
use crate::core::view::View;
use crate::util::hash::{hash_bytes, hash_parts};
use serde::{Deserialize, Serialize};

/// Identifies a host across revisions: the hash of its declared name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostId(pub u64);

impl HostId {
    /// Returns the id of the host with the given name.
    pub fn of(name: &str) -> Self {
        Self(hash_bytes(name.as_bytes()))
    }
}

/// The hosts that may run a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Homes {
    /// The host that runs the key.
    pub home: HostKey,
    /// The host that may take over; `None` if all hosts are in one availability zone.
    pub successor: Option<HostKey>,
}

/// The home and the successor of a key by their ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pair {
    /// The host that runs the key.
    pub home: HostId,
    /// The host that may take over; `None` if all hosts are in one availability zone.
    pub successor: Option<HostId>,
}

impl Pair {
    /// Returns the pair in which `host` has the given role.
    pub fn of(host: HostId, role: Role) -> Self {
        match role {
            Role::Home { successor } => Self { home: host, successor },
            Role::Successor { home } => Self { home, successor: Some(host) },
        }
    }

    /// Returns the role of a host in the pair, or `None` if the host is not part of it.
    pub fn role(self, host: HostId) -> Option<Role> {
        if self.home == host {
            return Some(Role::Home { successor: self.successor });
        }
        (self.successor == Some(host)).then_some(Role::Successor { home: self.home })
    }

    /// Returns the other host of the pair.
    pub fn partner(self, host: HostId) -> Option<HostId> {
        if self.home == host { self.successor } else { Some(self.home) }
    }
}

/// Returns the home and the successor of a key, or `None` if the service has no host in the
/// workspace's home region.
///
/// The service's declared hosts in that region are ranked by rendezvous hashing. The home is the
/// host that ranks first, and the successor is the first one in another availability zone.
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
    let hosts = view.services.get(service)?.hosts.iter();
    let hosts = hosts.filter(|h| view.zones[view.hosts[**h].zone].region == region);
    let hosts = hosts.map(|h| (view.hosts[*h].name.as_str(), view.hosts[*h].zone, *h));
    let (home, successor) = choose(hosts, key)?;
    Some(Homes { home, successor })
}

impl Declared {
    /// Returns the home and the successor of a key among the declared hosts.
    pub fn pair(&self, key: KeyId) -> Option<Pair> {
        let hosts = self.hosts.iter();
        let hosts = hosts.map(|h| (h.name.as_str(), h.zone.as_str(), HostId::of(&h.name)));
        let (home, successor) = choose(hosts, key)?;
        Some(Pair { home, successor })
    }
}

/// Ranks hosts, each with its name and availability zone, and returns home and successor.
fn choose<'a, Z: Eq, H: Copy + Ord>(
    hosts: impl Iterator<Item = (&'a str, Z, H)>,
    key: KeyId,
) -> Option<(H, Option<H>)> {
    let mut ranked: Vec<(u64, H, Z)> = hosts.map(|(n, z, h)| (score(n, key), h, z)).collect();
    ranked.sort_unstable_by_key(|(score, host, _)| std::cmp::Reverse((*score, *host)));
    let (_, home, zone) = ranked.first()?;
    let successor = ranked.iter().find(|(_, _, z)| z != zone).map(|(_, h, _)| *h);
    Some((*home, successor))
}

fn score(name: &str, key: KeyId) -> u64 {
    hash_parts(&[name.as_bytes(), &key.digest().to_le_bytes()])
}
