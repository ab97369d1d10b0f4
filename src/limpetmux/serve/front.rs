//! Accepts connections of callers, of the balancer and of metrics scrapers.

use super::connections::set_timeouts;
use super::node::Shared;
use super::request;
use super::stream::Body;
use crate::event;
use crate::util::event::EventCode;
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

/// The largest request head in bytes until a configuration sets it.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// The longest idle time of a connection until a configuration sets it.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// File descriptors that are not available for connections of callers.
const RESERVED_DESCRIPTORS: usize = 1_000;
/// The pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts callers until `stop` is true, then closes idle connections and finishes running
/// requests.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let max_connections =
        shared.settings().max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
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
    if let Err(error) = set_timeouts(&stream) {
        event!(EventCode::ConnectionRefused, reason = error);
        return;
    }
    let limits = shared.view.load().orders.config.as_ref().map(|d| d.catalog.limits);
    let head = limits.map_or(DEFAULT_HEAD_BYTES, |l| l.max_header);
    // hyper's timeout for reading a head also runs while a connection waits for its next request.
    let idle = limits.map_or(DEFAULT_IDLE, |l| l.idle_timeout);
    let knows_chunks = AtomicBool::new(true);
    let service = service_fn(|request: Request<Incoming>| {
        knows_chunks.store(request.version() > Version::HTTP_10, Ordering::Relaxed);
        let shared = Arc::clone(&shared);
        async move { Ok::<Response<Body>, Infallible>(request::handle(shared, request).await) }
    });
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head.max(8_192))
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
    if !knows_chunks.load(Ordering::Relaxed) {
        reset(serving.into_parts().io.inner());
    }
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
    serve_fixed(listener, move || readiness(shared.is_ready())).await;
}

/// Serves the metrics of the node as text.
pub async fn serve_metrics(shared: Arc<Shared>, listener: TcpListener) {
    serve_fixed(listener, move || text(shared.exposition.render())).await;
}

/// Answers every request on a listener by calling `answer`.
async fn serve_fixed(
    listener: TcpListener,
    answer: impl Fn() -> Response<Body> + Clone + Send + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let answer = answer();
            async move { Ok::<_, Infallible>(answer) }
        });
        tokio::spawn(async move {
            let builder = http1::Builder::new();
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!(target: "limpetmux", "readiness or metrics connection failed: {error}");
            }
        });
    }
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
