//! What a host keeps for each home whose successor it is.

use super::table::Entry;
use super::{HostId, Incarnation, KeyId, KeyTime, Outcome, Role};
use crate::core::revision::Offset;
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a successor gives no promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoPromise {
    /// The successor reaches the log, so the home has to claim through it.
    #[error("the successor reaches the log")]
    LogReachable,
    /// The successor has taken over or is about to.
    #[error("the successor has taken over")]
    TakenOver,
    /// The home has not read the last takeover or return.
    #[error("the home has not read the last takeover or return")]
    HomeBehind,
    /// Another process of the home holds a promise, or a later one was heard of.
    #[error("another process of the home is heard of")]
    OtherProcess,
    /// The successor and the home have declared different hosts.
    #[error("the successor and the home have declared different hosts")]
    OtherHosts,
    /// The successor restarted and has not read the log since.
    #[error("the successor has not read the log since its start")]
    NotRead,
}

/// A table that one host hands over to another after it has stopped accepting.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Handover {
    /// The host that stopped.
    pub from: HostId,
    /// Its process.
    pub incarnation: Incarnation,
    /// The table is whole for keys created later than this time.
    pub since: KeyTime,
    /// Whether the table is whole for keys without a time.
    pub whole: bool,
    pub(super) rows: BTreeMap<KeyId, Entry>,
}

impl Handover {
    /// Builds a table that another host sent.
    pub fn new(
        from: HostId,
        incarnation: Incarnation,
        since: KeyTime,
        whole: bool,
        rows: impl IntoIterator<Item = Row>,
    ) -> Self {
        let rows = rows.into_iter().map(|r| (r.key, r.into())).collect();
        Self { from, incarnation, since, whole, rows }
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

    /// Returns the number of keys handed over.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no key is handed over.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

/// One key of a table that is handed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: KeyId,
    /// Hash of the caller's request body, if known.
    pub body: Option<u64>,
    /// How the run ended; one that has not ended counts as unknown.
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

/// A takeover that has been read back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Taken {
    /// The process of the home whose table came with the takeover.
    pub from: Option<Incarnation>,
    /// Keys created later than this time are vouched for.
    pub since: KeyTime,
    /// Whether keys without a time are vouched for.
    pub whole: bool,
    /// The takeover counts until then unless it is appended again.
    pub until: Moment,
}

/// The successor's state towards one home.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Seat {
    /// When the last promise ends.
    pub promised: Option<Moment>,
    /// The home's process that holds the last promise.
    pub promisee: Option<Incarnation>,
    /// When a takeover that is not yet read back was first sent.
    pub asked: Option<Moment>,
    /// The offset behind the last takeover or return.
    pub changed: Offset,
    /// The process of this host that took over last, as the log tells it.
    pub held: Option<Incarnation>,
    /// This process's own takeover.
    pub taken: Option<Taken>,
    /// Whether this process has stopped in order to return the keys.
    pub returning: bool,
    /// The home's processes in the order in which they were first heard of.
    pub seen: Vec<Incarnation>,
    /// The home's table, for a takeover to come.
    pub table: Option<Handover>,
}

impl Seat {
    /// Returns since when this process vouches for the home's keys, or `None` if it may not run
    /// them.
    pub fn holds(&self, now: Moment) -> Option<KeyTime> {
        self.taken.filter(|t| now < t.until && !self.returning).map(|t| t.since)
    }

    /// Returns whether a promise is live.
    pub fn is_bound(&self, now: Moment) -> bool {
        self.promised.is_some_and(|end| now < end)
    }

    /// Notes a process of the home and drops the table of another one.
    pub fn note_process(&mut self, incarnation: Incarnation) {
        if !self.seen.contains(&incarnation) {
            self.seen.push(incarnation);
        }
        if self.table.as_ref().is_some_and(|t| !self.is_latest(t.incarnation)) {
            self.table = None;
        }
    }

    /// Returns whether no later process of the home was heard of.
    pub fn is_latest(&self, incarnation: Incarnation) -> bool {
        self.seen.last().is_none_or(|seen| *seen == incarnation)
    }

    pub fn rebase(&mut self, by: Duration) {
        let shift = |m: Moment| if m == Moment::MAX { m } else { m - by };
        self.promised = self.promised.map(shift).filter(|m| *m > Moment::ZERO);
        self.asked = self.asked.map(shift);
        self.taken = self.taken.map(|t| Taken { until: shift(t.until), ..t });
    }
}
