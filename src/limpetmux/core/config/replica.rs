//! One node's copy of the configuration: what it folds, from the log or from peers.
//!
//! The log and the peers are two sources of the same records. A [`Replica`] decides what to read
//! next, what a page of the log or a peer's [`Delta`] changes, and what a peer lacks. It does no
//! I/O: `control` feeds it, and tests feed it in any order.

use super::record::{self, Body};
use super::{Config, Fold, FoldError, Snapshot, Step, Tail};
use crate::core::revision::{Offset, Revision};
use std::sync::Arc;

/// The most bytes of records in one answer to a peer, unless a single record is longer.
const DELTA_BYTES: usize = 256 << 10;

/// How far a node has folded, and which history it folded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The offset of the record to be folded next.
    pub next: Offset,
    /// The digest over all records below it.
    pub digest: u64,
}

/// A read of the log that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// The first offset to read.
    pub from: Offset,
    /// The offset that was to be folded next when the read began.
    pub next: Offset,
}

/// What one node sends to another that has folded less.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Delta {
    /// The receiver lacks nothing that the sender has.
    #[default]
    Nothing,
    /// Records in offset order, starting at `first`.
    Records {
        /// The offset of the first record.
        first: Offset,
        /// The records, each as it was read back from the log.
        records: Vec<Arc<[u8]>>,
    },
    /// An encoded snapshot record.
    Snapshot(Arc<[u8]>),
}

/// What a page or a delta led to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// How many records were folded.
    pub folded: usize,
    /// How many changes were rejected.
    pub rejected: usize,
    /// How many snapshots belong to another history.
    pub foreign: usize,
    /// Whether a snapshot replaced the state.
    pub adopted: bool,
}

/// One node's copy of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    fold: Fold,
    tail: Tail,
    scan: Option<Offset>,
    is_suspect: bool,
    is_ready: bool,
    first: Offset,
    encoded: Option<(Offset, Arc<[u8]>)>,
}

impl Replica {
    /// Creates a copy that has folded nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the folded state.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the configuration once the node has caught up with a source for the first time.
    ///
    /// A node that starts would otherwise put revisions in force that the fleet left long ago.
    pub fn in_force(&self) -> Option<(Revision, &Config)> {
        self.is_ready.then(|| (self.fold.revision(), self.fold.config()))
    }

    /// Returns how far this node has folded.
    pub fn position(&self) -> Position {
        Position { next: self.fold.next(), digest: self.fold.digest() }
    }

    /// Returns the first offset that the log kept when it was last read.
    pub fn log_first(&self) -> Offset {
        self.first
    }

    /// Returns whether the node lacks records that the log no longer keeps.
    pub fn is_behind(&self) -> bool {
        self.scan.is_some()
    }

    /// Returns what to read from the log next.
    ///
    /// After a doubt the read begins one record early, so that the answer shows whether the log
    /// is still the one that was folded.
    pub fn ask(&self) -> Asked {
        let next = self.fold.next();
        let overlap = u64::from(self.is_suspect).min(next.0);
        let from = self.scan.filter(|s| *s > next).unwrap_or(Offset(next.0 - overlap));
        Asked { from, next }
    }

    /// Notes that the log failed or was silent, so that its identity is checked at the next read.
    pub fn suspect_log(&mut self) {
        self.is_suspect = true;
    }

    /// Folds a page of the log.
    ///
    /// # Errors
    /// Returns [`FoldError`] if the log is another one or this program is too old for a record;
    /// what was folded before the fault stays.
    pub fn on_page<'a>(
        &mut self,
        asked: Asked,
        (first, end): (Offset, Offset),
        records: impl Iterator<Item = (Offset, &'a [u8])>,
    ) -> Result<Progress, FoldError> {
        self.is_suspect = true;
        Fold::check_end(asked.next, end)?;
        self.first = first;
        let mut progress = Progress::default();
        for (offset, data) in records {
            if offset < self.fold.next() {
                self.fold.check_last(offset, data)?;
            } else if offset == self.fold.next() {
                self.step(offset, data, &mut progress)?;
            } else {
                self.seek(offset, data, &mut progress)?;
            }
            if progress.adopted {
                break;
            }
        }
        self.mark_gap();
        self.is_suspect = false;
        self.is_ready |= self.fold.next() >= end;
        Ok(progress)
    }

    /// Folds what a peer at a position sent.
    ///
    /// # Errors
    /// Returns [`FoldError`] if the peer folded another history, the snapshot is damaged, or this
    /// program is too old for a record.
    pub fn on_delta(&mut self, peer: Position, delta: &Delta) -> Result<Progress, FoldError> {
        self.fold.check_digest(peer.next, peer.digest)?;
        let mut progress = Progress::default();
        match delta {
            Delta::Nothing => {}
            Delta::Records { first, records } => {
                for (offset, data) in (first.0..).map(Offset).zip(records) {
                    self.step(offset, data, &mut progress)?;
                }
            }
            Delta::Snapshot(data) => {
                let damaged = FoldError::Damaged { next: peer.next };
                let Ok(Body::Snapshot(snapshot)) = record::decode(data) else {
                    return Err(damaged);
                };
                self.adopt(*snapshot, &mut progress)?;
            }
        }
        self.mark_gap();
        self.is_ready |= peer.next > Offset::default() && self.fold.next() >= peer.next;
        Ok(progress)
    }

    /// Returns what a peer at a position lacks.
    ///
    /// # Errors
    /// Returns [`FoldError::Diverged`] if the peer folded another history.
    pub fn delta_for(&mut self, peer: Position) -> Result<Delta, FoldError> {
        self.fold.check_digest(peer.next, peer.digest)?;
        if peer.next >= self.fold.next() {
            return Ok(Delta::Nothing);
        }
        if self.tail.end() == self.fold.next()
            && let Some(records) = self.tail.run_from(peer.next, DELTA_BYTES)
        {
            return Ok(Delta::Records { first: peer.next, records });
        }
        Ok(self.encoded_snapshot().map_or(Delta::Nothing, Delta::Snapshot))
    }

    /// Returns the state as an encoded snapshot record.
    pub fn encoded_snapshot(&mut self) -> Option<Arc<[u8]>> {
        let next = self.fold.next();
        if let Some((at, data)) = &self.encoded
            && *at == next
        {
            return Some(Arc::clone(data));
        }
        let body = Body::Snapshot(Box::new(self.fold.snapshot()));
        let data: Arc<[u8]> = record::encode(&body, self.fold.format()).ok()?.into();
        self.encoded = Some((next, Arc::clone(&data)));
        Some(data)
    }

    fn step(
        &mut self,
        offset: Offset,
        data: &[u8],
        progress: &mut Progress,
    ) -> Result<(), FoldError> {
        match self.fold.step(offset, data)? {
            Step::Known => return Ok(()),
            Step::Snapshot => {}
            Step::Foreign => progress.foreign += 1,
            Step::Verdict(verdict) => progress.rejected += usize::from(!verdict.is_accepted()),
        }
        progress.folded += 1;
        self.tail.push(offset, data);
        Ok(())
    }

    /// Scans for a snapshot as long as the log no longer keeps the next record.
    fn mark_gap(&mut self) {
        let is_behind = self.first > self.fold.next();
        self.scan = is_behind.then(|| self.scan.unwrap_or(self.first));
    }

    /// Looks at a record beyond a gap: only a snapshot helps.
    fn seek(
        &mut self,
        offset: Offset,
        data: &[u8],
        progress: &mut Progress,
    ) -> Result<(), FoldError> {
        self.scan = Some(offset.next());
        let Ok(Body::Snapshot(snapshot)) = record::decode(data) else { return Ok(()) };
        if snapshot.next > offset {
            return Ok(());
        }
        self.adopt(*snapshot, progress)
    }

    fn adopt(&mut self, snapshot: Snapshot, progress: &mut Progress) -> Result<(), FoldError> {
        if self.fold.adopt(snapshot)? {
            progress.adopted = true;
        }
        Ok(())
    }
}
