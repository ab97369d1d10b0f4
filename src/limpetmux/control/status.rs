//! The published status of the control service.

use crate::core::config::{FoldError, Position};
use crate::core::revision::{Offset, Revision};
use std::sync::atomic::{AtomicU64, Ordering};

/// The state of a node's configuration and of its sources.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlStatus {
    /// The revision in force; zero if none is known.
    pub revision: Revision,
    /// How far the node has folded the log, with the digest of its history.
    pub position: Position,
    /// The end of the log in its last answer.
    pub end_offset: Option<Offset>,
    /// Whether the log answered the last read.
    pub reachable: bool,
    /// Whether the node lacks records that the log no longer has.
    pub has_gap: bool,
    /// Why the last page of the log could not be folded, if so.
    pub fault: Option<FoldError>,
}

impl ControlStatus {
    /// Returns the number of known records that the node has not folded yet.
    pub fn lag(&self) -> u64 {
        self.end_offset.map_or(0, |end| end.0.saturating_sub(self.position.next.0))
    }
}

/// The exchange traffic of a node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerTraffic {
    /// Messages sent and received.
    pub messages: u64,
    /// Bytes of messages sent and received, without transport headers.
    pub bytes: u64,
    /// Exchanges that failed.
    pub failed: u64,
}

/// Counts the exchange traffic of a node.
#[derive(Debug, Default)]
pub struct PeerCounters {
    messages: AtomicU64,
    bytes: AtomicU64,
    failed: AtomicU64,
}

impl PeerCounters {
    /// Counts one message of the given length.
    pub fn count(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts one exchange that failed.
    pub fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current counts.
    pub fn traffic(&self) -> PeerTraffic {
        PeerTraffic {
            messages: self.messages.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}
