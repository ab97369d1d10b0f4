//! The deterministic fold of the configuration log.
//!
//! Records go in with their offsets, one verdict a record comes out, and every node that has seen
//! the same records holds the same state. The fold never goes back: records below the next
//! offset are skipped, a record above it is a gap that only a [`Snapshot`] can close, and a log
//! that ends below what was folded is not folded.

use super::danger::affects_coverage;
use super::ledger::{ENTRY_OBJECTS, cut_reason};
use super::record::{self, Activation, Body, FIRST_FORMAT, FORMAT, RecordError, Void};
use super::{
    Change, ChangeId, Config, Coverage, Entry, EntryKind, Ledger, Object, Rejection, Snapshot,
    Verdict, check, dangers,
};
use crate::core::revision::{Offset, Revision};
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;

/// For how many records conflicts and change ids are remembered.
pub const WINDOW_RECORDS: u64 = 1_024;

/// Why a record or snapshot was not folded; the state is unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FoldError {
    /// Records are missing before this one.
    #[error("the record at offset {offset} was given, but {next} is the next to fold")]
    Gap {
        /// The offset to be folded next.
        next: Offset,
        /// The offset that was given.
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
    /// The log ends below what was folded: it was lost or created anew.
    #[error("the log ends at offset {end}, but records up to {next} were folded")]
    Reset {
        /// The log's end.
        end: Offset,
        /// The offset to be folded next.
        next: Offset,
    },
    /// Two histories of the log differ: it was lost and created anew.
    #[error("the record at offset {offset} is not the one that was folded")]
    Diverged {
        /// The offset at which the histories differ, or the first one known to.
        offset: Offset,
    },
}

/// What one record led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The record was folded before.
    Known,
    /// The record is a snapshot that agrees with the state, as far as this node can tell.
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
    covered: Offset,
}

impl Default for Fold {
    fn default() -> Self {
        Self::new()
    }
}

impl Fold {
    /// Creates the state before any record.
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
            covered: Offset::default(),
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
    pub fn covered(&self) -> Offset {
        self.covered
    }

    /// Folds the record at an offset.
    ///
    /// # Errors
    /// Returns [`FoldError::Gap`] if records before it are missing, and
    /// [`FoldError::Unsupported`] if this version of the program is too old for the record.
    pub fn step(&mut self, offset: Offset, data: &[u8]) -> Result<Step, FoldError> {
        if offset < self.next {
            return Ok(Step::Known);
        }
        if offset > self.next {
            return Err(FoldError::Gap { next: self.next, offset });
        }
        let step = match self.open(offset, data)? {
            Ok(Body::Snapshot(snapshot)) => self.pass_snapshot(offset, &snapshot),
            Ok(Body::Change(change)) => self.record(offset, change),
            Ok(Body::Format(activation)) => self.activate(offset, &activation),
            Ok(Body::Void(void)) => self.void(offset, &void),
            Err(rejection) => self.push(Entry::undecoded(offset, rejection)),
        };
        self.advance(offset, data);
        Ok(step)
    }

    /// Replaces the state by a newer snapshot; returns `false` if the state is as new.
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
            covered: snapshot.next,
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
    /// Returns [`FoldError::Diverged`] if the histories differ; an offset that is no longer, or
    /// not yet, known passes.
    pub fn check_digest(&self, next: Offset, digest: u64) -> Result<(), FoldError> {
        let own = if next == self.next { Some(&self.digest) } else { self.digests.get(&next) };
        match own {
            Some(own) if *own != digest => Err(FoldError::Diverged { offset: next }),
            _ => Ok(()),
        }
    }

    /// Checks that the record last folded is the one that the log holds at its offset.
    ///
    /// # Errors
    /// Returns [`FoldError::Diverged`] if it is another one.
    pub fn check_last(&self, offset: Offset, data: &[u8]) -> Result<(), FoldError> {
        let Some(before) = self.digests.get(&offset) else { return Ok(()) };
        self.check_digest(offset.next(), chain(*before, offset, data))
    }

    /// Decodes a record, or returns the rejection that every version of the program gives it.
    fn open(&self, offset: Offset, data: &[u8]) -> Result<Result<Body, Rejection>, FoldError> {
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

    fn pass_snapshot(&mut self, offset: Offset, snapshot: &Snapshot) -> Step {
        if snapshot.next > offset || !snapshot.is_intact() {
            return self.push(Entry::undecoded(offset, Rejection::Undecodable));
        }
        // Nodes remember digests of different length, so this must not change the state.
        if self.check_digest(snapshot.next, snapshot.digest).is_err() {
            return Step::Foreign;
        }
        self.covered = self.covered.max(snapshot.next);
        Step::Snapshot
    }

    fn record(&mut self, offset: Offset, change: Change) -> Step {
        let objects: Vec<Object> = change.edits.iter().map(super::Edit::object).collect();
        let verdict = match self.apply(offset, &change, &objects) {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        };
        let mut entry = entry(offset, EntryKind::Change, change.id, &change.author, verdict);
        entry.base = Some(change.base);
        entry.submitted_ms = change.submitted_ms;
        entry.reason = cut_reason(&change.reason);
        entry.touched = objects.len();
        entry.objects = objects.into_iter().take(ENTRY_OBJECTS).collect();
        self.push(entry)
    }

    fn apply(
        &mut self,
        offset: Offset,
        change: &Change,
        objects: &[Object],
    ) -> Result<(), Rejection> {
        self.check_id(change.id)?;
        self.check_base(offset, change, objects)?;
        let undo: Vec<_> = change.edits.iter().map(|e| e.apply(&mut self.config)).collect();
        match self.check_result(change, objects) {
            Ok(Some(coverage)) => self.coverage = coverage,
            Ok(None) => {}
            Err(rejection) => {
                undo.iter().rev().for_each(|e| drop(e.apply(&mut self.config)));
                return Err(rejection);
            }
        }
        self.revision = Revision::at(offset);
        self.touched.extend(objects.iter().map(|o| (o.clone(), self.revision)));
        Ok(())
    }

    fn check_id(&self, id: ChangeId) -> Result<(), Rejection> {
        match self.ledger.find(id) {
            Some(first) => Err(Rejection::Duplicate { first: first.offset }),
            None => Ok(()),
        }
    }

    fn check_base(
        &self,
        offset: Offset,
        change: &Change,
        objects: &[Object],
    ) -> Result<(), Rejection> {
        if objects.is_empty() {
            return Err(Rejection::Empty);
        }
        if change.base > self.revision || change.seen > offset {
            return Err(Rejection::FutureBase { revision: self.revision });
        }
        if change.seen.0.saturating_add(WINDOW_RECORDS) < offset.0 {
            return Err(Rejection::Expired { revision: self.revision });
        }
        for object in objects {
            if let Some(&revision) = self.touched.get(object).filter(|r| **r > change.base) {
                return Err(Rejection::Stale { object: object.clone(), revision });
            }
        }
        Ok(())
    }

    /// Checks the configuration with the edits applied; returns its coverage if it may differ.
    fn check_result(
        &self,
        change: &Change,
        objects: &[Object],
    ) -> Result<Option<Coverage>, Rejection> {
        if let Some(error) = check(&self.config).into_iter().next() {
            return Err(Rejection::Invalid(error));
        }
        if !objects.iter().any(affects_coverage) {
            return Ok(None);
        }
        let coverage = Coverage::of(&self.config);
        match dangers(&self.coverage, &coverage).into_iter().next() {
            Some(danger) if !change.force => Err(Rejection::Dangerous(danger)),
            _ => Ok(Some(coverage)),
        }
    }

    fn activate(&mut self, offset: Offset, activation: &Activation) -> Step {
        let verdict = match self.check_id(activation.id) {
            Err(rejection) => Verdict::Rejected(rejection),
            Ok(()) if activation.format <= self.format => Verdict::Rejected(Rejection::Empty),
            Ok(()) => Verdict::Accepted,
        };
        if verdict.is_accepted() {
            self.format = activation.format;
        }
        let mut entry =
            entry(offset, EntryKind::Format, activation.id, &activation.author, verdict);
        entry.submitted_ms = activation.submitted_ms;
        self.push(entry)
    }

    fn void(&mut self, offset: Offset, void: &Void) -> Step {
        let verdict = match self.check_id(void.id) {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        };
        let mut entry = entry(offset, EntryKind::Void, void.id, &void.author, verdict);
        entry.submitted_ms = void.submitted_ms;
        self.push(entry)
    }

    fn push(&mut self, entry: Entry) -> Step {
        let verdict = entry.verdict.clone();
        self.ledger.push(entry);
        Step::Verdict(verdict)
    }
}

/// Extends the digest of a history by one record.
fn chain(digest: u64, offset: Offset, data: &[u8]) -> u64 {
    hash_parts(&[&digest.to_le_bytes(), &offset.0.to_le_bytes(), data])
}

fn entry(
    offset: Offset,
    kind: EntryKind,
    id: ChangeId,
    author: &super::Name,
    verdict: Verdict,
) -> Entry {
    let mut entry = Entry::undecoded(offset, Rejection::Undecodable);
    entry.kind = kind;
    entry.id = Some(id);
    entry.author = Some(author.clone());
    entry.verdict = verdict;
    entry
}
