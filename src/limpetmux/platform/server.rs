//! Requests to backend servers and the heads of their answers.

use super::caller::Ask;
use super::names;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONNECTION, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What the system adds to a caller's request.
#[derive(Clone, Debug)]
pub struct Order<'a> {
    /// The id of the backend server that it is meant for.
    pub server: &'a str,
    /// The workspace of the caller's key, if it needed one.
    pub workspace: Option<&'a str>,
    /// The time that is left.
    pub left: Duration,
    /// The rank, 0 first, for model engines.
    pub priority: Option<u8>,
    /// The results that the last stages made.
    pub inputs: &'a [Arc<str>],
    /// The model engine that it is to fetch parts of the prompt from.
    pub fetch: Option<SocketAddr>,
}

/// What the head of an answer says.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    /// The status.
    pub status: StatusCode,
    /// Whether the backend server states that the request did not run.
    pub not_run: bool,
    /// Whether another backend server has the address.
    pub elsewhere: bool,
    /// Whether a result that the request needs does not exist any more.
    pub inputs_gone: bool,
    /// Whether the answer belongs to the request that was sent.
    pub own: bool,
    /// Whether the backend server has proved the answer to be its own.
    pub signed: bool,
    /// How long the connection may be kept without a request.
    pub keep: Option<Duration>,
    /// Whether the backend server closes the connection.
    pub closes: bool,
}

/// Builds the request that a backend server gets.
///
/// # Errors
/// Returns an error if the caller's target or a value cannot stand in a request.
pub fn request(
    ask: &Ask,
    order: &Order<'_>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request =
        Request::builder().method(ask.method.clone()).uri(&ask.target).body(Full::new(body))?;
    let headers = request.headers_mut();
    *headers = ask.headers.clone();
    headers.insert(names::EXPECTED, HeaderValue::from_str(order.server)?);
    headers.insert(names::DEADLINE, millis(order.left));
    if let Some(workspace) = order.workspace {
        headers.insert(names::WORKSPACE, HeaderValue::from_str(workspace)?);
    }
    if let Some(priority) = order.priority {
        headers.insert(names::PRIORITY, HeaderValue::from(u16::from(priority.min(9))));
    }
    if !order.inputs.is_empty() {
        headers.insert(names::INPUTS, HeaderValue::from_str(&order.inputs.join(","))?);
    }
    if let Some(addr) = order.fetch {
        headers.insert(names::FETCH, HeaderValue::from_str(&addr.to_string())?);
    }
    Ok(request)
}

/// Reads the head of an answer to the request with an id.
pub fn head<B>(id: &str, answer: &Response<B>) -> ReplyHead {
    let headers = answer.headers();
    let text = |name| headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
    ReplyHead {
        status: answer.status(),
        not_run: headers.contains_key(&names::NOT_RUN)
            || answer.status() == StatusCode::MISDIRECTED_REQUEST,
        elsewhere: answer.status() == StatusCode::MISDIRECTED_REQUEST,
        inputs_gone: headers.contains_key(&names::NOT_RUN)
            && answer.status() == StatusCode::CONFLICT,
        own: text(&names::REQUEST_ID).is_none_or(|v| v == id),
        signed: headers.contains_key(&names::SIGNATURE),
        keep: keep_alive(headers),
        closes: text(&CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close")),
    }
}

/// Removes headers of an answer that concern one connection only.
pub fn strip(headers: &mut HeaderMap) {
    let hop: Vec<_> = headers.keys().filter(|n| names::is_hop(n)).cloned().collect();
    for name in hop.iter().filter(|n| **n != hyper::header::CONTENT_LENGTH) {
        headers.remove(name);
    }
}

/// Returns how long a connection may stay without a request, as its answers say.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn millis(left: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
}
