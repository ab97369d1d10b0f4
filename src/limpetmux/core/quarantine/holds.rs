//! The verdicts of one node, found by the parts of a prompt, and their bounds.
//!
//! Callers choose how many parts a prompt has, so each group is kept once, whatever its size, and an
//! index leads from a part to the groups that it belongs to: a prompt costs as much as its parts and
//! the groups that they touch. See `docs/design/quarantine.md`.

use super::crash::Crash;
use super::evidence::HoldRecord;
use super::group::GroupId;
use super::hold::Hold;
use super::{Change, Grounds, MAX_CRASH_PARTS};
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use std::collections::BTreeMap;

/// The most verdicts that are remembered, ended ones included.
const MAX_HOLDS: usize = 512;
/// The most parts that all of them have together.
const MAX_HELD_PARTS: usize = 4 * MAX_CRASH_PARTS;
/// The most dropped verdicts that are remembered.
const MAX_DROPPED: usize = 8 * MAX_HOLDS;

/// A verdict that was dropped because there were too many.
///
/// It is not adopted again from nodes that still have it: each of two nodes would drop what the other one
/// tells, without end.
#[derive(Clone, Copy, Debug)]
struct Dropped {
    turn: u32,
    /// When it was dropped; only later crashes bring it back.
    at: Moment,
}

/// What came of telling this node a verdict of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Adopted {
    /// It was known.
    Nothing,
    /// It became known without a change between quarantined and free.
    Details,
    /// The group is quarantined now.
    Held,
    /// The group is free now.
    Freed,
}

/// The verdicts of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds {
    groups: BTreeMap<GroupId, Hold>,
    /// The quarantined groups of each part.
    by_part: BTreeMap<PartId, Vec<GroupId>>,
    /// The number of parts of all groups together.
    part_count: usize,
    dropped: BTreeMap<GroupId, Dropped>,
}

impl Holds {
    pub(super) fn get(&self, group: GroupId) -> Option<&Hold> {
        self.groups.get(&group)
    }

    pub(super) fn get_mut(&mut self, group: GroupId) -> Option<&mut Hold> {
        self.groups.get_mut(&group)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (GroupId, &Hold)> {
        self.groups.iter().map(|(group, hold)| (*group, hold))
    }

    /// Returns whether no group is quarantined.
    pub(super) fn is_free(&self) -> bool {
        self.by_part.is_empty()
    }

    /// Returns the quarantined groups that a part belongs to.
    pub(super) fn of_part(&self, part: PartId) -> &[GroupId] {
        self.by_part.get(&part).map_or(&[], Vec::as_slice)
    }

    /// Returns the quarantined groups that have some of the given parts, each of which is given once, and
    /// how many.
    pub(super) fn touched(&self, parts: impl Iterator<Item = PartId>) -> BTreeMap<GroupId, usize> {
        let mut counts = BTreeMap::new();
        for group in parts.flat_map(|part| self.of_part(part)) {
            *counts.entry(*group).or_default() += 1;
        }
        counts
    }

    /// Returns the quarantined groups all of whose parts are among the given ones, each of which is given
    /// once.
    pub(super) fn complete(&self, parts: impl Iterator<Item = PartId>) -> Vec<GroupId> {
        let counts = self.touched(parts).into_iter();
        let size = |group: &GroupId| self.groups.get(group).map(|hold| hold.parts.len());
        counts.filter(|(group, count)| size(group) == Some(*count)).map(|c| c.0).collect()
    }

    /// Returns the verdicts that explain a crash: all parts of the group may have caused it.
    pub(super) fn explaining(&self, crash: &Crash) -> Vec<GroupId> {
        if self.is_free() {
            return Vec::new();
        }
        self.complete(crash.suspects())
    }

    /// Returns whether a verdict that follows from crashes, the last at a moment, was dropped since.
    pub(super) fn is_dropped(&self, group: GroupId, last: Moment) -> bool {
        self.dropped.get(&group).is_some_and(|dropped| last <= dropped.at)
    }

    /// Quarantines a group.
    pub(super) fn begin(&mut self, now: Moment, grounds: &Grounds, version: u64) {
        let group = GroupId::of(&grounds.parts);
        let turn = self.groups.get(&group).map_or(0, |hold| hold.turn);
        let turn = self.dropped.remove(&group).map_or(turn, |dropped| dropped.turn.max(turn));
        self.replace(group, Hold { changed: version, ..Hold::begin(now, grounds, turn) });
    }

    /// Ends the quarantine of a group.
    pub(super) fn end(&mut self, now: Moment, group: GroupId, version: u64) {
        self.unindex(group);
        if let Some(hold) = self.groups.get_mut(&group) {
            hold.end(now);
            hold.changed = version;
        }
    }

    /// Sets the parts of a quarantined group to some of those that it has.
    pub(super) fn narrow(&mut self, group: GroupId, parts: Vec<PartId>, version: u64) {
        if let Some(hold) = self.groups.get(&group).cloned() {
            self.replace(group, Hold { parts, changed: version, ..hold });
        }
    }

    /// Adopts what another node knows of a verdict, if that is more.
    pub(super) fn merge(&mut self, now: Moment, record: &HoldRecord, version: u64) -> Adopted {
        let group = record.group;
        let is_dropped = self.dropped.get(&group).is_some_and(|d| record.turn <= d.turn);
        if is_dropped || record.parts.is_empty() || record.parts.len() > MAX_CRASH_PARTS {
            return Adopted::Nothing;
        }
        let known = self.groups.get(&group).cloned();
        let was_held = known.as_ref().is_some_and(Hold::is_held);
        let hold = match known {
            None => Hold::adopt(now, record),
            Some(hold) if record.turn > hold.turn => {
                Hold { refused_at: hold.refused_at, ..Hold::adopt(now, record) }
            }
            Some(hold) if record.turn == hold.turn => {
                let parts = hold.common_parts(&record.parts);
                let is_behind = hold.is_behind(record);
                if !is_behind && parts == hold.parts {
                    return Adopted::Nothing;
                }
                let refused_at = hold.refused_at;
                let newest = if is_behind { Hold::adopt(now, record) } else { hold };
                Hold { parts, refused_at, ..newest }
            }
            Some(_) => return Adopted::Nothing,
        };
        let is_held = hold.is_held();
        self.dropped.remove(&group);
        self.replace(group, Hold { changed: version, ..hold });
        match (was_held, is_held) {
            (false, true) => Adopted::Held,
            (true, false) => Adopted::Freed,
            _ => Adopted::Details,
        }
    }

    /// Drops the verdicts that were needed least recently, if there are too many; returns the changes.
    pub(super) fn drop_excess(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        while self.groups.len() > MAX_HOLDS || self.part_count > MAX_HELD_PARTS {
            let need =
                |(group, h): &(&GroupId, &Hold)| (h.is_held(), h.refused_at.max(h.at), **group);
            let Some(group) = self.groups.iter().min_by_key(need).map(|(g, _)| *g) else { break };
            let Some(hold) = self.remove(group) else { break };
            self.remember_dropped(group, Dropped { turn: hold.turn, at: now.max(hold.at) });
            changes.extend(hold.is_held().then_some(Change::Dropped(hold.lead())));
        }
        changes
    }

    fn remember_dropped(&mut self, group: GroupId, dropped: Dropped) {
        self.dropped.insert(group, dropped);
        if self.dropped.len() > MAX_DROPPED {
            let oldest = self.dropped.iter().min_by_key(|(_, d)| d.at).map(|(group, _)| *group);
            oldest.map(|group| self.dropped.remove(&group));
        }
    }

    fn replace(&mut self, group: GroupId, hold: Hold) {
        self.remove(group);
        if hold.is_held() {
            for part in &hold.parts {
                self.by_part.entry(*part).or_default().push(group);
            }
        }
        self.part_count += hold.parts.len();
        self.groups.insert(group, hold);
    }

    fn remove(&mut self, group: GroupId) -> Option<Hold> {
        self.unindex(group);
        let hold = self.groups.remove(&group)?;
        self.part_count -= hold.parts.len();
        Some(hold)
    }

    /// Takes a group out of the index.
    fn unindex(&mut self, group: GroupId) {
        let Some(hold) = self.groups.get(&group).filter(|hold| hold.is_held()) else { return };
        for part in &hold.parts {
            let Some(groups) = self.by_part.get_mut(part) else { continue };
            groups.retain(|other| *other != group);
            if groups.is_empty() {
                self.by_part.remove(part);
            }
        }
    }
}
