//! Dangerous changes, which an operator has to allow explicitly.
//!
//! The check is part of the fold and not only of the operator's command: two operators who each
//! take a different zone out of service at the same time would both pass a check against their own
//! base, and the service would be left without any backend server.

use super::{Config, Name, Object, ObjectKind};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A dangerous difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Danger {
    /// A service that pipelines use loses its last serving host.
    #[error("service `{service}` is left without any backend server")]
    NoServer {
        /// The service.
        service: Name,
    },
    /// A service that pipelines use is left with one availability zone.
    #[error("service `{service}` is left with availability zone `{zone}` only")]
    LastZone {
        /// The service.
        service: Name,
        /// The zone that remains.
        zone: Name,
    },
    /// More than half of the serving hosts stop serving.
    #[error("{stopped} of {serving} serving hosts stop serving")]
    MostHosts {
        /// How many stop.
        stopped: usize,
        /// How many served before.
        serving: usize,
    },
}

/// The serving hosts, and the zones in which each service that a pipeline uses is served.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Coverage {
    hosts: BTreeSet<Name>,
    services: BTreeMap<Name, BTreeSet<Name>>,
}

impl Coverage {
    /// Computes the coverage of a configuration.
    pub fn of(config: &Config) -> Self {
        let stages = config.pipelines.values().flat_map(|p| &p.stages);
        let mut services: BTreeMap<Name, BTreeSet<Name>> =
            stages.map(|s| (s.service.clone(), BTreeSet::new())).collect();
        let mut hosts = BTreeSet::new();
        for (name, host) in &config.hosts {
            let zone_serves = config.zones.get(&host.zone).is_some_and(|z| z.serving);
            if !host.running || !zone_serves {
                continue;
            }
            hosts.insert(name.clone());
            if let Some(zones) = services.get_mut(&host.service) {
                zones.insert(host.zone.clone());
            }
        }
        Self { hosts, services }
    }

    /// Returns the services that pipelines use and no host serves.
    pub fn unserved(&self) -> impl Iterator<Item = &Name> {
        self.services.iter().filter(|(_, zones)| zones.is_empty()).map(|(name, _)| name)
    }
}

/// Returns whether an edit of the object can change the coverage.
pub fn affects_coverage(object: &Object) -> bool {
    object.kind != ObjectKind::Workspace
}

/// Returns the dangers of going from one coverage to another, in a fixed order.
pub fn dangers(before: &Coverage, after: &Coverage) -> Vec<Danger> {
    let mut found = Vec::new();
    for (service, zones) in &after.services {
        let Some(old) = before.services.get(service) else { continue };
        let service = service.clone();
        match zones.first() {
            None if !old.is_empty() => found.push(Danger::NoServer { service }),
            Some(zone) if zones.len() == 1 && old.len() > 1 => {
                found.push(Danger::LastZone { service, zone: zone.clone() });
            }
            _ => {}
        }
    }
    let (serving, stopped) = (before.hosts.len(), before.hosts.difference(&after.hosts).count());
    if stopped * 2 > serving {
        found.push(Danger::MostHosts { stopped, serving });
    }
    found
}
