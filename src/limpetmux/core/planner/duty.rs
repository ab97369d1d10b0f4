//! The fold of the duties stream, which decides which node may plan and which hosts sleep.

use super::lease::Lease;
use crate::core::revision::Offset;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The only version of duty records that this program writes and reads.
const VERSION: u32 = 1;

/// A record of the duties stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum DutyRecord {
    /// Takes or renews the planner's lease.
    Grant {
        /// The node that takes the lease.
        holder: String,
        /// The last accepted grant that the node has read; `None` if there was none.
        previous: Option<Offset>,
    },
    /// Changes which hosts sleep.
    Plan {
        /// The fencing number of the planner's lease.
        fence: Offset,
        /// The hosts to wake and to put to sleep.
        delta: PlanDelta,
    },
    /// Repeats the whole state before the log's retention drops the records that led to it.
    Snapshot {
        /// The accepted lease.
        lease: Option<Lease>,
        /// The hosts that sleep.
        asleep: BTreeSet<String>,
        /// The snapshot covers every record before this offset.
        covers: Offset,
    },
}

/// The hosts that one plan wakes and puts to sleep.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlanDelta {
    /// Hosts to wake.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub wake: BTreeSet<String>,
    /// Hosts to put to sleep.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub sleep: BTreeSet<String>,
}

impl PlanDelta {
    /// Returns whether the plan changes nothing.
    pub fn is_empty(&self) -> bool {
        self.wake.is_empty() && self.sleep.is_empty()
    }
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    v: u32,
    #[serde(flatten)]
    record: DutyRecord,
}

/// An error of encoding or decoding a duty record.
#[derive(Debug, thiserror::Error)]
pub enum DutyError {
    /// The bytes are not a duty record, or a record cannot be written as JSON.
    #[error("cannot encode or decode a duty record")]
    Malformed(#[from] serde_json::Error),
    /// Another version of the program wrote the record.
    #[error("duty record has unknown version {0}")]
    Version(u32),
}

impl DutyRecord {
    /// Encodes the record.
    ///
    /// # Errors
    /// Returns [`DutyError::Malformed`] if the record cannot be written as JSON.
    pub fn encode(self) -> Result<Vec<u8>, DutyError> {
        Ok(serde_json::to_vec(&Envelope { v: VERSION, record: self })?)
    }

    /// Decodes a record.
    ///
    /// # Errors
    /// Returns [`DutyError`] if the bytes are not a duty record or have another version.
    pub fn decode(data: &[u8]) -> Result<Self, DutyError> {
        let envelope: Envelope = serde_json::from_slice(data)?;
        if envelope.v != VERSION {
            return Err(DutyError::Version(envelope.v));
        }
        Ok(envelope.record)
    }
}

/// The fold's verdict on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyVerdict {
    /// The record took effect.
    Accepted,
    /// The grant does not name the last accepted grant.
    LostRace,
    /// The plan carries the fencing number of an earlier lease.
    StaleFence,
    /// The record was folded before, or the snapshot is older than the state.
    Known,
    /// Records before this one are missing, so only a snapshot can be folded.
    Gap,
}

/// The state of the duties stream, equal on all nodes that folded the same records.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DutyFold {
    next: Offset,
    complete: bool,
    lease: Option<Lease>,
    asleep: BTreeSet<String>,
}

impl DutyFold {
    /// Creates the state before the first record; `first` is the first offset that the log keeps.
    ///
    /// A log that has dropped records leaves the state incomplete until a snapshot arrives.
    pub fn new(first: Offset) -> Self {
        Self { next: first, complete: first == Offset(0), ..Self::default() }
    }

    /// Folds one record.
    pub fn fold(&mut self, offset: Offset, record: &DutyRecord) -> DutyVerdict {
        if offset < self.next {
            return DutyVerdict::Known;
        }
        if offset > self.next {
            self.complete = false;
        }
        self.next = offset.next();
        match record {
            DutyRecord::Snapshot { lease, asleep, covers } => {
                self.fold_snapshot(offset, lease.as_ref(), asleep, *covers)
            }
            _ if !self.complete => DutyVerdict::Gap,
            DutyRecord::Grant { holder, previous } => self.fold_grant(offset, holder, *previous),
            DutyRecord::Plan { fence, delta } => self.fold_plan(*fence, delta),
        }
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        self.next = self.next.max(offset.next());
    }

    fn fold_snapshot(
        &mut self,
        offset: Offset,
        lease: Option<&Lease>,
        asleep: &BTreeSet<String>,
        covers: Offset,
    ) -> DutyVerdict {
        if self.complete || covers != offset {
            return DutyVerdict::Known;
        }
        self.lease = lease.cloned();
        self.asleep = asleep.clone();
        self.complete = true;
        DutyVerdict::Accepted
    }

    fn fold_grant(
        &mut self,
        offset: Offset,
        holder: &str,
        previous: Option<Offset>,
    ) -> DutyVerdict {
        if previous != self.lease.as_ref().map(|l| l.last) {
            return DutyVerdict::LostRace;
        }
        let renewed = self.lease.as_ref().filter(|l| l.holder == holder);
        let fence = renewed.map_or(offset, |l| l.fence);
        self.lease = Some(Lease { holder: holder.to_owned(), fence, last: offset });
        DutyVerdict::Accepted
    }

    fn fold_plan(&mut self, fence: Offset, delta: &PlanDelta) -> DutyVerdict {
        if self.lease.as_ref().is_none_or(|l| l.fence != fence) {
            return DutyVerdict::StaleFence;
        }
        self.asleep.extend(delta.sleep.iter().cloned());
        for host in &delta.wake {
            self.asleep.remove(host);
        }
        DutyVerdict::Accepted
    }

    /// Returns the offset of the record to be folded next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns whether the state includes every accepted record.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the accepted lease.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Returns the hosts that sleep; none while the state is incomplete.
    pub fn asleep(&self) -> &BTreeSet<String> {
        &self.asleep
    }

    /// Returns a snapshot of the state, valid only if it is appended at the next offset.
    pub fn snapshot(&self) -> Option<DutyRecord> {
        self.complete.then(|| DutyRecord::Snapshot {
            lease: self.lease.clone(),
            asleep: self.asleep.clone(),
            covers: self.next,
        })
    }
}
