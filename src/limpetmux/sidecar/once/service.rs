//! The gRPC service of the gate.

use super::{OnceGate, ScopedKey, convert};
use crate::adapters::log::{LogClient, Stream};
use crate::core::once::{HostId, Incarnation, Record};
use crate::core::revision::Offset;
use crate::wire::once;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tonic::{Request, Response, Status};

/// The maximum time that a look-up waits for a run to end.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Handles the calls of other hosts and of entries.
pub struct OnceService {
    gate: Arc<OnceGate>,
    log: LogClient,
}

impl OnceService {
    /// Creates the service of a gate.
    pub fn new(gate: Arc<OnceGate>, log: LogClient) -> Self {
        Self { gate, log }
    }
}

#[tonic::async_trait]
impl once::once_server::Once for OnceService {
    async fn promise(
        &self,
        request: Request<once::PromiseRequest>,
    ) -> Result<Response<once::PromiseReply>, Status> {
        let request = request.into_inner();
        let home = request.home.ok_or_else(|| Status::invalid_argument("the home is missing"))?;
        let (id, process) = (HostId(home.host), Incarnation(home.incarnation));
        let now = self.gate.time().now;
        let promise = self.gate.lock().node.promise(id, process, Offset(request.read), now);
        Ok(Response::new(once::PromiseReply { granted: promise.is_ok() }))
    }

    async fn forward_claims(
        &self,
        request: Request<once::ForwardClaimsRequest>,
    ) -> Result<Response<once::ForwardClaimsReply>, Status> {
        let record = request.into_inner().record;
        let decoded = Record::decode(&record);
        if !matches!(decoded, Ok(Record::Claims { .. } | Record::Declared { .. })) {
            return Err(Status::invalid_argument("only claims and declarations are forwarded"));
        }
        let appended = (self.log.append)(Stream::Claims, record).await.is_ok();
        Ok(Response::new(once::ForwardClaimsReply { appended }))
    }

    async fn hand_over(
        &self,
        request: Request<once::HandOverRequest>,
    ) -> Result<Response<once::HandOverReply>, Status> {
        let request = request.into_inner();
        let returns = request.returns;
        let table = convert::handover(request)
            .ok_or_else(|| Status::invalid_argument("the table is malformed"))?;
        // A separate task, so that a disconnected caller does not leave a takeover half done.
        let (gate, log) = (Arc::clone(&self.gate), self.log.clone());
        let received = tokio::spawn(async move { gate.receive(table, returns, &log).await });
        let accepted = received.await.map_err(|e| Status::internal(e.to_string()))?;
        Ok(Response::new(once::HandOverReply { accepted }))
    }

    async fn look_up(
        &self,
        request: Request<once::LookUpRequest>,
    ) -> Result<Response<once::LookUpReply>, Status> {
        let request = request.into_inner();
        let scoped_key = ScopedKey {
            workspace: &request.workspace,
            pipeline: &request.pipeline,
            stage: u8::try_from(request.stage).unwrap_or(u8::MAX),
            key: &request.key,
        };
        let wait = Duration::from_micros(request.wait_us).min(MAX_WAIT);
        let status = self.gate.look_up(scoped_key, Instant::now() + wait).await;
        let body_hash = self.gate.lock().node.body_hash(scoped_key.id());
        Ok(Response::new(once::LookUpReply { body_hash, ..convert::look_up_reply(status) }))
    }
}
