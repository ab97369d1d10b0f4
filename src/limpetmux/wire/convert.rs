//! Conversions between messages of the stage protocol and `core` types.

use super::stage;
use crate::core::admission::Load;
use crate::core::frames::{AttemptKey, Close, RequestId};
use crate::core::keys::StageIndex;
use crate::core::membership::ProcessId;
use crate::core::refusal::{Execution, Refusal, RefusalCode};
use bytes::Bytes;
use std::time::Duration;
use uuid::Uuid;

/// A message that does not follow the stage protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The attempt id is missing or malformed.
    #[error("the attempt id is missing or malformed")]
    Attempt,
}

impl From<AttemptKey> for stage::AttemptId {
    fn from(key: AttemptKey) -> Self {
        Self {
            request: Bytes::copy_from_slice(key.request.0.as_bytes()),
            stage: u32::from(key.stage.0),
            attempt: key.attempt,
        }
    }
}

impl TryFrom<&stage::AttemptId> for AttemptKey {
    type Error = WireError;

    fn try_from(id: &stage::AttemptId) -> Result<Self, WireError> {
        let request = Uuid::from_slice(&id.request).map_err(|_| WireError::Attempt)?;
        let stage = u8::try_from(id.stage).map_err(|_| WireError::Attempt)?;
        Ok(Self { request: RequestId(request), stage: StageIndex(stage), attempt: id.attempt })
    }
}

/// Parses the attempt id of a message.
///
/// # Errors
/// Returns [`WireError::Attempt`] if it is missing or malformed.
pub fn attempt(id: Option<&stage::AttemptId>) -> Result<AttemptKey, WireError> {
    id.ok_or(WireError::Attempt)?.try_into()
}

impl From<&stage::Done> for Close {
    fn from(done: &stage::Done) -> Self {
        Self { count: done.count, checksum: done.checksum }
    }
}

/// Returns the load message of a process; `draining` is the state of the process, not of the host.
pub fn load(load: Load, process: ProcessId, draining: bool) -> stage::Load {
    stage::Load {
        inflight: load.inflight,
        queued: load.queued,
        limit: load.limit,
        cold: load.cold,
        draining,
        incarnation: load.incarnation,
        first_us: micros(load.first_output),
        process: process.0,
    }
}

impl From<&stage::Load> for Load {
    fn from(load: &stage::Load) -> Self {
        Self {
            inflight: load.inflight,
            queued: load.queued,
            limit: load.limit,
            cold: load.cold,
            draining: load.draining,
            incarnation: load.incarnation,
            first_output: Duration::from_micros(load.first_us),
        }
    }
}

/// Returns the message of a refusal.
pub fn refused(refusal: Refusal, load: Option<stage::Load>) -> stage::Refused {
    stage::Refused {
        code: refusal.code.to_string(),
        execution: refusal.execution.to_string(),
        retry_after_us: refusal.retry_after.map_or(0, micros),
        load,
    }
}

/// Parses a refusal; defaults to [`RefusalCode::Failed`] and [`Execution::Unknown`].
pub fn refusal(message: &stage::Refused) -> Refusal {
    Refusal {
        code: message.code.parse().unwrap_or(RefusalCode::Failed),
        execution: message.execution.parse().unwrap_or(Execution::Unknown),
        retry_after: (message.retry_after_us > 0)
            .then(|| Duration::from_micros(message.retry_after_us)),
    }
}

/// Returns a duration in whole microseconds, saturating.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
