//! Creates all connections between the system's own processes.
//!
//! [`Channels`] creates the outgoing connections and the servers of one process, either all in
//! plain text or all with mutual TLS. [`Incoming`] counts connections that end before their
//! handshake is complete; [`ConnectionBounds`] bounds them in number and in idle time.
//! `docs/design/security.md` describes the alternatives.

use super::activity::CountedCalls;
use super::admission::{Admission, ConnectionBounds};
use super::handshake::Incoming;
use super::tls::{TlsCredentials, TlsError};
use crate::util::metrics::Metrics;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_stream::StreamExt;
use tonic::service::Routes;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{ClientTlsConfig, Endpoint, Error, Server, ServerTlsConfig};

/// The maximum number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 4_096;
/// The maximum size of a request's headers in bytes.
const MAX_HEADER_BYTES: u32 = 16 * 1024;
/// The timeout of an incoming connection's handshake.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// The time between keep-alive pings on an incoming connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// The time after which an unanswered ping closes an incoming connection.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(20);
/// The most time for a call up to the head of its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(60 * 60);

/// The connection settings of one process in both directions; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Channels {
    tls: Option<Arc<Tls>>,
    admission: Arc<Admission>,
}

#[derive(Debug)]
struct Tls {
    client: ClientTlsConfig,
    server: ServerTlsConfig,
}

impl Channels {
    /// Connects in plain text without authentication.
    pub fn plain() -> Self {
        Self::default()
    }

    /// Connects with mutual TLS; both sides present a certificate that the authority has signed.
    ///
    /// # Errors
    /// Returns a [`TlsError`] that names the file that cannot be used.
    pub fn tls(credentials: &TlsCredentials) -> Result<Self, TlsError> {
        credentials.check()?;
        let client = ClientTlsConfig::new()
            .ca_certificate(credentials.authority())
            .identity(credentials.identity())
            .domain_name(credentials.deployment.as_str());
        let server = ServerTlsConfig::new()
            .identity(credentials.identity())
            .client_ca_root(credentials.authority())
            .timeout(HANDSHAKE_TIMEOUT);
        let tls = Some(Arc::new(Tls { client, server }));
        Ok(Self { tls, admission: Arc::default() })
    }

    /// Replaces the bounds on incoming connections, which otherwise follow from the limit of the
    /// operating system, and counts what exceeds them.
    #[must_use]
    pub fn bounded(self, bounds: ConnectionBounds, metrics: Metrics) -> Self {
        Self { admission: Arc::new(Admission::new(bounds, metrics)), ..self }
    }

    /// Returns the number of incoming connections that are open.
    pub fn open_connections(&self) -> usize {
        self.admission.open()
    }

    /// Returns whether connections use mutual TLS.
    pub fn is_tls(&self) -> bool {
        self.tls.is_some()
    }

    /// Returns the number of incoming connections that ended before their handshake was complete.
    pub fn failed_handshakes(&self) -> u64 {
        self.admission.failures.count()
    }

    /// Returns the endpoint of another process; `timeout` covers TCP connection and handshake.
    ///
    /// # Errors
    /// Returns an error if the address or the certificates cannot be used.
    pub fn endpoint(&self, addr: SocketAddr, timeout: Duration) -> Result<Endpoint, Error> {
        let scheme = if self.is_tls() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{addr}"))?;
        let endpoint = endpoint.connect_timeout(timeout).tcp_nodelay(true);
        match &self.tls {
            Some(tls) => endpoint.tls_config(tls.client.clone()),
            None => Ok(endpoint),
        }
    }

    /// Serves gRPC on a listener until `stop` completes, then waits for the running calls.
    ///
    /// # Errors
    /// Returns an error if the certificates cannot be used or the listener fails.
    pub async fn serve(
        &self,
        routes: Routes,
        listener: TcpListener,
        stop: impl Future<Output = ()>,
    ) -> Result<(), Error> {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let admission = Arc::clone(&self.admission);
        let incoming = incoming.filter_map(move |accepted| {
            accepted.map(|stream| Incoming::admit(stream, &admission)).transpose()
        });
        let metrics = self.admission.metrics.clone();
        let service = CountedCalls { routes: routes.prepare(), metrics };
        self.server()?.serve_with_incoming_shutdown(service, incoming, stop).await
    }

    fn server(&self) -> Result<Server, Error> {
        let server = Server::builder()
            .max_concurrent_streams(MAX_STREAMS)
            .http2_max_header_list_size(MAX_HEADER_BYTES)
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
            .timeout(CALL_TIMEOUT);
        match &self.tls {
            Some(tls) => server.tls_config(tls.server.clone()),
            None => Ok(server),
        }
    }
}
