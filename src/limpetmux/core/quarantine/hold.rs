//! The verdict on one part: whether it is quarantined, and when it is tried.

use super::crash::Crash;
use super::evidence::HoldRecord;
use super::{Entries, Grounds};
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The time before the first trial of a part with which no answer was ever completed.
const TRIAL_DELAY: Duration = Duration::from_secs(60);
/// The time before the first trial of a part with which answers were completed before.
const KNOWN_TRIAL_DELAY: Duration = Duration::from_secs(20);
/// Each trial that fails multiplies the time before the next one by this.
const DELAY_FACTOR: u32 = 4;
/// The longest time between two trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);
/// How long one entry may run a trial that is due before it is another one's turn.
const TRIAL_TURN: Duration = Duration::from_secs(5);

/// The verdict on one part.
#[derive(Clone, Debug, Default)]
pub(super) struct Hold {
    /// The number of changes between quarantined and free; odd if it is quarantined.
    turn: u32,
    /// When the last crash before the verdict happened, or when the quarantine ended.
    pub(super) at: Moment,
    trials: u32,
    /// When it was last tried or, without a trial, when it was quarantined.
    tried_at: Moment,
    known: bool,
    servers: Vec<Arc<str>>,
    /// The parts that a request has besides if it is held back; parts are only ever taken out.
    with: BTreeSet<PartId>,
    /// When a request was last refused because of it.
    pub(super) refused_at: Moment,
    /// The version at which it last changed.
    pub(super) changed: u64,
}

impl Hold {
    pub(super) fn is_held(&self) -> bool {
        !self.turn.is_multiple_of(2)
    }

    /// Returns whether a request with some parts, of which this hold's is one, is held back.
    pub(super) fn holds_back(&self, parts: &[PartId]) -> bool {
        self.is_held() && self.with.iter().all(|part| parts.contains(part))
    }

    /// Returns whether the hold is only for requests that also have another part.
    pub(super) fn is_with(&self, part: PartId) -> bool {
        self.with.contains(&part)
    }

    /// Returns whether answers had been completed with the part before the verdict.
    pub(super) fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the number of other parts that a request has if it is held back.
    pub(super) fn with_count(&self) -> usize {
        self.with.len()
    }

    /// Returns whether this verdict on a part explains a crash.
    pub(super) fn explains(&self, part: PartId, crash: &Crash) -> bool {
        self.is_held()
            && crash.implicates(part)
            && self.with.iter().all(|other| crash.implicates(*other))
    }

    /// Keeps only some of the other parts; returns whether that changes anything.
    pub(super) fn narrow(&mut self, keep: impl Fn(PartId) -> bool, version: u64) -> bool {
        let before = self.with.len();
        self.with.retain(|part| keep(*part));
        let changed = self.with.len() < before;
        self.changed = if changed { version } else { self.changed };
        changed
    }

    /// Quarantines the part.
    pub(super) fn begin(&mut self, now: Moment, grounds: &Grounds, version: u64) {
        self.turn = self.turn.saturating_add(1);
        self.at = grounds.last;
        self.tried_at = now;
        self.trials = 0;
        self.known = grounds.known;
        self.servers.clone_from(&grounds.servers);
        self.with.clone_from(&grounds.with);
        self.changed = version;
    }

    /// Ends the quarantine.
    pub(super) fn end(&mut self, now: Moment, version: u64) {
        self.turn = self.turn.saturating_add(1);
        self.at = now;
        self.changed = version;
    }

    /// Returns when the part may be tried.
    pub(super) fn trial_at(&self) -> Moment {
        let first = if self.known { KNOWN_TRIAL_DELAY } else { TRIAL_DELAY };
        let factor = DELAY_FACTOR.saturating_pow(self.trials);
        self.tried_at + first.saturating_mul(factor).min(MAX_TRIAL_DELAY)
    }

    /// Returns whether it is this entry's turn to run a trial that is due.
    pub(super) fn is_tried_by(&self, now: Moment, part: PartId, entries: Entries<'_>) -> bool {
        let turn = now.since(self.trial_at()).as_secs() / TRIAL_TURN.as_secs();
        let rank = |entry: &str| {
            hash_parts(&[&part.value().to_le_bytes(), &turn.to_le_bytes(), entry.as_bytes()])
        };
        let first = entries.all.iter().max_by_key(|entry| rank(entry));
        first.is_some_and(|entry| **entry == *entries.local)
    }

    pub(super) fn begin_trial(&mut self, now: Moment, version: u64) {
        self.trials = self.trials.saturating_add(1);
        self.tried_at = now;
        self.changed = version;
    }

    /// Adopts what another node knows of the verdict, if it is newer; returns whether it was.
    pub(super) fn merge(&mut self, now: Moment, record: &HoldRecord, version: u64) -> bool {
        if record.turn < self.turn {
            return false;
        }
        if record.turn == self.turn {
            let narrowed = self.narrow(|part| record.with.contains(&part), version);
            if record.trials <= self.trials {
                return narrowed;
            }
        } else {
            self.with.clone_from(&record.with);
        }
        self.turn = record.turn;
        self.at = now - record.age;
        self.trials = record.trials;
        self.tried_at = now - record.tried_age;
        self.known = record.known;
        self.servers.clone_from(&record.servers);
        self.changed = version;
        true
    }

    pub(super) fn record(&self, now: Moment, part: PartId) -> HoldRecord {
        HoldRecord {
            part,
            turn: self.turn,
            age: now.since(self.at),
            trials: self.trials,
            tried_age: now.since(self.tried_at),
            known: self.known,
            servers: self.servers.clone(),
            with: self.with.clone(),
        }
    }

    pub(super) fn grounds(&self, now: Moment, part: PartId) -> Grounds {
        let (with, servers) = (self.with.clone(), self.servers.clone());
        Grounds { part, with, servers, span: now.since(self.at), last: self.at, known: self.known }
    }
}
