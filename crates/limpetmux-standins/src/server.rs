//! The HTTP server of every stand-in and the faults that all of them can inject.

use crate::connection::{Connections, CutAcceptor};
use poem::endpoint::EndpointExt;
use poem::http::{Method, StatusCode};
use poem::listener::TcpAcceptor;
use poem::{Endpoint, IntoEndpoint, Request, Response};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A stand-in cannot bind its port.
#[derive(Debug, thiserror::Error)]
#[error("cannot start a stand-in on port {port}")]
pub struct StartError {
    port: u16,
    #[source]
    source: std::io::Error,
}

/// Switches for the faults that every stand-in can inject.
#[derive(Debug, Default)]
pub struct Faults {
    outage: AtomicBool,
    delay_us: AtomicU64,
    failures: AtomicU32,
    /// The number of responses still to drop.
    response_drops: AtomicU32,
    calls: AtomicU64,
}

impl Faults {
    /// Answers every call with 503 while on.
    pub fn set_outage(&self, on: bool) {
        self.outage.store(on, Ordering::SeqCst);
    }

    /// Delays every call by `delay` before it takes effect.
    pub fn set_slow(&self, delay: Duration) {
        let us = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.delay_us.store(us, Ordering::SeqCst);
    }

    /// Answers the next `calls` calls with 500, without effect.
    pub fn fail_next(&self, calls: u32) {
        self.failures.store(calls, Ordering::SeqCst);
    }

    /// Cuts the connection instead of answering the next `calls` `POST`s, after they take effect.
    pub fn drop_responses(&self, calls: u32) {
        self.response_drops.store(calls, Ordering::SeqCst);
    }

    /// Returns the number of calls that have arrived.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::SeqCst)
    }

    fn delay(&self) -> Duration {
        Duration::from_micros(self.delay_us.load(Ordering::SeqCst))
    }
}

/// Decrements a counter of pending faults; returns whether there was one.
pub(crate) fn take_fault(counter: &AtomicU32) -> bool {
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok()
}

/// A stand-in's running server; dropping it closes its connections, as a process crash does.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    shutdown: Option<oneshot::Sender<()>>,
    task: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves a route on a loopback port; port 0 selects a free one.
    pub(crate) async fn start<E>(
        port: u16,
        route: E,
        faults: Arc<Faults>,
    ) -> Result<Self, StartError>
    where
        E: IntoEndpoint,
        E::Endpoint: 'static,
    {
        let error = |source| StartError { port, source };
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await.map_err(error)?;
        let addr = listener.local_addr().map_err(error)?;
        let inner = TcpAcceptor::from_tokio(listener).map_err(error)?;
        let connections = Connections::default();
        let acceptor = CutAcceptor { inner, connections: connections.clone() };
        let endpoint = route.into_endpoint().around(move |ep, req| {
            let (faults, connections) = (Arc::clone(&faults), connections.clone());
            async move { answer(ep, req, &faults, &connections).await }
        });
        let (shutdown, signal) = oneshot::channel::<()>();
        let task = tokio::spawn(async move {
            let ended = async move { drop(signal.await) };
            let server = poem::Server::new_with_acceptor(acceptor);
            drop(server.run_with_graceful_shutdown(endpoint, ended, Some(Duration::ZERO)).await);
        });
        Ok(Self { addr, shutdown: Some(shutdown), task: Some(task) })
    }

    /// Returns the address that the stand-in listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Closes the listener and all connections at once and waits until they are closed.
    pub async fn stop(&mut self) {
        drop(self.shutdown.take());
        if let Some(task) = self.task.take() {
            drop(task.await);
        }
    }
}

async fn answer<E: Endpoint>(
    ep: Arc<E>,
    mut req: Request,
    faults: &Faults,
    connections: &Connections,
) -> poem::Result<Response> {
    faults.calls.fetch_add(1, Ordering::SeqCst);
    let delay = faults.delay();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if faults.outage.load(Ordering::SeqCst) {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into());
    }
    if take_fault(&faults.failures) {
        return Ok(StatusCode::INTERNAL_SERVER_ERROR.into());
    }
    let cutter = connections.cutter(&req);
    req.set_data(cutter.clone());
    let post = req.method() == Method::POST;
    let response = ep.get_response(req).await;
    if post && take_fault(&faults.response_drops) {
        cutter.cut();
    }
    Ok(response)
}

/// Returns the response to a call beyond a rate limit.
pub(crate) fn too_many_requests(after: Duration) -> Response {
    let seconds = after.as_secs().max(1).to_string();
    Response::builder()
        .status(StatusCode::TOO_MANY_REQUESTS)
        .header(poem::http::header::RETRY_AFTER, seconds)
        .finish()
}
