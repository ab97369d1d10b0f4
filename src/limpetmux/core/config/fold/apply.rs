//! Folds one record of each kind and gives its verdict.

use super::{Fold, FoldOutcome, WINDOW_RECORDS};
use crate::core::config::danger::affects_coverage;
use crate::core::config::ledger::{ENTRY_OBJECTS, cut_reason};
use crate::core::config::record::{Activation, Void};
use crate::core::config::{
    AuditEntry, Change, ChangeId, Coverage, Edit, Name, Object, RecordKind, Rejection, Snapshot,
    Verdict, check, dangers,
};
use crate::core::revision::{Offset, Revision};

impl Fold {
    pub(super) fn fold_snapshot(&mut self, offset: Offset, snapshot: &Snapshot) -> FoldOutcome {
        if snapshot.next > offset || !snapshot.is_intact() {
            return self.push_entry(AuditEntry::undecoded(offset, Rejection::Undecodable));
        }
        // Nodes remember different numbers of digests, so the result must not change the state.
        if self.check_digest(snapshot.next, snapshot.digest).is_err() {
            return FoldOutcome::Foreign;
        }
        self.snapshot_end = self.snapshot_end.max(snapshot.next);
        FoldOutcome::Snapshot
    }

    pub(super) fn fold_change(&mut self, offset: Offset, change: Change) -> FoldOutcome {
        let objects: Vec<Object> = change.edits.iter().map(Edit::object).collect();
        let verdict = match self.apply(offset, &change, &objects) {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        };
        let mut entry = new_entry(offset, RecordKind::Change, change.id, &change.author, verdict);
        entry.base = Some(change.base);
        entry.submitted_ms = change.submitted_ms;
        entry.reason = cut_reason(&change.reason);
        entry.touched = objects.len();
        entry.objects = objects.into_iter().take(ENTRY_OBJECTS).collect();
        self.push_entry(entry)
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

    pub(super) fn fold_activation(
        &mut self,
        offset: Offset,
        activation: &Activation,
    ) -> FoldOutcome {
        let verdict = match self.check_id(activation.id) {
            Err(rejection) => Verdict::Rejected(rejection),
            Ok(()) if activation.format <= self.format => Verdict::Rejected(Rejection::Empty),
            Ok(()) => Verdict::Accepted,
        };
        if verdict.is_accepted() {
            self.format = activation.format;
        }
        let mut entry =
            new_entry(offset, RecordKind::Format, activation.id, &activation.author, verdict);
        entry.submitted_ms = activation.submitted_ms;
        self.push_entry(entry)
    }

    pub(super) fn fold_void(&mut self, offset: Offset, void: &Void) -> FoldOutcome {
        let verdict = match self.check_id(void.id) {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        };
        let mut entry = new_entry(offset, RecordKind::Void, void.id, &void.author, verdict);
        entry.submitted_ms = void.submitted_ms;
        self.push_entry(entry)
    }

    pub(super) fn push_entry(&mut self, entry: AuditEntry) -> FoldOutcome {
        let verdict = entry.verdict.clone();
        self.ledger.push(entry);
        FoldOutcome::Verdict(verdict)
    }
}

fn new_entry(
    offset: Offset,
    kind: RecordKind,
    id: ChangeId,
    author: &Name,
    verdict: Verdict,
) -> AuditEntry {
    let mut entry = AuditEntry::undecoded(offset, Rejection::Undecodable);
    entry.kind = kind;
    entry.id = Some(id);
    entry.author = Some(author.clone());
    entry.verdict = verdict;
    entry
}
