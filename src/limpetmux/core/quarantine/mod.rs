//! Quarantine of prompt parts that crash backend servers.
//!
//! A request whose prompt has such a part ends any backend server that begins to answer it. It takes
//! the other requests there along, so that their parts were present at the crash too. What counts are
//! the crashes of a part against its harmless uses: a part that no answer has completed with since
//! [`CRASHES`] crashes at separate times, and that explains more of them than any other part, is
//! quarantined. Crashes that a quarantined part explains are no evidence against others. Parts that
//! were present at the very same crashes are only held back where they occur together.
//!
//! All nodes exchange their evidence and verdicts, so that each of them decides alike and none has to
//! be asked. A quarantine does not end by time: from time to time one entry sends one request as a
//! trial, and a complete answer ends it. See `docs/design/quarantine.md`.

mod crash;
mod evidence;
mod hold;
mod suspects;
mod uses;

pub use crash::{Mark, ServerRun};
pub use evidence::{CrashRecord, Evidence, HoldRecord};
pub use suspects::CRASHES;

use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use crash::Crash;
use hold::Hold;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use uses::Uses;

/// The time after a crash in which other nodes report their requests at the same backend server.
pub const SETTLE_TIME: Duration = Duration::from_millis(400);
/// How long a crash is evidence.
const CRASH_AGE: Duration = Duration::from_secs(300);
/// The most crashes that are remembered; the oldest one is dropped first.
const MAX_CRASHES: usize = 128;
/// The most parts that are remembered of one crash; the head of a request has no room for more.
const MAX_CRASH_PARTS: usize = 4_096;
/// The most parts that are remembered of all crashes; the oldest crash is dropped first.
const MAX_PARTS: usize = 4 * MAX_CRASH_PARTS;
/// The most parts that are logged as suspected at a time; more of them tell nothing.
const MAX_SUSPECTS: usize = 4;
/// The most verdicts that are remembered, ended ones included.
const MAX_HOLDS: usize = 512;

/// What may happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Sound,
    /// It may be sent as the trial of a quarantined part.
    Trial(PartId),
    /// A part of its prompt is quarantined.
    Held {
        /// The part.
        part: PartId,
        /// The time until the part may be tried.
        trial_in: Duration,
    },
}

/// A change of the quarantine, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Crashes separate a part from others, but are too few for a verdict.
    Suspected(Grounds),
    /// A part is quarantined.
    Held(Grounds),
    /// A part is no longer quarantined.
    Freed(PartId),
    /// A quarantine was dropped because there are too many.
    Dropped(PartId),
}

/// The crashes that speak against a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grounds {
    /// The part.
    pub part: PartId,
    /// The parts that a request has besides if it is held back because of this one.
    pub with: BTreeSet<PartId>,
    /// The backend servers that have ended.
    pub servers: Vec<Arc<str>>,
    /// The time since the first of the crashes.
    pub span: Duration,
    /// When the last of them happened.
    pub last: Moment,
    /// Whether answers were completed with the part before.
    pub known: bool,
}

/// The entries that share the trials of quarantined parts.
#[derive(Clone, Copy, Debug)]
pub struct Entries<'a> {
    /// The name of this one.
    pub local: &'a str,
    /// The names of all that are alive.
    pub all: &'a [Arc<str>],
}

/// One node's knowledge of crashes and of quarantined parts.
#[derive(Clone, Debug)]
pub struct Quarantine {
    crashes: BTreeMap<ServerRun, Crash>,
    holds: BTreeMap<PartId, Hold>,
    uses: Uses,
    /// Increases with each change that other nodes have to learn.
    version: u64,
    /// When the evidence has to be weighed again.
    weigh_at: Option<Moment>,
    /// The parts whose suspicion has been returned as a change.
    suspected: BTreeMap<PartId, usize>,
    changes: Vec<Change>,
}

impl Quarantine {
    /// Creates an empty quarantine, whose versions begin at one that no earlier process at this
    /// address has reached.
    pub fn new(first_version: u64) -> Self {
        Self {
            crashes: BTreeMap::new(),
            holds: BTreeMap::new(),
            uses: Uses::default(),
            version: first_version,
            weigh_at: None,
            suspected: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Returns the version of the evidence.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of quarantined parts.
    pub fn held(&self) -> usize {
        self.holds.values().filter(|h| h.is_held()).count()
    }

    /// Returns the number of parts that are remembered because answers were completed with them.
    pub fn known_parts(&self) -> usize {
        self.uses.len()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Records that a backend server has ended while requests with some parts ran there; of each it is
    /// stated whether a request with it had no event of its answer yet.
    pub fn record_crash(
        &mut self,
        now: Moment,
        at: Moment,
        run: ServerRun,
        parts: &[(PartId, bool)],
    ) {
        let mark =
            |(part, early): &(PartId, bool)| (*part, Mark { early: *early, ..Mark::default() });
        self.add_crash(now, at, run, parts.iter().map(mark).collect());
    }

    /// Records that an answer to a request that was sent at `began` was completed.
    pub fn record_use(&mut self, now: Moment, began: Moment, parts: &[PartId]) {
        for part in parts {
            self.uses.record(now, *part);
            self.clear_holds(now, began, *part);
            let version = self.version + 1;
            for crash in self.crashes.values_mut().filter(|c| c.at < began) {
                if crash.clear(*part, version) {
                    self.version = version;
                }
            }
        }
    }

    /// Ends what verdicts before a request was sent say about a part of it, after it was answered.
    fn clear_holds(&mut self, now: Moment, began: Moment, part: PartId) {
        let version = self.version + 1;
        for hold in self.holds.values_mut().filter(|h| h.is_held() && h.at < began) {
            if hold.narrow(|other| other != part, version) {
                self.version = version;
            }
        }
        if self.holds.get(&part).is_some_and(|h| h.is_held() && h.at < began) {
            self.free(now, part);
        }
    }

    /// Decides what may happen to a request with some parts.
    pub fn check(&mut self, now: Moment, parts: &[PartId], entries: Entries<'_>) -> Verdict {
        self.weigh(now);
        let holds = &self.holds;
        let holds_back = |p: &&PartId| holds.get(p).is_some_and(|h| h.holds_back(parts));
        let mut held = parts.iter().filter(holds_back);
        let Some(part) = held.next() else { return Verdict::Sound };
        let is_only = held.all(|other| other == part || holds[part].is_with(*other));
        let Some(hold) = self.holds.get_mut(part) else { return Verdict::Sound };
        hold.refused_at = now;
        let trial_in = now.until(hold.trial_at());
        if trial_in.is_zero() && is_only && hold.is_tried_by(now, *part, entries) {
            return Verdict::Trial(*part);
        }
        Verdict::Held { part: *part, trial_in }
    }

    /// Counts a trial of a part that is about to be sent.
    pub fn begin_trial(&mut self, now: Moment, part: PartId) {
        if let Some(hold) = self.holds.get_mut(&part) {
            self.version += 1;
            hold.begin_trial(now, self.version);
        }
    }

    /// Ends the quarantine of a part; returns whether it was quarantined.
    pub fn free(&mut self, now: Moment, part: PartId) -> bool {
        let Some(hold) = self.holds.get_mut(&part).filter(|h| h.is_held()) else { return false };
        self.version += 1;
        hold.end(now, self.version);
        self.clear(part, self.version);
        self.changes.push(Change::Freed(part));
        true
    }

    /// Takes all crashes for harmless to a part.
    fn clear(&mut self, part: PartId, version: u64) {
        for crash in self.crashes.values_mut() {
            crash.clear(part, version);
        }
    }

    /// Weighs the evidence, if there is new evidence that has settled.
    pub fn weigh(&mut self, now: Moment) {
        if self.weigh_at.is_none_or(|at| at > now) {
            return;
        }
        self.crashes.retain(|_, c| now.since(c.at) < CRASH_AGE);
        let next = self.crashes.values().map(|c| c.at + SETTLE_TIME).filter(|at| *at > now).min();
        self.weigh_at = next;
        self.narrow_holds(now);
        while let Some(found) = suspects::find(now, &self.crashes, &self.holds) {
            found.into_iter().for_each(|grounds| self.hold(now, grounds));
        }
        for part in suspects::explained(&self.crashes, &self.holds) {
            self.free(now, part);
        }
        self.note_suspects(now);
    }

    /// Takes parts out of verdicts that were missing at a later crash.
    fn narrow_holds(&mut self, now: Moment) {
        let version = self.version + 1;
        for crash in self.crashes.values().filter(|c| now.since(c.at) >= SETTLE_TIME) {
            for part in crash.parts.keys().filter(|part| crash.implicates(**part)) {
                let Some(hold) = self.holds.get_mut(part).filter(|h| h.is_held()) else { continue };
                if hold.narrow(|other| crash.implicates(other), version) {
                    self.version = version;
                }
            }
        }
    }

    /// Returns what a node lacks that has seen the evidence up to a version.
    pub fn evidence_since(&self, now: Moment, version: u64) -> Evidence {
        let crashes = self.crashes.iter().filter(|(_, c)| c.changed > version);
        let holds = self.holds.iter().filter(|(_, h)| h.changed > version);
        Evidence {
            crashes: crashes.map(|(run, crash)| crash.record(now, run)).collect(),
            holds: holds.map(|(part, hold)| hold.record(now, *part)).collect(),
        }
    }

    /// Adds the evidence of another node; returns whether this node knows more of the same crashes.
    pub fn merge(&mut self, now: Moment, evidence: Evidence) -> bool {
        for hold in evidence.holds {
            self.merge_hold(now, hold);
        }
        let mut adds = false;
        for crash in evidence.crashes {
            adds |= self.add_crash(now, now - crash.age, crash.run, crash.parts);
        }
        adds
    }

    /// Adds parts that ran at a crash; returns whether more was known of them.
    fn add_crash(
        &mut self,
        now: Moment,
        at: Moment,
        run: ServerRun,
        marks: Vec<(PartId, Mark)>,
    ) -> bool {
        if marks.is_empty() || now.since(at) >= CRASH_AGE {
            return false;
        }
        let version = self.version + 1;
        let is_known = |part| self.uses.is_known(now, part);
        let crash = self.crashes.entry(run).or_insert_with(|| Crash::new(at));
        let merged = crash.merge(marks, MAX_CRASH_PARTS, version, is_known);
        if !merged.is_new {
            return merged.adds;
        }
        self.version = version;
        let settled = now.max(crash.at + SETTLE_TIME);
        self.weigh_at = Some(self.weigh_at.map_or(settled, |at| at.min(settled)));
        self.drop_oldest();
        merged.adds
    }

    /// Drops the oldest crashes until the others are within their bounds.
    fn drop_oldest(&mut self) {
        let mut parts: usize = self.crashes.values().map(|c| c.parts.len()).sum();
        while self.crashes.len() > MAX_CRASHES || (parts > MAX_PARTS && self.crashes.len() > 1) {
            let oldest = self.crashes.iter().min_by_key(|(_, c)| c.at).map(|(run, _)| run.clone());
            let Some(crash) = oldest.and_then(|run| self.crashes.remove(&run)) else { return };
            parts -= crash.parts.len();
        }
    }

    fn merge_hold(&mut self, now: Moment, record: HoldRecord) {
        let version = self.version + 1;
        let part = record.part;
        let before = self.holds.get(&part).is_some_and(Hold::is_held);
        let hold = self.holds.entry(part).or_default();
        if !hold.merge(now, &record, version) {
            return;
        }
        self.version = version;
        let is_held = hold.is_held();
        match (before, is_held) {
            (false, true) => {
                self.changes.push(Change::Held(hold.grounds(now, part)));
                // This node may know that another part explains its crashes.
                self.weigh_at = Some(now);
            }
            (true, false) => {
                self.clear(part, version);
                self.changes.push(Change::Freed(part));
            }
            _ => {}
        }
        self.drop_excess();
    }

    fn hold(&mut self, now: Moment, grounds: Grounds) {
        self.version += 1;
        let hold = self.holds.entry(grounds.part).or_default();
        hold.begin(now, &grounds, self.version);
        self.suspected.remove(&grounds.part);
        self.changes.push(Change::Held(grounds));
        self.drop_excess();
    }

    /// Drops the verdict that was needed least recently, if there are too many.
    fn drop_excess(&mut self) {
        if self.holds.len() <= MAX_HOLDS {
            return;
        }
        let unneeded = |(_, h): &(&PartId, &Hold)| (h.is_held(), h.refused_at.max(h.at));
        let Some(part) = self.holds.iter().min_by_key(unneeded).map(|(p, _)| *p) else { return };
        if self.holds.remove(&part).is_some_and(|h| h.is_held()) {
            self.changes.push(Change::Dropped(part));
        }
    }

    /// Returns each part once as a change whose crashes exceed those of all others.
    fn note_suspects(&mut self, now: Moment) {
        let mut found = suspects::leading(now, &self.crashes, &self.holds);
        if found.len() > MAX_SUSPECTS {
            found.clear();
        }
        self.suspected.retain(|part, _| found.iter().any(|g| g.part == *part));
        for grounds in found {
            let count = grounds.servers.len();
            if self.suspected.insert(grounds.part, count).is_none_or(|before| before < count) {
                self.changes.push(Change::Suspected(grounds));
            }
        }
    }
}
