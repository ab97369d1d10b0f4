//! Changes of the declared hosts, which move keys between homes.
//!
//! A host acts on the hosts that it has declared in the claims stream, not on its view: every
//! reader then knows which hosts may still run a key. A pair of home and successor ends when one
//! of the two declares other hosts, for the home runs a key only with the log or under a promise
//! of its successor. Until then no other pair runs the key. `docs/design/at-most-once.md` has the
//! argument.

use super::{Guard, HostId, Incarnation, KeyId, KeyTime, Node, Pair, Record, Role, Time};
use crate::core::keys::{HostKey, RegionKey, ServiceKey};
use crate::core::revision::Revision;
use crate::core::time::Moment;
use crate::core::view::View;
use crate::util::hash::hash_parts;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// One declared host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DeclaredHost {
    /// The host's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
}

/// The hosts among which a host chooses the homes of its service's keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Declared {
    /// Identifies the service and the region, whose keys no other hosts run.
    pub group: u64,
    /// The revision of the configuration from which the hosts were taken.
    pub revision: Revision,
    /// The hosts in a fixed order.
    pub hosts: Vec<DeclaredHost>,
}

impl Declared {
    /// Returns the hosts that a view declares for a host's service in its region.
    pub fn of(view: &View, host: HostKey) -> Self {
        let row = &view.hosts[host];
        let region = view.zones[row.zone].region;
        let peers = view.services[row.service].hosts.iter();
        let peers = peers.filter(|h| view.zones[view.hosts[**h].zone].region == region);
        let mut hosts: Vec<DeclaredHost> = peers.map(|h| declared_host(view, *h)).collect();
        hosts.sort_unstable();
        Self { group: group(view, row.service, region), revision: view.revision, hosts }
    }

    /// Returns the declaration of a host that is declared no more, after this one.
    pub fn without_hosts(&self, revision: Revision) -> Self {
        Self { group: self.group, revision, hosts: Vec::new() }
    }

    fn names(&self, id: HostId) -> bool {
        self.hosts.iter().any(|h| HostId::of(&h.name) == id)
    }

    /// Returns whether both name the same hosts, whatever their revisions.
    fn is_same(&self, other: &Self) -> bool {
        self.group == other.group && self.hosts == other.hosts
    }
}

fn declared_host(view: &View, host: HostKey) -> DeclaredHost {
    let row = &view.hosts[host];
    let zone = view.zones[row.zone].name.to_string();
    DeclaredHost { name: row.name.to_string(), zone }
}

fn group(view: &View, service: ServiceKey, region: RegionKey) -> u64 {
    let service = view.services[service].name.as_str();
    let region = view.regions[region].as_str();
    hash_parts(&[service.as_bytes(), region.as_bytes()])
}

/// What a host declared last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Member {
    declared: Arc<Declared>,
    /// When a host that is declared no more counts as gone.
    until: KeyTime,
}

/// A takeover as every reader of the log sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Hold {
    by: Incarnation,
    until: KeyTime,
}

/// What a host had declared before it declared other hosts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Former {
    host: HostId,
    declared: Arc<Declared>,
    /// When the change was read.
    left: KeyTime,
}

impl Former {
    fn new(host: HostId, declared: Arc<Declared>, left: KeyTime) -> Self {
        Self { host, declared, left }
    }
}

/// What a process knows of the hosts that hosts declared.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Declarations {
    /// What each host declared last.
    hosts: BTreeMap<HostId, Member>,
    /// What hosts had declared before that.
    former: Vec<Former>,
    /// Takeovers of a home by a successor.
    holds: BTreeMap<(HostId, HostId), Hold>,
    /// Whether this process has read its own declaration back.
    is_read: bool,
    /// A declaration of this process that may be on its way into the log.
    sending: Option<Arc<Declared>>,
    /// When this process declared hosts last.
    sent: Option<Moment>,
}

impl Declarations {
    /// Returns whether a declaration of this process may be on its way into the log.
    pub fn is_sending(&self) -> bool {
        self.sending.is_some()
    }

    pub fn rebase(&mut self, by: Duration) {
        self.sent = self.sent.map(|m| m - by);
    }
}

impl Node {
    /// Returns the part that this host plays for a key by the hosts that this process declared.
    ///
    /// `None` for a key of other hosts, and for every key until the declaration is read back: an
    /// earlier process may have declared other hosts than the view of this one.
    pub fn role(&self, key: KeyId) -> Option<Role> {
        let may_act = self.declared.is_read || !self.guards.on(Guard::DeclareFirst);
        self.own().filter(|_| may_act)?.pair(key)?.role(self.id)
    }

    /// Returns the hosts that this host declared last.
    pub fn own(&self) -> Option<&Arc<Declared>> {
        self.declared.hosts.get(&self.id).map(|m| &m.declared)
    }

    /// Returns the record that declares hosts, if it is due and may be appended now.
    ///
    /// The caller appends the record until it is certain to be in the log. A change waits for
    /// promises, as a takeover does: each home counts on the hosts that its successor declared.
    pub fn declare(&mut self, declared: &Arc<Declared>, now: Moment) -> Option<Record> {
        let last = self.own();
        let same = last.is_some_and(|d| d.is_same(declared));
        let is_older = last.is_some_and(|d| d.revision > declared.revision);
        let is_fresh = self.declared.sent.is_some_and(|at| now < at + self.rules.hold / 2);
        let changes = last.is_some() && !same;
        let is_due = !(self.declared.sending.is_some() || is_older || same && is_fresh);
        if !self.reachable || !self.read || !is_due || changes && self.may_have_promised(now) {
            return None;
        }
        self.declared.sending = Some(Arc::clone(declared));
        self.declared.sent = Some(now);
        let (host, incarnation) = (self.id, self.incarnation);
        Some(Record::Declared { host, incarnation, declared: Arc::clone(declared) })
    }

    fn may_have_promised(&self, now: Moment) -> bool {
        let quiet = self.quiet.is_some_and(|end| now < end) && self.guards.on(Guard::Quiet);
        let bound = self.seats.values().any(|s| s.is_bound(now));
        quiet || bound && self.guards.on(Guard::Honour)
    }

    /// Takes in a declaration; one that is older than the host's last one is void.
    pub(super) fn observe_declared(
        &mut self,
        host: HostId,
        by: Incarnation,
        declared: &Arc<Declared>,
        time: Time,
    ) {
        let is_own = host == self.id && by == self.incarnation;
        if is_own {
            self.declared.sending = None;
        }
        let last = self.declared.hosts.get(&host).map(|m| &m.declared);
        if last.is_some_and(|d| d.revision > declared.revision) {
            return;
        }
        self.declared.is_read |= is_own;
        let until = time.wall + self.rules.hold + self.rules.margin;
        let member = Member { declared: Arc::clone(declared), until };
        let last = self.declared.hosts.insert(host, member).map(|m| m.declared);
        self.declared
            .former
            .extend(last.filter(|d| !d.is_same(declared)).map(|d| Former::new(host, d, time.wall)));
    }

    /// Notes a takeover of any home.
    pub(super) fn note_hold(&mut self, home: HostId, by: HostId, p: Incarnation, wall: KeyTime) {
        let until = wall + self.rules.hold + self.rules.margin;
        self.declared.holds.insert((home, by), Hold { by: p, until });
    }

    /// Notes a return to any home.
    pub(super) fn end_hold(&mut self, home: HostId, by: HostId, process: Incarnation) {
        if self.declared.holds.get(&(home, by)).is_some_and(|h| h.by == process) {
            self.declared.holds.remove(&(home, by));
        }
    }

    /// Returns whether this host and a home have declared the same hosts.
    pub(super) fn agrees_with(&self, home: HostId) -> bool {
        let theirs = self.declared.hosts.get(&home).map(|m| &m.declared);
        theirs.is_none_or(|d| self.own().is_none_or(|own| own.is_same(d)))
    }

    /// Returns whether a declaration on its way may already give a key to another pair.
    pub(super) fn is_declaring_away(&self, key: KeyId, role: Role) -> bool {
        let pair = Some(Pair::of(self.id, role));
        let leaves = self.declared.sending.as_ref().is_some_and(|d| d.pair(key) != pair);
        leaves && self.guards.on(Guard::StopToDeclare)
    }

    /// Returns whether the log leaves a key to another pair than the one of `role`, or to none.
    pub(super) fn is_contested(&self, key: KeyId, role: Role, wall: KeyTime) -> bool {
        let Some(own) = self.own() else { return false };
        let pair = Pair::of(self.id, role);
        if own.pair(key) != Some(pair) || self.has_lost_partner(self.id, key, pair, own.revision) {
            return self.guards.on(Guard::PartnerLeft);
        }
        let contests = |(id, member): (&HostId, &Member)| {
            let theirs = &member.declared;
            let other = theirs.pair(key).filter(|p| theirs.group == own.group && *p != pair);
            other.is_some_and(|p| self.is_live(*id, key, p, theirs.revision, wall))
        };
        let mut others = self.declared.hosts.iter().filter(|(id, _)| **id != self.id);
        self.guards.on(Guard::FormerPair) && others.any(contests)
    }

    /// Returns whether a host may run a key as one of the pair that it declared.
    fn is_live(&self, id: HostId, key: KeyId, pair: Pair, at: Revision, wall: KeyTime) -> bool {
        let is_member = pair.role(id).is_some();
        let holds = self.declared.holds.get(&(pair.home, id)).is_some_and(|h| wall < h.until);
        is_member && (holds || !self.has_lost_partner(id, key, pair, at))
    }

    /// Returns whether the other host of a pair has declared, later than a revision, other hosts
    /// by which the key's pair is another one.
    fn has_lost_partner(&self, id: HostId, key: KeyId, pair: Pair, at: Revision) -> bool {
        let partner =
            pair.partner(id).and_then(|p| self.declared.hosts.get(&p)).map(|m| &m.declared);
        partner.is_some_and(|d| d.revision > at && d.pair(key) != Some(pair))
    }

    /// Returns whether a key may have run on another pair that ended since its creation.
    pub(super) fn is_older_than_move(&self, key: KeyId, role: Role, wall: KeyTime) -> bool {
        let Some(own) = self.own().filter(|_| self.guards.on(Guard::OlderThanMove)) else {
            return false;
        };
        let mine = Pair::of(self.id, role);
        let (margin, window) = (self.rules.margin, self.rules.window);
        self.declared.former.iter().any(|former| {
            let pair = former.declared.pair(key).filter(|p| p.role(former.host).is_some());
            let is_other = former.declared.group == own.group && pair.is_some_and(|p| p != mine);
            let is_newer = match key.created() {
                Some(created) => created > former.left + margin,
                None => wall > former.left + window,
            };
            is_other && !is_newer
        })
    }

    /// Drops what no key of the window depends on, and hosts that are gone for good.
    pub(super) fn sweep_declared(&mut self, wall: KeyTime) {
        let kept = self.rules.window + self.rules.margin;
        self.declared.former.retain(|f| f.left + kept >= wall);
        self.declared.holds.retain(|_, h| h.until > wall);
        let Some(own) = self.own().cloned() else { return };
        let stays = |id: HostId, m: &Member| own.names(id) || m.until > wall;
        let gone: Vec<HostId> = self
            .declared
            .hosts
            .iter()
            .filter(|(id, m)| !stays(**id, m))
            .map(|(id, _)| *id)
            .collect();
        for host in gone {
            let last = self.declared.hosts.remove(&host).map(|m| m.declared);
            self.declared.former.extend(last.map(|d| Former::new(host, d, wall)));
        }
    }
}
