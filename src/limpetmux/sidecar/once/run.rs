//! Runs one attempt of a stage that may run at most once.

use super::{Decision, OnceGate, ScopedKey};
use crate::adapters::backend::Chunk;
use crate::core::once::{Answer, KeyId, Outcome};
use crate::core::refusal::{Execution, Refusal, RefusalCode};
use crate::sidecar::attempts::Registration;
use crate::sidecar::{Attempt, Disconnected, Output, Sidecar, Usage, run_attempt};
use crate::wire::stage;
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a run may continue after its request's deadline, so that its outcome becomes known.
const RUN_GRACE: Duration = Duration::from_secs(30);

/// Reports the outcome of a run to the gate; if dropped without one, the outcome is unknown.
struct OutcomeReport<'a> {
    gate: &'a OnceGate,
    key: Option<KeyId>,
}

impl OutcomeReport<'_> {
    fn finish(mut self, outcome: Outcome) {
        if let Some(key) = self.key.take() {
            self.gate.finish(key, outcome);
        }
    }
}

impl Drop for OutcomeReport<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.gate.finish(key, Outcome::Unknown);
        }
    }
}

/// Asks the gate for a decision, runs the attempt or uses the stored answer, and delivers it.
///
/// A run continues if its entry disconnects, so that the caller's retry finds the answer.
///
/// # Errors
/// Returns the refusal of the gate or of the run.
pub async fn run_once(
    sidecar: &Sidecar,
    gate: &OnceGate,
    request: (&stage::RunRequest, &stage::Idempotency),
    mut attempt: Attempt,
    registration: &Registration,
    output: &mut Output,
) -> Result<Usage, Refusal> {
    let (request, idempotency) = request;
    let scoped_key = ScopedKey {
        workspace: &request.workspace,
        pipeline: &request.pipeline,
        stage: attempt.job.key.stage.0,
        key: &idempotency.key,
    };
    match gate.decide(scoped_key, idempotency.body_hash, attempt.deadline).await {
        Decision::Refuse(refusal) => Err(refusal),
        Decision::Replay(answer) => deliver(answer, Duration::ZERO, output).await,
        Decision::Run(fence) => {
            attempt.job.fence = Some((fence.0, attempt.checked.spec().fencing));
            let report = OutcomeReport { gate, key: Some(scoped_key.id()) };
            let arrived = attempt.arrived;
            let (answer, busy) = run(sidecar, attempt, registration, report).await?;
            let usage = deliver(answer, busy, output).await?;
            Ok(Usage { queued: arrived.elapsed().saturating_sub(busy), ..usage })
        }
    }
}

async fn run(
    sidecar: &Sidecar,
    attempt: Attempt,
    registration: &Registration,
    report: OutcomeReport<'_>,
) -> Result<(Answer, Duration), Refusal> {
    let mut buffer = Output::Buffered(Vec::new());
    // The sender outlives the run, so that a cancellation does not stop a dispatched call.
    let (_sender, cancel) = oneshot::channel();
    let attempt = Attempt { grace: RUN_GRACE, ..attempt };
    let result = run_attempt(sidecar, attempt, registration, cancel, &mut buffer).await;
    match (result, buffer) {
        (Ok(usage), Output::Buffered(chunks)) => {
            let answer = Answer { payload: chunks.concat().into(), cost: usage.cost };
            report.finish(Outcome::Answered(answer.clone()));
            Ok((answer, usage.busy))
        }
        (Err(refusal), _) => {
            let not_run = refusal.execution == Execution::NotRun;
            report.finish(if not_run { Outcome::NotRun } else { Outcome::Unknown });
            Err(refusal)
        }
        (Ok(_), Output::Frames(_)) => Err(Refusal::unknown(RefusalCode::Failed)),
    }
}

async fn deliver(answer: Answer, busy: Duration, output: &mut Output) -> Result<Usage, Refusal> {
    let payload = bytes::Bytes::copy_from_slice(&answer.payload);
    let delivered = output.deliver(Chunk { payload, tokens: 0 }).await;
    delivered.map_err(|Disconnected| Refusal::unknown(RefusalCode::Cancelled))?;
    Ok(Usage { queued: Duration::ZERO, busy, cost: answer.cost })
}
