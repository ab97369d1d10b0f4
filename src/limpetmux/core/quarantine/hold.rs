//! The verdict on one group of parts: whether it is quarantined, and when it is tried.

use super::evidence::HoldRecord;
use super::group::GroupId;
use super::{Entries, Grounds};
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::sync::Arc;
use std::time::Duration;

/// The time before the first trial of parts with which no answer was ever completed.
const TRIAL_DELAY: Duration = Duration::from_secs(60);
/// The time before the first trial of parts with which answers were completed before.
const KNOWN_TRIAL_DELAY: Duration = Duration::from_secs(20);
/// Each trial that fails multiplies the time before the next one by this.
const DELAY_FACTOR: u32 = 4;
/// The longest time between two trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);
/// How long one entry may run a trial that is due before it is another one's turn.
const TRIAL_TURN: Duration = Duration::from_secs(5);

/// The verdict on one group of parts.
#[derive(Clone, Debug, Default)]
pub(super) struct Hold {
    /// The parts that a request has if it is held back, in their order; they are only ever taken out,
    /// and those of a quarantine that has ended are the last ones it had.
    pub(super) parts: Vec<PartId>,
    /// The number of changes between quarantined and free; odd if the group is quarantined.
    pub(super) turn: u32,
    /// When the last crash before the verdict happened, or when the quarantine ended.
    pub(super) at: Moment,
    pub(super) trials: u32,
    /// When it was last tried or, without a trial, when it was quarantined.
    pub(super) tried_at: Moment,
    /// Whether answers had been completed with the parts before the verdict.
    pub(super) known: bool,
    pub(super) servers: Vec<Arc<str>>,
    /// When a request was last refused because of it.
    pub(super) refused_at: Moment,
    /// The version at which it last changed.
    pub(super) changed: u64,
}

impl Hold {
    /// Quarantines a group for the first time after a turn.
    pub(super) fn begin(now: Moment, grounds: &Grounds, turn: u32) -> Self {
        Self {
            parts: grounds.parts.clone(),
            // Odd, and above all turns that other nodes may still have.
            turn: turn.saturating_add(1) | 1,
            at: grounds.last,
            tried_at: now,
            known: grounds.known,
            servers: grounds.servers.clone(),
            ..Self::default()
        }
    }

    /// Adopts a verdict of another node.
    pub(super) fn adopt(now: Moment, record: &HoldRecord) -> Self {
        Self {
            parts: record.parts.clone(),
            turn: record.turn,
            at: now - record.age,
            trials: record.trials,
            tried_at: now - record.tried_age,
            known: record.known,
            servers: record.servers.clone(),
            ..Self::default()
        }
    }

    pub(super) fn is_held(&self) -> bool {
        !self.turn.is_multiple_of(2)
    }

    /// Returns the part that stands for the group in answers and log lines.
    pub(super) fn lead(&self) -> PartId {
        self.parts.first().copied().unwrap_or(PartId::new(0))
    }

    /// Returns whether the group has all parts of another one.
    pub(super) fn has_all(&self, other: &Self) -> bool {
        other.parts.iter().all(|part| self.parts.binary_search(part).is_ok())
    }

    /// Ends the quarantine.
    pub(super) fn end(&mut self, now: Moment) {
        self.turn = self.turn.saturating_add(1);
        self.at = now;
    }

    /// Returns when the group may be tried.
    pub(super) fn trial_at(&self) -> Moment {
        let first = if self.known { KNOWN_TRIAL_DELAY } else { TRIAL_DELAY };
        let factor = DELAY_FACTOR.saturating_pow(self.trials);
        self.tried_at + first.saturating_mul(factor).min(MAX_TRIAL_DELAY)
    }

    /// Returns whether it is this entry's turn to run a trial that is due.
    pub(super) fn is_tried_by(&self, now: Moment, entries: Entries<'_>) -> bool {
        let turn = now.since(self.trial_at()).as_secs() / TRIAL_TURN.as_secs();
        let lead = self.lead().value().to_le_bytes();
        let rank = |entry: &str| hash_parts(&[&lead, &turn.to_le_bytes(), entry.as_bytes()]);
        let first = entries.all.iter().max_by_key(|entry| rank(entry));
        first.is_some_and(|entry| **entry == *entries.local)
    }

    pub(super) fn begin_trial(&mut self, now: Moment) {
        self.trials = self.trials.saturating_add(1);
        self.tried_at = now;
    }

    /// Returns whether a record knows more of the same quarantine than this node does, apart from parts
    /// that were taken out.
    pub(super) fn is_behind(&self, record: &HoldRecord) -> bool {
        (record.turn, record.trials) > (self.turn, self.trials)
    }

    /// Returns the parts that are left where two nodes have taken parts out of the same group.
    ///
    /// If none is left in both, they are those of the smaller group: whichever nodes exchange theirs in
    /// which order, each gets nearer to it.
    pub(super) fn common_parts(&self, other: &[PartId]) -> Vec<PartId> {
        let is_common = |part: &&PartId| other.binary_search(part).is_ok();
        let common: Vec<PartId> = self.parts.iter().filter(is_common).copied().collect();
        if !common.is_empty() {
            return common;
        }
        let size = |parts: &[PartId]| (parts.len(), parts.to_vec());
        std::cmp::min_by_key(self.parts.as_slice(), other, |parts| size(parts)).to_vec()
    }

    pub(super) fn record(&self, now: Moment, group: GroupId) -> HoldRecord {
        HoldRecord {
            group,
            parts: self.parts.clone(),
            turn: self.turn,
            age: now.since(self.at),
            trials: self.trials,
            tried_age: now.since(self.tried_at),
            known: self.known,
            servers: self.servers.clone(),
        }
    }

    /// Returns what the verdict rests on.
    pub(super) fn grounds(&self, now: Moment) -> Grounds {
        let (parts, servers) = (self.parts.clone(), self.servers.clone());
        Grounds { parts, servers, span: now.since(self.at), last: self.at, known: self.known }
    }
}
