//! Start tags of start-time fair queuing.
//!
//! The tag of some work is the work that its workspace has been given so far, divided by the
//! workspace's weight. The lowest tag goes first. The tag of the latest started work is the time by
//! which a workspace that had nothing queued starts, so that nobody saves up a share.
//!
//! A queue either gives tags when work is queued (`next`, `add`, `give_back`, `serve`), or asks for the
//! tags of all queued work in each step (`enter`, `start`, `charge`); then work that ends unstarted
//! has cost its workspace nothing.

use super::FlowId;
use std::collections::BTreeMap;

/// The tag length of one unit of work at weight one.
const TAG_SCALE: u64 = 1 << 16;
/// Idle workspaces are dropped when more than this are stored.
const MAX_FLOWS: usize = 512;

/// The place of some work among that of other workspaces with the same rank.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag {
    /// The start tag; lower goes first.
    pub start: u64,
    /// The tag length of the work.
    pub span: u64,
}

impl Tag {
    fn end(self) -> u64 {
        self.start.saturating_add(self.span)
    }
}

/// The tags of one resource, by rank; shares are counted within a rank.
#[derive(Clone, Debug, Default)]
pub struct FairTags {
    /// The tag at which the last work of each workspace ends.
    ends: BTreeMap<(u8, FlowId), u64>,
    /// The highest start tag of started work, by rank.
    served: BTreeMap<u8, u64>,
}

impl FairTags {
    /// Returns the tag that some work would get, without counting it; zero work and a weight of
    /// zero count as one.
    pub fn next(&self, rank: u8, flow: FlowId, weight: u32, work: u64) -> Tag {
        let served = self.served(rank);
        let end = self.ends.get(&(rank, flow)).copied().unwrap_or(0);
        Tag { start: served.max(end), span: Self::span(weight, work) }
    }

    /// Returns the tag at which a workspace with nothing queued starts.
    pub fn served(&self, rank: u8) -> u64 {
        self.served.get(&rank).copied().unwrap_or(0)
    }

    /// Records that a workspace with nothing queued gets work into the queue.
    pub fn enter(&mut self, rank: u8, flow: FlowId) {
        let served = self.served(rank);
        let end = self.ends.entry((rank, flow)).or_insert(served);
        *end = served.max(*end);
        self.forget_idle();
    }

    /// Returns the start tag of the first queued work of a workspace.
    pub fn start(&self, rank: u8, flow: FlowId) -> u64 {
        self.ends.get(&(rank, flow)).copied().unwrap_or_else(|| self.served(rank))
    }

    /// Returns the tag length of some work; zero work and a weight of zero count as one.
    pub fn span(weight: u32, work: u64) -> u64 {
        (work.max(1).saturating_mul(TAG_SCALE) / u64::from(weight.max(1))).max(1)
    }

    /// Counts work of a workspace that starts, the first that it has queued.
    pub fn charge(&mut self, rank: u8, flow: FlowId, span: u64) {
        let tag = Tag { start: self.start(rank, flow), span };
        self.add(rank, flow, tag);
        self.serve(rank, tag);
    }

    /// Counts work that is queued, or started without being queued.
    pub fn add(&mut self, rank: u8, flow: FlowId, tag: Tag) {
        self.ends.insert((rank, flow), tag.end());
    }

    /// Returns the share of queued work that will not start to its workspace.
    pub fn give_back(&mut self, rank: u8, flow: FlowId, tag: Tag) {
        if let Some(end) = self.ends.get_mut(&(rank, flow)) {
            *end = end.saturating_sub(tag.span);
        }
    }

    /// Records that work has started.
    pub fn serve(&mut self, rank: u8, tag: Tag) {
        let served = self.served.entry(rank).or_insert(0);
        *served = (*served).max(tag.start);
        self.forget_idle();
    }

    /// Drops workspaces without an advantage to lose if there are too many.
    fn forget_idle(&mut self) {
        if self.ends.len() > MAX_FLOWS {
            let tags = &self.served;
            self.ends.retain(|(rank, _), end| tags.get(rank).is_some_and(|served| *end > *served));
        }
    }
}
