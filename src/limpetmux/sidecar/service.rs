//! The gRPC service of the sidecar.

use super::once::run_once;
use super::output::FrameResult;
use super::{
    Attempt, AttemptInfo, BeginError, FrameWriter, Output, RunningGuard, Sidecar, Usage,
    run_attempt,
};
use crate::adapters::backend::Job;
use crate::core::frames::AttemptKey;
use crate::core::refusal::{Refusal, RefusalCode};
use crate::wire::{convert, stage};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status};

/// The maximum number of frames of one attempt that are buffered for the connection.
const MAX_QUEUED_FRAMES: usize = 32;

/// Handles the calls of entries.
pub struct StageService {
    sidecar: Arc<Sidecar>,
}

impl StageService {
    /// Creates the service of a sidecar.
    pub fn new(sidecar: Arc<Sidecar>) -> Self {
        Self { sidecar }
    }
}

#[tonic::async_trait]
impl stage::stage_server::Stage for StageService {
    type RunStream = ReceiverStream<FrameResult>;

    async fn run(
        &self,
        request: Request<stage::RunRequest>,
    ) -> Result<Response<Self::RunStream>, Status> {
        let arrived = Instant::now();
        let request = request.into_inner();
        let key = convert::attempt(request.id.as_ref())
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
        let sidecar = Arc::clone(&self.sidecar);
        let writer = FrameWriter::new(key, sender);
        let running = RunningGuard::begin(&sidecar);
        tokio::spawn(async move {
            answer(&sidecar, key, request, arrived, writer).await;
            drop(running);
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn cancel(
        &self,
        request: Request<stage::CancelRequest>,
    ) -> Result<Response<stage::CancelReply>, Status> {
        let request = request.into_inner();
        let key = convert::attempt(request.id.as_ref())
            .map_err(|e| Status::invalid_argument(e.to_string()))?;
        let execution = self.sidecar.attempts.cancel(key).to_string();
        Ok(Response::new(stage::CancelReply { execution }))
    }

    async fn probe(
        &self,
        _request: Request<stage::ProbeRequest>,
    ) -> Result<Response<stage::Load>, Status> {
        Ok(Response::new(self.sidecar.load()))
    }
}

/// Runs an attempt and sends all its frames, including the final one.
async fn answer(
    sidecar: &Sidecar,
    key: AttemptKey,
    request: stage::RunRequest,
    arrived: Instant,
    writer: FrameWriter,
) {
    let mut output = Output::Frames(writer);
    let result = run(sidecar, key, request, arrived, &mut output).await;
    let Output::Frames(mut writer) = output else { return };
    // An entry that has disconnected needs no final frame.
    let _ = match result {
        Ok(usage) => writer.done(done_frame(usage, sidecar.load())).await,
        Err(refusal) => writer.refused(refusal, sidecar.load()).await,
    };
}

async fn run(
    sidecar: &Sidecar,
    key: AttemptKey,
    request: stage::RunRequest,
    arrived: Instant,
    output: &mut Output,
) -> Result<Usage, Refusal> {
    let info = AttemptInfo {
        workspace: &request.workspace,
        pipeline: &request.pipeline,
        stage: u32::from(key.stage.0),
        priority: request.priority,
        max_tokens: request.max_tokens,
    };
    let refused = |e: BeginError| Refusal {
        execution: e.execution(),
        ..Refusal::unknown(RefusalCode::Cancelled)
    };
    let (registration, cancel) = sidecar.attempts.begin(key).map_err(refused)?;
    let checked = sidecar.gate.check(info)?;
    let deadline = arrived + Duration::from_micros(request.remaining_us);
    let job = Job {
        key,
        kind: checked.spec().kind,
        model: checked.spec().model.clone(),
        input: request.input.clone(),
        prefix: request.prefix.clone(),
        max_tokens: request.max_tokens,
        priority: request.priority,
        fence: None,
    };
    let is_idempotent = checked.spec().idempotent;
    let attempt = Attempt { job, checked, deadline, grace: Duration::ZERO, arrived };
    if is_idempotent {
        return run_attempt(sidecar, attempt, &registration, cancel, output).await;
    }
    let gate = sidecar.once().ok_or(Refusal::not_run(RefusalCode::Unavailable))?;
    let idempotency = request.idempotency.as_ref();
    let idempotency = idempotency.ok_or(Refusal::not_run(RefusalCode::BadRequest))?;
    run_once(sidecar, gate, (&request, idempotency), attempt, &registration, output).await
}

fn done_frame(usage: Usage, load: stage::Load) -> stage::Done {
    stage::Done {
        count: 0,
        checksum: 0,
        load: Some(load),
        queued_us: convert::micros(usage.queued),
        busy_us: convert::micros(usage.busy),
        cost: usage.cost,
    }
}
