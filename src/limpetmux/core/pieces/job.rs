//! One stage of one request while its pieces are queued or running.

use super::worker::{CallItem, PieceError, PieceOutcome};
use crate::core::share::FlowId;
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Added to a stage's latest start for each step of its request's priority, so that requests with a
/// lower number go first.
const PRIORITY_DELAY: Duration = Duration::from_millis(150);
/// A stage counts as late only if it starts this much after its latest start, as the times of what
/// follows it are estimates.
const LATE_TOLERANCE: Duration = Duration::from_millis(100);

/// Attempts at one piece before its stage fails.
const MAX_SENDS: u32 = 3;

/// The flow of requests without a workspace.
const NO_WORKSPACE: FlowId = FlowId(0);

/// The key of a stage in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey(pub u64);

/// The input of the pieces of a stage.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A key that the request carries.
    Key(Arc<str>),
    /// Results of earlier stages.
    Inputs(Vec<Arc<str>>),
}

/// A stage to run.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// The id of the request.
    pub request: Arc<str>,
    /// The position of the stage.
    pub stage: u32,
    /// The number of pieces.
    pub pieces: usize,
    /// The input of the pieces.
    pub source: Source,
    /// The time by which the stage has to end for the request to meet its latency objective.
    pub due: Moment,
    /// The request's deadline.
    pub deadline: Moment,
    /// The workspace of the request, if the configuration names workspaces.
    pub workspace: Option<Arc<str>>,
    /// The priority of the request; 0 goes first.
    pub priority: u8,
    /// The zone where the results are needed; empty if that does not matter.
    pub zone: Arc<str>,
    /// The size of one result in bytes.
    pub size: u64,
    /// Whether the inputs can be freed after this stage, as no other stage needs them.
    pub frees_inputs: bool,
    /// Whether room is short where the inputs are held, so that they are freed early.
    pub room_short: bool,
}

/// How a stage has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StageEnd {
    /// All pieces are completed.
    Completed {
        /// The results in the order of the pieces.
        results: Vec<Arc<str>>,
        /// The zone that holds most of the results.
        zone: Arc<str>,
    },
    /// The stage cannot be completed in time.
    Late {
        /// The time after which a retry may succeed.
        retry_after: Duration,
    },
    /// An input no longer exists.
    InputMissing,
    /// No backend server may get calls.
    Unavailable,
    /// Too many attempts at a piece failed.
    Failed,
}

impl StageEnd {
    /// Returns whether all pieces are completed.
    pub fn is_completed(&self) -> bool {
        matches!(self, Self::Completed { .. })
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Piece {
    Open,
    /// Sent; holds the latest backend server.
    Sent(Arc<str>),
    /// Completed; holds the result and its zone.
    Done(Arc<str>, Arc<str>),
}

/// The order of stages: those on time first, by their latest start with a delay for the priority;
/// then late ones, by priority and deadline. While workspaces compete for a full queue, both kinds
/// are ordered by priority and then by share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    late: bool,
    /// The priority of the request if the stage is late or workspaces compete, otherwise 0.
    priority: u8,
    /// The start tag while workspaces compete, otherwise 0.
    tag: u64,
    /// The latest start plus the delay for the priority; the deadline if the stage is late.
    start: Moment,
}

impl Rank {
    /// Returns the place while workspaces compete.
    pub(super) fn shared(self, priority: u8, tag: u64) -> Self {
        Self { priority, tag, ..self }
    }

    /// Returns the start tag while workspaces compete, otherwise 0.
    pub(super) fn tag(self) -> u64 {
        self.tag
    }

    /// Returns whether the stage can no longer meet its request's latency objective.
    pub(super) fn is_late(self) -> bool {
        self.late
    }
}

/// A stage in the queue.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) queued_at: Moment,
    pub(super) flow: FlowId,
    pieces: Vec<Piece>,
    sends: Vec<u32>,
    /// When the last piece was sent, once all pieces are sent.
    sent_at: Option<Moment>,
    /// Pieces and the backend servers whose overdue calls contain them.
    avoided: Vec<(u32, Arc<str>)>,
}

impl Job {
    pub(super) fn new(now: Moment, spec: JobSpec) -> Self {
        let pieces = vec![Piece::Open; spec.pieces];
        let sends = vec![0; spec.pieces];
        let flow = spec.workspace.as_deref().map_or(NO_WORKSPACE, FlowId::of);
        Self { spec, queued_at: now, flow, pieces, sends, sent_at: None, avoided: Vec::new() }
    }

    pub(super) fn pieces(&self) -> usize {
        self.pieces.len()
    }

    /// Returns the description of a piece that is sent to a backend server.
    pub(super) fn call_item(&self, now: Moment, piece: u32) -> CallItem {
        CallItem {
            request: Arc::clone(&self.spec.request),
            stage: self.spec.stage,
            piece,
            source: self.spec.source.clone(),
            remaining: now.until(self.spec.deadline),
        }
    }

    /// Returns the number of queued pieces.
    pub(super) fn open_count(&self) -> usize {
        self.pieces.iter().filter(|p| **p == Piece::Open).count()
    }

    /// Returns the place in the usual order of stages.
    pub(super) fn rank(&self, now: Moment, call_time: Duration) -> Rank {
        let start = self.spec.due - call_time;
        let late = start + LATE_TOLERANCE < now;
        let delay = PRIORITY_DELAY * u32::from(self.spec.priority);
        let priority = if late { self.spec.priority } else { 0 };
        let start = if late { self.spec.deadline } else { start + delay };
        Rank { late, priority, tag: 0, start }
    }

    /// Returns whether the results are needed in another zone.
    pub(super) fn needs_other_zone(&self, zone: &str) -> bool {
        !self.spec.zone.is_empty() && *self.spec.zone != *zone
    }

    /// Returns the queued pieces that no overdue call to a backend server contains.
    pub(super) fn open_pieces<'a>(&'a self, server: &'a str) -> impl Iterator<Item = u32> + 'a {
        let is_avoided = move |i: u32| self.avoided.iter().any(|(p, s)| *p == i && **s == *server);
        let open = self.pieces.iter().zip(0_u32..).filter(|(p, _)| **p == Piece::Open);
        open.map(|(_, i)| i).filter(move |i| !is_avoided(*i))
    }

    pub(super) fn mark_sent(&mut self, now: Moment, piece: u32, server: &Arc<str>) {
        self.pieces[piece as usize] = Piece::Sent(Arc::clone(server));
        self.sends[piece as usize] += 1;
        self.sent_at = (self.open_count() == 0).then_some(now);
    }

    /// Returns the inputs to free if room is short, once, as soon as all backend servers have had
    /// `fetch_time` to fetch them.
    pub(super) fn take_fetched_inputs(
        &mut self,
        now: Moment,
        fetch_time: Duration,
    ) -> Vec<Arc<str>> {
        if !self.spec.room_short
            || !self.spec.frees_inputs
            || self.sent_at.is_none_or(|at| now.since(at) < fetch_time)
        {
            return Vec::new();
        }
        self.take_inputs()
    }

    /// Returns the inputs of a completed stage to free, unless they were returned before.
    pub(super) fn take_inputs(&mut self) -> Vec<Arc<str>> {
        match &self.spec.source {
            Source::Inputs(inputs) if std::mem::take(&mut self.spec.frees_inputs) => inputs.clone(),
            Source::Inputs(_) | Source::Key(_) => Vec::new(),
        }
    }

    /// Queues a piece again while an earlier call for it still runs.
    pub(super) fn requeue(&mut self, piece: u32) {
        if let Piece::Sent(server) = self.pieces[piece as usize].clone() {
            self.avoided.push((piece, server));
            self.reset(piece as usize);
        }
    }

    /// Records the outcome of a piece; returns the end of the stage if this decides it.
    pub(super) fn finish_piece(
        &mut self,
        piece: u32,
        outcome: PieceOutcome,
        zone: &Arc<str>,
        unneeded: &mut Vec<Arc<str>>,
    ) -> Option<StageEnd> {
        let index = piece as usize;
        if let Piece::Done(..) = self.pieces[index] {
            if let PieceOutcome::Completed(result) = outcome {
                unneeded.push(result);
            }
            return None;
        }
        match outcome {
            PieceOutcome::Completed(result) => {
                self.pieces[index] = Piece::Done(result, Arc::clone(zone));
                self.completed()
            }
            PieceOutcome::Failed(PieceError::InputMissing) => Some(StageEnd::InputMissing),
            PieceOutcome::Failed(PieceError::Late) => {
                Some(StageEnd::Late { retry_after: Duration::ZERO })
            }
            PieceOutcome::Failed(PieceError::NoRoom | PieceError::Refused) => {
                self.sends[index] = self.sends[index].saturating_sub(1);
                self.reset(index);
                None
            }
            PieceOutcome::Failed(PieceError::ServerFailed) => self.retry_piece(index),
        }
    }

    /// Returns the results of completed pieces.
    pub(super) fn results(&self) -> impl Iterator<Item = Arc<str>> + '_ {
        self.pieces.iter().filter_map(|p| match p {
            Piece::Done(result, _) => Some(Arc::clone(result)),
            Piece::Open | Piece::Sent(_) => None,
        })
    }

    /// Queues a failed piece again unless its attempts are used up.
    fn retry_piece(&mut self, index: usize) -> Option<StageEnd> {
        if self.sends[index] >= MAX_SENDS {
            return Some(StageEnd::Failed);
        }
        self.avoided.retain(|(piece, _)| *piece as usize != index);
        self.reset(index);
        None
    }

    fn reset(&mut self, index: usize) {
        self.pieces[index] = Piece::Open;
        self.sent_at = None;
    }

    /// Returns the end of the stage once all pieces are completed.
    fn completed(&self) -> Option<StageEnd> {
        let mut zones: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let mut results = Vec::with_capacity(self.pieces.len());
        for piece in &self.pieces {
            let Piece::Done(result, zone) = piece else { return None };
            results.push(Arc::clone(result));
            *zones.entry(Arc::clone(zone)).or_default() += 1;
        }
        let most = zones.into_iter().max_by_key(|(_, n)| *n);
        let zone = most.map_or_else(|| Arc::from(""), |(zone, _)| zone);
        Some(StageEnd::Completed { results, zone })
    }
}
