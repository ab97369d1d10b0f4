//! Timeouts and size limits of the protocol.

use std::time::Duration;

/// Timeouts and size limits; the same on every host of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rules {
    /// How long a promise of the successor lasts.
    pub promise_ttl: Duration,
    /// How much longer than `promise_ttl` a successor waits before a takeover, also after its
    /// restart.
    pub promise_margin: Duration,
    /// The largest difference between two hosts' wall clocks that the guards tolerate.
    pub clock_margin: Duration,
    /// How long a key is remembered; shorter than half of the log's retention.
    pub key_retention: Duration,
    /// How long a takeover lasts unless it is renewed; shorter than the log's retention.
    pub takeover_ttl: Duration,
    /// The maximum number of keys in one host's table.
    pub max_keys: usize,
    /// The maximum size of all answers in one host's table, in bytes.
    pub max_bytes: usize,
    /// The maximum size of one stored answer, in bytes.
    pub max_answer: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            promise_ttl: Duration::from_secs(2),
            promise_margin: Duration::from_secs(1),
            clock_margin: Duration::from_secs(2),
            key_retention: Duration::from_secs(3_600),
            takeover_ttl: Duration::from_secs(3_600),
            max_keys: 65_536,
            max_bytes: 16 << 20,
            max_answer: 64 << 10,
        }
    }
}
