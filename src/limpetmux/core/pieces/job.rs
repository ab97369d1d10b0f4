//! One stage of one request while its pieces wait or run.

use super::worker::{Made, Unmade};
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How much later a stage counts as due for each rank of its request.
const RANK_BIAS: Duration = Duration::from_millis(150);

/// The number of times that a piece is sent before its stage is given up.
const SENDS: u32 = 3;

/// A stage in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobKey(pub u64);

/// What pieces are made from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A key that the request carries.
    Key(Arc<str>),
    /// Results of earlier stages.
    Inputs(Vec<Arc<str>>),
}

/// A stage to be made.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// The id of the request.
    pub request: Arc<str>,
    /// The position of the stage.
    pub stage: u32,
    /// The number of pieces.
    pub pieces: usize,
    /// What they are made from.
    pub source: Source,
    /// When the stage should have ended for the request to be on time.
    pub due: Moment,
    /// The request's deadline.
    pub deadline: Moment,
    /// The rank of the request, 0 first.
    pub priority: u8,
    /// The zone where the results are needed; empty if that does not matter.
    pub zone: Arc<str>,
    /// The size of one result in bytes.
    pub size: u64,
    /// Whether nothing else needs the inputs.
    pub frees: bool,
    /// Whether the inputs take up room that others wait for.
    pub tight: bool,
}

/// How a stage has ended.
#[derive(Clone, Debug, PartialEq)]
pub enum StageEnd {
    /// All results, in the order of the pieces, and the zone where most of them lie.
    Made {
        /// The results.
        results: Vec<Arc<str>>,
        /// The zone.
        zone: Arc<str>,
    },
    /// The stage cannot be made in time.
    Late {
        /// When it is worth asking again.
        retry: Duration,
    },
    /// An input does not exist any more.
    Gone,
    /// No backend server may be sent to.
    Unavailable,
    /// Backend servers failed a piece too often.
    Failed,
}

impl StageEnd {
    /// Returns whether all results are there.
    pub fn is_made(&self) -> bool {
        matches!(self, Self::Made { .. })
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Piece {
    Open,
    /// Sent to a backend server; the last one that it was sent to.
    Sent(Arc<str>),
    Done(Arc<str>, Arc<str>),
}

/// The order of stages: on time before late, then by when they have to start, then by rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    late: bool,
    /// The rank of the request, among late ones.
    priority: u8,
    start: Moment,
}

impl Rank {
    /// Returns whether the stage cannot end in time for its request's objective any more.
    pub(super) fn is_late(self) -> bool {
        self.late
    }
}

/// A stage in the queue.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) entered: Moment,
    pieces: Vec<Piece>,
    sends: Vec<u32>,
    /// When the last piece was sent, once all are.
    all_sent: Option<Moment>,
    /// Backend servers that had a piece without making it.
    avoided: Vec<(u32, Arc<str>)>,
}

impl Job {
    pub(super) fn new(now: Moment, spec: JobSpec) -> Self {
        let pieces = vec![Piece::Open; spec.pieces];
        let sends = vec![0; spec.pieces];
        Self { spec, entered: now, pieces, sends, all_sent: None, avoided: Vec::new() }
    }

    pub(super) fn pieces(&self) -> usize {
        self.pieces.len()
    }

    /// Returns the number of pieces that wait.
    pub(super) fn open(&self) -> usize {
        self.pieces.iter().filter(|p| **p == Piece::Open).count()
    }

    pub(super) fn rank(&self, now: Moment, time: Duration) -> Rank {
        let start = self.spec.due - time;
        let late = start < now;
        let bias = RANK_BIAS * u32::from(self.spec.priority);
        let priority = if late { self.spec.priority } else { 0 };
        let start = if late { self.spec.deadline } else { start + bias };
        Rank { late, priority, start }
    }

    /// Returns whether the results are needed in another zone.
    pub(super) fn wants_other(&self, zone: &str) -> bool {
        !self.spec.zone.is_empty() && *self.spec.zone != *zone
    }

    /// Returns the pieces that wait and that a backend server has not had yet.
    pub(super) fn open_pieces<'a>(&'a self, server: &'a str) -> impl Iterator<Item = u32> + 'a {
        let had = move |i: u32| self.avoided.iter().any(|(p, s)| *p == i && **s == *server);
        let open = self.pieces.iter().zip(0_u32..).filter(|(p, _)| **p == Piece::Open);
        open.map(|(_, i)| i).filter(move |i| !had(*i))
    }

    pub(super) fn sent(&mut self, now: Moment, piece: u32, server: &Arc<str>) {
        self.pieces[piece as usize] = Piece::Sent(Arc::clone(server));
        self.sends[piece as usize] += 1;
        self.all_sent = (self.open() == 0).then_some(now);
    }

    /// Returns the inputs once all backend servers must have fetched them, and only once.
    pub(super) fn take_fetched(&mut self, now: Moment, after: Duration) -> Vec<Arc<str>> {
        if !self.spec.tight
            || !self.spec.frees
            || self.all_sent.is_none_or(|at| now.since(at) < after)
        {
            return Vec::new();
        }
        self.take_inputs()
    }

    /// Returns the inputs of a stage that has been made, unless they were returned before.
    pub(super) fn take_inputs(&mut self) -> Vec<Arc<str>> {
        match &self.spec.source {
            Source::Inputs(inputs) if std::mem::take(&mut self.spec.frees) => inputs.clone(),
            Source::Inputs(_) | Source::Key(_) => Vec::new(),
        }
    }

    /// Makes a piece wait again while a first call for it still runs.
    pub(super) fn reopen(&mut self, piece: u32) {
        if let Piece::Sent(server) = self.pieces[piece as usize].clone() {
            self.avoided.push((piece, server));
            self.reset(piece as usize);
        }
    }

    /// Takes in what became of a piece; returns the end of the stage if this was it.
    pub(super) fn take(
        &mut self,
        piece: u32,
        made: Made,
        zone: &Arc<str>,
        unwanted: &mut Vec<Arc<str>>,
    ) -> Option<StageEnd> {
        let index = piece as usize;
        if let Piece::Done(..) = self.pieces[index] {
            if let Made::Result(result) = made {
                unwanted.push(result);
            }
            return None;
        }
        match made {
            Made::Result(result) => {
                self.pieces[index] = Piece::Done(result, Arc::clone(zone));
                self.made()
            }
            Made::Not(Unmade::Gone) => Some(StageEnd::Gone),
            Made::Not(Unmade::Late) => Some(StageEnd::Late { retry: Duration::ZERO }),
            Made::Not(Unmade::Room | Unmade::Full) => {
                self.sends[index] = self.sends[index].saturating_sub(1);
                self.reset(index);
                None
            }
            Made::Not(Unmade::Failed) => self.failed(index),
        }
    }

    /// Returns the results that are there.
    pub(super) fn results(&self) -> impl Iterator<Item = Arc<str>> + '_ {
        self.pieces.iter().filter_map(|p| match p {
            Piece::Done(result, _) => Some(Arc::clone(result)),
            Piece::Open | Piece::Sent(_) => None,
        })
    }

    fn failed(&mut self, index: usize) -> Option<StageEnd> {
        if self.sends[index] >= SENDS {
            return Some(StageEnd::Failed);
        }
        self.avoided.retain(|(piece, _)| *piece as usize != index);
        self.reset(index);
        None
    }

    fn reset(&mut self, index: usize) {
        self.pieces[index] = Piece::Open;
        self.all_sent = None;
    }

    fn made(&self) -> Option<StageEnd> {
        let mut zones: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let mut results = Vec::with_capacity(self.pieces.len());
        for piece in &self.pieces {
            let Piece::Done(result, zone) = piece else { return None };
            results.push(Arc::clone(result));
            *zones.entry(Arc::clone(zone)).or_default() += 1;
        }
        let most = zones.into_iter().max_by_key(|(_, n)| *n);
        let zone = most.map_or_else(|| Arc::from(""), |(zone, _)| zone);
        Some(StageEnd::Made { results, zone })
    }
}
