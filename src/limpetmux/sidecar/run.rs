//! Runs one admitted attempt on the backend server.

use super::attempts::Registration;
use super::{Admitted, Gone, Output, Sidecar};
use crate::adapters::backend::{BackendError, Job};
use crate::core::verdict::{Execution, Refusal, RefusalCode};
use futures::StreamExt;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// One attempt that passed the checks of the gate.
#[derive(Debug)]
pub struct Attempt {
    /// The call on the backend server.
    pub job: Job,
    /// What the gate found out.
    pub admitted: Admitted,
    /// When the request's time is over.
    pub deadline: Instant,
    /// How long a call that was made may go on after the deadline, to learn its outcome.
    pub grace: Duration,
    /// When the attempt arrived.
    pub arrived: Instant,
}

/// What a whole answer took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// The time before the backend server was asked.
    pub queued: Duration,
    /// The time on the backend server.
    pub busy: Duration,
    /// The cost in millionths of the accounting unit.
    pub cost: u64,
}

/// Admits an attempt, runs it on the backend server and delivers the pieces of its answer.
///
/// Returning early drops the call, which cancels it on the backend server.
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
        permit = sidecar.gate.admit(&attempt.admitted, attempt.deadline) => permit?,
        _ = &mut cancel => return Err(Refusal::not_run(RefusalCode::Cancelled)),
        () = output.closed() => return Err(Refusal::not_run(RefusalCode::Cancelled)),
    };
    registration.dispatch().map_err(|_| Refusal::not_run(RefusalCode::Cancelled))?;
    let started = Instant::now();
    let result = tokio::select! {
        result = call(sidecar, attempt.job, output) => result,
        _ = &mut cancel => Err(Refusal::unknown(RefusalCode::Cancelled)),
        () = tokio::time::sleep_until(attempt.deadline + attempt.grace) => {
            Err(Refusal::unknown(RefusalCode::Deadline))
        }
    };
    drop(permit);
    result?;
    let busy = started.elapsed();
    let queued = started.saturating_duration_since(attempt.arrived);
    let service = &attempt.admitted.service;
    let cost = share_of_price(service.price, busy, service.concurrency);
    Ok(Usage { queued, busy, cost })
}

async fn call(sidecar: &Sidecar, job: Job, output: &mut Output) -> Result<(), Refusal> {
    let mut chunks = (sidecar.backend.run)(job).await.map_err(|e| refusal_of(&e))?;
    loop {
        let chunk = tokio::select! {
            chunk = chunks.next() => chunk,
            () = output.closed() => return Err(Refusal::unknown(RefusalCode::Cancelled)),
        };
        let Some(chunk) = chunk else { return Ok(()) };
        let chunk = chunk.map_err(|e| refusal_of(&e))?;
        let delivered = output.deliver(chunk).await;
        delivered.map_err(|Gone| Refusal::unknown(RefusalCode::Cancelled))?;
    }
}

fn refusal_of(error: &BackendError) -> Refusal {
    let execution = if error.is_not_run() { Execution::NotRun } else { Execution::Unknown };
    let (code, retry_after) = match error {
        BackendError::Refused { retry_after, .. } => (RefusalCode::Overloaded, *retry_after),
        BackendError::Fenced => (RefusalCode::Stale, None),
        BackendError::Unreachable(_) => (RefusalCode::Unavailable, None),
        _ => (RefusalCode::Failed, None),
    };
    Refusal { code, execution, retry_after }
}

/// Returns one slot's share of the backend server's price for the time that the call took.
fn share_of_price(price: u64, busy: Duration, concurrency: u32) -> u64 {
    let micros = busy.as_micros().saturating_mul(u128::from(price));
    let share = micros / (1_000_000 * u128::from(concurrency.max(1)));
    u64::try_from(share).unwrap_or(u64::MAX)
}
