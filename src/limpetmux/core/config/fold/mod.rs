//! The deterministic fold of the configuration log.
//!
//! [`Fold::step`] takes records with their offsets and returns one verdict per record; nodes that
//! folded the same records hold the same state. The fold only moves forward: records below the next
//! offset are skipped, a record above it means a gap that only a [`Snapshot`] can close, and a log
//! that ends below the folded records is not folded.

mod apply;

use super::record::{self, Body, FIRST_FORMAT, FORMAT, RecordError};
use super::{AuditEntry, Config, Coverage, Ledger, Object, Rejection, Snapshot, Verdict};
use crate::core::revision::{Offset, Revision};
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;

/// The number of records for which conflicts and change ids are remembered.
pub const WINDOW_RECORDS: u64 = 1_024;

/// Why a record or snapshot was not folded; the state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FoldError {
    /// Records are missing before this one.
    #[error("expected the record at offset {next}, got the one at offset {offset}")]
    Gap {
        /// The offset to be folded next.
        next: Offset,
        /// The offset of the record that was passed in.
        offset: Offset,
    },
    /// The record has an activated format that this version of the program does not know.
    #[error("the record at offset {offset} has format {version}, unknown to this version")]
    Unsupported {
        /// The record's offset.
        offset: Offset,
        /// The record's format.
        version: u32,
    },
    /// The snapshot is damaged.
    #[error("the snapshot up to offset {next} is damaged")]
    Damaged {
        /// The first offset that the snapshot does not cover.
        next: Offset,
    },
    /// The log ends below the folded records: it was lost or re-created.
    #[error("the log ends at offset {end}, but records up to {next} were folded")]
    Reset {
        /// The log's end.
        end: Offset,
        /// The offset to be folded next.
        next: Offset,
    },
    /// Two histories of the log differ: it was lost and re-created.
    #[error("the record at offset {offset} differs from the one that was folded")]
    Diverged {
        /// The first offset at which the histories are known to differ.
        offset: Offset,
    },
}

/// The result of folding one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The record was folded before.
    Known,
    /// The record is a snapshot that does not contradict the digests that this node remembers.
    Snapshot,
    /// The record is a snapshot of another history; it has no effect on the state.
    Foreign,
    /// The record got a verdict.
    Verdict(Verdict),
}

/// The state that the folded records lead to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fold {
    next: Offset,
    revision: Revision,
    format: u32,
    digest: u64,
    config: Config,
    coverage: Coverage,
    touched: BTreeMap<Object, Revision>,
    ledger: Ledger,
    digests: BTreeMap<Offset, u64>,
    snapshot_end: Offset,
}

impl Default for Fold {
    fn default() -> Self {
        Self::new()
    }
}

impl Fold {
    /// Creates the state of an empty log.
    pub fn new() -> Self {
        Self {
            next: Offset::default(),
            revision: Revision::EMPTY,
            format: FIRST_FORMAT,
            digest: 0,
            config: Config::default(),
            coverage: Coverage::default(),
            touched: BTreeMap::new(),
            ledger: Ledger::default(),
            digests: BTreeMap::new(),
            snapshot_end: Offset::default(),
        }
    }

    /// Returns the offset of the record to be folded next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest over all folded records; equal digests mean equal histories.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the activated record format.
    pub fn format(&self) -> u32 {
        self.format
    }

    /// Returns the verdicts within the window.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the first offset that the latest snapshot in the log does not cover.
    pub fn snapshot_end(&self) -> Offset {
        self.snapshot_end
    }

    /// Folds the record at an offset.
    ///
    /// # Errors
    /// Returns [`FoldError::Gap`] if records before it are missing, and
    /// [`FoldError::Unsupported`] if this version of the program does not know its format.
    pub fn step(&mut self, offset: Offset, data: &[u8]) -> Result<FoldOutcome, FoldError> {
        if offset < self.next {
            return Ok(FoldOutcome::Known);
        }
        if offset > self.next {
            return Err(FoldError::Gap { next: self.next, offset });
        }
        let outcome = match self.decode(offset, data)? {
            Ok(Body::Snapshot(snapshot)) => self.fold_snapshot(offset, &snapshot),
            Ok(Body::Change(change)) => self.fold_change(offset, change),
            Ok(Body::Format(activation)) => self.fold_activation(offset, &activation),
            Ok(Body::Void(void)) => self.fold_void(offset, &void),
            Err(rejection) => self.push_entry(AuditEntry::undecoded(offset, rejection)),
        };
        self.advance(offset, data);
        Ok(outcome)
    }

    /// Replaces the state by a newer snapshot; returns `false` if the snapshot is not newer.
    ///
    /// # Errors
    /// Returns [`FoldError::Damaged`] if the snapshot's checksum is wrong or it would revert the
    /// revision.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Result<bool, FoldError> {
        if snapshot.next <= self.next {
            return Ok(false);
        }
        if snapshot.revision < self.revision || !snapshot.is_intact() {
            return Err(FoldError::Damaged { next: snapshot.next });
        }
        if snapshot.format > FORMAT {
            let (offset, version) = (snapshot.next, snapshot.format);
            return Err(FoldError::Unsupported { offset, version });
        }
        *self = Self {
            next: snapshot.next,
            revision: snapshot.revision,
            format: snapshot.format,
            digest: snapshot.digest,
            coverage: Coverage::of(&snapshot.config),
            config: snapshot.config,
            touched: snapshot.touched.into_iter().collect(),
            ledger: snapshot.ledger.into_iter().collect(),
            digests: BTreeMap::from([(snapshot.next, snapshot.digest)]),
            snapshot_end: snapshot.next,
        };
        Ok(true)
    }

    /// Returns the state as a snapshot.
    pub fn snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot {
            next: self.next,
            revision: self.revision,
            format: self.format,
            digest: self.digest,
            config: self.config.clone(),
            touched: self.touched.iter().map(|(o, r)| (o.clone(), *r)).collect(),
            ledger: self.ledger.iter().cloned().collect(),
            checksum: 0,
        };
        snapshot.checksum = snapshot.compute_checksum();
        snapshot
    }

    /// Checks the end of the log against the offset that was next when the read began.
    ///
    /// # Errors
    /// Returns [`FoldError::Reset`] if the log ends below it.
    pub fn check_end(next: Offset, end: Offset) -> Result<(), FoldError> {
        if end < next {
            return Err(FoldError::Reset { end, next });
        }
        Ok(())
    }

    /// Checks another node's digest at an offset against the one remembered here.
    ///
    /// # Errors
    /// Returns [`FoldError::Diverged`] if the histories differ; an offset whose digest is not known
    /// passes.
    pub fn check_digest(&self, next: Offset, digest: u64) -> Result<(), FoldError> {
        let known = if next == self.next { Some(&self.digest) } else { self.digests.get(&next) };
        match known {
            Some(known) if *known != digest => Err(FoldError::Diverged { offset: next }),
            _ => Ok(()),
        }
    }

    /// Checks that the record folded at an offset is the one that the log holds there.
    ///
    /// # Errors
    /// Returns [`FoldError::Diverged`] if the records differ.
    pub fn check_record(&self, offset: Offset, data: &[u8]) -> Result<(), FoldError> {
        let Some(before) = self.digests.get(&offset) else { return Ok(()) };
        self.check_digest(offset.next(), chain(*before, offset, data))
    }

    /// Decodes a record, or returns the rejection that every version of the program gives it.
    fn decode(&self, offset: Offset, data: &[u8]) -> Result<Result<Body, Rejection>, FoldError> {
        let Ok(version) = record::version(data) else {
            return Ok(Err(Rejection::Undecodable));
        };
        if version > self.format {
            return Ok(Err(Rejection::Format { version }));
        }
        match record::decode(data) {
            Ok(body) => Ok(Ok(body)),
            Err(RecordError::Version { version }) if version > FORMAT => {
                Err(FoldError::Unsupported { offset, version })
            }
            Err(_) => Ok(Err(Rejection::Undecodable)),
        }
    }

    fn advance(&mut self, offset: Offset, data: &[u8]) {
        self.digests.insert(offset, self.digest);
        self.digest = chain(self.digest, offset, data);
        self.next = offset.next();
        let floor = self.next.0.saturating_sub(WINDOW_RECORDS);
        self.ledger.prune(Offset(floor));
        while let Some(first) = self.digests.first_entry().filter(|e| e.key().0 < floor) {
            first.remove();
        }
        if self.next.0.is_multiple_of(WINDOW_RECORDS) {
            self.touched.retain(|_, r| r.0 >= floor);
        }
    }
}

/// Extends the digest of a history by one record.
fn chain(digest: u64, offset: Offset, data: &[u8]) -> u64 {
    hash_parts(&[&digest.to_le_bytes(), &offset.0.to_le_bytes(), data])
}
