//! The backend servers that the platform lists, and how far the list may be believed.
//!
//! The list lags and has gaps. A record at a higher offset replaces a lower one; an answer that
//! ends below what is known is stale and changes nothing. A record may vanish because its backend
//! server has left, or only because the store was away and could not hear it; in the second case
//! it is kept for a grace after the store's return. See `docs/design/platform.md`.

use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long entries that vanished while the store was away are kept after its return.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// The time without an answer of the store after which it counts as away.
pub const AWAY_AFTER: Duration = Duration::from_millis(2_000);
/// The start of a backend server that does not tell it.
const UNKNOWN_START: u64 = 0;
/// How long the mark of a removed record is kept for nodes that have not heard of it.
const REMOVED_KEPT: Duration = Duration::from_secs(60);

/// What a backend server says of itself in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The incarnation's id, which it also checks in requests.
    pub id: Arc<str>,
    /// The Unix millisecond of its start.
    pub born: u64,
    /// The service that it runs.
    pub service: Arc<str>,
    /// Where it accepts requests.
    pub addr: SocketAddr,
    /// The availability zone that it stands in.
    pub zone: Arc<str>,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it will leave and must get nothing new.
    pub draining: bool,
    /// How long it stays cold after the record was written.
    pub cold: Duration,
}

/// A record of the list with its place in the store's log.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// The record, or `None` for one that was removed or cannot be used.
    pub server: Option<Server>,
    /// The record as it was written, for other nodes.
    pub raw: Arc<[u8]>,
    /// The offset of the newest record of the id.
    pub offset: u64,
    /// The offset at which more than a counter last changed.
    pub changed: u64,
    /// When this node learned of the last change.
    pub learned: Moment,
    /// Since when the record is missing from the store's list of newest records.
    missing: Option<Moment>,
}

/// One record as it came from the store or from another node.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The id of the backend server.
    pub id: Arc<str>,
    /// Its place in the store's log.
    pub offset: u64,
    /// The record, or `None` for one that was removed or cannot be used.
    pub server: Option<Server>,
    /// The record as it was written.
    pub raw: Arc<[u8]>,
}

/// The list as one node knows it.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The offset that the view reaches to.
    pub end: u64,
    /// When the view was last known to be the store's.
    pub confirmed: Moment,
    servers: BTreeMap<Arc<str>, Listed>,
    /// The newest start that is listed for each address, where it is known.
    starts: BTreeMap<SocketAddr, u64>,
    /// When the store came back after it had been away.
    returned: Option<Moment>,
}

impl Listing {
    /// Takes in records from the store's log, up to `end`, asked for at `asked`.
    ///
    /// Returns whether the answer was current; a stale one confirms nothing.
    pub fn apply(&mut self, asked: Moment, end: u64, entries: Vec<Entry>) -> bool {
        if end < self.end {
            return false;
        }
        self.note_return(asked);
        for entry in entries {
            self.put(asked, entry);
        }
        self.note_starts();
        self.end = end;
        self.confirmed = self.confirmed.max(asked);
        true
    }

    /// Takes in the newest record of every id, as of `end` or later.
    ///
    /// Records that are missing from it are dropped, at once if the store has been there all the
    /// time, otherwise after [`LAPSE_GRACE`].
    pub fn replace(&mut self, asked: Moment, end: u64, entries: Vec<Entry>) -> bool {
        if end < self.end {
            return false;
        }
        self.note_return(asked);
        let known: Vec<Arc<str>> = entries.iter().map(|e| Arc::clone(&e.id)).collect();
        for entry in entries {
            self.put(asked, entry);
        }
        for (id, listed) in &mut self.servers {
            if !known.contains(id) && listed.offset < end {
                listed.missing.get_or_insert(asked);
            }
        }
        self.end = end;
        self.confirmed = self.confirmed.max(asked);
        self.expire(asked);
        true
    }

    /// Drops records that are still missing once the grace is over, and old marks of removal.
    pub fn expire(&mut self, now: Moment) {
        let returned = self.returned;
        let in_grace = returned.is_some_and(|at| now.since(at) < LAPSE_GRACE);
        for listed in self.servers.values_mut().filter(|l| l.missing.is_some()) {
            if !in_grace {
                listed.server = None;
                listed.missing = None;
                listed.learned = now;
            }
        }
        self.servers.retain(|_, l| l.server.is_some() || now.since(l.learned) < REMOVED_KEPT);
        self.note_starts();
    }

    /// Raises the time at which the view is known to be the store's.
    pub fn confirm(&mut self, end: u64, at: Moment) {
        if end >= self.end {
            self.confirmed = self.confirmed.max(at);
        }
    }

    /// Returns all records that are in use; of two at one address only the one that started later,
    /// as the other has ended without a word.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        let is_newest = |s: &&Server| {
            s.born == UNKNOWN_START || self.starts.get(&s.addr).is_none_or(|born| *born == s.born)
        };
        self.servers.values().filter_map(|l| l.server.as_ref()).filter(is_newest)
    }

    /// Returns the record of an id.
    pub fn get(&self, id: &str) -> Option<&Listed> {
        self.servers.get(id)
    }

    /// Returns the records that changed at or behind an offset.
    pub fn changes(&self, from: u64) -> impl Iterator<Item = (&Arc<str>, &Listed)> {
        self.servers.iter().filter(move |(_, l)| l.changed >= from)
    }

    /// Returns whether no record was ever taken in.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    fn put(&mut self, now: Moment, entry: Entry) {
        let old = self.servers.get(&entry.id);
        if old.is_some_and(|l| l.offset >= entry.offset) {
            return;
        }
        let in_grace = self.returned.is_some_and(|at| now.since(at) < LAPSE_GRACE);
        let kept = old.and_then(|l| l.server.clone()).filter(|s| !s.draining && in_grace);
        let lapsed = entry.raw.is_empty() && kept.is_some();
        let server = if lapsed { kept } else { entry.server };
        let (changed, learned) = match old {
            Some(old) if old.server == server && !lapsed && old.missing.is_none() => {
                (old.changed, old.learned)
            }
            _ => (entry.offset, now),
        };
        let missing = lapsed.then_some(now);
        let (raw, offset) = (entry.raw, entry.offset);
        self.servers.insert(entry.id, Listed { server, raw, offset, changed, learned, missing });
    }

    fn note_starts(&mut self) {
        self.starts.clear();
        for server in self.servers.values().filter_map(|l| l.server.as_ref()) {
            let newest = self.starts.entry(server.addr).or_default();
            *newest = server.born.max(*newest);
        }
    }

    fn note_return(&mut self, now: Moment) {
        if now.since(self.confirmed) > AWAY_AFTER && self.confirmed > Moment::ZERO {
            self.returned = Some(now);
        }
    }
}
