//! Parses a caller's request and validates it against the limits and the configuration.

use super::Fleet;
use crate::core::frames::RequestId;
use crate::core::keys::{PipelineKey, WorkspaceKey};
use crate::core::memory::MemoryFull;
use crate::core::read_limits::{Bound, Exceeded, Peer};
use crate::core::view::View;
use crate::util::hash::hash_bytes;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::time::Duration;
use uuid::Uuid;

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub max_body: usize,
    /// The maximum deadline of a request.
    pub max_deadline: Duration,
    /// The maximum length of an idempotency key, in bytes.
    pub max_key: usize,
    /// The maximum number of requests in progress.
    pub max_inflight: u32,
    /// The maximum memory for the bodies of all requests, in bytes.
    pub max_held: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body: 1024 * 1024,
            max_deadline: Duration::from_secs(300),
            max_key: 128,
            max_inflight: 4_096,
            max_held: 32 * 1024 * 1024,
        }
    }
}

/// Why a request is rejected as invalid.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// The body is not the expected JSON.
    #[error("the body is not a valid run request")]
    Json(#[source] serde_json::Error),
    /// The body is too large.
    #[error("the body exceeds {limit} bytes")]
    BodyTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("the body did not arrive within {limit_ms} ms")]
    BodyTimeout {
        /// The limit in milliseconds.
        limit_ms: u128,
    },
    /// The headers are too large.
    #[error("the headers exceed {limit} bytes")]
    HeadersTooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// The memory for bodies has no room for the body.
    #[error(transparent)]
    Memory(#[from] MemoryFull),
    /// The body made no progress and had to make room for another one.
    #[error("the body made no progress")]
    UploadEnded,
    /// The body could not be received.
    #[error("the body could not be read")]
    BodyUnreadable,
    /// The workspace is not declared.
    #[error("workspace `{name}` does not exist")]
    Workspace {
        /// The name in the path.
        name: String,
    },
    /// The pipeline is not declared or not open to the workspace.
    #[error("workspace `{workspace}` has no pipeline `{name}`")]
    Pipeline {
        /// The workspace.
        workspace: String,
        /// The name in the path.
        name: String,
    },
    /// The deadline is zero or beyond the limit.
    #[error("`deadline_ms` must lie between 1 and {limit_ms}")]
    Deadline {
        /// The limit in milliseconds.
        limit_ms: u128,
    },
    /// The priority is out of range.
    #[error("`priority` must lie between 0 and {MAX_PRIORITY}")]
    Priority,
    /// The pipeline has a stage that may not be repeated and the request has no key.
    #[error("this pipeline needs an `Idempotency-Key` header")]
    KeyMissing,
    /// The idempotency key is empty, too long or not printable ASCII.
    #[error("`Idempotency-Key` must have 1 to {limit} printable ASCII characters")]
    Key {
        /// The limit in bytes.
        limit: usize,
    },
}

impl RequestError {
    /// Returns the HTTP status of the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::BodyTimeout { .. } => 408,
            Self::BodyTooLarge { .. } => 413,
            Self::HeadersTooLarge { .. } => 431,
            Self::Workspace { .. } | Self::Pipeline { .. } => 404,
            _ => 400,
        }
    }

    /// Returns the bound at which reading the request stopped, if one did.
    pub fn exceeded(&self) -> Option<Exceeded> {
        let (bound, limit) = match self {
            Self::BodyTimeout { limit_ms } => (Bound::Time, *limit_ms),
            Self::BodyTooLarge { limit } => (Bound::Body, *limit as u128),
            Self::HeadersTooLarge { limit } => (Bound::Head, *limit as u128),
            _ => return None,
        };
        let limit = u64::try_from(limit).unwrap_or(u64::MAX);
        Some(Exceeded { peer: Peer::Caller, bound, limit })
    }
}

/// The highest priority of a request.
pub const MAX_PRIORITY: u8 = 9;
/// The priority of requests that set none.
pub const DEFAULT_PRIORITY: u8 = 4;
/// The number of leading bytes of the input that are hashed as its prompt prefix.
const AFFINITY_BYTES: usize = 256;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RunBody<'a> {
    #[serde(borrow)]
    input: &'a RawValue,
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    priority: Option<u8>,
    #[serde(default)]
    stream: bool,
}

/// A caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKey {
    /// The key as the caller sent it.
    pub key: String,
    /// Hash of the input, to detect the use of one key for two requests; the deadline is left out,
    /// as a retry may have another one.
    pub body_hash: u64,
}

/// A request that passed validation.
#[derive(Clone, Debug)]
pub struct PipelineRequest {
    /// The id of the request.
    pub id: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceKey,
    /// The pipeline to run.
    pub pipeline: PipelineKey,
    /// The input, a JSON value.
    pub input: Bytes,
    /// The time allowed, from the start of the request.
    pub deadline: Duration,
    /// The priority; higher ones run first.
    pub priority: u8,
    /// Whether the caller reads the answer as a stream.
    pub stream: bool,
    /// The idempotency key, if the caller sent one.
    pub key: Option<CallerKey>,
    /// Hash of the input's first bytes, for prefix affinity in routing.
    pub affinity: u64,
}

/// The parts of an HTTP request that are validated.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The workspace named in the path.
    pub workspace: &'a str,
    /// The pipeline named in the path.
    pub pipeline: &'a str,
    /// The idempotency key header.
    pub key: Option<&'a [u8]>,
    /// The whole body.
    pub body: &'a Bytes,
}

impl PipelineRequest {
    /// Parses a request and validates it against the limits and a configuration.
    ///
    /// # Errors
    /// Returns [`RequestError`] for the first part that is invalid.
    pub fn parse(
        parts: RequestParts<'_>,
        limits: &Limits,
        fleet: &Fleet,
    ) -> Result<Self, RequestError> {
        let (workspace, pipeline) = find_pipeline(&fleet.view, parts.workspace, parts.pipeline)?;
        let body: RunBody<'_> = serde_json::from_slice(parts.body).map_err(RequestError::Json)?;
        let row = &fleet.view.pipelines[pipeline];
        let deadline = body.deadline_ms.map_or(row.deadline, Duration::from_millis);
        if deadline.is_zero() || deadline > limits.max_deadline {
            return Err(RequestError::Deadline { limit_ms: limits.max_deadline.as_millis() });
        }
        let priority = body.priority.unwrap_or(DEFAULT_PRIORITY);
        if priority > MAX_PRIORITY {
            return Err(RequestError::Priority);
        }
        let input = parts.body.slice_ref(body.input.get().as_bytes());
        let key = read_key(parts, &input, limits)?;
        let is_idempotent =
            |s: &crate::core::view::StageRow| fleet.view.services[s.service].spec.idempotent;
        if key.is_none() && !row.stages.iter().all(is_idempotent) {
            return Err(RequestError::KeyMissing);
        }
        let prefix_len = input.len().min(AFFINITY_BYTES);
        let affinity = hash_bytes(&input[..prefix_len]);
        let id = RequestId(Uuid::now_v7());
        let stream = body.stream;
        Ok(Self { id, workspace, pipeline, input, deadline, priority, stream, key, affinity })
    }
}

/// Finds a workspace and a pipeline that it may run.
///
/// # Errors
/// Returns [`RequestError`] if either does not exist or the workspace may not run the pipeline.
pub(super) fn find_pipeline(
    view: &View,
    workspace: &str,
    pipeline: &str,
) -> Result<(WorkspaceKey, PipelineKey), RequestError> {
    let no_workspace = || RequestError::Workspace { name: workspace.to_owned() };
    let key = view.workspace(workspace).ok_or_else(no_workspace)?;
    let allowed = &view.workspaces[key].pipelines;
    let found = view.pipeline(pipeline).filter(|p| allowed.binary_search(p).is_ok());
    let no_pipeline =
        || RequestError::Pipeline { workspace: workspace.to_owned(), name: pipeline.to_owned() };
    Ok((key, found.ok_or_else(no_pipeline)?))
}

fn read_key(
    parts: RequestParts<'_>,
    input: &Bytes,
    limits: &Limits,
) -> Result<Option<CallerKey>, RequestError> {
    let Some(raw) = parts.key else { return Ok(None) };
    let limit = limits.max_key;
    let is_printable = raw.iter().all(u8::is_ascii_graphic);
    let text = std::str::from_utf8(raw).ok();
    match text.filter(|t| is_printable && !t.is_empty() && t.len() <= limit) {
        Some(text) => Ok(Some(CallerKey { key: text.to_owned(), body_hash: hash_bytes(input) })),
        None => Err(RequestError::Key { limit }),
    }
}
