//! The client of one backend server.
//!
//! A sidecar builds a [`Job`] from an admitted stage, passes it to [`Backend::run`] and forwards
//! the returned [`Chunk`]s. Dropping the stream cancels the job on the backend server.

use super::answer::AnswerError;
use crate::core::config::{Fencing, Name, StageKind};
use crate::core::frames::AttemptKey;
use crate::core::read_limits::Exceeded;
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

/// One call on a backend server.
#[derive(Clone, Debug)]
pub struct Job {
    /// The id of the attempt, which is sent to the backend server.
    pub key: AttemptKey,
    /// The kind of stage, which selects the protocol.
    pub kind: StageKind,
    /// The model to run, if the service declares one.
    pub model: Option<Name>,
    /// The stage's input, a JSON value.
    pub input: Bytes,
    /// Tokens that were already delivered and that a resumed generation continues.
    pub prefix: Vec<String>,
    /// The maximum number of tokens to generate, including those of the prefix.
    pub max_tokens: u32,
    /// The priority; higher runs first.
    pub priority: u32,
    /// The fencing number, if one applies, and whether the backend server checks it.
    pub fence: Option<(u64, Fencing)>,
}

/// One chunk of a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The bytes of the chunk.
    pub payload: Bytes,
    /// The number of tokens in the chunk.
    pub tokens: u32,
}

/// The load of a backend server at the time of its last report, [`age_ms`](Self::age_ms) ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// The number of running calls.
    pub running: u32,
    /// The number of calls queued in the backend server.
    pub waiting: u32,
    /// The number of calls that the backend server can currently run at once.
    pub capacity: u32,
    /// Whether the backend server is in a cold start.
    pub cold: bool,
    /// An id that changes with every start of the backend server.
    pub incarnation: u64,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
}

/// The reason why a backend server returned no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The call did not reach the backend server.
    #[error("the backend server cannot be reached")]
    Unreachable(#[source] reqwest::Error),
    /// The backend server refused the call before running it, as its protocol promises.
    #[error("the backend server refused the call with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The retry delay that the backend server requests.
        retry_after: Option<Duration>,
    },
    /// The backend server has no room, but its protocol does not promise that it ran nothing.
    #[error("the backend server has no room, with status {status}")]
    Overloaded {
        /// The HTTP status.
        status: u16,
        /// The retry delay that the backend server requests.
        retry_after: Option<Duration>,
    },
    /// The backend server refused the fencing number that the call was sent with.
    #[error("the backend server refused an old fencing number")]
    Fenced,
    /// The backend server failed while it ran the call.
    #[error("the backend server failed with status {status}")]
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// The model engine failed after it had begun its answer.
    #[error("the model engine failed inside its answer")]
    FailedInStream,
    /// The connection failed, so the call may have run.
    #[error("the connection to the backend server failed before its answer was complete")]
    ResponseLost(#[source] reqwest::Error),
    /// The answer ended before its last chunk.
    #[error("the backend server's answer ended early")]
    Truncated,
    /// The answer does not follow the protocol.
    #[error("the backend server's answer cannot be parsed")]
    Malformed(#[source] serde_json::Error),
    /// The answer is not a valid event stream.
    #[error("the backend server's answer is not a valid event stream")]
    NotEventStream,
    /// Reading the answer stopped at a bound, so the call may have run.
    #[error("reading the backend server's answer stopped at a bound")]
    Exceeded(#[from] Exceeded),
}

impl From<AnswerError> for BackendError {
    fn from(error: AnswerError) -> Self {
        match error {
            AnswerError::Lost(error) if error.is_connect() => Self::Unreachable(error),
            AnswerError::Lost(error) => Self::ResponseLost(error),
            AnswerError::Exceeded(exceeded) => Self::Exceeded(exceeded),
            AnswerError::Malformed(error) => Self::Malformed(error),
        }
    }
}

impl BackendError {
    /// Returns whether the error proves that the call did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Refused { .. } | Self::Fenced)
    }
}

/// The chunks of an answer in order.
pub type ChunkStream = BoxStream<'static, Result<Chunk, BackendError>>;

type RunFn = dyn Fn(Job) -> BoxFuture<'static, Result<ChunkStream, BackendError>> + Send + Sync;
type CancelFn = dyn Fn(AttemptKey) -> BoxFuture<'static, Result<bool, BackendError>> + Send + Sync;
type LoadFn = dyn Fn() -> BoxFuture<'static, Result<LoadReport, BackendError>> + Send + Sync;

/// Access to one backend server; replaceable by a fake in tests.
#[derive(Clone)]
pub struct Backend {
    /// Sends a call and returns its answer as a stream.
    pub run: Arc<RunFn>,
    /// Cancels the generation of an attempt; returns whether it was running.
    pub cancel: Arc<CancelFn>,
    /// Requests the load report.
    pub load: Arc<LoadFn>,
}
