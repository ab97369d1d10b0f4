//! One node's copy of the platform's list of backend servers, and when it was last current.
//!
//! The list lags and has gaps. A record at a higher offset replaces one at a lower offset; an
//! answer of the store that ends below the known offset is stale and changes nothing. A record
//! disappears because its backend server has stopped, or only because the store was unreachable and
//! got no updates of it; in the second case it is kept for a grace period after the store is
//! reachable again. See `docs/design/platform.md`.

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
}

/// A record of the list with its offset in the store's log.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The record, or `None` if it was removed or is unusable.
    pub server: Option<Server>,
    /// The record as stored, to pass on to other nodes.
    pub raw: Arc<[u8]>,
    /// The offset of the newest record of the id.
    pub offset: u64,
    /// The offset at which the record last changed in more than a counter.
    pub changed: u64,
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
    /// The offset in the store's log.
    pub offset: u64,
    /// The record, or `None` if it was removed or is unusable.
    pub server: Option<Server>,
    /// The record as stored.
    pub raw: Arc<[u8]>,
}

/// One node's copy of the list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The offset up to which the copy includes the store's log.
    pub end_offset: u64,
    /// When the copy was last confirmed to match the store.
    pub confirmed_at: Moment,
    servers: BTreeMap<Arc<str>, ListedServer>,
    /// The latest known start time at each address.
    starts: BTreeMap<SocketAddr, u64>,
    /// When the store was reachable again after its latest outage.
    recovered_at: Option<Moment>,
}

impl Listing {
    /// Applies records of the store's log up to its end, requested at `requested_at`.
    ///
    /// Returns whether the answer was current; a stale one has no effect.
    pub fn apply(&mut self, requested_at: Moment, end: u64, entries: Vec<ListRecord>) -> bool {
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
    pub fn apply_part(&mut self, requested_at: Moment, end: u64, entries: Vec<ListRecord>) -> bool {
        if end < self.end_offset {
            return false;
        }
        self.detect_recovery(requested_at);
        for entry in entries {
            self.put(requested_at, entry);
        }
        self.index_starts();
        self.end_offset = end;
        true
    }

    /// Replaces the copy by the newest record of every id, as of `end` or later.
    ///
    /// Records that are missing from it are removed: at once, or [`MISSING_GRACE`] after an outage
    /// of the store. Returns whether the answer was current.
    pub fn replace(&mut self, requested_at: Moment, end: u64, entries: Vec<ListRecord>) -> bool {
        if end < self.end_offset {
            return false;
        }
        self.detect_recovery(requested_at);
        let known: Vec<Arc<str>> = entries.iter().map(|e| Arc::clone(&e.id)).collect();
        for entry in entries {
            self.put(requested_at, entry);
        }
        for (id, listed) in &mut self.servers {
            if !known.contains(id) && listed.offset < end {
                listed.missing_since.get_or_insert(requested_at);
            }
        }
        self.end_offset = end;
        self.confirmed_at = self.confirmed_at.max(requested_at);
        self.expire(requested_at);
        true
    }

    /// Removes records that are still missing after the grace period, and old tombstones.
    pub fn expire(&mut self, now: Moment) {
        let recovered_at = self.recovered_at;
        let in_grace = recovered_at.is_some_and(|at| now.since(at) < MISSING_GRACE);
        for listed in self.servers.values_mut().filter(|l| l.missing_since.is_some()) {
            if !in_grace {
                listed.server = None;
                listed.missing_since = None;
                listed.learned_at = now;
            }
        }
        self.servers.retain(|_, l| l.server.is_some() || now.since(l.learned_at) < TOMBSTONE_TIME);
        self.index_starts();
    }

    /// Records that the copy matched the store at a moment, when the log ended at `end`; a stale
    /// `end` has no effect.
    pub fn confirm(&mut self, end: u64, at: Moment) {
        if end >= self.end_offset {
            self.confirmed_at = self.confirmed_at.max(at);
        }
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

    /// Returns the record of an id.
    pub fn get(&self, id: &str) -> Option<&ListedServer> {
        self.servers.get(id)
    }

    /// Returns the records that changed at or after an offset.
    pub fn changes(&self, from: u64) -> impl Iterator<Item = (&Arc<str>, &ListedServer)> {
        self.servers.iter().filter(move |(_, l)| l.changed >= from)
    }

    /// Returns whether a record changed at or after an offset, below the end of the copy.
    ///
    /// The pages of a list of newest records are read one after another, so that a record may lie
    /// beyond the end of the first one; it counts once the log has been read up to it.
    pub fn has_changes(&self, from: u64) -> bool {
        self.changes(from).any(|(_, listed)| listed.changed < self.end_offset)
    }

    /// Returns whether there is neither a record nor a tombstone.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn put(&mut self, now: Moment, entry: ListRecord) {
        let old = self.servers.get(&entry.id);
        if old.is_some_and(|l| l.offset >= entry.offset) {
            return;
        }
        let in_grace = self.recovered_at.is_some_and(|at| now.since(at) < MISSING_GRACE);
        let kept = old.and_then(|l| l.server.clone()).filter(|s| !s.draining && in_grace);
        let is_kept = entry.raw.is_empty() && kept.is_some();
        let server = if is_kept { kept } else { entry.server };
        let (changed, learned_at) = match old {
            Some(old) if old.server == server && !is_kept && old.missing_since.is_none() => {
                (old.changed, old.learned_at)
            }
            _ => (entry.offset, now),
        };
        let missing_since = is_kept.then_some(now);
        let (raw, offset) = (entry.raw, entry.offset);
        self.servers.insert(
            entry.id,
            ListedServer { server, raw, offset, changed, learned_at, missing_since },
        );
    }

    fn index_starts(&mut self) {
        self.starts.clear();
        for server in self.servers.values().filter_map(|l| l.server.as_ref()) {
            let newest = self.starts.entry(server.addr).or_default();
            *newest = server.started_ms.max(*newest);
        }
    }

    fn detect_recovery(&mut self, now: Moment) {
        if now.since(self.confirmed_at) > UNREACHABLE_AFTER && self.confirmed_at > Moment::ZERO {
            self.recovered_at = Some(now);
        }
    }
}
