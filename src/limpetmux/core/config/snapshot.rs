//! The folded state of a log prefix, for nodes that can no longer read the prefix.

use super::{AuditEntry, Config, Object};
use crate::core::revision::{Offset, Revision};
use crate::util::hash::{hash_bytes, hash_parts};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a node waits for each node ahead of it in the order of snapshot writers.
const RANK_DELAY: Duration = Duration::from_secs(2);
/// The lowest rank that a node outside the list of writers gets.
const UNLISTED_RANK: usize = 30;

/// The folded state of all records below an offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Snapshot {
    /// The first offset that is not covered.
    pub next: Offset,
    /// The revision in force.
    pub revision: Revision,
    /// The activated record format.
    pub format: u32,
    /// The digest over all covered records.
    pub digest: u64,
    /// The configuration in force.
    pub config: Config,
    /// The last change of each object within the conflict window.
    pub touched: Vec<(Object, Revision)>,
    /// The verdicts within the window, oldest first; older ones were dropped.
    pub ledger: Vec<AuditEntry>,
    /// Hash over the other fields.
    pub checksum: u64,
}

impl Snapshot {
    /// Computes the hash over all fields but the checksum itself.
    pub fn compute_checksum(&self) -> u64 {
        let body = (
            (self.next, self.revision, self.format, self.digest),
            &self.config,
            &self.touched,
            &self.ledger,
        );
        serde_json::to_vec(&body).map_or(0, |bytes| hash_bytes(&bytes))
    }

    /// Returns whether the content matches the checksum.
    pub fn is_intact(&self) -> bool {
        self.checksum == self.compute_checksum()
    }
}

/// Returns how long a node waits before it writes a snapshot that is due.
///
/// The order is a rendezvous hash over the node names, salted with the round, so all nodes compute
/// the same order without messages and the work rotates among them. A node whose delay ends after
/// another node's snapshot has appeared writes none; a duplicate is harmless.
pub fn snapshot_delay<'a>(
    writers: impl Iterator<Item = &'a str>,
    own_name: &str,
    round: Offset,
) -> Duration {
    let score = |name: &str| hash_parts(&[&round.0.to_le_bytes(), name.as_bytes()]);
    let own_score = (score(own_name), own_name);
    let mut is_listed = false;
    let mut rank = 0;
    for name in writers {
        is_listed |= name == own_name;
        rank += usize::from((score(name), name) > own_score);
    }
    let rank = if is_listed { rank } else { UNLISTED_RANK + rank % UNLISTED_RANK };
    RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)
}
