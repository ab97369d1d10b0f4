//! The verdicts of the fold, which form the audit trail and reveal duplicate changes.

use super::{ChangeId, ConfigError, Danger, Name, Object};
use crate::core::revision::{Offset, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The most objects that an audit entry lists.
pub const ENTRY_OBJECTS: usize = 8;
/// The most bytes of a reason that an audit entry keeps.
pub const REASON_BYTES: usize = 200;

/// Why a record was rejected; every node gives the same reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The record is too long or malformed.
    #[error("the record cannot be decoded")]
    Undecodable,
    /// The record has a format that is not activated yet.
    #[error("record format {version} is not activated")]
    Format {
        /// The record's format.
        version: u32,
    },
    /// The change id was used by an earlier record.
    #[error("the change id was used at offset {first}")]
    Duplicate {
        /// The offset of the first use.
        first: Offset,
    },
    /// The base is a revision that does not exist yet.
    #[error("the base is newer than {revision}, which was in force")]
    FutureBase {
        /// The revision that was in force.
        revision: Revision,
    },
    /// An object that the change edits was changed after the base.
    #[error("{object} was changed by {revision}, after the base")]
    Stale {
        /// The first such object in the order of the edits.
        object: Object,
        /// The revision that changed it.
        revision: Revision,
    },
    /// The change is older than the window for which conflicts are remembered.
    #[error("the base is too old; {revision} was in force")]
    Expired {
        /// The revision that was in force.
        revision: Revision,
    },
    /// The change has no edits.
    #[error("the change has no edits")]
    Empty,
    /// The resulting configuration breaks a rule.
    #[error("the result is not valid")]
    Invalid(#[source] ConfigError),
    /// The change is dangerous and its `force` flag is not set.
    #[error("the change is dangerous and not marked as allowed")]
    Dangerous(#[source] Danger),
}

/// The fold's decision on a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record is in force from its offset on.
    Accepted,
    /// The record has no effect.
    Rejected(Rejection),
}

impl Verdict {
    /// Returns whether the record took effect.
    pub fn is_accepted(&self) -> bool {
        *self == Self::Accepted
    }
}

/// The kind of record that an audit entry describes.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RecordKind {
    /// An operator's change.
    Change,
    /// An activation of a record format.
    Format,
    /// The invalidation of a change id.
    Void,
    /// A record that no node could decode.
    Unknown,
}

/// One line of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// The record's offset in the log.
    pub offset: Offset,
    /// The kind of the record.
    pub kind: RecordKind,
    /// The change id, if the record could be decoded.
    pub id: Option<ChangeId>,
    /// Who submitted the record.
    pub author: Option<Name>,
    /// The base revision that the record names.
    pub base: Option<Revision>,
    /// When the operator's command submitted it, in milliseconds of Unix time.
    pub submitted_ms: u64,
    /// The operator's reason, cut to [`REASON_BYTES`].
    pub reason: String,
    /// The first [`ENTRY_OBJECTS`] objects that the record edits.
    pub objects: Vec<Object>,
    /// The number of objects that the record edits.
    pub touched: usize,
    /// The fold's decision.
    pub verdict: Verdict,
}

impl AuditEntry {
    /// Creates an entry for a record that could not be decoded.
    pub fn undecoded(offset: Offset, rejection: Rejection) -> Self {
        Self {
            offset,
            kind: RecordKind::Unknown,
            id: None,
            author: None,
            base: None,
            submitted_ms: 0,
            reason: String::new(),
            objects: Vec::new(),
            touched: 0,
            verdict: Verdict::Rejected(rejection),
        }
    }
}

/// Cuts a reason to [`REASON_BYTES`] at a character boundary.
pub fn cut_reason(reason: &str) -> String {
    reason[..reason.floor_char_boundary(REASON_BYTES)].to_owned()
}

/// The most recent verdicts by offset and by change id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    entries: BTreeMap<Offset, AuditEntry>,
    ids: BTreeMap<ChangeId, Offset>,
}

impl Ledger {
    /// Adds a verdict; [`find`](Self::find) keeps returning the first one of a change id.
    pub fn push(&mut self, entry: AuditEntry) {
        if let Some(id) = entry.id {
            self.ids.entry(id).or_insert(entry.offset);
        }
        self.entries.insert(entry.offset, entry);
    }

    /// Returns the first verdict on a change id.
    pub fn find(&self, id: ChangeId) -> Option<&AuditEntry> {
        self.entries.get(self.ids.get(&id)?)
    }

    /// Returns the verdict on the record at an offset.
    pub fn at(&self, offset: Offset) -> Option<&AuditEntry> {
        self.entries.get(&offset)
    }

    /// Iterates over the verdicts in offset order.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.entries.values()
    }

    /// Drops the verdicts below an offset.
    pub fn prune(&mut self, end: Offset) {
        while let Some(first) = self.entries.first_entry().filter(|e| *e.key() < end) {
            let entry = first.remove();
            if let Some(id) = entry.id
                && self.ids.get(&id) == Some(&entry.offset)
            {
                self.ids.remove(&id);
            }
        }
    }
}

impl FromIterator<AuditEntry> for Ledger {
    fn from_iter<I: IntoIterator<Item = AuditEntry>>(entries: I) -> Self {
        let mut ledger = Self::default();
        entries.into_iter().for_each(|e| ledger.push(e));
        ledger
    }
}
