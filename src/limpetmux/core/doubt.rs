//! A record of a backend server that seems to be an earlier write than what a node knows, although its
//! position in the store's log is later, and from when on it counts nevertheless.
//!
//! The store executes some writes late, and may be restored from a copy. A backend server that runs goes on
//! writing, though, whatever its clock said at its start. See `docs/design/late-writes.md`.

use crate::core::listed::ListRecord;
use crate::core::time::Moment;
use std::time::Duration;

/// How long a restored store has to list a doubted record until it counts; a backend server that has left is
/// removed from the store in less.
const COPY_TIME: Duration = Duration::from_secs(5);
/// How long writes have to go on from a doubted record until they count: longer than the store may take to
/// execute a write, as a backend server that has left makes none.
const SERIES_TIME: Duration = Duration::from_secs(7);

/// A doubted record.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Doubt {
    /// The record, or the latest one of a series of writes.
    pub record: ListRecord,
    /// Whether it is from the copy that the store was restored from.
    pub is_copy: bool,
    /// When the first record was read.
    since: Moment,
    /// When the latest record was read.
    read_at: Moment,
}

impl Doubt {
    /// Doubts a record that was read at `now`.
    pub fn new(now: Moment, record: ListRecord, is_copy: bool) -> Self {
        Self { record, is_copy, since: now, read_at: now }
    }

    /// Doubts a further record. An earlier write of the same incarnation changes nothing, as a backend server
    /// that runs makes later ones; a write of another incarnation begins anew.
    pub fn follow(self, now: Moment, record: ListRecord) -> Self {
        let started = |record: &ListRecord| record.write.map(|write| write.started_ms);
        let is_same = started(&record) == started(&self.record);
        if is_same && record.write <= self.record.write {
            return self;
        }
        let goes_on = is_same && now.since(self.read_at) < SERIES_TIME;
        let since = if goes_on { self.since } else { now };
        Self { record, is_copy: false, since, read_at: now }
    }

    /// Returns whether the record has to be true, as the store confirmed the list at `confirmed`: it has
    /// listed one of a copy, or has executed a series of writes, for long enough.
    pub fn is_true(&self, confirmed: Moment) -> bool {
        match self.is_copy {
            true => confirmed.since(self.since) >= COPY_TIME,
            false => self.read_at.since(self.since) >= SERIES_TIME,
        }
    }
}
