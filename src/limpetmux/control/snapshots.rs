//! Decides when this node appends a snapshot to the log.
//!
//! A snapshot is due after a number of records, after a period, or when the log no longer has the
//! records that follow the latest snapshot. Each node then waits for a delay of its own; the node
//! with the shortest delay appends, and the others read the snapshot from the log and stop waiting.
//! Two snapshots of one round are harmless.

use super::ControlOptions;
use crate::adapters::log::LogError;
use crate::core::config::{Replica, snapshot_delay};
use crate::core::revision::Offset;
use crate::core::time::Moment;
use crate::core::view::View;
use crate::event;
use crate::util::event::EventCode;
use std::time::Duration;

/// The number of records after the latest snapshot at which the next one is due.
const SNAPSHOT_RECORDS: u64 = 512;
/// How long a node waits to read back its own snapshot before it appends another one.
const RETRY_DELAY: Duration = Duration::from_secs(10);

/// Tracks the latest snapshot in the log and when this node appends the next one.
#[derive(Debug)]
pub(super) struct SnapshotDuty {
    name: String,
    interval: Duration,
    /// The offset up to which the latest snapshot covers the log.
    snapshot_end: Offset,
    /// When the latest snapshot was first read.
    seen_at: Moment,
    /// The start of this node's delay before it appends the next snapshot, if one is due.
    delay_start: Option<Moment>,
}

impl SnapshotDuty {
    pub(super) fn new(options: &ControlOptions, now: Moment) -> Self {
        let (name, interval) = (options.name.clone(), options.snapshot_interval);
        Self { name, interval, snapshot_end: Offset::default(), seen_at: now, delay_start: None }
    }

    /// Records the latest snapshot in the log.
    pub(super) fn observe(&mut self, replica: &Replica, now: Moment) {
        let snapshot_end = replica.fold().snapshot_end();
        if snapshot_end > self.snapshot_end {
            self.snapshot_end = snapshot_end;
            self.seen_at = now;
            self.delay_start = None;
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
        let start = *self.delay_start.get_or_insert(now);
        let writers = view.hosts.iter().map(|(_, h)| h).filter(|h| h.running);
        let delay = snapshot_delay(writers.map(|h| h.name.as_str()), &self.name, self.snapshot_end);
        if now < start + delay {
            return None;
        }
        self.delay_start = Some(now + RETRY_DELAY);
        replica.encoded_snapshot().map(|data| data.to_vec())
    }

    /// Handles the result of an append.
    pub(super) fn on_appended(&mut self, result: Result<Offset, LogError>, now: Moment) {
        match result {
            Ok(offset) => event!(EventCode::SnapshotWritten, offset = offset),
            Err(error) => {
                event!(EventCode::SnapshotFailed, reason = error);
                self.delay_start = Some(now + RETRY_DELAY);
            }
        }
    }

    fn is_due(&self, replica: &Replica, now: Moment) -> bool {
        let next = replica.position().next;
        next.0 > 0
            && (next.0.saturating_sub(self.snapshot_end.0) >= SNAPSHOT_RECORDS
                || now.since(self.seen_at) >= self.interval
                || replica.log_first() > self.snapshot_end)
    }
}
