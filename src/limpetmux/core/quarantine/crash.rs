//! One crash of a backend server, and the parts of prompts that ran there.

use super::evidence::CrashRecord;
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use std::collections::BTreeMap;
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

    /// Marks a part as harmless; returns whether that is new.
    pub(super) fn clear(&mut self, part: PartId, version: u64) -> bool {
        let Some(mark) = self.parts.get_mut(&part).filter(|m| !m.harmless) else { return false };
        mark.harmless = true;
        self.changed = version;
        true
    }

    /// Returns whether the crash speaks against a part.
    pub(super) fn implicates(&self, part: PartId) -> bool {
        self.parts.get(&part).is_some_and(|m| !m.harmless)
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
