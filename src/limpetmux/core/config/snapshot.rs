//! The state that a prefix of the log leads to, for nodes that can no longer read the prefix.

use super::{Config, Entry, Object};
use crate::core::revision::{Offset, Revision};
use crate::util::hash::{hash_bytes, hash_parts};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long a node waits for each node that is before it in the order of snapshot writers.
const TURN: Duration = Duration::from_secs(2);
/// The place of a node that is not in the list of writers.
const LAST_PLACE: usize = 30;

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
    /// The last change of each object within the window of conflicts.
    pub touched: Vec<(Object, Revision)>,
    /// The verdicts within the window, oldest first; older ones are gone.
    pub ledger: Vec<Entry>,
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
/// The order is a rendezvous hash over the names, salted with the round, so all nodes agree on it
/// without a message and the duty moves from node to node. A node whose turn comes after another's
/// snapshot has appeared writes none; a duplicate is harmless.
pub fn snapshot_delay<'a>(
    writers: impl Iterator<Item = &'a str>,
    own: &str,
    round: Offset,
) -> Duration {
    let score = |name: &str| hash_parts(&[&round.0.to_le_bytes(), name.as_bytes()]);
    let rank = (score(own), own);
    let mut is_listed = false;
    let mut place = 0;
    for name in writers {
        is_listed |= name == own;
        place += usize::from((score(name), name) > rank);
    }
    let place = if is_listed { place } else { LAST_PLACE + place % LAST_PLACE };
    TURN * u32::try_from(place).unwrap_or(u32::MAX)
}
