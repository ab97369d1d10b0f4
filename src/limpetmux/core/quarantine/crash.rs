//! One crash of a backend server, and the parts of prompts that ran there.

use super::evidence::CrashRecord;
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One run of a backend server, from a start to the next.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerRun {
    /// The id of the backend server.
    pub server: Arc<str>,
    /// The Unix millisecond of its start; it may start again under the same id.
    pub started_ms: u64,
}

/// What speaks for and against a part that ran at a crash; marks are only ever added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// A request with the part had no event of its answer yet.
    pub early: bool,
    /// Answers were completed with the part before the crash.
    pub known: bool,
    /// An answer was completed with the part by a request that was sent after the crash.
    pub harmless: bool,
}

/// What came of adding the parts of a crash to those that are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Merged {
    /// Some of them are new.
    pub(super) is_new: bool,
    /// More is known of them than was added.
    pub(super) adds: bool,
}

/// One crash.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// When the connections of the first request broke.
    pub(super) at: Moment,
    /// The parts that ran there, each with what speaks for it.
    pub(super) parts: BTreeMap<PartId, Mark>,
    /// The version at which the crash last changed.
    pub(super) changed: u64,
}

impl Crash {
    pub(super) fn new(at: Moment) -> Self {
        Self { at, parts: BTreeMap::new(), changed: 0 }
    }

    /// Adds parts and marks.
    pub(super) fn merge(
        &mut self,
        marks: Vec<(PartId, Mark)>,
        max_parts: usize,
        version: u64,
        is_known: impl Fn(PartId) -> bool,
    ) -> Merged {
        let mut merged = Merged::default();
        for (part, told) in marks {
            if !self.parts.contains_key(&part) && self.parts.len() >= max_parts {
                continue;
            }
            let mark = Mark { known: told.known || is_known(part), ..told };
            let old = self.parts.insert(part, mark);
            let mark = old.map_or(mark, |old| old.or(mark));
            self.parts.insert(part, mark);
            merged.is_new |= old != Some(mark);
            merged.adds |= told != mark;
        }
        if merged.is_new {
            self.changed = version;
        }
        merged
    }

    /// Marks parts as harmless; returns whether that is new of one.
    ///
    /// The time that this takes follows from the smaller of the two sets, as a prompt may have as many
    /// parts as a crash.
    pub(super) fn clear(&mut self, parts: &BTreeSet<PartId>, version: u64) -> bool {
        let mut is_new = false;
        let mut clear = |mark: &mut Mark| is_new |= !std::mem::replace(&mut mark.harmless, true);
        if parts.len() < self.parts.len() {
            parts.iter().for_each(|part| self.parts.get_mut(part).into_iter().for_each(&mut clear));
        } else {
            let present = self.parts.iter_mut().filter(|(part, _)| parts.contains(part));
            present.for_each(|(_, mark)| clear(mark));
        }
        self.changed = if is_new { version } else { self.changed };
        is_new
    }

    /// Returns the parts against which the crash speaks, in their order.
    pub(super) fn suspects(&self) -> impl Iterator<Item = PartId> {
        self.parts.iter().filter(|(_, mark)| !mark.harmless).map(|(part, _)| *part)
    }

    pub(super) fn record(&self, now: Moment, run: &ServerRun) -> CrashRecord {
        let parts = self.parts.iter().map(|(part, mark)| (*part, *mark)).collect();
        CrashRecord { run: run.clone(), age: now.since(self.at), parts }
    }
}

impl Mark {
    fn or(self, other: Self) -> Self {
        Self {
            early: self.early || other.early,
            known: self.known || other.known,
            harmless: self.harmless || other.harmless,
        }
    }
}
