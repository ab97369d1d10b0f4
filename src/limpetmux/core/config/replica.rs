//! One node's copy of the configuration, folded from records of the log or of peers.
//!
//! The log and the peers are two sources of the same records. A [`Replica`] decides what to read
//! next, how a page of the log or a peer's [`Delta`] changes the state, and what to send to a peer.
//! It does no I/O: `control` passes it pages and deltas, and tests do so in any order.

use super::record::{self, Body};
use super::{Config, Fold, FoldError, FoldOutcome, Snapshot, Tail};
use crate::core::revision::{Offset, Revision};
use std::sync::Arc;

/// The most bytes of records in one answer to a peer, unless a single record is longer.
const DELTA_BYTES: usize = 256 << 10;

/// How far a node has folded, and the digest that identifies the history it folded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The offset of the record to be folded next.
    pub next: Offset,
    /// The digest over all records below it.
    pub digest: u64,
}

/// A read of the log that is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRead {
    /// The first offset to read.
    pub from: Offset,
    /// The offset of the record to be folded next when the read began.
    pub next: Offset,
}

/// What a node sends to a peer that has folded fewer records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Delta {
    /// The receiver has everything that the sender has.
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

/// The result of folding a page or a delta.
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
    scan_from: Option<Offset>,
    log_suspect: bool,
    caught_up: bool,
    log_first: Offset,
    cached_snapshot: Option<(Offset, Arc<[u8]>)>,
}

impl Replica {
    /// Creates a copy that has folded no records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the folded state.
    pub fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Returns the configuration once the node has caught up with a source for the first time.
    ///
    /// Otherwise a starting node would put revisions in force that were superseded long ago.
    pub fn in_force(&self) -> Option<(Revision, &Config)> {
        self.caught_up.then(|| (self.fold.revision(), self.fold.config()))
    }

    /// Returns how far this node has folded.
    pub fn position(&self) -> Position {
        Position { next: self.fold.next(), digest: self.fold.digest() }
    }

    /// Returns the first offset that the log kept when it was last read.
    pub fn log_first(&self) -> Offset {
        self.log_first
    }

    /// Returns whether the node lacks records that the log no longer keeps.
    pub fn has_gap(&self) -> bool {
        self.scan_from.is_some()
    }

    /// Returns what to read from the log next.
    ///
    /// If the log is suspect, the read begins one record early, so that the page shows whether the
    /// log is still the one that was folded.
    pub fn next_read(&self) -> LogRead {
        let next = self.fold.next();
        let overlap = u64::from(self.log_suspect).min(next.0);
        let from = self.scan_from.filter(|s| *s > next).unwrap_or(Offset(next.0 - overlap));
        LogRead { from, next }
    }

    /// Marks the log as failed or unresponsive, so that the next read checks its identity.
    pub fn suspect_log(&mut self) {
        self.log_suspect = true;
    }

    /// Folds a page of the log.
    ///
    /// # Errors
    /// Returns [`FoldError`] if the log was replaced or this version of the program does not know
    /// a record's format; records folded before the error stay folded.
    pub fn on_page<'a>(
        &mut self,
        read: LogRead,
        (first, end): (Offset, Offset),
        records: impl Iterator<Item = (Offset, &'a [u8])>,
    ) -> Result<Progress, FoldError> {
        self.log_suspect = true;
        Fold::check_end(read.next, end)?;
        self.log_first = first;
        let mut progress = Progress::default();
        for (offset, data) in records {
            if offset < self.fold.next() {
                self.fold.check_record(offset, data)?;
            } else if offset == self.fold.next() {
                self.fold_record(offset, data, &mut progress)?;
            } else {
                self.adopt_after_gap(offset, data, &mut progress)?;
            }
            if progress.adopted {
                break;
            }
        }
        self.mark_gap();
        self.log_suspect = false;
        self.caught_up |= self.fold.next() >= end;
        Ok(progress)
    }

    /// Folds a delta that a peer at a position sent.
    ///
    /// # Errors
    /// Returns [`FoldError`] if the peer folded another history, the snapshot is damaged, or this
    /// version of the program does not know a record's format.
    pub fn on_delta(&mut self, peer: Position, delta: &Delta) -> Result<Progress, FoldError> {
        self.fold.check_digest(peer.next, peer.digest)?;
        let mut progress = Progress::default();
        match delta {
            Delta::Nothing => {}
            Delta::Records { first, records } => {
                for (offset, data) in (first.0..=u64::MAX).map(Offset).zip(records) {
                    self.fold_record(offset, data, &mut progress)?;
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
        self.caught_up |= peer.next > Offset::default() && self.fold.next() >= peer.next;
        Ok(progress)
    }

    /// Returns the records or the snapshot that a peer at a position lacks.
    ///
    /// # Errors
    /// Returns [`FoldError::Diverged`] if the peer folded another history.
    pub fn delta_for(&mut self, peer: Position) -> Result<Delta, FoldError> {
        self.fold.check_digest(peer.next, peer.digest)?;
        if peer.next >= self.fold.next() {
            return Ok(Delta::Nothing);
        }
        if self.tail.end() == self.fold.next()
            && let Some(records) = self.tail.records_from(peer.next, DELTA_BYTES)
        {
            return Ok(Delta::Records { first: peer.next, records });
        }
        Ok(self.encoded_snapshot().map_or(Delta::Nothing, Delta::Snapshot))
    }

    /// Returns the state as an encoded snapshot record.
    pub fn encoded_snapshot(&mut self) -> Option<Arc<[u8]>> {
        let next = self.fold.next();
        if let Some((at, data)) = &self.cached_snapshot
            && *at == next
        {
            return Some(Arc::clone(data));
        }
        let body = Body::Snapshot(Box::new(self.fold.snapshot()));
        let data: Arc<[u8]> = record::encode(&body, self.fold.format()).ok()?.into();
        self.cached_snapshot = Some((next, Arc::clone(&data)));
        Some(data)
    }

    fn fold_record(
        &mut self,
        offset: Offset,
        data: &[u8],
        progress: &mut Progress,
    ) -> Result<(), FoldError> {
        match self.fold.step(offset, data)? {
            FoldOutcome::Known => return Ok(()),
            FoldOutcome::Snapshot => {}
            FoldOutcome::Foreign => progress.foreign += 1,
            FoldOutcome::Verdict(verdict) => {
                progress.rejected += usize::from(!verdict.is_accepted())
            }
        }
        progress.folded += 1;
        self.tail.push(offset, data);
        Ok(())
    }

    /// Searches the log for a snapshot as long as the log no longer keeps the next record.
    fn mark_gap(&mut self) {
        let has_gap = self.log_first > self.fold.next();
        self.scan_from = has_gap.then(|| self.scan_from.unwrap_or(self.log_first));
    }

    /// Adopts a record after a gap if it is a snapshot; other records cannot be folded.
    fn adopt_after_gap(
        &mut self,
        offset: Offset,
        data: &[u8],
        progress: &mut Progress,
    ) -> Result<(), FoldError> {
        self.scan_from = Some(offset.next());
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
