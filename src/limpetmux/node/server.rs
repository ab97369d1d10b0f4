//! The listeners of a process.

use crate::sidecar::Sidecar;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::{Router, TcpIncoming};

/// The most streams that one peer may have open on one connection.
const MAX_STREAMS: u32 = 4_096;
/// The most bytes of a request's headers.
const MAX_HEADERS: u32 = 16 * 1024;

/// A failure of a process's server.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ServeError {
    /// The address cannot be bound.
    #[error("cannot listen on {addr}")]
    #[diagnostic(help("choose another port, or stop the process that uses this one"))]
    Bind {
        /// The address.
        addr: SocketAddr,
        /// Why the address cannot be bound.
        #[source]
        source: std::io::Error,
    },
    /// The address of a listener is not known.
    #[error("the address of a listener is not known")]
    Address(#[source] std::io::Error),
    /// The gRPC server stopped.
    #[error("the gRPC server stopped")]
    Grpc(#[source] tonic::transport::Error),
}

/// Binds an address and returns the listener with the port that it got.
///
/// # Errors
/// Returns [`ServeError::Bind`] if the address cannot be bound.
pub async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), ServeError> {
    let error = |source| ServeError::Bind { addr, source };
    let listener = TcpListener::bind(addr).await.map_err(error)?;
    let bound = local_addr(&listener)?;
    Ok((listener, bound))
}

/// Returns the address of a listener.
///
/// # Errors
/// Returns [`ServeError::Address`] if the system does not tell it.
pub fn local_addr(listener: &TcpListener) -> Result<SocketAddr, ServeError> {
    listener.local_addr().map_err(ServeError::Address)
}

/// Returns a gRPC server with the limits that all processes share.
pub fn grpc() -> Server {
    Server::builder().max_concurrent_streams(MAX_STREAMS).http2_max_header_list_size(MAX_HEADERS)
}

/// Serves gRPC on a listener until `stop` is ready, then finishes the running calls.
///
/// # Errors
/// Returns [`ServeError::Grpc`] if the server fails.
pub async fn serve(
    router: Router,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    router.serve_with_incoming_shutdown(incoming, stop).await.map_err(ServeError::Grpc)
}

/// Serves a sidecar without its control services, as fixtures do.
///
/// # Errors
/// Returns [`ServeError::Grpc`] if the server fails.
pub async fn serve_sidecar(
    sidecar: Arc<Sidecar>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let router = grpc().add_service(sidecar.service()).add_optional_service(sidecar.once_service());
    serve(router, listener, stop).await
}
