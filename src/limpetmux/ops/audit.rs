//! The audit trail: who changed what, from which base, at which offset, with which verdict.
//!
//! The trail is read from the log itself. Entries for records that the log has deleted come from
//! the latest snapshot; the table reports the offset before which entries are missing.

use crate::core::config::{AuditEntry, ChangeId, Name, Verdict};
use crate::core::revision::Offset;
use std::fmt::Write;

/// Selects the entries to list; an empty filter selects all.
#[derive(Clone, Debug, Default)]
pub struct AuditFilter {
    /// Only records of this author.
    pub author: Option<Name>,
    /// Only records that touch an object of this name.
    pub object: Option<Name>,
    /// Only the record with this change id.
    pub id: Option<ChangeId>,
    /// Only rejected records.
    pub rejected: bool,
    /// Only records from this offset on.
    pub since: Offset,
}

impl AuditFilter {
    /// Returns whether an entry passes the filter.
    ///
    /// An entry keeps the first few objects of a large change only, so a filter by object may miss
    /// the others.
    pub fn passes(&self, entry: &AuditEntry) -> bool {
        let is_author = self.author.is_none() || self.author == entry.author;
        let is_id = self.id.is_none() || self.id == entry.id;
        let is_object =
            self.object.as_ref().is_none_or(|n| entry.objects.iter().any(|o| o.name == *n));
        let is_verdict = !self.rejected || !entry.verdict.is_accepted();
        is_author && is_id && is_object && is_verdict && entry.offset >= self.since
    }
}

/// Returns the entries that pass a filter, oldest first.
pub fn entries<'a>(
    trail: &'a [AuditEntry],
    filter: &'a AuditFilter,
) -> impl Iterator<Item = &'a AuditEntry> + 'a {
    trail.iter().filter(|e| filter.passes(e))
}

/// Renders the entries that pass a filter as a table.
pub fn table(trail: &[AuditEntry], filter: &AuditFilter) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:>8}  {:<6}  {:<16}  {:>8}  {:<13}  {:<8}  what",
        "offset", "kind", "author", "base", "submitted ms", "verdict"
    );
    for entry in entries(trail, filter) {
        let author = entry.author.as_ref().map_or("-", Name::as_str);
        let base = entry.base.map_or_else(|| "-".to_owned(), |b| b.to_string());
        let (verdict, cause) = verdict(entry);
        let _ = writeln!(
            text,
            "{:>8}  {:<6}  {author:<16}  {base:>8}  {:<13}  {verdict:<8}  {}{cause}",
            entry.offset,
            entry.kind,
            entry.submitted_ms,
            summary(entry)
        );
    }
    if let Some(first) = trail.first().filter(|e| e.offset > Offset(0)) {
        let _ = writeln!(text, "records before offset {} are no longer available", first.offset);
    }
    text
}

/// Renders the entries that pass a filter as JSON lines.
///
/// # Errors
/// Returns the error of the serializer, which does not occur for these types.
pub fn json_lines(trail: &[AuditEntry], filter: &AuditFilter) -> Result<String, serde_json::Error> {
    let mut text = String::new();
    for entry in entries(trail, filter) {
        text.push_str(&serde_json::to_string(entry)?);
        text.push('\n');
    }
    Ok(text)
}

fn verdict(entry: &AuditEntry) -> (&'static str, String) {
    match &entry.verdict {
        Verdict::Accepted => ("accepted", String::new()),
        Verdict::Rejected(reason) => {
            let cause = std::error::Error::source(reason);
            let cause = cause.map(|c| format!(": {c}")).unwrap_or_default();
            ("rejected", format!(" ({reason}{cause})"))
        }
    }
}

fn summary(entry: &AuditEntry) -> String {
    let mut text: String =
        entry.objects.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ");
    let more = entry.touched.saturating_sub(entry.objects.len());
    if more > 0 {
        let _ = write!(text, " and {more} more");
    }
    if !entry.reason.is_empty() {
        let _ = write!(text, ": {}", entry.reason);
    }
    text
}
