//! The connections between the system's own processes; nothing else makes one.
//!
//! [`Channels`] makes the outgoing connections and the servers of one process, either all in plain
//! text or all with mutual TLS. [`Watched`] counts connections that end before their handshake. The
//! ways weighed are in `docs/design/security.md`.

use super::tls::{TlsFault, TlsParts};
use super::watched::{Refusals, Watched};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_stream::StreamExt;
use tonic::service::Routes;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{ClientTlsConfig, Endpoint, Error, Server, ServerTlsConfig};

/// The most streams that one peer may have open on one connection.
const MAX_STREAMS: u32 = 4_096;
/// The most bytes of a request's headers.
const MAX_HEADERS: u32 = 16 * 1024;
/// The time allowed for the handshake of an incoming connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// How one process connects to the others and is connected to; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Channels {
    tls: Option<Arc<Tls>>,
    refusals: Arc<Refusals>,
}

#[derive(Debug)]
struct Tls {
    client: ClientTlsConfig,
    server: ServerTlsConfig,
}

impl Channels {
    /// Connects in plain text; nobody proves who they are.
    pub fn plain() -> Self {
        Self::default()
    }

    /// Connects with mutual TLS: both sides show a certificate of the authority.
    ///
    /// # Errors
    /// Returns [`TlsFault`] naming the part that cannot be used.
    pub fn tls(parts: &TlsParts) -> Result<Self, TlsFault> {
        parts.check()?;
        let client = ClientTlsConfig::new()
            .ca_certificate(parts.authority())
            .identity(parts.identity())
            .domain_name(parts.deployment.as_str());
        let server = ServerTlsConfig::new()
            .identity(parts.identity())
            .client_ca_root(parts.authority())
            .timeout(HANDSHAKE_TIMEOUT);
        let tls = Some(Arc::new(Tls { client, server }));
        Ok(Self { tls, refusals: Arc::default() })
    }

    /// Returns whether connections prove who the other side is.
    pub fn is_tls(&self) -> bool {
        self.tls.is_some()
    }

    /// Returns the number of incoming connections that ended before their handshake.
    pub fn refused(&self) -> u64 {
        self.refusals.count()
    }

    /// Returns the endpoint of another process; `timeout` bounds TCP connection and handshake.
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

    /// Serves gRPC on a listener until `stop` is ready, then finishes the running calls.
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
        let refusals = Arc::clone(&self.refusals);
        let incoming = incoming.map(move |s| s.map(|stream| Watched::new(stream, &refusals)));
        self.server()?.add_routes(routes).serve_with_incoming_shutdown(incoming, stop).await
    }

    fn server(&self) -> Result<Server, Error> {
        let server = Server::builder()
            .max_concurrent_streams(MAX_STREAMS)
            .http2_max_header_list_size(MAX_HEADERS);
        match &self.tls {
            Some(tls) => server.tls_config(tls.server.clone()),
            None => Ok(server),
        }
    }
}
