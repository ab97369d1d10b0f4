//! Runs one admitted attempt on the backend server.

use super::attempts::Registration;
use super::{CheckedAttempt, Disconnected, Output, Permit, Sidecar};
use crate::adapters::backend::{BackendError, Job};
use crate::core::admission::Outcome;
use crate::core::read_limits::{Exceeded, Peer};
use crate::core::refusal::{Execution, Refusal, RefusalCode};
use crate::util::metrics::Metric;
use crate::util::read_stop;
use futures::StreamExt;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// One attempt that passed the checks of the gate.
#[derive(Debug)]
pub struct Attempt {
    /// The call on the backend server.
    pub job: Job,
    /// The result of the gate's checks.
    pub checked: CheckedAttempt,
    /// The deadline of the request.
    pub deadline: Instant,
    /// How long a call may continue after the deadline, so that its outcome becomes known.
    pub grace: Duration,
    /// When the attempt arrived.
    pub arrived: Instant,
}

/// The time and cost of a complete answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The time before the call was sent to the backend server.
    pub queued: Duration,
    /// The time that the call ran on the backend server.
    pub busy: Duration,
    /// The cost in millionths of the accounting unit.
    pub cost: u64,
}

/// Admits an attempt, runs it on the backend server and delivers the chunks of its answer.
///
/// An early return drops the call, which cancels it on the backend server.
///
/// # Errors
/// Returns a refusal with [`Execution::NotRun`] only if the backend server did not run the call.
pub async fn run_attempt(
    sidecar: &Sidecar,
    attempt: Attempt,
    registration: &Registration,
    mut cancel: oneshot::Receiver<()>,
    output: &mut Output,
) -> Result<Usage, Refusal> {
    let permit = tokio::select! {
        permit = sidecar.gate.admit(&attempt.checked, attempt.deadline) => permit?,
        _ = &mut cancel => return Err(Refusal::not_run(RefusalCode::Cancelled)),
        () = output.closed() => return Err(Refusal::not_run(RefusalCode::Cancelled)),
    };
    registration.dispatch().map_err(|_| Refusal::not_run(RefusalCode::Cancelled))?;
    let (started, key) = (Instant::now(), attempt.job.key);
    let end = attempt.deadline + attempt.grace;
    let result = tokio::select! {
        result = call(sidecar, attempt.job, &permit, output) => result,
        _ = &mut cancel => Err(Refusal::unknown(RefusalCode::Cancelled)),
        () = tokio::time::sleep_until(end) => {
            let allowed = end.saturating_duration_since(started);
            let exceeded = Exceeded::time(Peer::BackendServer, allowed);
            read_stop::record(&sidecar.metrics, exceeded, key);
            Err(Refusal::unknown(RefusalCode::Deadline))
        }
    };
    let outcome = outcome_of(&result);
    let cost = permit.end(outcome);
    let busy = started.elapsed();
    let queued = started.saturating_duration_since(attempt.arrived);
    let tags = [("outcome", outcome_name(outcome))];
    sidecar.metrics.count(Metric::SidecarCalls, 1, &tags);
    sidecar.metrics.time(Metric::SidecarQueueTime, queued, &[]);
    result?;
    Ok(Usage { queued, busy, cost })
}

fn outcome_of(result: &Result<(), Refusal>) -> Outcome {
    match result {
        Ok(()) => Outcome::Done,
        Err(refusal) => match refusal.code {
            RefusalCode::Overloaded => Outcome::Saturated,
            RefusalCode::Cancelled | RefusalCode::Deadline | RefusalCode::Stale => {
                Outcome::Cancelled
            }
            _ => Outcome::Failed,
        },
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Failed => "failed",
        Outcome::Saturated => "saturated",
        Outcome::Cancelled => "cancelled",
    }
}

async fn call(
    sidecar: &Sidecar,
    job: Job,
    permit: &Permit,
    output: &mut Output,
) -> Result<(), Refusal> {
    let key = job.key;
    let refusal_of = |error: BackendError| {
        if let BackendError::Exceeded(exceeded) = &error {
            read_stop::record(&sidecar.metrics, *exceeded, key);
        }
        refusal_of(&error)
    };
    let mut chunks = (sidecar.backend.run)(job).await.map_err(refusal_of)?;
    let mut is_first = true;
    loop {
        let chunk = tokio::select! {
            chunk = chunks.next() => chunk,
            () = output.closed() => return Err(Refusal::unknown(RefusalCode::Cancelled)),
        };
        let Some(chunk) = chunk else { return Ok(()) };
        // An answer that began proves that the call ran, whatever ends it.
        let chunk =
            chunk.map_err(|e| Refusal { execution: Execution::Unknown, ..refusal_of(e) })?;
        if std::mem::take(&mut is_first) {
            permit.first_output();
        }
        let delivered = output.deliver(chunk).await;
        delivered.map_err(|Disconnected| Refusal::unknown(RefusalCode::Cancelled))?;
    }
}

fn refusal_of(error: &BackendError) -> Refusal {
    let execution = if error.is_not_run() { Execution::NotRun } else { Execution::Unknown };
    let (code, retry_after) = match error {
        BackendError::Refused { retry_after, .. }
        | BackendError::Overloaded { retry_after, .. } => (RefusalCode::Overloaded, *retry_after),
        BackendError::Fenced => (RefusalCode::Stale, None),
        BackendError::Unreachable(_) => (RefusalCode::Unavailable, None),
        _ => (RefusalCode::Failed, None),
    };
    Refusal { code, execution, retry_after }
}
