//! Calls to the admin interface of a process.

use crate::adapters::channel::Channels;
use crate::wire::admin::admin_client::AdminClient;
use std::net::SocketAddr;
use std::time::Duration;
use tonic::transport::Channel;

/// The time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for the answer to a call; a drain is answered when it has ended.
const CALL_TIMEOUT: Duration = Duration::from_secs(60 * 60);
/// The time between keep-alive pings while a call runs.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The time after which an unanswered ping ends the call.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// A failed call to the admin interface.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum AdminError {
    /// The connection to the address failed.
    #[error("cannot connect to {addr}")]
    #[diagnostic(help(
        "give the gRPC address of a running entry or sidecar, and --tls if it requires certificates"
    ))]
    Connect {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: tonic::transport::Error,
    },
    /// The process did not answer.
    #[error("{addr} did not answer")]
    NoAnswer {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        source: Box<tonic::Status>,
    },
}

/// Connects to the admin interface of a process.
///
/// # Errors
/// Returns [`AdminError::Connect`] if no connection can be made.
pub async fn connect(
    channels: &Channels,
    addr: SocketAddr,
) -> Result<AdminClient<Channel>, AdminError> {
    connect_channel(channels, addr).await.map(AdminClient::new)
}

/// Connects to a process.
///
/// # Errors
/// Returns [`AdminError::Connect`] if no connection can be made.
pub(super) async fn connect_channel(
    channels: &Channels,
    addr: SocketAddr,
) -> Result<Channel, AdminError> {
    let error = |source| AdminError::Connect { addr, source };
    let endpoint = channels.endpoint(addr, CONNECT_TIMEOUT).map_err(error)?;
    let endpoint = endpoint.timeout(CALL_TIMEOUT).keep_alive_timeout(KEEPALIVE_TIMEOUT);
    let endpoint = endpoint.http2_keep_alive_interval(KEEPALIVE_INTERVAL);
    endpoint.connect().await.map_err(error)
}

/// Converts the status of a failed call into an [`AdminError::NoAnswer`].
pub(super) fn no_answer(addr: SocketAddr) -> impl FnOnce(tonic::Status) -> AdminError {
    move |source| AdminError::NoAnswer { addr, source: Box::new(source) }
}
