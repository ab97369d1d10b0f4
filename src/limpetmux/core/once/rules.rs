//! Times and bounds of the protocol.

use std::time::Duration;

/// Times and bounds that every host of a deployment shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rules {
    /// How long a promise of the successor lasts.
    pub promise: Duration,
    /// How much longer than a promise a restarted successor waits before a takeover.
    pub slack: Duration,
    /// The greatest difference between two hosts' wall clocks that the guards bear.
    pub margin: Duration,
    /// How long a key is remembered; shorter than half of the log's retention.
    pub window: Duration,
    /// How long a takeover counts without being appended again; shorter than the log's retention.
    pub hold: Duration,
    /// The most keys in one host's table.
    pub keys: usize,
    /// The most bytes of answers in one host's table.
    pub bytes: usize,
    /// The most bytes of one stored answer.
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
