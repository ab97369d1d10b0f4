//! The state that a successor keeps for each of its homes.

use super::table::{Entry, State};
use super::{HostId, Incarnation, KeyId, KeyTime, Outcome, Role};
use crate::core::revision::Offset;
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a successor refuses a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PromiseError {
    /// The successor can reach the log, so the home has to claim keys in it.
    #[error("the successor can reach the log")]
    LogReachable,
    /// The successor has taken over or is appending a takeover.
    #[error("the successor has taken over")]
    TakenOver,
    /// The home has not read the last takeover or return of its keys.
    #[error("the home has not read the last takeover or return")]
    HomeBehind,
    /// Another process of the home holds a promise, or a later process of the home is known.
    #[error("another process of the home is known")]
    OtherProcess,
    /// The successor and the home have declared different hosts.
    #[error("the successor and the home have declared different hosts")]
    OtherHosts,
    /// The successor has not read the log since its start.
    #[error("the successor has not read the log since its start")]
    NotRead,
}

/// A table that one host sends to another after it has stopped accepting the keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handover {
    /// The sending host.
    pub from: HostId,
    /// The sending process.
    pub incarnation: Incarnation,
    /// The table is complete for keys created later than this time.
    pub since: KeyTime,
    /// Whether the table is complete for keys without a creation time.
    pub covers_untimed: bool,
    /// The offset after the last record that the sender had read.
    pub read: Offset,
    pub(super) rows: BTreeMap<KeyId, Entry>,
}

impl Handover {
    /// Builds the table from rows that another host sent.
    pub fn new(
        from: HostId,
        incarnation: Incarnation,
        since: KeyTime,
        covers_untimed: bool,
        read: Offset,
        rows: impl IntoIterator<Item = Row>,
    ) -> Self {
        let rows = rows.into_iter().map(|r| (r.key, r.into())).collect();
        Self { from, incarnation, since, covers_untimed, read, rows }
    }

    /// Adds the rows of another table of the same process, of which either may be the later one; a key
    /// that may have run according to one of them is not denied by the other.
    pub(super) fn merge(&mut self, other: Self) {
        self.since = self.since.max(other.since);
        self.covers_untimed &= other.covers_untimed;
        self.read = self.read.max(other.read);
        for (key, entry) in other.rows {
            let adds = match self.rows.get(&key).map(|e| &e.state) {
                None | Some(State::Released) => true,
                Some(State::Answered(_)) => false,
                Some(_) => matches!(entry.state, State::Answered(_)),
            };
            if adds {
                self.rows.insert(key, entry);
            }
        }
    }

    /// Iterates over the rows in key order.
    pub fn rows(&self) -> impl Iterator<Item = Row> {
        self.rows.iter().map(|(key, entry)| Row {
            key: *key,
            body: entry.body,
            outcome: entry.state.clone().into(),
            expires: entry.expires,
        })
    }

    /// Returns the number of keys in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// One row of a [`Handover`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: KeyId,
    /// Hash of the caller's request body, if known.
    pub body: Option<u64>,
    /// How the run ended; unknown if it has not ended.
    pub outcome: Outcome,
    /// When the row may be dropped.
    pub expires: KeyTime,
}

impl From<Row> for Entry {
    fn from(row: Row) -> Self {
        let role = Role::Home { successor: None };
        Self { body: row.body, state: row.outcome.into(), role, expires: row.expires }
    }
}

/// A takeover by this process that has been read back from the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Takeover {
    /// The process of the home that sent the table used for the takeover.
    pub from: Option<Incarnation>,
    /// This process knows every run of keys created later than this time.
    pub since: KeyTime,
    /// Whether this process knows every run of keys without a creation time.
    pub covers_untimed: bool,
    /// When the takeover expires unless it is renewed.
    pub until: Moment,
}

/// A successor's state for one home.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct HomeState {
    /// When the last promise ends.
    pub promised_until: Option<Moment>,
    /// The home's process that holds the last promise.
    pub promisee: Option<Incarnation>,
    /// When this process first sent a takeover that is not yet read back.
    pub requested: Option<Moment>,
    /// The offset after the last takeover or return.
    pub changed: Offset,
    /// The offset after the last return.
    pub returned: Offset,
    /// The process of this host that last took over, according to the log.
    pub holder: Option<Incarnation>,
    /// The takeover by this process.
    pub takeover: Option<Takeover>,
    /// Whether this process has stopped accepting the keys in order to return them.
    pub returning: bool,
    /// The home's processes in the order in which they were first seen.
    pub processes: Vec<Incarnation>,
    /// The table that the home handed over, for a later takeover.
    pub table: Option<Handover>,
}

impl HomeState {
    /// Returns the creation time after which this process knows every run of the home's keys, or
    /// `None` if it may not run them.
    pub fn held_since(&self, now: Moment) -> Option<KeyTime> {
        self.takeover.filter(|t| now < t.until && !self.returning).map(|t| t.since)
    }

    /// Returns whether a promise to the home has not expired.
    pub fn is_bound(&self, now: Moment) -> bool {
        self.promised_until.is_some_and(|end| now < end)
    }

    /// Records a process of the home and drops a table of an earlier process.
    pub fn note_process(&mut self, incarnation: Incarnation) {
        if !self.processes.contains(&incarnation) {
            self.processes.push(incarnation);
        }
        if self.table.as_ref().is_some_and(|t| !self.is_latest(t.incarnation)) {
            self.table = None;
        }
    }

    /// Returns whether no later process of the home is known.
    pub fn is_latest(&self, incarnation: Incarnation) -> bool {
        self.processes.last().is_none_or(|last| *last == incarnation)
    }

    /// Moves the origin of the monotonic clock.
    pub fn rebase(&mut self, by: Duration) {
        let shift = |m: Moment| if m == Moment::MAX { m } else { m - by };
        self.promised_until = self.promised_until.map(shift).filter(|m| *m > Moment::ZERO);
        self.requested = self.requested.map(shift);
        self.takeover = self.takeover.map(|t| Takeover { until: shift(t.until), ..t });
    }
}
