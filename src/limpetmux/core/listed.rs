//! One backend server's record in a node's copy of the list, and how two records of it compare.
//!
//! `listing` decides with these which of two records counts. Positions in the store's log say in which
//! order the store executed the writes, the backend server's own numbers in which order it made them. The
//! two differ if the store executes a write late, or was restored from a copy. See
//! `docs/design/late-writes.md` and `docs/design/restored-store.md`.

use crate::core::doubt::Doubt;
use crate::core::listing::Server;
use crate::core::log_position::{LogPosition, StoreEra};
use crate::core::time::Moment;
use std::sync::Arc;

/// Which of a backend server's writes a record is; later writes are greater, and a removal is greater than
/// all writes of its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber {
    /// The Unix millisecond of the start of the incarnation.
    pub started_ms: u64,
    /// Whether the record was removed after the write.
    pub removed: bool,
    /// The number of the write in the incarnation.
    pub sequence: u64,
}

impl WriteNumber {
    /// Creates the number of a write.
    pub fn new(started_ms: u64, sequence: u64) -> Self {
        Self { started_ms, removed: false, sequence }
    }

    /// Returns the number after the removal of the record.
    pub(super) fn last(self) -> Self {
        Self { removed: true, ..self }
    }

    /// Returns what orders the writes of a backend server that may return after its removal.
    pub fn place(self) -> (u64, u64) {
        (self.started_ms, self.sequence)
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
    /// The era of the store in which that write was read.
    pub write_era: StoreEra,
    /// When this node learned of the last change.
    pub learned_at: Moment,
    /// Since when the record is missing from the store's list of newest records.
    pub(super) missing_since: Option<Moment>,
    /// A later record of the log that seems to be an earlier write than what is known.
    pub(super) doubted: Option<Doubt>,
    /// Whether the writes of this incarnation count although an earlier record seemed to be later.
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
    /// Whether the doubted record is a write that the store executed late, not one of a copy.
    pub late: bool,
    /// The record, or `None` if it was removed or is unusable.
    pub server: Option<Server>,
    /// Which write of the id it is, or the last one before its removal, if that is known.
    pub write: Option<WriteNumber>,
    /// The era of the store in which that write was read.
    pub write_era: StoreEra,
    /// The record as stored.
    pub raw: Arc<[u8]>,
}

impl ListRecord {
    /// Returns the latest write that is known with this record, given the one known before.
    pub(super) fn latest(&self, before: Option<WriteNumber>) -> Option<WriteNumber> {
        let is_removal = self.raw.is_empty();
        match &self.server {
            // Records of other writers have no number and tell nothing of the backend server's.
            Some(_) => self.write.or(before),
            None if is_removal => {
                self.write.max(before.map(WriteNumber::last)).map(WriteNumber::last)
            }
            None => before,
        }
    }

    /// Returns whether the record says more of its backend server than another one at a later position
    /// of the same era, which is then a write that the store executed late.
    pub(super) fn outlasts(&self, later: &ListedServer) -> bool {
        let (Some(write), Some(latest)) = (self.write, later.latest) else { return false };
        let is_same_era = self.position.era == later.position.era;
        let is_ahead = write.place() > latest.place();
        is_same_era && is_ahead && !later.believed
    }
}

impl ListedServer {
    /// Returns whether the record is kept although the store no longer lists it.
    pub fn is_unlisted(&self) -> bool {
        self.missing_since.is_some() && !self.raw.is_empty()
    }

    /// Returns the doubted record, as stored.
    pub fn doubted(&self) -> Option<&Arc<[u8]>> {
        self.doubted.as_ref().map(|doubt| &doubt.record.raw)
    }

    /// Returns whether the doubted record is a write that the store executed late.
    pub fn is_doubt_late(&self) -> bool {
        self.doubted.as_ref().is_some_and(|doubt| !doubt.is_copy)
    }

    /// Returns whether a record at a later position is an earlier write than the one that is known.
    pub(super) fn is_ahead_of(&self, record: &ListRecord) -> bool {
        let is_restored = record.position.era > self.position.era;
        let is_earlier = match is_restored {
            true => record.write.is_some() && record.write < self.latest,
            false => self.is_after(record),
        };
        is_earlier && !record.believed
    }

    /// Returns whether a record of the same era is a write that the store executed late. One with the latest
    /// number is none: a backend server whose record has expired may make its last write again.
    fn is_after(&self, record: &ListRecord) -> bool {
        let (Some(latest), Some(write)) = (self.latest, record.write) else { return false };
        record.server.is_some() && write.place() < latest.place()
    }

    /// Returns whether a record is a further write of an incarnation that counts although an earlier
    /// record seemed to be later.
    pub(super) fn is_believed_in(&self, record: &ListRecord) -> bool {
        let starts = [self.latest, record.write].map(|write| write.map(|w| w.started_ms));
        self.believed && record.server.is_some() && starts[0] == starts[1]
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

    /// Keeps what is known instead of a record at a later position, which was read at `now`.
    pub(super) fn doubt(&mut self, now: Moment, record: ListRecord) {
        let is_copy = record.position.era > self.position.era;
        self.position = record.position;
        if is_copy {
            self.missing_since = None;
        }
        self.doubted = Some(match self.doubted.take() {
            Some(doubt) if !is_copy => doubt.follow(now, record),
            _ => Doubt::new(now, record, is_copy),
        });
    }

    /// Takes over a doubted record that has to be true, as the store confirmed it at `confirmed`; other
    /// nodes learn of it as of `end`. Returns whether there was one.
    pub(super) fn believe(&mut self, confirmed: Moment, end: LogPosition) -> bool {
        let Some(doubt) = self.doubted.take_if(|doubt| doubt.is_true(confirmed)) else {
            return false;
        };
        self.latest = doubt.record.write;
        self.write_era = doubt.record.write_era;
        self.server = doubt.record.server;
        self.raw = doubt.record.raw;
        self.missing_since = None;
        self.believed = true;
        self.changed = end;
        self.learned_at = confirmed;
        true
    }

    /// Takes over what another node knows from an earlier position of the log instead of the record here,
    /// which the store executed late.
    pub(super) fn take_earlier(&mut self, now: Moment, end: LogPosition, record: ListRecord) {
        let late = ListRecord {
            id: Arc::clone(&record.id),
            position: self.position,
            believed: false,
            doubted: None,
            late: false,
            server: self.server.take(),
            write: self.latest,
            write_era: self.write_era,
            raw: Arc::clone(&self.raw),
        };
        self.latest = record.latest(self.latest);
        self.write_era = record.write_era;
        self.server = record.server;
        self.raw = record.raw;
        self.missing_since = None;
        self.doubted = Some(Doubt::new(now, late, false));
        self.changed = end;
        self.learned_at = now;
    }
}
