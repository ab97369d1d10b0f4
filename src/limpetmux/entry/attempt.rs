//! Runs one attempt of one stage on the sidecar of a host.

use super::link::Link;
use crate::core::frames::{Assembler, AttemptKey, FrameFault, Step};
use crate::core::verdict::{Execution, Refusal, RefusalCode};
use crate::wire::stage::frame::Kind;
use crate::wire::stage::stage_client::StageClient;
use crate::wire::{convert, stage};
use bytes::Bytes;
use tonic::Status;
use tonic::transport::Channel;

/// What a whole attempt reported at its close.
#[derive(Clone, Debug, Default)]
pub(super) struct Closed {
    pub(super) done: stage::Done,
}

/// Why an attempt gave no whole answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum AttemptError {
    /// The sidecar or its backend server refused or failed.
    #[error("the sidecar refused the attempt: {}", .0.code)]
    Refused(Refusal),
    /// The connection to the sidecar failed.
    #[error("the connection to the sidecar failed")]
    Transport(#[source] Box<Status>),
    /// The frames do not form a whole answer.
    #[error("the frames do not form a whole answer")]
    Broken(#[from] FrameFault),
    /// The caller no longer reads.
    #[error("the caller no longer reads")]
    CallerGone,
}

impl AttemptError {
    /// Returns the refusal that the attempt amounts to.
    pub(super) fn refusal(&self) -> Refusal {
        match self {
            Self::Refused(refusal) => *refusal,
            Self::Transport(status) if is_connect(status) => {
                Refusal::not_run(RefusalCode::Unavailable)
            }
            Self::Transport(_) => Refusal::unknown(RefusalCode::Unavailable),
            Self::Broken(_) => Refusal::unknown(RefusalCode::Failed),
            Self::CallerGone => Refusal::unknown(RefusalCode::Cancelled),
        }
    }
}

/// Returns whether a call failed because no connection could be made, so it was never sent.
fn is_connect(status: &Status) -> bool {
    let mut error = std::error::Error::source(status);
    while let Some(e) = error {
        if e.is::<tonic::ConnectError>() {
            return true;
        }
        error = e.source();
    }
    false
}

/// Cancels an attempt on its sidecar unless it has ended.
///
/// Dropping the stream already resets the call; the message also reaches a sidecar that has not
/// seen the call yet and leaves a tombstone there.
struct CancelGuard {
    key: AttemptKey,
    client: Option<StageClient<Channel>>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(mut client) = self.client.take() else { return };
        let id = Some(self.key.into());
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { client.cancel(stage::CancelRequest { id }).await });
        }
    }
}

/// Sends an attempt and hands each piece of its answer to `deliver` in order.
pub(super) async fn run_attempt<Fut: Future<Output = bool>>(
    link: &Link,
    key: AttemptKey,
    request: stage::RunRequest,
    mut deliver: impl FnMut(Bytes) -> Fut,
) -> Result<Closed, AttemptError> {
    let _running = link.begin();
    let missing = || AttemptError::Refused(Refusal::not_run(RefusalCode::Unavailable));
    let mut client = link.client().ok_or_else(missing)?;
    let mut guard = CancelGuard { key, client: Some(client.clone()) };
    let result = client.run(request).await;
    let mut frames = result.map_err(|s| AttemptError::Transport(Box::new(s)))?.into_inner();
    let mut assembler = Assembler::new(key);
    loop {
        let frame = frames.message().await.map_err(|s| AttemptError::Transport(Box::new(s)))?;
        let Some(frame) = frame else {
            guard.client = None;
            let fault = assembler.end();
            return Err(fault.unwrap_or(FrameFault::Truncated { got: 0 }).into());
        };
        match judge(&mut assembler, frame) {
            Verdict::Deliver(payload) => {
                if !deliver(payload).await {
                    return Err(AttemptError::CallerGone);
                }
            }
            Verdict::Ignore => {}
            Verdict::Done(done) => {
                guard.client = None;
                done.load.iter().for_each(|load| link.observe(load));
                return Ok(Closed { done });
            }
            Verdict::Refused(refused) => {
                guard.client = None;
                refused.load.iter().for_each(|load| link.observe(load));
                return Err(AttemptError::Refused(convert::refusal(&refused)));
            }
            Verdict::Broken(fault) => return Err(fault.into()),
        }
    }
}

enum Verdict {
    Deliver(Bytes),
    Ignore,
    Done(stage::Done),
    Refused(stage::Refused),
    Broken(FrameFault),
}

fn judge(assembler: &mut Assembler, frame: stage::Frame) -> Verdict {
    let Ok(key) = convert::attempt(frame.id.as_ref()) else { return Verdict::Ignore };
    match frame.kind {
        Some(Kind::Data(data)) => match assembler.data(key, frame.sequence, &data.payload) {
            Step::Deliver => Verdict::Deliver(data.payload),
            Step::Fail(fault) => Verdict::Broken(fault),
            Step::Drop(_) | Step::Complete => Verdict::Ignore,
        },
        Some(Kind::Done(done)) => match assembler.close(key, (&done).into()) {
            Step::Complete => Verdict::Done(done),
            Step::Fail(fault) => Verdict::Broken(fault),
            Step::Drop(_) | Step::Deliver => Verdict::Ignore,
        },
        Some(Kind::Refused(refused)) => match assembler.refused(key) {
            None => Verdict::Refused(refused),
            Some(_) => Verdict::Ignore,
        },
        None => Verdict::Ignore,
    }
}

/// Returns whether a refusal allows another attempt at an idempotent stage, or at any stage.
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
        | RefusalCode::Unvouched => false,
    };
    transient && (idempotent || refusal.execution == Execution::NotRun)
}
