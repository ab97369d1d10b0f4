//! The evidence that one message between nodes carries.
//!
//! Callers choose how many parts their prompts have, so a node that lacks much gets it with several
//! messages, in the order of its changes. See `docs/design/quarantine.md`.

use super::Quarantine;
use super::crash::{Crash, ServerRun};
use super::evidence::Evidence;
use super::group::GroupId;
use super::hold::Hold;
use crate::core::time::Moment;

/// The most parts of prompts in one message, unless a single crash or verdict has more.
pub const MAX_PAGE_PARTS: usize = 4_096;

/// A crash or a verdict that a node lacks.
enum News<'a> {
    Crash(&'a ServerRun, &'a Crash),
    Hold(GroupId, &'a Hold),
}

impl News<'_> {
    fn changed(&self) -> u64 {
        match self {
            Self::Crash(_, crash) => crash.changed,
            Self::Hold(_, hold) => hold.changed,
        }
    }

    fn parts(&self) -> usize {
        match self {
            Self::Crash(_, crash) => crash.parts.len(),
            Self::Hold(_, hold) => hold.parts.len(),
        }
    }
}

impl Quarantine {
    /// Returns what a node lacks that has seen the evidence up to a version, with at most `max` parts or
    /// a single crash or verdict, and the version up to which it has seen it then.
    pub fn evidence_page(&self, now: Moment, version: u64, max: usize) -> (Evidence, u64) {
        let crashes = self.crashes.iter().map(|(run, crash)| News::Crash(run, crash));
        let holds = self.holds.iter().map(|(group, hold)| News::Hold(group, hold));
        let mut news: Vec<News<'_>> =
            crashes.chain(holds).filter(|n| n.changed() > version).collect();
        news.sort_by_key(News::changed);
        let (mut evidence, mut parts, mut reached) = (Evidence::default(), 0, version);
        for item in news {
            parts += item.parts();
            if parts > max && reached > version {
                return (evidence, reached);
            }
            reached = item.changed();
            match item {
                News::Crash(run, crash) => evidence.crashes.push(crash.record(now, run)),
                News::Hold(group, hold) => evidence.holds.push(hold.record(now, group)),
            }
        }
        (evidence, self.version)
    }
}
