//! Selection of a host for a stage.
//!
//! Each entry owns one [`Router`], which selects a host for each stage attempt. It considers the
//! entry's own calls in flight, the load that sidecars report in replies and probes (discounted by
//! its age), prompt-prefix affinity and availability zones. The selected host's sidecar still
//! decides whether to admit the call. State is kept per host name under a [`SlotKey`], which stays
//! valid across configuration views. The rules are in `docs/design/routing.md`.

mod choice;
mod outlier;
mod slot;
mod subset;

pub(crate) use outlier::Outlier;
pub use slot::{CallOutcome, SlotKey};
pub use subset::{EntryPlace, subset};

use crate::core::admission::Load;
use crate::core::arena::Arena;
use crate::core::config::Name;
use crate::core::keys::{HostKey, ServiceKey, ZoneKey};
use crate::core::refusal::RefusalCode;
use crate::core::revision::Revision;
use crate::core::time::Moment;
use crate::core::view::View;
use rand::Rng;
use slot::Slot;
use std::collections::BTreeMap;
use std::time::Duration;

/// The routing settings of an entry.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The position of the entry among all entries.
    pub place: EntryPlace,
    /// The number of hosts of the entry's own zone that it considers, per service.
    pub local_hosts: usize,
    /// The number of hosts of each other zone that it considers, per service.
    pub remote_hosts: usize,
}

impl RouterSettings {
    /// The default number of hosts of the entry's own zone in a subset.
    pub const LOCAL_HOSTS: usize = 32;
    /// The default number of hosts of each other zone in a subset.
    pub const REMOTE_HOSTS: usize = 8;

    /// Returns the default settings for an entry.
    pub fn new(place: EntryPlace) -> Self {
        Self { place, local_hosts: Self::LOCAL_HOSTS, remote_hosts: Self::REMOTE_HOSTS }
    }
}

/// The requirements of a stage for a host.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service that runs the stage.
    pub service: ServiceKey,
    /// The hash of the prompt prefix, if the stage benefits from a prefix cache.
    pub affinity: Option<u64>,
    /// Hosts to exclude, such as those that have refused the stage.
    pub exclude: &'a [HostKey],
}

/// The selected host.
///
/// The call counts as in flight until [`Router::finished`] is called for the slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The host, in the view that was passed.
    pub host: HostKey,
    /// The key of the host's state in the router, valid across views.
    pub slot: SlotKey,
}

/// The hosts of one service, grouped by how this entry uses them.
#[derive(Clone, Debug, Default)]
struct Pool {
    /// Hosts of the subset in the entry's own zone.
    local: Vec<(HostKey, SlotKey)>,
    /// Hosts of the subset in other zones.
    remote: Vec<(HostKey, SlotKey)>,
    /// All other hosts, used only if no host of the subset is available.
    rest: Vec<(HostKey, SlotKey)>,
}

/// Selects hosts for one entry.
#[derive(Clone, Debug)]
pub struct Router {
    settings: RouterSettings,
    revision: Option<Revision>,
    slots: Arena<SlotKey, Slot>,
    names: BTreeMap<Name, SlotKey>,
    pools: Arena<ServiceKey, Pool>,
}

impl Router {
    /// Creates a router without hosts; the first view adds them.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            revision: None,
            slots: Arena::new(),
            names: BTreeMap::new(),
            pools: Arena::new(),
        }
    }

    /// Selects a host and counts the call as in flight there.
    ///
    /// `usable` returns whether a host can be reached, according to other sources such as the
    /// platform's host list. Returns `None` if no host is left to try.
    pub fn pick(
        &mut self,
        now: Moment,
        view: &View,
        query: Query<'_>,
        usable: impl Fn(HostKey) -> bool,
        rng: &mut impl Rng,
    ) -> Option<Pick> {
        self.adopt(view);
        let pick = self.choose(now, view, query, usable, rng)?;
        self.slots[pick.slot].started();
        Some(pick)
    }

    /// Records the end of a call for which [`pick`](Self::pick) returned the slot.
    pub fn finished(&mut self, now: Moment, slot: SlotKey, outcome: CallOutcome) {
        let eject = self.slots.get_mut(slot).is_some_and(|s| s.finished(now, outcome));
        if eject {
            self.eject(now, slot);
        }
    }

    /// Records a load report that had the given age when it arrived.
    pub fn report(&mut self, now: Moment, slot: SlotKey, load: Load, age: Duration) {
        if let Some(s) = self.slots.get_mut(slot) {
            s.report(now - age, load);
        }
    }

    /// Records a refusal by the sidecar; the call still has to be [`finished`](Self::finished).
    pub fn refused(
        &mut self,
        now: Moment,
        slot: SlotKey,
        code: RefusalCode,
        retry_after: Option<Duration>,
    ) {
        if let Some(s) = self.slots.get_mut(slot) {
            s.refused(now, code, retry_after);
        }
    }

    /// Returns the slot of a host, if the router's view declares it.
    pub fn slot(&self, host: &Name) -> Option<SlotKey> {
        self.names.get(host).copied()
    }

    /// Returns the number of the entry's own calls in flight at a host.
    pub fn inflight(&self, slot: SlotKey) -> u32 {
        self.slots.get(slot).map_or(0, |s| s.inflight)
    }

    /// Returns whether a host is ejected as an outlier.
    pub fn is_ejected(&self, now: Moment, slot: SlotKey) -> bool {
        self.slots.get(slot).is_some_and(|s| s.outlier.is_ejected(now))
    }

    /// Returns up to `count` hosts of the service's subset without a recent load report, oldest
    /// report first, so that a few probes per second keep the reported loads current.
    pub fn probes(&self, now: Moment, service: ServiceKey, count: usize) -> Vec<HostKey> {
        let Some(pool) = self.pools.get(service) else { return Vec::new() };
        let mut stale: Vec<(Moment, HostKey)> = (pool.local.iter().chain(&pool.remote))
            .map(|(host, slot)| (self.slots[*slot].reported_at(), *host))
            .filter(|(at, _)| now.since(*at) > slot::PROBE_AGE)
            .collect();
        stale.sort_unstable();
        stale.into_iter().take(count).map(|(_, host)| host).collect()
    }

    /// Rebuilds the pools for a new view; the state of hosts is kept by their names.
    fn adopt(&mut self, view: &View) {
        if self.revision == Some(view.revision) {
            return;
        }
        self.revision = Some(view.revision);
        self.forget_removed(view);
        self.pools = view.services.keys().map(|s| self.build_pool(view, s)).collect();
    }

    fn build_pool(&mut self, view: &View, service: ServiceKey) -> Pool {
        let mut pool = Pool::default();
        let home = view.zone(self.settings.place.zone.as_str());
        for zone in view.zones.keys() {
            let is_local = Some(zone) == home;
            let size =
                if is_local { self.settings.local_hosts } else { self.settings.remote_hosts };
            let hosts = zone_hosts(view, service, zone);
            let names: Vec<&Name> = hosts.iter().map(|h| &view.hosts[*h].name).collect();
            let chosen = subset(&self.settings.place, &view.zones[zone].name, &names, size);
            for (index, host) in hosts.iter().enumerate() {
                let entry = (*host, self.intern(&view.hosts[*host].name));
                match (chosen.binary_search(&index).is_ok(), is_local) {
                    (true, true) => pool.local.push(entry),
                    (true, false) => pool.remote.push(entry),
                    (false, _) => pool.rest.push(entry),
                }
            }
        }
        pool
    }

    /// Returns the slot of a host name, adding one if there is none.
    fn intern(&mut self, name: &Name) -> SlotKey {
        if let Some(slot) = self.names.get(name) {
            return *slot;
        }
        let slot = self.slots.push(Slot::new(name));
        self.names.insert(name.clone(), slot);
        slot
    }

    /// Removes names that the view no longer declares; their slots remain for late feedback.
    fn forget_removed(&mut self, view: &View) {
        self.names.retain(|name, _| view.host(name.as_str()).is_some());
    }
}

fn zone_hosts(view: &View, service: ServiceKey, zone: ZoneKey) -> Vec<HostKey> {
    let hosts = &view.services[service].hosts;
    hosts.iter().copied().filter(|h| view.hosts[*h].zone == zone).collect()
}
