//! Declarations of hosts, which move keys between homes.
//!
//! A host uses the hosts that it has declared in the claims stream, not those of its view, so that
//! every reader of the stream knows which hosts may still run a key. A pair of home and successor
//! ends when one of the two declares other hosts, because the home runs a key only through the log
//! or under a promise of its successor. Until then no other pair runs the key. The full argument
//! is in `docs/design/at-most-once.md`.

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

/// The hosts among which a host selects the homes of its service's keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Declared {
    /// Hash of the service and the region; only hosts of the same group run its keys.
    pub group: u64,
    /// The configuration revision that declares the hosts.
    pub revision: Revision,
    /// The hosts in a fixed order.
    pub hosts: Vec<DeclaredHost>,
}

impl Declared {
    /// Returns the hosts of `host`'s service in its region, as declared in a view.
    pub fn of(view: &View, host: HostKey) -> Self {
        let row = &view.hosts[host];
        let region = view.zones[row.zone].region;
        let peers = view.services[row.service].hosts.iter();
        let peers = peers.filter(|h| view.zones[view.hosts[**h].zone].region == region);
        let mut hosts: Vec<DeclaredHost> = peers.map(|h| declared_host(view, *h)).collect();
        hosts.sort_unstable();
        Self { group: group(view, row.service, region), revision: view.revision, hosts }
    }

    /// Returns a declaration without hosts, for a host that the configuration no longer declares.
    pub fn without_hosts(&self, revision: Revision) -> Self {
        Self { group: self.group, revision, hosts: Vec::new() }
    }

    fn contains(&self, id: HostId) -> bool {
        self.hosts.iter().any(|h| HostId::of(&h.name) == id)
    }

    /// Returns whether both have the same group and hosts, whatever their revisions.
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

/// The last declaration of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct LastDeclaration {
    declared: Arc<Declared>,
    by: Incarnation,
    /// When the entry expires if the host is no longer declared.
    until: KeyTime,
}

/// A takeover that has been read from the log, of any home by any successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ObservedTakeover {
    by: Incarnation,
    until: KeyTime,
}

/// A declaration that its host has replaced by one with other hosts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct FormerDeclaration {
    host: HostId,
    declared: Arc<Declared>,
    /// When the change was read.
    replaced: KeyTime,
}

impl FormerDeclaration {
    fn new(host: HostId, declared: Arc<Declared>, replaced: KeyTime) -> Self {
        Self { host, declared, replaced }
    }
}

/// The declarations and takeovers that a process has read from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Declarations {
    /// The last declaration of each host.
    hosts: BTreeMap<HostId, LastDeclaration>,
    /// Declarations that have been replaced.
    former: Vec<FormerDeclaration>,
    /// Takeovers by home and successor.
    takeovers: BTreeMap<(HostId, HostId), ObservedTakeover>,
    /// Whether this process has read its own declaration back.
    is_read: bool,
    /// A declaration of this process that has been sent to the log and not read back.
    sending: Option<Arc<Declared>>,
    /// When this process last declared hosts.
    sent: Option<Moment>,
}

impl Declarations {
    /// Returns whether a declaration of this process may be on the way to the log: it has been sent
    /// and not read back.
    pub fn is_sending(&self) -> bool {
        self.sending.is_some()
    }

    pub fn rebase(&mut self, by: Duration) {
        self.sent = self.sent.map(|m| m - by);
    }
}

impl Node {
    /// Returns the role of this host for a key among the hosts that this process declared.
    ///
    /// Returns `None` for a key of other hosts, and for every key until the declaration is read
    /// back: an earlier process may have declared other hosts than this process's view.
    pub fn role(&self, key: KeyId) -> Option<Role> {
        let may_act = self.declared.is_read || !self.guards.on(Guard::DeclareFirst);
        self.own_declaration().filter(|_| may_act)?.pair(key)?.role(self.id)
    }

    /// Returns the last declaration of this host.
    pub fn own_declaration(&self) -> Option<&Arc<Declared>> {
        self.declared.hosts.get(&self.id).map(|m| &m.declared)
    }

    /// Returns the record that declares hosts, if it is due and may be appended now.
    ///
    /// The caller retries the append until the record is certain to be in the log. Like a takeover,
    /// a change waits for promises to expire: each home relies on the hosts that its successor
    /// declared.
    pub fn declare(&mut self, declared: &Arc<Declared>, now: Moment) -> Option<Record> {
        let last = self.own_declaration();
        let same = last.is_some_and(|d| d.is_same(declared));
        let is_older = last.is_some_and(|d| d.revision > declared.revision);
        let is_fresh = self.declared.sent.is_some_and(|at| now < at + self.rules.takeover_ttl / 2);
        let changes = last.is_some() && !same;
        let is_due = !(self.declared.sending.is_some() || is_older || same && is_fresh);
        if !self.log_reachable
            || !self.caught_up
            || !is_due
            || changes && self.may_have_promised(now)
        {
            return None;
        }
        self.declared.sending = Some(Arc::clone(declared));
        self.declared.sent = Some(now);
        let (host, incarnation) = (self.id, self.incarnation);
        Some(Record::Declared { host, incarnation, declared: Arc::clone(declared) })
    }

    fn may_have_promised(&self, now: Moment) -> bool {
        let quiet = self.quiet_until.is_some_and(|end| now < end) && self.guards.on(Guard::Quiet);
        let bound = self.home_states.values().any(|s| s.is_bound(now));
        quiet || bound && self.guards.on(Guard::Honour)
    }

    /// Applies a declaration; one with an older revision than the host's last one is ignored.
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
        let until = time.wall + self.rules.takeover_ttl + self.rules.clock_margin;
        let entry = LastDeclaration { declared: Arc::clone(declared), by, until };
        let last = self.declared.hosts.insert(host, entry);
        if last.as_ref().is_none_or(|l| l.by != by || !l.declared.is_same(declared)) {
            self.fence = self.position;
        }
        let replaced = last.map(|l| l.declared).filter(|d| !d.is_same(declared));
        self.declared.former.extend(replaced.map(|d| FormerDeclaration::new(host, d, time.wall)));
    }

    /// Records a takeover of any home.
    pub(super) fn add_takeover(
        &mut self,
        home: HostId,
        by: HostId,
        process: Incarnation,
        wall: KeyTime,
    ) {
        let until = wall + self.rules.takeover_ttl + self.rules.clock_margin;
        self.declared.takeovers.insert((home, by), ObservedTakeover { by: process, until });
    }

    /// Removes the takeover that a return to any home ends.
    pub(super) fn end_takeover(&mut self, home: HostId, by: HostId, process: Incarnation) {
        if self.declared.takeovers.get(&(home, by)).is_some_and(|t| t.by == process) {
            self.declared.takeovers.remove(&(home, by));
        }
    }

    /// Returns whether this host and a home have declared the same hosts.
    pub(super) fn agrees_with(&self, home: HostId) -> bool {
        let theirs = self.declared.hosts.get(&home).map(|m| &m.declared);
        theirs.is_none_or(|d| self.own_declaration().is_none_or(|own| own.is_same(d)))
    }

    /// Returns whether a declaration that is not read back may assign a key to another pair.
    pub(super) fn is_declaring_away(&self, key: KeyId, role: Role) -> bool {
        let pair = Some(Pair::of(self.id, role));
        let moves_key = self.declared.sending.as_ref().is_some_and(|d| d.pair(key) != pair);
        moves_key && self.guards.on(Guard::StopToDeclare)
    }

    /// Returns whether, according to the log, a key may belong to another pair than that of `role`,
    /// or to none.
    pub(super) fn is_contested(&self, key: KeyId, role: Role, wall: KeyTime) -> bool {
        let Some(own) = self.own_declaration() else { return false };
        let pair = Pair::of(self.id, role);
        if own.pair(key) != Some(pair) || self.has_lost_partner(self.id, key, pair, own.revision) {
            return self.guards.on(Guard::PartnerLeft);
        }
        let may_run = |(id, last): (&HostId, &LastDeclaration)| {
            let theirs = &last.declared;
            let other = theirs.pair(key).filter(|p| theirs.group == own.group && *p != pair);
            other.is_some_and(|p| self.is_live(*id, key, p, theirs.revision, wall))
        };
        let mut others = self.declared.hosts.iter().filter(|(id, _)| **id != self.id);
        self.guards.on(Guard::FormerPair) && others.any(may_run)
    }

    /// Returns whether a host may run a key as a member of the pair that it declared.
    fn is_live(&self, id: HostId, key: KeyId, pair: Pair, at: Revision, wall: KeyTime) -> bool {
        let is_member = pair.role(id).is_some();
        let is_holder =
            self.declared.takeovers.get(&(pair.home, id)).is_some_and(|t| wall < t.until);
        is_member && (is_holder || !self.has_lost_partner(id, key, pair, at))
    }

    /// Returns whether the other host of a pair has declared, after the revision `at`, hosts that
    /// assign the key to another pair.
    fn has_lost_partner(&self, id: HostId, key: KeyId, pair: Pair, at: Revision) -> bool {
        let partner =
            pair.partner(id).and_then(|p| self.declared.hosts.get(&p)).map(|m| &m.declared);
        partner.is_some_and(|d| d.revision > at && d.pair(key) != Some(pair))
    }

    /// Returns whether a key may have run on another pair that has ended since the key's creation.
    pub(super) fn is_older_than_move(&self, key: KeyId, role: Role, wall: KeyTime) -> bool {
        let Some(own) = self.own_declaration().filter(|_| self.guards.on(Guard::OlderThanMove))
        else {
            return false;
        };
        let mine = Pair::of(self.id, role);
        let (margin, retention) = (self.rules.clock_margin, self.rules.key_retention);
        self.declared.former.iter().any(|former| {
            let pair = former.declared.pair(key).filter(|p| p.role(former.host).is_some());
            let is_other = former.declared.group == own.group && pair.is_some_and(|p| p != mine);
            let is_newer = match key.created() {
                Some(created) => created > former.replaced + margin,
                None => wall > former.replaced + retention,
            };
            is_other && !is_newer
        })
    }

    /// Drops declarations and takeovers that no remembered key depends on, and hosts that are no
    /// longer declared.
    pub(super) fn sweep_declared(&mut self, wall: KeyTime) {
        let kept = self.rules.key_retention + self.rules.clock_margin;
        self.declared.former.retain(|f| f.replaced + kept >= wall);
        self.declared.takeovers.retain(|_, t| t.until > wall);
        let Some(own) = self.own_declaration().cloned() else { return };
        let is_current = |id: HostId, last: &LastDeclaration| own.contains(id) || last.until > wall;
        let removed: Vec<HostId> = self
            .declared
            .hosts
            .iter()
            .filter(|(id, last)| !is_current(**id, last))
            .map(|(id, _)| *id)
            .collect();
        for host in removed {
            let last = self.declared.hosts.remove(&host).map(|m| m.declared);
            self.declared.former.extend(last.map(|d| FormerDeclaration::new(host, d, wall)));
        }
    }
}
