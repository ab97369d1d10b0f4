//! The listeners and gRPC services of a process.

use crate::adapters::channel::Channels;
use crate::sidecar::Sidecar;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tonic::service::Routes;

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
    /// The address of a listener cannot be read.
    #[error("cannot read the address of a listener")]
    Address(#[source] std::io::Error),
    /// The gRPC server stopped.
    #[error("the gRPC server stopped")]
    Grpc(#[source] tonic::transport::Error),
}

/// Binds an address and returns the listener and the bound address.
///
/// # Errors
/// Returns [`ServeError`] if the address cannot be bound or read.
pub async fn bind(addr: SocketAddr) -> Result<(TcpListener, SocketAddr), ServeError> {
    let error = |source| ServeError::Bind { addr, source };
    let listener = TcpListener::bind(addr).await.map_err(error)?;
    let bound = local_addr(&listener)?;
    Ok((listener, bound))
}

/// Returns the bound address of a listener.
///
/// # Errors
/// Returns [`ServeError::Address`] if the operating system does not report it.
pub fn local_addr(listener: &TcpListener) -> Result<SocketAddr, ServeError> {
    listener.local_addr().map_err(ServeError::Address)
}

/// Returns the gRPC services of a sidecar.
pub fn sidecar_routes(sidecar: &Arc<Sidecar>) -> Routes {
    let routes = Routes::new(sidecar.service());
    match sidecar.once_service() {
        Some(once) => routes.add_service(once),
        None => routes,
    }
}

/// Serves a sidecar in plain text and without control services, for test fixtures.
///
/// # Errors
/// Returns [`ServeError::Grpc`] if the server fails.
pub async fn serve_sidecar(
    sidecar: Arc<Sidecar>,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let routes = sidecar_routes(&sidecar);
    Channels::plain().serve(routes, listener, stop).await.map_err(ServeError::Grpc)
}
