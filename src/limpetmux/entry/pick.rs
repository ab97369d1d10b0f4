//! Chooses the host of an attempt; no other code of the entry does.

use super::Fleet;
use crate::core::keys::{HostKey, ServiceKey, ZoneKey};

/// What a choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The service that runs the stage.
    pub service: ServiceKey,
    /// Hosts that earlier attempts at the stage have used.
    pub tried: &'a [HostKey],
    /// The zone of the entry, preferred at equal load.
    pub zone: Option<ZoneKey>,
    /// Hash of the input's beginning, for prompt caches.
    pub affinity: u64,
}

/// Chooses the serving host with the least attempts of this entry.
pub fn choose_host(fleet: &Fleet, choice: Choice<'_>) -> Option<HostKey> {
    let view = &fleet.view;
    let hosts = view.services[choice.service].hosts.iter().copied();
    let open = hosts.filter(|h| view.is_serving(*h) && !choice.tried.contains(h));
    open.min_by_key(|h| {
        let far = Some(view.hosts[*h].zone) != choice.zone;
        (fleet.links[*h].inflight(), far, *h)
    })
}
