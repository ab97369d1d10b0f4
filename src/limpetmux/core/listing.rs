//! One node's copy of the platform's list of backend servers, and when it was last current.
//!
//! The list lags and has gaps. A record at a higher offset replaces one at a lower offset, unless the
//! backend server made that write earlier and the store executed it late; an answer of the store that
//! ends below the known offset is stale and changes nothing else. A record
//! disappears because its backend server has stopped, or only because the store was unreachable and
//! got no updates of it; in the second case it is kept for a grace period after the store is
//! reachable again. The same holds for one that disappears because the store was restored from a copy;
//! what a backend server had written before the copy's record of it stays in force, until the store has
//! listed that record for so long that it must be true. See `docs/design/platform.md`,
//! `docs/design/late-writes.md` and `docs/design/restored-store.md`.

use crate::core::doubt::Doubt;
pub use crate::core::listed::{ListRecord, ListedServer, WriteNumber};
use crate::core::log_position::LogPosition;
use crate::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long records that disappeared while the store was unreachable are kept once it is reachable
/// again.
pub const MISSING_GRACE: Duration = Duration::from_millis(2_200);
/// Time without an answer of the store after which it counts as unreachable.
pub const UNREACHABLE_AFTER: Duration = Duration::from_millis(2_000);
/// The start time of a backend server that does not report it.
const UNKNOWN_START: u64 = 0;
/// How long the tombstone of a removed record is kept, so that other nodes learn of the removal.
const TOMBSTONE_TIME: Duration = Duration::from_secs(60);

/// The record that a backend server publishes in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The incarnation's id, which the backend server also checks in requests.
    pub id: Arc<str>,
    /// The Unix millisecond of its start.
    pub started_ms: u64,
    /// The service that it runs.
    pub service: Arc<str>,
    /// The address where it accepts requests.
    pub addr: SocketAddr,
    /// The availability zone of its host.
    pub zone: Arc<str>,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it is draining and must get no new requests.
    pub draining: bool,
    /// How long it stays cold after the record was written.
    pub cold: Duration,
    /// The version of its software, if it states one.
    pub version: Option<Arc<str>>,
}

/// A record that seems to be an earlier write than what a node knows, and what was decided about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriteDecision {
    /// The id of the backend server.
    pub id: Arc<str>,
    /// The position of the record.
    pub position: LogPosition,
    /// Which write the record is.
    pub write: Option<WriteNumber>,
    /// The latest write that was known before.
    pub latest: Option<WriteNumber>,
    /// Whether the record counts nevertheless.
    pub believed: bool,
}

/// One node's copy of the list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The position up to which the copy includes the store's log.
    pub end: LogPosition,
    /// When the copy was last confirmed to match the store.
    pub confirmed_at: Moment,
    /// The position from which on the copy knows all removals.
    known_from: LogPosition,
    servers: BTreeMap<Arc<str>, ListedServer>,
    /// The services that the configuration in force names; `None` before one is known.
    services: Option<BTreeSet<Arc<str>>>,
    /// The latest known start time at each address, of servers of these services.
    starts: BTreeMap<SocketAddr, u64>,
    /// When this node's latest call to the store that failed began.
    failed_at: Option<Moment>,
    /// When the store was reachable again after its latest outage or restore.
    recovered_at: Option<Moment>,
    /// What was decided about earlier writes since these were last taken.
    decisions: Vec<WriteDecision>,
}

impl Listing {
    /// Applies records of the store's log up to its end, requested at `requested_at`.
    ///
    /// Returns whether the answer was current; a stale one has no effect.
    pub fn apply(
        &mut self,
        requested_at: Moment,
        end: LogPosition,
        entries: Vec<ListRecord>,
    ) -> bool {
        let current = self.apply_part(requested_at, end, entries);
        if current {
            self.confirmed_at = self.confirmed_at.max(requested_at);
        }
        current
    }

    /// Applies records of the store's log up to `end`, after which the log has more records, so that
    /// the copy is not confirmed.
    ///
    /// Returns whether the answer was current; a stale one has no effect.
    pub fn apply_part(
        &mut self,
        requested_at: Moment,
        end: LogPosition,
        entries: Vec<ListRecord>,
    ) -> bool {
        if end < self.end {
            self.add_earlier(requested_at, entries);
            return false;
        }
        self.detect_recovery(requested_at, end);
        for entry in entries {
            self.put(requested_at, end, entry);
        }
        self.index_starts();
        self.end = end;
        true
    }

    /// Replaces the copy by the newest record of every id, as of `end` or later.
    ///
    /// Records that are missing from it are removed: at once, or [`MISSING_GRACE`] after an outage
    /// or a restore of the store. Returns whether the answer was current.
    pub fn replace(
        &mut self,
        requested_at: Moment,
        end: LogPosition,
        entries: Vec<ListRecord>,
    ) -> bool {
        if end < self.end {
            self.add_earlier(requested_at, entries);
            return false;
        }
        self.detect_recovery(requested_at, end);
        // A removal that is older than this node's record does not list it.
        let stated = |e: &ListRecord| (Arc::clone(&e.id), (!e.raw.is_empty(), e.position));
        let stated: BTreeMap<Arc<str>, (bool, LogPosition)> = entries.iter().map(stated).collect();
        for entry in entries {
            self.put(requested_at, end, entry);
        }
        for (id, listed) in &mut self.servers {
            let stated = stated.get(id);
            let is_known = stated.is_some_and(|(is_listed, p)| *is_listed || *p >= listed.position);
            if is_known || listed.position >= end {
                continue;
            }
            listed.doubted = None;
            if listed.server.is_some() || !listed.raw.is_empty() {
                listed.missing_since.get_or_insert(requested_at);
            }
        }
        self.end = end;
        // The list lacks the servers that were removed before, also those that were never known here.
        self.known_from = end;
        self.confirmed_at = self.confirmed_at.max(requested_at);
        self.expire(requested_at);
        true
    }

    /// Removes records that are still missing after the grace period, and old tombstones.
    pub fn expire(&mut self, now: Moment) {
        let (end, in_grace) = (self.end, self.is_in_grace(now));
        for listed in self.servers.values_mut().filter(|l| l.missing_since.is_some()) {
            if !in_grace {
                listed.remove(now, end);
            }
        }
        for (id, listed) in &mut self.servers {
            let (position, latest) = (listed.position, listed.latest);
            if listed.believe(self.confirmed_at, end) {
                let (id, write) = (Arc::clone(id), listed.latest);
                self.decisions.push(WriteDecision { id, position, write, latest, believed: true });
            }
        }
        let is_old = |l: &ListedServer| {
            let is_doubted = l.doubted().is_some();
            l.server.is_none() && !is_doubted && now.since(l.learned_at) >= TOMBSTONE_TIME
        };
        let old = self.servers.values().filter(|l| is_old(l));
        let forgotten = old.map(ListedServer::last_position).max();
        if let Some(LogPosition { era, offset }) = forgotten {
            let after = LogPosition::new(era, offset.saturating_add(1));
            self.known_from = self.known_from.max(after);
        }
        self.servers.retain(|_, l| !is_old(l));
        self.index_starts();
    }

    /// Returns all usable records; of two at one address only the one that started later, as the
    /// other has ended without removing its record.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        let is_newest = |s: &&Server| {
            s.started_ms == UNKNOWN_START
                || self.starts.get(&s.addr).is_none_or(|started| *started == s.started_ms)
        };
        let servers = self.servers.values().filter_map(|l| l.server.as_ref());
        servers.filter(|s| is_named(self.services.as_ref(), s)).filter(is_newest)
    }

    /// Sets the services that the configuration in force names. A record of another service names no
    /// backend server, whoever wrote it, and takes nobody's address.
    pub fn set_services(&mut self, services: BTreeSet<Arc<str>>) {
        if self.services.as_ref() != Some(&services) {
            self.services = Some(services);
            self.index_starts();
        }
    }

    /// Returns whether an id is listed as a backend server.
    pub fn is_listed(&self, id: &str) -> bool {
        self.get(id).is_some_and(|listed| listed.server.is_some())
    }

    /// Returns the record of an id.
    pub fn get(&self, id: &str) -> Option<&ListedServer> {
        self.servers.get(id)
    }

    /// Returns the records that another node lacks whose copy ends at a position.
    ///
    /// These are all that were written since, also those that changed in no more than a counter: the
    /// other node may know of a removal that this one has not seen, between two equal records.
    pub fn since(&self, end: LogPosition) -> impl Iterator<Item = (&Arc<str>, &ListedServer)> {
        self.servers.iter().filter(move |(_, l)| l.last_position() >= end)
    }

    /// Returns the records that changed at or after a position.
    pub fn changes(&self, from: LogPosition) -> impl Iterator<Item = (&Arc<str>, &ListedServer)> {
        self.servers.iter().filter(move |(_, l)| l.changed >= from)
    }

    /// Returns whether [`since`](Self::since) has all that another node lacks, removals too.
    pub fn knows_since(&self, from: LogPosition) -> bool {
        from >= self.known_from && from.era == self.end.era
    }

    /// Returns whether a record changed at or after a position, below the end of the copy.
    ///
    /// The pages of a list of newest records are read one after another, so that a record may lie
    /// beyond the end of the first one; it counts once the log has been read up to it.
    pub fn has_changes(&self, from: LogPosition) -> bool {
        let is_later = self.end.era > from.era;
        is_later || self.changes(from).any(|(_, listed)| listed.changed < self.end)
    }

    /// Records that a call to the store that began at a moment got no answer or was refused.
    pub fn record_failure(&mut self, began: Moment) {
        self.failed_at = self.failed_at.max(Some(began));
    }

    /// Records when the store was reachable again, as another node has seen it.
    pub fn learn_recovery(&mut self, at: Moment) {
        self.recovered_at = self.recovered_at.max(Some(at));
    }

    /// Returns the time since the store was reachable again, if records that disappeared meanwhile are kept.
    pub fn recovery_age(&self, now: Moment) -> Option<Duration> {
        self.recovered_at.map(|at| now.since(at)).filter(|age| *age < MISSING_GRACE)
    }

    /// Takes what was decided about earlier writes since the last call, for log lines.
    pub fn take_decisions(&mut self) -> Vec<WriteDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns whether there is neither a record nor a tombstone.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn put(&mut self, now: Moment, end: LogPosition, entry: ListRecord) {
        let in_grace = self.is_in_grace(now);
        if let Some(old) = self.servers.get_mut(&entry.id) {
            if old.position >= entry.position && !old.is_outdone_by(&entry) {
                return;
            }
            if old.is_ahead_of(&entry) {
                let ListRecord { position, write, .. } = entry;
                let (id, latest) = (Arc::clone(&entry.id), old.latest);
                old.doubt(now, entry);
                self.decisions.push(WriteDecision { id, position, write, latest, believed: false });
                return;
            }
        }
        let old = self.servers.get(&entry.id);
        let kept = old.and_then(|l| l.server.clone()).filter(|s| !s.draining && in_grace);
        let is_kept = entry.raw.is_empty() && kept.is_some();
        let latest = match old {
            Some(old) if is_kept => old.latest,
            old => entry.latest(old.and_then(|l| l.latest)),
        };
        let is_told = latest.is_some()
            && entry.write.map(WriteNumber::place) == latest.map(WriteNumber::place);
        let write_era = match old {
            Some(old) if !is_told => old.write_era,
            _ => entry.write_era,
        };
        let believed = entry.believed || old.is_some_and(|old| old.is_believed_in(&entry));
        let server = if is_kept { kept } else { entry.server };
        let (changed, learned_at) = match old {
            Some(old) if old.server == server && !is_kept && old.missing_since.is_none() => {
                (old.changed, old.learned_at)
            }
            Some(old) if old.position == entry.position => (end, now),
            _ => (entry.position, now),
        };
        let missing_since = is_kept.then_some(now);
        let listed = ListedServer {
            server,
            raw: entry.raw,
            position: entry.position,
            changed,
            latest,
            write_era,
            learned_at,
            missing_since,
            doubted: entry.doubted.map(|doubted| Doubt::new(now, *doubted, !entry.late)),
            believed,
        };
        self.servers.insert(entry.id, listed);
    }

    /// Adds what another node knows from earlier positions: later writes of backend servers than one that
    /// the store executed late and, from before a restore of the store, later writes than the copy's and
    /// those that it does not list, for the grace period.
    fn add_earlier(&mut self, now: Moment, records: Vec<ListRecord>) {
        let (end, in_grace) = (self.end, self.is_in_grace(now));
        for record in records {
            let is_restored = record.position.era < end.era;
            let Some(known) = self.servers.get_mut(&record.id) else {
                if is_restored && in_grace && record.server.is_some() {
                    self.insert_unlisted(now, record);
                }
                continue;
            };
            if record.outlasts(known) {
                let (id, position) = (Arc::clone(&record.id), known.position);
                let (write, latest) = (known.latest, record.write);
                known.take_earlier(now, end, record);
                self.decisions.push(WriteDecision { id, position, write, latest, believed: false });
            } else if is_restored && !known.believed && record.write > known.latest {
                known.latest = record.latest(known.latest);
                known.write_era = record.write_era;
                known.server = record.server;
                known.raw = record.raw;
                known.changed = end;
                known.learned_at = now;
            }
        }
        self.index_starts();
    }

    /// Inserts a backend server that the restored store does not list.
    fn insert_unlisted(&mut self, now: Moment, record: ListRecord) {
        let listed = ListedServer {
            server: record.server,
            raw: record.raw,
            position: record.position,
            changed: self.end,
            latest: record.write,
            write_era: record.write_era,
            learned_at: now,
            missing_since: Some(now),
            doubted: None,
            believed: false,
        };
        self.servers.insert(record.id, listed);
    }

    fn is_in_grace(&self, now: Moment) -> bool {
        self.recovered_at.is_some_and(|at| now.since(at) < MISSING_GRACE)
    }

    fn index_starts(&mut self) {
        self.starts.clear();
        let servers = self.servers.values().filter_map(|l| l.server.as_ref());
        for server in servers.filter(|s| is_named(self.services.as_ref(), s)) {
            let newest = self.starts.entry(server.addr).or_default();
            *newest = server.started_ms.max(*newest);
        }
    }

    /// Begins the grace period if the store was unreachable, or restored, before the answer that ends at
    /// `end`; a node that starts may have missed either.
    ///
    /// Only a call that failed tells that the store was unreachable: the view of a node also grows old when
    /// the nodes that read the store for it are lost.
    fn detect_recovery(&mut self, now: Moment, end: LogPosition) {
        let has_failed = self.failed_at.is_some_and(|at| at >= self.confirmed_at);
        let was_unreachable = has_failed && now.since(self.confirmed_at) > UNREACHABLE_AFTER;
        if end.era > self.end.era || (was_unreachable && self.confirmed_at > Moment::ZERO) {
            self.recovered_at = Some(now);
        }
    }
}

/// Returns whether a configuration names the service of a backend server, or no configuration is known.
fn is_named(services: Option<&BTreeSet<Arc<str>>>, server: &Server) -> bool {
    services.is_none_or(|services| services.contains(&server.service))
}
