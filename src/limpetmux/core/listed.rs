//! One backend server's record in a node's copy of the list, and how two records of it compare.
//!
//! `listing` decides with these which of two records counts: by their positions in the store's log or,
//! after a restore of the store from a copy, by the backend server's own numbers. See
//! `docs/design/restored-store.md`.

use crate::core::listing::Server;
use crate::core::log_position::LogPosition;
use crate::core::time::Moment;
use std::sync::Arc;
use std::time::Duration;

/// How long a restored store has to list a record that seems to be earlier than what is known, until
/// it counts; a backend server that has left is removed from the store in less.
const DOUBT_TIME: Duration = Duration::from_secs(5);

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
    pub(super) fn last(self) -> Self {
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
    pub(super) missing_since: Option<Moment>,
    /// A record of a restored store that seems to be earlier than what is known, and since when.
    pub(super) doubted: Option<(Moment, ListRecord)>,
    /// Whether the record counts although an earlier one seemed to be later.
    pub believed: bool,
}

/// One record as received from the store or from another node.
#[derive(Clone, Debug, PartialEq)]
pub struct ListRecord {
    /// The id of the backend server.
    pub id: Arc<str>,
    /// The position in the store's log.
    pub position: LogPosition,
    /// Whether a node has waited until it counted, although it seems to be earlier than what is known.
    pub believed: bool,
    /// The record at the position that another node doubts, if this one is what it knows instead.
    pub doubted: Option<Box<ListRecord>>,
    /// The record, or `None` if it was removed or is unusable.
    pub server: Option<Server>,
    /// Which write of the id it is, or the last one before its removal, if that is known.
    pub write: Option<WriteNumber>,
    /// The record as stored.
    pub raw: Arc<[u8]>,
}

impl ListRecord {
    /// Returns the latest write that is known with this record, given the one known before.
    pub(super) fn latest(&self, before: Option<WriteNumber>) -> Option<WriteNumber> {
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

    /// Returns the record of a restored store that is doubted, as stored.
    pub fn doubted(&self) -> Option<&Arc<[u8]>> {
        self.doubted.as_ref().map(|(_, record)| &record.raw)
    }

    /// Returns whether a record is from the copy that the store was restored from, and an earlier write
    /// than the one that is known.
    pub(super) fn is_ahead_of(&self, record: &ListRecord) -> bool {
        let is_restored = record.position.era > self.position.era;
        let is_earlier = record.write.is_some() && record.write < self.latest;
        is_restored && is_earlier && !record.believed
    }

    /// Returns whether another node knows more of the same position: a later write from before a
    /// restore of the store, or that an earlier one counts.
    pub(super) fn is_outdone_by(&self, record: &ListRecord) -> bool {
        let is_later = (record.believed, record.write) > (self.believed, self.latest);
        record.position == self.position && is_later
    }

    /// Returns up to where the store's log says anything of the id.
    pub(super) fn last_position(&self) -> LogPosition {
        self.position.max(self.changed)
    }

    /// Removes the backend server; other nodes learn of it as of the last record before `end`.
    pub(super) fn remove(&mut self, now: Moment, end: LogPosition) {
        self.server = None;
        // A removal that the log has keeps its position.
        if !self.raw.is_empty() || self.position.era != end.era {
            self.raw = Arc::default();
            self.position = LogPosition { offset: end.offset.saturating_sub(1), ..end };
        }
        self.changed = end;
        self.latest = self.latest.map(WriteNumber::last);
        self.missing_since = None;
        self.doubted = None;
        self.learned_at = now;
    }

    /// Takes over a doubted record that the store still lists at `confirmed`; other nodes learn of it as
    /// of `end`.
    pub(super) fn believe(&mut self, confirmed: Moment, end: LogPosition) {
        let is_due = |(since, _): &(Moment, ListRecord)| confirmed.since(*since) >= DOUBT_TIME;
        let Some((_, record)) = self.doubted.take_if(|doubted| is_due(doubted)) else { return };
        self.latest = record.write;
        self.server = record.server;
        self.raw = record.raw;
        self.believed = true;
        self.changed = end;
        self.learned_at = confirmed;
    }
}
