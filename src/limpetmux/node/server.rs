//! The gRPC server of a sidecar.

use crate::sidecar::Sidecar;
use std::future::Future;
use std::sync::Arc;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

/// The most streams that one entry may have open on one connection.
const MAX_STREAMS: u32 = 4_096;

/// A failure of a process's server.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServeError {
    /// The address cannot be bound.
    #[error("cannot listen on {addr}")]
    #[diagnostic(help("choose another port, or stop the process that uses this one"))]
    Bind {
        /// The address.
        addr: std::net::SocketAddr,
        /// Why the address cannot be bound.
        #[source]
        source: std::io::Error,
    },
    /// The gRPC server stopped.
    #[error("the gRPC server stopped")]
    Grpc(#[source] tonic::transport::Error),
}

/// Serves entries on a listener until `stop` is ready, then finishes the running attempts.
///
/// # Errors
/// Returns [`ServeError::Grpc`] if the server fails.
pub async fn serve_sidecar(
    sidecar: Arc<Sidecar>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .max_concurrent_streams(MAX_STREAMS)
        .add_service(sidecar.service())
        .add_optional_service(sidecar.once_service())
        .serve_with_incoming_shutdown(incoming, stop)
        .await
        .map_err(ServeError::Grpc)
}
