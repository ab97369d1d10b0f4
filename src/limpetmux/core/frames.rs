//! Checks that the frames of one attempt form a complete answer.
//!
//! A sidecar numbers the frames of an attempt and ends it with a close frame that holds their count
//! and checksum. The [`Assembler`] of the entry checks every frame against the attempt that it
//! expects: frames of another attempt and duplicate frames are dropped; a gap or a close frame that
//! does not match fails the attempt. Only a matching close frame completes the attempt, so a
//! truncated answer is never taken for a complete one. See `docs/design/requests.md`.

use crate::core::keys::StageIndex;
use crate::core::read_limits::{Bound, Exceeded, MAX_PIECES, MAX_TOKENS_BYTES, Peer};
use crate::util::hash::StreamHash;
use uuid::Uuid;

/// Identifies one request across all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub Uuid);

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies one attempt at one stage of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The stage's position in its pipeline.
    pub stage: StageIndex,
    /// The number of the attempt at the stage, counted from zero.
    pub attempt: u32,
}

impl std::fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.request, self.stage.0, self.attempt)
    }
}

/// The close frame of an attempt that completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Close {
    /// The number of data frames.
    pub count: u64,
    /// The xxHash64 over all payloads in order.
    pub checksum: u64,
}

/// Why a frame was dropped without effect on the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Dropped {
    /// The frame belongs to another request, stage or attempt.
    Crossed,
    /// A frame with this sequence number has been delivered.
    Doubled,
    /// The attempt has ended.
    Late,
}

/// The number of frames after the data frames of an answer.
const FINAL_FRAMES: u64 = 1;

/// Why an attempt's frames do not form a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameFault {
    /// A frame is missing before the one that arrived.
    #[error("frame {expected} is missing before frame {got}")]
    Gap {
        /// The sequence number of the next frame to deliver.
        expected: u64,
        /// The sequence number of the frame that arrived.
        got: u64,
    },
    /// The close frame states a different number of frames.
    #[error("{got} frames arrived of {count}")]
    Count {
        /// The number that the close frame states.
        count: u64,
        /// The number that arrived.
        got: u64,
    },
    /// The payloads differ from those that were sent.
    #[error("the checksum of the payloads does not match")]
    Checksum,
    /// The frames exceed a bound.
    #[error(transparent)]
    Exceeded(#[from] Exceeded),
    /// The stream ended without a close frame or a refusal.
    #[error("the stream ended after {got} frames without a final frame")]
    Truncated {
        /// The number of frames that arrived.
        got: u64,
    },
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Deliver the payload.
    Deliver,
    /// Ignore the frame.
    Drop(Dropped),
    /// The attempt is complete.
    Complete,
    /// The attempt has failed; the payloads delivered so far are a valid prefix of the answer.
    Fail(FrameFault),
}

/// Checks the frames of one attempt as they arrive.
#[derive(Clone, Debug)]
pub struct Assembler {
    key: AttemptKey,
    next_sequence: u64,
    hash: StreamHash,
    ended: bool,
    /// The number of frames that arrived, whether they were delivered or not.
    frames: u64,
    /// The bytes of their payloads.
    bytes: usize,
}

impl Assembler {
    /// Creates an assembler that expects the first frame of an attempt.
    pub fn new(key: AttemptKey) -> Self {
        let hash = StreamHash::default();
        Self { key, next_sequence: 0, hash, ended: false, frames: 0, bytes: 0 }
    }

    /// Counts a frame that arrived, before it is checked.
    ///
    /// # Errors
    /// Returns a fault if the frames exceed a bound; the attempt has failed then.
    pub fn admit(&mut self, payload: usize) -> Result<(), FrameFault> {
        self.frames += 1;
        self.bytes += payload;
        let (bound, limit) = if self.frames > MAX_PIECES + FINAL_FRAMES {
            (Bound::Count, MAX_PIECES)
        } else if self.bytes > MAX_TOKENS_BYTES {
            (Bound::Body, MAX_TOKENS_BYTES as u64)
        } else {
            return Ok(());
        };
        self.ended = true;
        Err(Exceeded { peer: Peer::Node, bound, limit }.into())
    }

    /// Returns the number of data frames delivered.
    pub fn delivered(&self) -> u64 {
        self.next_sequence
    }

    /// Checks a data frame.
    pub fn data(&mut self, key: AttemptKey, sequence: u64, payload: &[u8]) -> FrameAction {
        if let Some(dropped) = self.check_attempt(key) {
            return FrameAction::Drop(dropped);
        }
        if sequence < self.next_sequence {
            return FrameAction::Drop(Dropped::Doubled);
        }
        if sequence > self.next_sequence {
            return self.fail(FrameFault::Gap { expected: self.next_sequence, got: sequence });
        }
        self.next_sequence += 1;
        self.hash.update(payload);
        FrameAction::Deliver
    }

    /// Checks the close frame of an attempt.
    pub fn close(&mut self, key: AttemptKey, close: Close) -> FrameAction {
        if let Some(dropped) = self.check_attempt(key) {
            return FrameAction::Drop(dropped);
        }
        if close.count != self.next_sequence {
            return self.fail(FrameFault::Count { count: close.count, got: self.next_sequence });
        }
        if close.checksum != self.hash.value() {
            return self.fail(FrameFault::Checksum);
        }
        self.ended = true;
        FrameAction::Complete
    }

    /// Checks a refusal, whose sequence follows that of the last data frame.
    ///
    /// One of this attempt completes it, but proves that nothing ran only if no data frame was
    /// [`delivered`](Self::delivered) before.
    pub fn refused(&mut self, key: AttemptKey, sequence: u64) -> FrameAction {
        if let Some(dropped) = self.check_attempt(key) {
            return FrameAction::Drop(dropped);
        }
        if sequence != self.next_sequence {
            return self.fail(FrameFault::Gap { expected: self.next_sequence, got: sequence });
        }
        self.ended = true;
        FrameAction::Complete
    }

    /// Ends the stream; returns a fault if the attempt has not ended before.
    pub fn end(&mut self) -> Option<FrameFault> {
        if self.ended {
            return None;
        }
        self.ended = true;
        Some(FrameFault::Truncated { got: self.next_sequence })
    }

    fn check_attempt(&self, key: AttemptKey) -> Option<Dropped> {
        if key != self.key {
            return Some(Dropped::Crossed);
        }
        self.ended.then_some(Dropped::Late)
    }

    fn fail(&mut self, fault: FrameFault) -> FrameAction {
        self.ended = true;
        FrameAction::Fail(fault)
    }
}
