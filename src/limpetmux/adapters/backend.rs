//! The client of one backend server.
//!
//! A sidecar turns an admitted stage into a [`Job`], hands it to [`Backend::run`] and forwards the
//! [`Chunk`]s that come back. Dropping the stream cancels the job on the backend server.

use crate::core::config::{Fencing, Name, StageKind};
use crate::core::frames::AttemptKey;
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

/// One call on a backend server.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifies the attempt towards the backend server.
    pub key: AttemptKey,
    /// What the backend server does.
    pub kind: StageKind,
    /// The model to run, if the service declares one.
    pub model: Option<Name>,
    /// The stage's input, a JSON value.
    pub input: Bytes,
    /// Tokens already delivered, after which a generation goes on.
    pub prefix: Vec<String>,
    /// The most tokens to generate, those of the prefix included.
    pub tokens: u32,
    /// Higher runs first.
    pub priority: u32,
    /// The fencing number, where one applies, and who checks it.
    pub fence: Option<(u64, Fencing)>,
}

/// One piece of a backend server's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The bytes of the piece.
    pub payload: Bytes,
    /// The number of tokens in the piece.
    pub tokens: u32,
}

/// What a backend server reports about itself; late by the server's report lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct LoadReport {
    /// Calls in progress.
    pub running: u32,
    /// Calls that wait inside the backend server.
    pub waiting: u32,
    /// The calls that the backend server can run at once now.
    pub capacity: u32,
    /// Whether the backend server is in a cold start.
    pub cold: bool,
    /// Identifies the backend server's start.
    pub incarnation: u64,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
}

/// Why a backend server gave no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum BackendError {
    /// The call did not reach the backend server.
    #[error("the backend server cannot be reached")]
    Unreachable(#[source] reqwest::Error),
    /// The backend server refused the call before running it.
    #[error("the backend server refused the call with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// When the backend server asks to be tried again.
        retry_after: Option<Duration>,
    },
    /// The backend server refused an old fencing number.
    #[error("the backend server refused an old fencing number")]
    Fenced,
    /// The backend server failed while it ran the call.
    #[error("the backend server failed with status {status}")]
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// The connection broke, so the call may have run.
    #[error("the backend server's answer was lost")]
    Lost(#[source] reqwest::Error),
    /// The answer ended before its last piece.
    #[error("the backend server's answer ended early")]
    Truncated,
    /// The answer does not follow the protocol.
    #[error("the backend server's answer cannot be read")]
    Malformed(#[source] serde_json::Error),
    /// The answer is not a stream of events.
    #[error("the backend server's answer is not a stream of events")]
    NoEvents,
    /// A piece of the answer exceeds the limit.
    #[error("the backend server's answer exceeds {limit} bytes")]
    Oversize {
        /// The limit in bytes.
        limit: usize,
    },
}

impl BackendError {
    /// Returns whether the error proves that the call did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Unreachable(_) | Self::Refused { .. } | Self::Fenced)
    }
}

/// The pieces of an answer in order.
pub type ChunkStream = BoxStream<'static, Result<Chunk, BackendError>>;

type RunFn = dyn Fn(Job) -> BoxFuture<'static, Result<ChunkStream, BackendError>> + Send + Sync;
type CancelFn = dyn Fn(AttemptKey) -> BoxFuture<'static, Result<bool, BackendError>> + Send + Sync;
type LoadFn = dyn Fn() -> BoxFuture<'static, Result<LoadReport, BackendError>> + Send + Sync;

/// Access to one backend server; replaceable by a fake in tests.
#[derive(Clone)]
pub struct Backend {
    /// Starts a call and returns its answer as a stream.
    pub run: Arc<RunFn>,
    /// Cancels a generation by its attempt; returns whether it was running.
    pub cancel: Arc<CancelFn>,
    /// Asks for the load report.
    pub load: Arc<LoadFn>,
}
