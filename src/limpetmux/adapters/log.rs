//! The client of the platform's append-only log.

use super::answer::AnswerError;
use crate::core::read_limits::Exceeded;
use crate::core::revision::Offset;
use futures::future::BoxFuture;
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// A stream of the log, each with its own offsets.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Stream {
    /// Configuration changes and snapshots.
    Config,
    /// Claims and takeovers of idempotency keys.
    Claims,
    /// Leases of control duties and the planner's orders.
    Duties,
}

/// The reason why a request to the log failed.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The request did not reach the log, so nothing was appended.
    #[error("the platform log cannot be reached")]
    Unreachable(#[source] reqwest::Error),
    /// The request was sent but no complete response arrived; an append may have taken effect.
    #[error("the platform log did not respond")]
    NoAnswer(#[source] reqwest::Error),
    /// The log answered with another status; nothing was appended if the protocol promises that.
    #[error("the platform log refused the request with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The retry delay that the log requests.
        retry_after: Option<Duration>,
    },
    /// The response does not follow the protocol; an append may have taken effect.
    #[error("the platform log returned a response that cannot be parsed")]
    Malformed(#[source] serde_json::Error),
    /// Reading the response stopped at a bound; an append may have taken effect.
    #[error("reading a response of the platform log stopped at a bound")]
    Exceeded(#[source] Exceeded),
    /// The offsets of a page contradict each other or what was asked for.
    #[error("the platform log returned a page whose offsets contradict each other")]
    Contradiction,
}

impl From<AnswerError> for LogError {
    fn from(error: AnswerError) -> Self {
        match error {
            AnswerError::Lost(error) if error.is_connect() => Self::Unreachable(error),
            AnswerError::Lost(error) => Self::NoAnswer(error),
            AnswerError::Exceeded(exceeded) => Self::Exceeded(exceeded),
            AnswerError::Malformed(error) => Self::Malformed(error),
        }
    }
}

impl LogError {
    /// Returns whether an append that failed this way may have taken effect.
    ///
    /// The protocol promises only of 503 and 429 that the log did nothing.
    pub fn may_have_appended(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Refused { status: 429 | 503, .. } => false,
            Self::NoAnswer(_)
            | Self::Refused { .. }
            | Self::Malformed(_)
            | Self::Exceeded(_)
            | Self::Contradiction => true,
        }
    }
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// The offset of the record.
    pub offset: Offset,
    /// The bytes of the record.
    pub data: Vec<u8>,
}

/// Consecutive records, and the bounds of the stream at the time of the read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The first offset that the log still stores.
    pub first: Offset,
    /// The offset of the next append.
    pub end: Offset,
    /// Records in offset order, starting at the requested offset or at `first`.
    pub records: Vec<LogRecord>,
}

impl LogPage {
    /// Returns whether the records follow each other from the offset that was asked for, or from the
    /// first one that the log stores, and whether there is one unless the log ends there.
    ///
    /// A reader goes on after the last record, so a false offset would let it skip records.
    pub fn is_consistent(&self, from: Offset) -> bool {
        let start = from.max(self.first);
        let offsets = (start.0..self.end.0).map(Offset);
        let stated = self.records.iter().map(|r| r.offset);
        let in_order = self.records.len() as u64 <= self.end.0.saturating_sub(start.0)
            && stated.zip(offsets).all(|(stated, expected)| stated == expected);
        let has_record = !self.records.is_empty() || start >= self.end;
        self.first <= self.end && in_order && has_record
    }
}

type AppendFn =
    dyn Fn(Stream, Vec<u8>) -> BoxFuture<'static, Result<Offset, LogError>> + Send + Sync;
type ReadFn =
    dyn Fn(Stream, Offset, Duration) -> BoxFuture<'static, Result<LogPage, LogError>> + Send + Sync;

/// Access to the log; replaceable by a fake in tests.
#[derive(Clone)]
pub struct LogClient {
    /// Appends one record and returns its offset.
    pub append: std::sync::Arc<AppendFn>,
    /// Reads records from an offset on, waiting up to the given time for the first one.
    pub read: std::sync::Arc<ReadFn>,
}
