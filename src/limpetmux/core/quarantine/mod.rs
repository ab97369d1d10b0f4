//! Quarantine of prompt parts that crash backend servers.
//!
//! A request whose prompt has such a part ends any backend server that begins to answer it. It takes
//! the other requests there along, so that their parts were present at the crash too. What counts are
//! the crashes of a part against its harmless uses: a part that no answer has completed with since
//! [`CRASHES`] crashes at separate times, and that explains more of them than any other part, is
//! quarantined. Crashes that a quarantined part explains are no evidence against others. Parts that
//! were present at the very same crashes are one group, which is only held back where all of them
//! occur together.
//!
//! All nodes exchange their evidence and verdicts, so that each of them decides alike and none has to
//! be asked. A quarantine does not end by time: from time to time one entry sends one request as a
//! trial, and a complete answer ends it. See `docs/design/quarantine.md`.

mod crash;
mod evidence;
mod group;
mod hold;
mod holds;
mod page;
mod split;
mod suspects;
mod uses;
mod verdict;

pub use crash::{Mark, ServerRun};
pub use evidence::{CrashRecord, Evidence, HoldRecord};
pub use group::GroupId;
pub use page::MAX_PAGE_PARTS;
pub use suspects::CRASHES;
pub use verdict::{Change, Entries, Grounds, Trial, Verdict};

use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use crash::Crash;
use holds::{Adopted, Holds};
use std::collections::{BTreeMap, BTreeSet};
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

/// One node's knowledge of crashes and of quarantined parts.
#[derive(Clone, Debug)]
pub struct Quarantine {
    crashes: BTreeMap<ServerRun, Crash>,
    holds: Holds,
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
            holds: Holds::default(),
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

    /// Returns the number of quarantined groups of parts.
    pub fn held(&self) -> usize {
        self.holds.iter().filter(|(_, h)| h.is_held()).count()
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
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        parts.iter().for_each(|part| self.uses.record(now, *part));
        self.clear_holds(now, began, &parts);
        let version = &mut self.version;
        for crash in self.crashes.values_mut().filter(|c| c.at < began) {
            *version += u64::from(crash.clear(&parts, *version + 1));
        }
    }

    /// Ends what verdicts before a request was sent say about its parts, after it was answered.
    fn clear_holds(&mut self, now: Moment, began: Moment, used: &BTreeSet<PartId>) {
        let mut cleared = BTreeSet::new();
        for (group, _) in self.holds.touched(used.iter().copied()) {
            let Some(hold) = self.holds.get(group).filter(|h| h.at < began) else { continue };
            let (gone, left): (Vec<PartId>, Vec<PartId>) =
                hold.parts.iter().partition(|part| used.contains(part));
            cleared.extend(gone);
            let (part, left_count) = (left.first().copied(), left.len());
            self.version += 1;
            self.changes.push(match part {
                Some(part) => Change::Narrowed { part, left: left_count },
                None => Change::Freed(hold.lead()),
            });
            match part {
                Some(_) => self.holds.narrow(group, left, self.version),
                None => self.holds.end(now, group, self.version),
            }
        }
        self.clear(&cleared);
    }

    /// Decides what may happen to a request with some parts.
    pub fn check(&mut self, now: Moment, parts: &[PartId], entries: Entries<'_>) -> Verdict {
        self.weigh(now);
        if self.holds.is_free() {
            return Verdict::Sound;
        }
        let parts: BTreeSet<PartId> = parts.iter().copied().collect();
        let complete = self.holds.complete(parts.into_iter());
        let size = |group: &GroupId| self.holds.get(*group).map(|hold| hold.parts.len());
        let Some(group) = complete.iter().copied().min_by_key(size) else { return Verdict::Sound };
        let Some(hold) = self.holds.get_mut(group) else { return Verdict::Sound };
        hold.refused_at = now;
        let (part, trial_in) = (hold.lead(), now.until(hold.trial_at()));
        if trial_in.is_zero() && hold.is_tried_by(now, entries) && self.is_only(group, &complete) {
            return Verdict::Trial(Trial { group, part });
        }
        Verdict::Held { part, trial_in }
    }

    /// Returns whether all groups that hold a request back have all parts of one of them, so that a
    /// complete answer tells about that one.
    fn is_only(&self, group: GroupId, complete: &[GroupId]) -> bool {
        let Some(hold) = self.holds.get(group) else { return false };
        complete.iter().filter_map(|other| self.holds.get(*other)).all(|other| other.has_all(hold))
    }

    /// Counts a trial that is about to be sent.
    pub fn begin_trial(&mut self, now: Moment, trial: Trial) {
        if let Some(hold) = self.holds.get_mut(trial.group) {
            self.version += 1;
            hold.begin_trial(now);
            hold.changed = self.version;
        }
    }

    /// Ends the quarantine of all groups that a part belongs to; returns whether there was one.
    pub fn free(&mut self, now: Moment, part: PartId) -> bool {
        let groups = self.holds.of_part(part).to_vec();
        groups.iter().for_each(|group| self.free_group(now, *group));
        !groups.is_empty()
    }

    fn free_group(&mut self, now: Moment, group: GroupId) {
        let Some(hold) = self.holds.get(group).filter(|hold| hold.is_held()) else { return };
        let (lead, parts) = (hold.lead(), hold.parts.iter().copied().collect());
        self.version += 1;
        self.holds.end(now, group, self.version);
        self.clear(&parts);
        self.changes.push(Change::Freed(lead));
    }

    /// Takes all crashes for harmless to some parts.
    fn clear(&mut self, parts: &BTreeSet<PartId>) {
        let version = &mut self.version;
        for crash in self.crashes.values_mut() {
            *version += u64::from(crash.clear(parts, *version + 1));
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
        self.split_holds(now);
        self.find_groups(now);
        for group in suspects::explained(&self.crashes, &self.holds) {
            self.free_group(now, group);
        }
        self.note_suspects(now);
    }

    /// Quarantines what is left of groups of which some parts were missing at later crashes.
    fn split_holds(&mut self, now: Moment) {
        for grounds in split::split(now, &self.crashes, &self.holds) {
            let group = GroupId::of(&grounds.parts);
            let is_known = self.holds.get(group).is_some();
            if !is_known && !self.holds.is_dropped(group, grounds.last) {
                self.hold(now, grounds);
            }
        }
    }

    /// Quarantines one group after the other, until the crashes that are left suffice for none.
    fn find_groups(&mut self, now: Moment) {
        // Each group explains another crash, unless there are too many verdicts.
        for _ in 0..self.crashes.len() {
            let found = suspects::find(now, &self.crashes, &self.holds).unwrap_or_default();
            let is_dropped = |g: &Grounds| self.holds.is_dropped(GroupId::of(&g.parts), g.last);
            let found: Vec<Grounds> = found.into_iter().filter(|g| !is_dropped(g)).collect();
            if found.is_empty() {
                return;
            }
            found.into_iter().for_each(|grounds| self.hold(now, grounds));
        }
    }

    /// Returns all that a node lacks that has seen the evidence up to a version.
    pub fn evidence_since(&self, now: Moment, version: u64) -> Evidence {
        self.evidence_page(now, version, usize::MAX).0
    }

    /// Returns all verdicts.
    pub fn holds(&self, now: Moment) -> Vec<HoldRecord> {
        self.holds.iter().map(|(group, hold)| hold.record(now, group)).collect()
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
        let adopted = self.holds.merge(now, &record, version);
        if adopted == Adopted::Nothing {
            return;
        }
        self.version = version;
        let Some(hold) = self.holds.get(record.group) else { return };
        match adopted {
            Adopted::Nothing | Adopted::Details => {}
            Adopted::Held => {
                self.changes.push(Change::Held(hold.grounds(now)));
                // This node may know that another group explains its crashes.
                self.weigh_at = Some(now);
            }
            Adopted::Freed => {
                let (lead, parts) = (hold.lead(), hold.parts.iter().copied().collect());
                self.clear(&parts);
                self.changes.push(Change::Freed(lead));
            }
        }
        self.drop_excess(now);
    }

    fn hold(&mut self, now: Moment, grounds: Grounds) {
        self.version += 1;
        self.holds.begin(now, &grounds, self.version);
        grounds.parts.first().map(|lead| self.suspected.remove(lead));
        self.changes.push(Change::Held(grounds));
        self.drop_excess(now);
    }

    fn drop_excess(&mut self, now: Moment) {
        self.changes.extend(self.holds.drop_excess(now));
    }

    /// Returns each group once as a change whose crashes exceed those of all others.
    fn note_suspects(&mut self, now: Moment) {
        let found = suspects::leading(now, &self.crashes, &self.holds, MAX_SUSPECTS);
        let lead = |g: &Grounds| g.parts.first().copied();
        self.suspected.retain(|part, _| found.iter().any(|g| lead(g) == Some(*part)));
        for grounds in found {
            let (Some(part), count) = (lead(&grounds), grounds.servers.len()) else { continue };
            if self.suspected.insert(part, count).is_none_or(|before| before < count) {
                self.changes.push(Change::Suspected(grounds));
            }
        }
    }
}
