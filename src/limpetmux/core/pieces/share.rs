//! Fair share of a full piece queue between workspaces.
//!
//! A queue is full while its pieces keep the available backend servers busy for longer than
//! [`FULL_WAIT`]. If they are of several workspaces, stages are ordered by priority and then by start
//! tag, so that the stages which wait longest, and end as late, are those of the workspace furthest
//! over its share. Otherwise the order is the usual one. See `docs/design/fair-share.md`.

use super::PieceQueue;
use super::job::{Job, JobKey, Rank};
use crate::core::share::{FairTags, FlowId};
use crate::core::time::Moment;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// A queue is full once its pieces take longer than this.
const FULL_WAIT: Duration = Duration::from_millis(300);
/// All workspaces have the same share, as the configuration states none.
const EQUAL_WEIGHT: u32 = 1;
/// Most workspaces whose waits are reported.
const MAX_REPORTED: usize = 32;

/// How long a new stage waits in a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StageWaits {
    /// The wait of any stage; while workspaces compete, of one whose workspace has nothing queued.
    pub usual: Duration,
    /// The waits of the workspaces that have stages queued, while workspaces compete; the longest
    /// first, at most [`MAX_REPORTED`].
    pub workspaces: Vec<(Arc<str>, Duration)>,
}

impl PieceQueue {
    /// Returns how long a new stage that is not late waits in the queue.
    pub fn stage_waits(&self, now: Moment) -> StageWaits {
        let busy =
            self.workers.values().filter(|w| w.is_available(now)).map(|w| w.busy_for(now)).min();
        let wait = |ahead: usize| self.drain_time(now, ahead) + busy.unwrap_or_default();
        let open: Vec<(Rank, &Job)> = (self.order(now).into_iter())
            .filter(|(rank, _)| !rank.is_late())
            .map(|(rank, key)| (rank, &self.jobs[&key]))
            .collect();
        if !self.is_contended(now, &open.iter().map(|(_, j)| *j).collect::<Vec<_>>()) {
            let usual = wait(open.iter().map(|(_, j)| j.open_count()).sum());
            return StageWaits { usual, workspaces: Vec::new() };
        }
        let usual = wait(self.pieces_before(&open, |priority| self.tags.served(priority)));
        let flows: BTreeMap<&Arc<str>, FlowId> =
            open.iter().filter_map(|(_, j)| Some((j.spec.workspace.as_ref()?, j.flow))).collect();
        let mut workspaces: Vec<(Arc<str>, Duration)> = (flows.into_iter())
            .map(|(name, flow)| (Arc::clone(name), wait(self.pieces_before_next(&open, flow))))
            .collect();
        workspaces.sort_by_key(|(_, wait)| Reverse(*wait));
        workspaces.truncate(MAX_REPORTED);
        StageWaits { usual, workspaces }
    }

    /// Returns how long a new stage of a workspace without queued ones waits in the queue.
    pub fn stage_wait(&self, now: Moment) -> Duration {
        self.stage_waits(now).usual
    }

    /// Returns the workspaces, counting requests without one as one, that compete for the full queue;
    /// 0 while nobody has to wait for others.
    pub fn competing(&self, now: Moment) -> usize {
        let open: Vec<&Job> = self.jobs.values().filter(|j| j.open_count() > 0).collect();
        let flows: BTreeSet<FlowId> = open.iter().map(|j| j.flow).collect();
        if self.is_contended(now, &open) { flows.len() } else { 0 }
    }

    /// Returns whether the queue is full with stages of several workspaces.
    fn is_contended(&self, now: Moment, jobs: &[&Job]) -> bool {
        let open: usize = jobs.iter().map(|j| j.open_count()).sum();
        let differs = jobs.first().is_some_and(|first| jobs.iter().any(|j| j.flow != first.flow));
        differs && self.drain_time(now, open) > FULL_WAIT
    }

    /// Returns stages in the order in which their pieces are sent.
    pub(super) fn sorted(&self, now: Moment, jobs: Vec<(JobKey, &Job)>) -> Vec<(Rank, JobKey)> {
        let shared = self.is_contended(now, &jobs.iter().map(|(_, j)| *j).collect::<Vec<_>>());
        // Full calls take longer than one with the pieces of a small stage.
        let rank = |job: &Job| match shared {
            true => job.rank(now, self.call_time(self.spec.batch)),
            false => self.rank(now, job),
        };
        let mut order: Vec<(Rank, JobKey, &Job)> =
            jobs.into_iter().map(|(key, job)| (rank(job), key, job)).collect();
        order.sort_unstable_by_key(|(rank, key, _)| (*rank, *key));
        if shared {
            self.assign_tags(&mut order);
            order.sort_unstable_by_key(|(rank, key, _)| (*rank, *key));
        }
        order.into_iter().map(|(rank, key, _)| (rank, key)).collect()
    }

    /// Gives each stage its start tag; the stages of one workspace keep their order.
    fn assign_tags(&self, order: &mut [(Rank, JobKey, &Job)]) {
        let mut next: BTreeMap<(u8, FlowId), u64> = BTreeMap::new();
        let span = self.piece_span();
        for (rank, _, job) in order {
            let priority = job.spec.priority;
            let start = || self.start_tag(priority, job.flow);
            let tag = next.entry((priority, job.flow)).or_insert_with(start);
            *rank = rank.shared(priority, *tag);
            *tag = tag.saturating_add(span.saturating_mul(job.open_count() as u64));
        }
    }

    /// Records that a stage is about to be queued.
    pub(super) fn enter(&mut self, job: &Job) {
        if !self.is_queued(job.spec.priority, job.flow) {
            self.tags.enter(job.spec.priority, job.flow);
        }
    }

    /// Returns the tag length of a piece, by its part of the time of a full call.
    pub(super) fn piece_span(&self) -> u64 {
        let batch = u32::try_from(self.spec.batch.max(1)).unwrap_or(u32::MAX);
        let time = self.spec.item_time + self.spec.call_time / batch;
        FairTags::span(EQUAL_WEIGHT, u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }

    fn is_queued(&self, priority: u8, flow: FlowId) -> bool {
        let same = |j: &&Job| j.flow == flow && j.spec.priority == priority;
        self.jobs.values().filter(same).any(|j| j.open_count() > 0)
    }

    /// Returns the start tag of the next piece of a workspace.
    fn start_tag(&self, priority: u8, flow: FlowId) -> u64 {
        let start = self.tags.start(priority, flow);
        if self.is_queued(priority, flow) { start } else { start.max(self.tags.served(priority)) }
    }

    /// Returns the pieces that a new stage of a workspace waits for, with the stages that it has queued.
    fn pieces_before_next(&self, open: &[(Rank, &Job)], flow: FlowId) -> usize {
        let span = self.piece_span();
        self.pieces_before(open, |priority| {
            let own = open.iter().filter(|(_, j)| j.flow == flow && j.spec.priority == priority);
            let pieces: usize = own.map(|(_, j)| j.open_count()).sum();
            self.start_tag(priority, flow).saturating_add(span.saturating_mul(pieces as u64))
        })
    }

    /// Returns the pieces before a tag, which depends on the priority; a new stage is taken to have
    /// the priority of each queued one.
    fn pieces_before(&self, open: &[(Rank, &Job)], tag: impl Fn(u8) -> u64) -> usize {
        let mut tags: BTreeMap<u8, u64> = BTreeMap::new();
        let mut ahead = 0;
        for (rank, job) in open {
            let priority = job.spec.priority;
            let tag = *tags.entry(priority).or_insert_with(|| tag(priority));
            ahead += if rank.tag() < tag { job.open_count() } else { 0 };
        }
        ahead
    }
}
