//! One node's copy of the platform's list of backend servers, and when it was last current.
//!
//! The list lags and has gaps. A record at a higher offset replaces one at a lower offset; an
//! answer of the store that ends below the known offset is stale and changes nothing. A record
//! disappears because its backend server has stopped, or only because the store was unreachable and
//! got no updates of it; in the second case it is kept for a grace period after the store is
//! reachable again. The same holds for one that disappears because the store was restored from a copy;
//! what a backend server had written before the copy's record of it stays in force. See
//! `docs/design/platform.md` and `docs/design/restored-store.md`.

use crate::core::log_position::LogPosition;
use crate::core::time::Moment;
use std::collections::BTreeMap;
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

/// Which of a backend server's writes a record is; later writes are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber {
    /// The Unix millisecond of the start of the incarnation.
    pub started_ms: u64,
    /// The number of the write in the incarnation.
    pub sequence: u64,
}

impl WriteNumber {
    /// Returns the number that no write of the incarnation exceeds, as after its removal.
    fn last(self) -> Self {
        Self { sequence: u64::MAX, ..self }
    }
}

/// A record of the list with its position in the store's log.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The record, or `None` if it was removed or is unusable.
    pub server: Option<Server>,
    /// The record as stored, to pass on to other nodes.
    pub raw: Arc<[u8]>,
    /// The position of the newest record of the id.
    pub position: LogPosition,
    /// The position at which the record last changed in more than a counter.
    pub changed: LogPosition,
    /// The latest known write of the id, if its records are numbered.
    pub latest: Option<WriteNumber>,
    /// When this node learned of the last change.
    pub learned_at: Moment,
    /// Since when the record is missing from the store's list of newest records.
    missing_since: Option<Moment>,
}

/// One record as received from the store or from another node.
#[derive(Clone, Debug)]
pub struct ListRecord {
    /// The id of the backend server.
    pub id: Arc<str>,
    /// The position in the store's log.
    pub position: LogPosition,
    /// The record, or `None` if it was removed or is unusable.
    pub server: Option<Server>,
    /// Which write of the id it is, or the last one before its removal, if that is known.
    pub write: Option<WriteNumber>,
    /// The record as stored.
    pub raw: Arc<[u8]>,
}

impl ListRecord {
    /// Returns the latest write that is known with this record, given the one known before.
    fn latest(&self, before: Option<WriteNumber>) -> Option<WriteNumber> {
        let is_removal = self.raw.is_empty();
        match &self.server {
            Some(_) => self.write,
            None if is_removal => self.write.or(before).map(WriteNumber::last),
            None => before,
        }
    }
}

impl ListedServer {
    /// Returns whether the record is kept although the store no longer lists it.
    pub fn is_unlisted(&self) -> bool {
        self.missing_since.is_some() && !self.raw.is_empty()
    }

    /// Returns whether a record is from the copy that the store was restored from, and an earlier write
    /// than the one that is known.
    fn is_ahead_of(&self, record: &ListRecord) -> bool {
        let is_restored = record.position.era > self.position.era;
        is_restored && record.write.is_some() && record.write < self.latest
    }

    /// Removes the backend server; other nodes learn of it as of the last record before `end`.
    fn remove(&mut self, now: Moment, end: LogPosition) {
        self.server = None;
        self.raw = Arc::default();
        self.position = LogPosition { offset: end.offset.saturating_sub(1), ..end };
        self.changed = end;
        self.latest = self.latest.map(WriteNumber::last);
        self.missing_since = None;
        self.learned_at = now;
    }
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
    /// The latest known start time at each address.
    starts: BTreeMap<SocketAddr, u64>,
    /// When the store was reachable again after its latest outage or restore.
    recovered_at: Option<Moment>,
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
            self.put(requested_at, entry);
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
        let known: Vec<Arc<str>> = entries.iter().map(|e| Arc::clone(&e.id)).collect();
        for entry in entries {
            self.put(requested_at, entry);
        }
        for (id, listed) in &mut self.servers {
            if !known.contains(id) && listed.position < end {
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
        let is_old =
            |l: &ListedServer| l.server.is_none() && now.since(l.learned_at) >= TOMBSTONE_TIME;
        let forgotten = self.servers.values().filter(|l| is_old(l)).map(|l| l.changed).max();
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
        self.servers.values().filter_map(|l| l.server.as_ref()).filter(is_newest)
    }

    /// Returns whether an id is listed as a backend server.
    pub fn is_listed(&self, id: &str) -> bool {
        self.get(id).is_some_and(|listed| listed.server.is_some())
    }

    /// Returns the record of an id.
    pub fn get(&self, id: &str) -> Option<&ListedServer> {
        self.servers.get(id)
    }

    /// Returns the records that changed at or after a position.
    pub fn changes(&self, from: LogPosition) -> impl Iterator<Item = (&Arc<str>, &ListedServer)> {
        self.servers.iter().filter(move |(_, l)| l.changed >= from)
    }

    /// Returns whether [`changes`](Self::changes) has all changes at or after a position, removals too.
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

    /// Returns whether there is neither a record nor a tombstone.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn put(&mut self, now: Moment, entry: ListRecord) {
        let in_grace = self.is_in_grace(now);
        if let Some(old) = self.servers.get_mut(&entry.id) {
            if old.position >= entry.position {
                return;
            }
            if old.is_ahead_of(&entry) {
                old.position = entry.position;
                old.missing_since = None;
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
        let server = if is_kept { kept } else { entry.server };
        let (changed, learned_at) = match old {
            Some(old) if old.server == server && !is_kept && old.missing_since.is_none() => {
                (old.changed, old.learned_at)
            }
            _ => (entry.position, now),
        };
        let missing_since = is_kept.then_some(now);
        let (raw, position) = (entry.raw, entry.position);
        self.servers.insert(
            entry.id,
            ListedServer { server, raw, position, changed, latest, learned_at, missing_since },
        );
    }

    /// Adds what another node knows from before the restore of the store: later writes of backend
    /// servers, and those that the restored store does not list, for the grace period.
    fn add_earlier(&mut self, now: Moment, records: Vec<ListRecord>) {
        let (end, in_grace) = (self.end, self.is_in_grace(now));
        for record in records.into_iter().filter(|r| r.position.era < end.era) {
            let Some(known) = self.servers.get_mut(&record.id) else {
                if in_grace && record.server.is_some() {
                    self.insert_unlisted(now, record);
                }
                continue;
            };
            if record.write.is_some() && record.write > known.latest {
                known.latest = record.latest(known.latest);
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
            learned_at: now,
            missing_since: Some(now),
        };
        self.servers.insert(record.id, listed);
    }

    fn is_in_grace(&self, now: Moment) -> bool {
        self.recovered_at.is_some_and(|at| now.since(at) < MISSING_GRACE)
    }

    fn index_starts(&mut self) {
        self.starts.clear();
        for server in self.servers.values().filter_map(|l| l.server.as_ref()) {
            let newest = self.starts.entry(server.addr).or_default();
            *newest = server.started_ms.max(*newest);
        }
    }

    /// Begins the grace period if the store was unreachable, or restored, before the answer that ends at
    /// `end`; a node that starts may have missed either.
    fn detect_recovery(&mut self, now: Moment, end: LogPosition) {
        let was_unreachable = now.since(self.confirmed_at) > UNREACHABLE_AFTER;
        if end.era > self.end.era || (was_unreachable && self.confirmed_at > Moment::ZERO) {
            self.recovered_at = Some(now);
        }
    }
}
