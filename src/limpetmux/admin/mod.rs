//! The gRPC interface for operators of one process.
//!
//! [`AdminService`] forwards `Drain` to the [`ShutdownHandle`] and answers `Status` with the reply
//! of the role's [`StatusFn`], whose rows [`report`] builds. It is served on the node's gRPC
//! listener, at the address that the settings name.

pub mod report;

use crate::core::config::FORMAT;
use crate::shutdown::ShutdownHandle;
use crate::wire::admin::admin_server::{Admin, AdminServer};
use crate::wire::admin::{DrainReply, DrainRequest, StatusReply, StatusRequest};
use std::sync::Arc;
use std::time::Duration;
use tonic::{Request, Response, Status};

/// Returns the current status of the process.
pub type StatusFn = dyn Fn() -> StatusReply + Send + Sync;

/// The gRPC service that handles operators' commands.
pub struct AdminService {
    shutdown: ShutdownHandle,
    status: Arc<StatusFn>,
}

impl AdminService {
    /// Returns the gRPC server of a process.
    pub fn server(shutdown: ShutdownHandle, status: Arc<StatusFn>) -> AdminServer<Self> {
        AdminServer::new(Self { shutdown, status })
    }
}

#[tonic::async_trait]
impl Admin for AdminService {
    async fn drain(&self, request: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        let ms = request.into_inner().deadline_ms;
        let deadline = (ms > 0).then(|| Duration::from_millis(ms));
        let report = self.shutdown.drain(deadline).await;
        let report = report.map_err(|e| Status::unavailable(e.to_string()))?;
        Ok(Response::new(DrainReply {
            took_us: report.took_us,
            unfinished: report.unfinished,
            flushed: report.flushed,
        }))
    }

    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        let mut reply = (self.status)();
        reply.phase = self.shutdown.phase().to_string();
        reply.format = FORMAT;
        Ok(Response::new(reply))
    }
}
