//! The interface through which operators reach one process.
//!
//! [`AdminService`] answers `Drain` through the [`ShutdownHandle`] and `Status` through a closure
//! of the role ([`StatusFn`]); [`report`] fills in the parts that both roles share. It is served on
//! the node's own gRPC listener, which is bound to loopback unless settings say otherwise.

pub mod report;

use crate::core::config::FORMAT;
use crate::shutdown::ShutdownHandle;
use crate::wire::admin::admin_server::{Admin, AdminServer};
use crate::wire::admin::{DrainReply, DrainRequest, StatusReply, StatusRequest};
use std::sync::Arc;
use std::time::Duration;
use tonic::{Request, Response, Status};

/// Describes the process at this moment.
pub type StatusFn = dyn Fn() -> StatusReply + Send + Sync;

/// Answers operators' commands.
pub struct AdminService {
    shutdown: ShutdownHandle,
    status: Arc<StatusFn>,
}

impl AdminService {
    /// Returns the gRPC service of a process.
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
