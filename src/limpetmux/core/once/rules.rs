//! Timeouts and size limits of the protocol.

use std::time::Duration;

/// Timeouts and size limits; the same on every host of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rules {
    /// How long a promise of the successor lasts.
    pub promise: Duration,
    /// How much longer than `promise` a successor waits before a takeover, also after its restart.
    pub slack: Duration,
    /// The largest difference between two hosts' wall clocks that the guards tolerate.
    pub margin: Duration,
    /// How long a key is remembered; shorter than half of the log's retention.
    pub window: Duration,
    /// How long a takeover lasts unless it is renewed; shorter than the log's retention.
    pub hold: Duration,
    /// The maximum number of keys in one host's table.
    pub keys: usize,
    /// The maximum size of all answers in one host's table, in bytes.
    pub bytes: usize,
    /// The maximum size of one stored answer, in bytes.
    pub answer: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            promise: Duration::from_secs(2),
            slack: Duration::from_secs(1),
            margin: Duration::from_secs(2),
            window: Duration::from_secs(3_600),
            hold: Duration::from_secs(3_600),
            keys: 65_536,
            bytes: 16 << 20,
            answer: 64 << 10,
        }
    }
}
