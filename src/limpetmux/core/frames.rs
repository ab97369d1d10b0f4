//! Puts the frames of one attempt in order and proves that the answer is whole.
//!
//! A sidecar numbers the frames of an attempt and closes it with their count and checksum. The
//! [`Assembler`] of the entry compares every frame with the attempt that it waits for: frames of
//! another attempt and repeated frames are dropped, a gap or a close that does not match fails the
//! attempt. Only an attempt whose close matches is complete, so a short answer never passes as a
//! whole one. See `docs/design/requests.md`.

use crate::core::keys::StageIndex;
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
    /// Counts attempts at the stage from zero.
    pub attempt: u32,
}

impl std::fmt::Display for AttemptKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.request, self.stage.0, self.attempt)
    }
}

/// The close of an attempt that ran to its end.
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
    /// A frame with this sequence has been delivered.
    Doubled,
    /// The attempt has ended.
    Late,
}

/// Why an attempt's frames do not form a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameFault {
    /// A frame is missing before the one that arrived.
    #[error("frame {expected} is missing before frame {got}")]
    Gap {
        /// The sequence that should have come next.
        expected: u64,
        /// The sequence that came.
        got: u64,
    },
    /// The close states another number of frames.
    #[error("{got} frames arrived of {count}")]
    Count {
        /// The number that the close states.
        count: u64,
        /// The number that arrived.
        got: u64,
    },
    /// The payloads differ from those that were sent.
    #[error("the checksum of the payloads does not match")]
    Checksum,
    /// The stream ended without a close.
    #[error("the stream ended after {got} frames without a close")]
    Truncated {
        /// The number of frames that arrived.
        got: u64,
    },
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Deliver the payload.
    Deliver,
    /// Ignore the frame.
    Drop(Dropped),
    /// The attempt is whole.
    Complete,
    /// The attempt has failed; what was delivered stays valid as a prefix.
    Fail(FrameFault),
}

/// Follows the frames of one attempt.
#[derive(Clone, Debug)]
pub struct Assembler {
    key: AttemptKey,
    next: u64,
    hash: StreamHash,
    ended: bool,
}

impl Assembler {
    /// Creates an assembler that waits for the first frame of an attempt.
    pub fn new(key: AttemptKey) -> Self {
        Self { key, next: 0, hash: StreamHash::default(), ended: false }
    }

    /// Returns the number of data frames delivered.
    pub fn delivered(&self) -> u64 {
        self.next
    }

    /// Judges a data frame.
    pub fn data(&mut self, key: AttemptKey, sequence: u64, payload: &[u8]) -> Step {
        if let Some(dropped) = self.stray(key) {
            return Step::Drop(dropped);
        }
        if sequence < self.next {
            return Step::Drop(Dropped::Doubled);
        }
        if sequence > self.next {
            return self.fail(FrameFault::Gap { expected: self.next, got: sequence });
        }
        self.next += 1;
        self.hash.update(payload);
        Step::Deliver
    }

    /// Judges the close of an attempt.
    pub fn close(&mut self, key: AttemptKey, close: Close) -> Step {
        if let Some(dropped) = self.stray(key) {
            return Step::Drop(dropped);
        }
        if close.count != self.next {
            return self.fail(FrameFault::Count { count: close.count, got: self.next });
        }
        if close.checksum != self.hash.value() {
            return self.fail(FrameFault::Checksum);
        }
        self.ended = true;
        Step::Complete
    }

    /// Judges a refusal: one of this attempt ends it, any other is dropped.
    pub fn refused(&mut self, key: AttemptKey) -> Option<Dropped> {
        let stray = self.stray(key);
        self.ended |= stray.is_none();
        stray
    }

    /// Judges the end of the stream, which fails an attempt that was not closed.
    pub fn end(&mut self) -> Option<FrameFault> {
        if self.ended {
            return None;
        }
        self.ended = true;
        Some(FrameFault::Truncated { got: self.next })
    }

    fn stray(&self, key: AttemptKey) -> Option<Dropped> {
        if key != self.key {
            return Some(Dropped::Crossed);
        }
        self.ended.then_some(Dropped::Late)
    }

    fn fail(&mut self, fault: FrameFault) -> Step {
        self.ended = true;
        Step::Fail(fault)
    }
}
