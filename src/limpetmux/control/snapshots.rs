//! Decides when this node appends a snapshot to the log.
//!
//! A snapshot is due after a number of records, after a period, or when the log no longer keeps
//! the records that follow the latest one. Each node then waits for its turn; the first whose
//! turn comes appends, and the others see the snapshot in the log and stop waiting. Two snapshots
//! of one round are harmless.

use super::ControlOptions;
use crate::adapters::log::LogError;
use crate::core::config::{Replica, snapshot_delay};
use crate::core::revision::Offset;
use crate::core::time::Moment;
use crate::core::view::View;
use crate::event;
use crate::util::event::EventCode;
use std::time::Duration;

/// How many records the log may hold beyond the latest snapshot.
const SNAPSHOT_RECORDS: u64 = 512;
/// How long a node waits for its own snapshot to be read back before it tries again.
const RETRY: Duration = Duration::from_secs(10);

/// Tracks the snapshots in the log and this node's turn.
#[derive(Debug)]
pub(super) struct SnapshotDuty {
    name: String,
    period: Duration,
    covered: Offset,
    seen: Moment,
    due: Option<Moment>,
}

impl SnapshotDuty {
    pub(super) fn new(options: &ControlOptions, now: Moment) -> Self {
        let (name, period) = (options.name.clone(), options.snapshot);
        Self { name, period, covered: Offset::default(), seen: now, due: None }
    }

    /// Notes the latest snapshot in the log.
    pub(super) fn observe(&mut self, replica: &Replica, now: Moment) {
        let covered = replica.fold().covered();
        if covered > self.covered {
            self.covered = covered;
            self.seen = now;
            self.due = None;
        }
    }

    /// Returns the snapshot record to append if it is this node's turn.
    pub(super) fn poll(
        &mut self,
        replica: &mut Replica,
        view: &View,
        now: Moment,
    ) -> Option<Vec<u8>> {
        if replica.in_force().is_none() || !self.is_due(replica, now) {
            return None;
        }
        let due = *self.due.get_or_insert(now);
        let writers = view.hosts.iter().map(|(_, h)| h).filter(|h| h.running);
        let delay = snapshot_delay(writers.map(|h| h.name.as_str()), &self.name, self.covered);
        if now < due + delay {
            return None;
        }
        self.due = Some(now + RETRY);
        replica.encoded_snapshot().map(|data| data.to_vec())
    }

    /// Logs how the append went.
    pub(super) fn on_appended(&mut self, result: Result<Offset, LogError>, now: Moment) {
        match result {
            Ok(offset) => event!(EventCode::SnapshotWritten, offset = offset),
            Err(error) => {
                event!(EventCode::SnapshotFailed, reason = error);
                self.due = Some(now + RETRY);
            }
        }
    }

    fn is_due(&self, replica: &Replica, now: Moment) -> bool {
        let next = replica.position().next;
        next.0 > 0
            && (next.0.saturating_sub(self.covered.0) >= SNAPSHOT_RECORDS
                || now.since(self.seen) >= self.period
                || replica.log_first() > self.covered)
    }
}
