//! Accepts connections of callers, of the balancer and of metrics scrapers.

use super::connections::set_probes;
use super::head_time::{HeadStart, HeadTimer, timed};
use super::node::Shared;
use super::request::{self, Running};
use super::stream::Body;
use super::unsent::Unsent;
use crate::core::catalog::CallerLimits;
use crate::core::read_limits::{
    Bound, DEFAULT_CALLER_HEAD_BYTES, DEFAULT_CALLER_HEAD_TIME, DEFAULT_CALLER_IDLE_TIME, Exceeded,
    MAX_PROBE_HEAD_BYTES, MAX_PROBE_TIME, MIN_CALLER_HEAD_BYTES, MIN_HEADER_BYTES, Peer,
    probe_connections,
};
use crate::event;
use crate::util::event::EventCode;
use crate::util::progress::{ProgressStream, Stalled};
use crate::util::read_stop;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// File descriptors that are not available for connections of callers.
const RESERVED_DESCRIPTORS: usize = 1_000;
/// The least number of connections of callers that are accepted.
const MIN_CALLER_CONNECTIONS: usize = 64;
/// The pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Returns the most connections of callers.
pub(super) fn caller_connections(descriptors: usize) -> usize {
    descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CALLER_CONNECTIONS)
}

/// Accepts callers until `stop` is true, then closes idle connections and finishes running
/// requests.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let max_connections = caller_connections(shared.settings().max_descriptors);
    let permits = Arc::new(tokio::sync::Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(&mut stop) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                event!(EventCode::ConnectionRefused, reason = error);
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            event!(EventCode::ConnectionRefused, reason = "too many connections");
            continue;
        };
        let (shared, stop) = (Arc::clone(&shared), stop.clone());
        tokio::spawn(async move {
            connection(shared, stream, stop).await;
            drop(permit);
        });
    }
}

/// Waits until idle connections have to close.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    drop(stop.wait_for(|s| *s).await);
}

async fn connection(shared: Arc<Shared>, stream: TcpStream, mut stop: watch::Receiver<bool>) {
    if let Err(error) = set_probes(&stream) {
        event!(EventCode::ConnectionRefused, reason = error);
        return;
    }
    let peer = stream.peer_addr().map_or_else(|_| "unknown".to_owned(), |a| a.to_string());
    let limits = limits(&shared);
    let start = HeadStart::default();
    let timer = HeadTimer { start: start.clone(), head: limits.header_timeout };
    let unsent = Unsent::default();
    let sent = unsent.clone();
    let stream = timed(stream, start.clone(), move || sent.flushed());
    let stream = ProgressStream::new(stream, limits.idle_timeout);
    let handled = Arc::clone(&shared);
    let knows_chunks = AtomicBool::new(true);
    let service = service_fn(|request: Request<Incoming>| {
        knows_chunks.store(request.version() > Version::HTTP_10, Ordering::Relaxed);
        let (shared, unsent) = (Arc::clone(&handled), unsent.clone());
        async move {
            let running = Running::new(&shared);
            let answer = request::handle(shared, request).await;
            Ok::<Response<Body>, Infallible>(answer.map(|body| unsent.hold(running, body)))
        }
    });
    let mut serving = http1::Builder::new()
        .timer(timer)
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_header)
        .max_headers(limits.max_header / MIN_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        () = stopped(&mut stop) => {
            Pin::new(&mut serving).graceful_shutdown();
            (&mut serving).await
        }
    };
    let Err(error) = ended else { return };
    log::debug!(target: "limpetmux", "connection of a caller closed with an error: {error}");
    if let Some(exceeded) = exceeded(&error, &start, limits) {
        read_stop::record(&shared.metrics, exceeded, &peer);
    }
    if let Some(stalled) = Stalled::of(&error) {
        stalled.record(&shared.metrics, Peer::Caller, &peer);
    }
    if !knows_chunks.load(Ordering::Relaxed) {
        reset(serving.into_parts().io.inner().get_ref().get_ref());
    }
}

/// Returns the operator's limits, or those that hold until there is a configuration.
fn limits(shared: &Shared) -> CallerLimits {
    let default = CallerLimits {
        max_header: DEFAULT_CALLER_HEAD_BYTES,
        max_body: 0,
        header_timeout: DEFAULT_CALLER_HEAD_TIME,
        idle_timeout: DEFAULT_CALLER_IDLE_TIME,
    };
    let view = shared.view.load();
    let limits = view.orders.config.as_ref().map_or(default, |d| d.catalog.limits);
    CallerLimits { max_header: limits.max_header.max(MIN_CALLER_HEAD_BYTES), ..limits }
}

/// Returns the bound at which a connection closed; an idle connection exceeds none.
fn exceeded(error: &hyper::Error, start: &HeadStart, limits: CallerLimits) -> Option<Exceeded> {
    if error.is_parse_too_large() {
        return Some(Exceeded::count(Peer::Caller, Bound::Head, limits.max_header));
    }
    let is_late = error.is_timeout() && start.is_known();
    is_late.then(|| Exceeded::time(Peer::Caller, limits.header_timeout))
}

/// Makes the close of a connection a reset: a caller that finds the end of its answer only by an
/// orderly close would take a cut answer for a complete one.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        event!(EventCode::ResetFailed, reason = error);
    }
}

/// Answers the readiness checks of the balancer.
pub async fn serve_readiness(shared: Arc<Shared>, listener: TcpListener) {
    let ready = Arc::clone(&shared);
    serve_fixed(&shared, listener, move || readiness(ready.is_ready())).await;
}

/// Serves the metrics of the node as text.
pub async fn serve_metrics(shared: Arc<Shared>, listener: TcpListener) {
    let rendered = Arc::clone(&shared);
    serve_fixed(&shared, listener, move || text(rendered.exposition.render())).await;
}

/// Answers every request on a listener by calling `answer`.
async fn serve_fixed(
    shared: &Arc<Shared>,
    listener: TcpListener,
    answer: impl Fn() -> Response<Body> + Clone + Send + 'static,
) {
    let max_connections = probe_connections(shared.settings().max_descriptors);
    let permits = Arc::new(tokio::sync::Semaphore::new(max_connections));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            event!(EventCode::ConnectionRefused, reason = "too many connections");
            continue;
        };
        let (shared, answer) = (Arc::clone(shared), answer.clone());
        tokio::spawn(async move {
            if let Err(error) = serve_probe(stream, answer).await {
                log::debug!(target: "limpetmux", "readiness or metrics connection failed: {error}");
                if let Some(exceeded) = probe_exceeded(&error) {
                    read_stop::record(&shared.metrics, exceeded, peer);
                }
                if let Some(stalled) = Stalled::of(&error) {
                    stalled.record(&shared.metrics, Peer::Operator, peer);
                }
            }
            drop(permit);
        });
    }
}

async fn serve_probe(
    stream: TcpStream,
    answer: impl Fn() -> Response<Body>,
) -> Result<(), hyper::Error> {
    if let Err(error) = set_probes(&stream) {
        event!(EventCode::ConnectionRefused, reason = error);
        return Ok(());
    }
    let stream = ProgressStream::new(stream, MAX_PROBE_TIME);
    let service = service_fn(move |_: Request<Incoming>| {
        let answer = answer();
        async move { Ok::<_, Infallible>(answer) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(MAX_PROBE_TIME)
        .max_buf_size(MAX_PROBE_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await
}

fn probe_exceeded(error: &hyper::Error) -> Option<Exceeded> {
    if error.is_parse_too_large() {
        return Some(Exceeded::count(Peer::Operator, Bound::Head, MAX_PROBE_HEAD_BYTES));
    }
    error.is_timeout().then(|| Exceeded::time(Peer::Operator, MAX_PROBE_TIME))
}

fn readiness(ready: bool) -> Response<Body> {
    let mut answer = text(if ready { "ready" } else { "not ready" }.to_owned());
    if !ready {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    answer
}

fn text(text: String) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}
