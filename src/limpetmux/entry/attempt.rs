//! Runs one attempt of one stage on the sidecar of a host.

use super::connection::SidecarConnection;
use crate::core::frames::{Assembler, AttemptKey, FrameAction, FrameFault};
use crate::core::refusal::{Execution, Refusal, RefusalCode};
use crate::wire::stage::frame::Kind;
use crate::wire::stage::stage_client::StageClient;
use crate::wire::{convert, stage};
use bytes::Bytes;
use std::error::Error;
use std::time::Duration;
use tonic::Status;
use tonic::transport::Channel;

/// The timeout of a cancellation, whose answer nobody reads.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an attempt returned no complete answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum AttemptError {
    /// The sidecar or its backend server refused the attempt or failed.
    #[error("the sidecar refused the attempt: {}", .0.code)]
    Refused(Refusal),
    /// The connection to the sidecar failed.
    #[error("the connection to the sidecar failed")]
    Transport(#[source] Box<Status>),
    /// The frames received do not form a complete answer.
    #[error("the frames received do not form a complete answer")]
    InvalidFrames(#[from] FrameFault),
    /// The caller closed its connection.
    #[error("the caller closed its connection")]
    CallerDisconnected,
}

impl AttemptError {
    /// Returns whether no connection could be made.
    pub(super) fn is_unreachable(&self) -> bool {
        matches!(self, Self::Transport(status) if is_connect(status))
    }

    /// Converts the error to a refusal.
    pub(super) fn refusal(&self) -> Refusal {
        match self {
            Self::Refused(refusal) => *refusal,
            Self::Transport(status) if is_unsent(status) => {
                Refusal::not_run(RefusalCode::Unavailable)
            }
            Self::Transport(_) => Refusal::unknown(RefusalCode::Unavailable),
            Self::InvalidFrames(_) => Refusal::unknown(RefusalCode::Failed),
            Self::CallerDisconnected => Refusal::unknown(RefusalCode::Cancelled),
        }
    }
}

type Cause<'a> = &'a (dyn Error + 'static);

/// Returns whether a call failed because no connection could be made.
pub(super) fn is_connect(status: &Status) -> bool {
    has_cause(status, |e| e.is::<tonic::ConnectError>())
}

/// Returns whether a call was never sent: no connection could be made, or the connection closed
/// while the call was still queued in this process, which happens when a host shuts down.
fn is_unsent(status: &Status) -> bool {
    let is_canceled = |e: Cause<'_>| e.downcast_ref().is_some_and(hyper::Error::is_canceled);
    is_connect(status) || has_cause(status, is_canceled)
}

fn has_cause(status: &Status, matches: impl Fn(Cause<'_>) -> bool) -> bool {
    let mut cause = status.source();
    while let Some(e) = cause {
        if matches(e) {
            return true;
        }
        cause = e.source();
    }
    false
}

/// Cancels an attempt on its sidecar when dropped, unless the attempt has ended.
///
/// Dropping the stream already resets the call. The cancel message also reaches a sidecar that has
/// not received the call yet and leaves a tombstone there.
struct CancelGuard {
    key: AttemptKey,
    client: Option<StageClient<Channel>>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(mut client) = self.client.take() else { return };
        let id = Some(self.key.into());
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let cancel = async move { client.cancel(stage::CancelRequest { id }).await };
            runtime.spawn(tokio::time::timeout(CANCEL_TIMEOUT, cancel));
        }
    }
}

/// Sends an attempt and passes each piece of its answer to `deliver` in order.
///
/// The second value is the load that the sidecar reported with its last frame, if any.
pub(super) async fn run_attempt<Fut: Future<Output = bool>>(
    connection: &SidecarConnection,
    key: AttemptKey,
    request: stage::RunRequest,
    mut deliver: impl FnMut(Bytes) -> Fut,
) -> (Result<stage::Done, AttemptError>, Option<stage::Load>) {
    let Some(client) = connection.client() else {
        let refusal = Refusal::not_run(RefusalCode::Unavailable);
        return (Err(AttemptError::Refused(refusal)), None);
    };
    let mut guard = CancelGuard { key, client: Some(client.clone()) };
    match read_frames(client, key, request, &mut deliver).await {
        Ok(FrameOutcome::Done(done)) => {
            guard.client = None;
            let load = done.load;
            (Ok(done), load)
        }
        Ok(FrameOutcome::Refused(refusal, load)) => {
            guard.client = None;
            (Err(AttemptError::Refused(refusal)), load)
        }
        Ok(FrameOutcome::Invalid(fault)) => (Err(fault.into()), None),
        Ok(FrameOutcome::Deliver(_) | FrameOutcome::Ignore) => {
            (Err(AttemptError::CallerDisconnected), None)
        }
        Err(status) => (Err(AttemptError::Transport(Box::new(status))), None),
    }
}

/// Reads frames up to the one that ends the attempt.
///
/// An outcome of [`FrameOutcome::Deliver`] means that `deliver` did not accept the piece.
async fn read_frames<Fut: Future<Output = bool>>(
    mut client: StageClient<Channel>,
    key: AttemptKey,
    request: stage::RunRequest,
    deliver: &mut impl FnMut(Bytes) -> Fut,
) -> Result<FrameOutcome, Status> {
    let mut frames = client.run(request).await?.into_inner();
    let mut assembler = Assembler::new(key);
    while let Some(frame) = frames.message().await? {
        match process_frame(&mut assembler, frame) {
            FrameOutcome::Ignore => {}
            FrameOutcome::Deliver(payload) => {
                if !deliver(payload.clone()).await {
                    return Ok(FrameOutcome::Deliver(payload));
                }
            }
            outcome => return Ok(outcome),
        }
    }
    Ok(assembler.end().map_or(FrameOutcome::Ignore, FrameOutcome::Invalid))
}

/// How one frame affects its attempt.
enum FrameOutcome {
    Deliver(Bytes),
    Ignore,
    Done(stage::Done),
    Refused(Refusal, Option<stage::Load>),
    Invalid(FrameFault),
}

fn process_frame(assembler: &mut Assembler, frame: stage::Frame) -> FrameOutcome {
    let payload = match &frame.kind {
        Some(Kind::Data(data)) => data.payload.len(),
        _ => 0,
    };
    if let Err(fault) = assembler.admit(payload) {
        return FrameOutcome::Invalid(fault);
    }
    let Ok(key) = convert::attempt(frame.id.as_ref()) else { return FrameOutcome::Ignore };
    match frame.kind {
        Some(Kind::Data(data)) => match assembler.data(key, frame.sequence, &data.payload) {
            FrameAction::Deliver => FrameOutcome::Deliver(data.payload),
            FrameAction::Fail(fault) => FrameOutcome::Invalid(fault),
            FrameAction::Drop(_) | FrameAction::Complete => FrameOutcome::Ignore,
        },
        Some(Kind::Done(done)) => match assembler.close(key, (&done).into()) {
            FrameAction::Complete => FrameOutcome::Done(done),
            FrameAction::Fail(fault) => FrameOutcome::Invalid(fault),
            FrameAction::Drop(_) | FrameAction::Deliver => FrameOutcome::Ignore,
        },
        Some(Kind::Refused(refused)) => match assembler.refused(key, frame.sequence) {
            FrameAction::Complete => {
                FrameOutcome::Refused(read_refusal(assembler, &refused), refused.load)
            }
            FrameAction::Fail(fault) => FrameOutcome::Invalid(fault),
            FrameAction::Drop(_) | FrameAction::Deliver => FrameOutcome::Ignore,
        },
        None => FrameOutcome::Ignore,
    }
}

/// Reads a refusal; one after data frames cannot state that nothing ran.
fn read_refusal(assembler: &Assembler, refused: &stage::Refused) -> Refusal {
    let refusal = convert::refusal(refused);
    match refusal.execution {
        Execution::NotRun if assembler.delivered() > 0 => Refusal::unknown(refusal.code),
        _ => refusal,
    }
}

/// Returns whether a stage may be attempted again after a refusal.
///
/// The refusal must be transient and, if the stage is not idempotent, prove that nothing ran.
pub(super) fn is_retryable(refusal: Refusal, idempotent: bool) -> bool {
    let transient = match refusal.code {
        RefusalCode::Overloaded
        | RefusalCode::Cold
        | RefusalCode::Draining
        | RefusalCode::ZoneOut
        | RefusalCode::Stale
        | RefusalCode::Unconfigured
        | RefusalCode::Unavailable
        | RefusalCode::Failed
        | RefusalCode::NotHome
        | RefusalCode::Limited => true,
        RefusalCode::BadRequest
        | RefusalCode::KeyReused
        | RefusalCode::Deadline
        | RefusalCode::Cancelled
        | RefusalCode::Unvouched
        | RefusalCode::Stopped => false,
    };
    transient && (idempotent || refusal.execution == Execution::NotRun)
}
