//! Builds requests to backend servers and parses the heads of their answers.

use super::caller::RequestHead;
use super::names;
use crate::core::answer_proof::{AnswerClaims, AnswerOwner, StatusClass};
use crate::core::event_stream::Framing;
use crate::core::server_limits::{LimitNotice, RequestRate};
use crate::core::server_notices::{MAX_HOLD, ServerNotice};
use crate::core::work::load::{LoadNotice, SLOWDOWN_RANGE, ServerLoad};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Request, Response, StatusCode, Version};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The headers that the node adds to a caller's request.
#[derive(Clone, Debug)]
pub struct AddedHeaders<'a> {
    /// The id of the backend server that the request is meant for.
    pub server: &'a str,
    /// The workspace of the caller's key, if the route needs a key.
    pub workspace: Option<&'a str>,
    /// The time until the deadline.
    pub time_left: Duration,
    /// The priority for model engines; 0 is the highest.
    pub priority: Option<u8>,
    /// The results of the last stages.
    pub inputs: &'a [Arc<str>],
    /// The model engine from which parts of the prompt are fetched.
    pub fetch_from: Option<SocketAddr>,
}

/// The parsed head of an answer.
#[derive(Clone, Debug)]
pub struct ReplyHead {
    /// The HTTP status.
    pub status: StatusCode,
    /// Whether the backend server states that the request did not run.
    pub not_run: bool,
    /// Whether another backend server now has the address.
    pub wrong_server: bool,
    /// Whether a result that the request needs was lost.
    pub inputs_missing: bool,
    /// Which request the answer belongs to.
    pub owner: AnswerOwner,
    /// Whether the answer states in a header that the request did not run.
    pub states_unrun: bool,
    /// Whether the answer carries the signature of the backend server.
    pub signed: bool,
    /// How long the backend server keeps an idle connection open, if it states that.
    pub keep_alive: Option<Duration>,
    /// Whether the backend server closes the connection.
    pub closes: bool,
    /// How the answer states where its body ends.
    pub framing: Framing,
    /// What the backend server states about itself.
    pub notice: ServerNotice,
    /// What the backend server states about its load.
    pub load: LoadNotice,
}

/// Builds the request to a backend server.
///
/// # Errors
/// Returns an error if the caller's target or a header value is not valid in a request.
pub fn request(
    head: &RequestHead,
    added: &AddedHeaders<'_>,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request =
        Request::builder().method(head.method.clone()).uri(&head.target).body(Full::new(body))?;
    let headers = request.headers_mut();
    *headers = head.headers.clone();
    headers.insert(names::EXPECTED_SERVER, HeaderValue::from_str(added.server)?);
    headers.insert(names::DEADLINE, millis(added.time_left));
    if let Some(workspace) = added.workspace {
        headers.insert(names::WORKSPACE, HeaderValue::from_str(workspace)?);
    }
    if let Some(priority) = added.priority {
        headers.insert(names::PRIORITY, HeaderValue::from(u16::from(priority.min(9))));
    }
    if !added.inputs.is_empty() {
        headers.insert(names::INPUTS, HeaderValue::from_str(&added.inputs.join(","))?);
    }
    if let Some(addr) = added.fetch_from {
        headers.insert(names::FETCH_FROM, HeaderValue::from_str(&addr.to_string())?);
    }
    Ok(request)
}

/// Parses the head of an answer to the request with an id.
pub fn head<B>(id: &str, answer: &Response<B>) -> ReplyHead {
    let headers = answer.headers();
    let text = |name| headers.get(name).and_then(|v: &HeaderValue| v.to_str().ok());
    let owner = owner(id, headers);
    ReplyHead {
        status: answer.status(),
        not_run: headers.contains_key(&names::NOT_RUN)
            || answer.status() == StatusCode::MISDIRECTED_REQUEST,
        wrong_server: answer.status() == StatusCode::MISDIRECTED_REQUEST,
        inputs_missing: headers.contains_key(&names::NOT_RUN)
            && answer.status() == StatusCode::CONFLICT,
        owner,
        states_unrun: headers.contains_key(&names::NOT_RUN),
        signed: headers.contains_key(&names::SIGNATURE),
        keep_alive: keep_alive(headers),
        closes: text(&CONNECTION).is_some_and(|v| v.eq_ignore_ascii_case("close")),
        framing: framing(answer.status(), headers),
        notice: notice(answer.status(), owner, headers),
        load: load(answer.status(), owner, headers),
    }
}

/// Returns what a backend server states about itself; an answer that says that another one runs at the
/// address states nothing about the one that the request was meant for.
fn notice(status: StatusCode, owner: AnswerOwner, headers: &HeaderMap) -> ServerNotice {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ServerNotice::default();
    }
    let leaving = headers.get(names::LEAVING).is_some_and(|v| v.as_bytes() == b"1");
    let retry_after =
        headers.get(RETRY_AFTER).filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    let limit = match owner {
        // It may have been sent long ago.
        AnswerOwner::Another => LimitNotice::Unstated,
        AnswerOwner::Sent | AnswerOwner::Unnamed => limit(headers),
    };
    ServerNotice { leaving, hold: retry_after.and_then(hold_time), limit }
}

/// Decodes the limit of a backend server; a value that is no rate, or several values, state nothing.
fn limit(headers: &HeaderMap) -> LimitNotice {
    let mut values = headers.get_all(names::LIMIT).iter();
    match (values.next(), values.next()) {
        (None, _) => LimitNotice::Unlimited,
        (Some(value), None) => rate(value).map_or(LimitNotice::Unstated, LimitNotice::Limited),
        (Some(_), Some(_)) => LimitNotice::Unstated,
    }
}

/// Decodes the load of a backend server; an answer of another one, or to another request, states
/// nothing.
fn load(status: StatusCode, owner: AnswerOwner, headers: &HeaderMap) -> LoadNotice {
    if status == StatusCode::MISDIRECTED_REQUEST || owner == AnswerOwner::Another {
        return LoadNotice::Unstated;
    }
    let mut values = headers.get_all(names::LOAD).iter();
    match (values.next(), values.next()) {
        (None, _) => LoadNotice::Unstated,
        (Some(value), None) => {
            value.to_str().ok().and_then(load_notice).unwrap_or(LoadNotice::Unreadable)
        }
        (Some(_), Some(_)) => LoadNotice::Unreadable,
    }
}

/// Decodes three counts, and possibly a slowdown in hundredths.
fn load_notice(text: &str) -> Option<LoadNotice> {
    let mut fields = text.split(',').map(str::trim);
    let mut count = || digits(fields.next()?, "")?.parse::<u32>().ok();
    let (running, waiting) = (count()?, count()?);
    let slots = count().filter(|slots| *slots > 0)?;
    let load = ServerLoad { running, waiting, slots, slowdown: None };
    let Some(slowdown) = fields.next() else { return Some(LoadNotice::Stated(load)) };
    if fields.next().is_some() {
        return None;
    }
    let (least, most) = SLOWDOWN_RANGE;
    let hundredths = digits(slowdown, ".").and_then(|text| text.parse::<f64>().ok());
    let slowdown = hundredths.map(|hundredths| hundredths / 100.0);
    Some(match slowdown.filter(|s| (least..=most).contains(s)) {
        Some(_) => LoadNotice::Stated(ServerLoad { slowdown, ..load }),
        None => LoadNotice::SpeedUnreadable(load),
    })
}

/// Returns a text that has only digits and some other characters.
fn digits<'a>(text: &'a str, others: &str) -> Option<&'a str> {
    text.chars().all(|c| c.is_ascii_digit() || others.contains(c)).then_some(text)
}

fn rate(value: &HeaderValue) -> Option<RequestRate> {
    RequestRate::per_second(value.to_str().ok()?.trim().parse().ok()?)
}

/// Decodes a `Retry-After` in seconds, which may have a fraction; one that cannot be read asks for
/// nothing.
fn hold_time(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let seconds = Some(seconds).filter(|s| s.is_finite())?.min(MAX_HOLD.as_secs_f64());
    let hold = Duration::try_from_secs_f64(seconds).ok()?;
    (!hold.is_zero()).then_some(hold)
}

impl ReplyHead {
    /// Returns what the head states about the request.
    pub fn claims(&self) -> AnswerClaims {
        AnswerClaims {
            owner: self.owner,
            status: status_class(self.status),
            unrun: self.not_run,
            signed: self.signed,
        }
    }
}

fn owner(id: &str, headers: &HeaderMap) -> AnswerOwner {
    let mut named = headers.get_all(names::REQUEST_ID).iter();
    match (named.next(), named.next()) {
        (Some(named), None) if named == id => AnswerOwner::Sent,
        (Some(_), _) => AnswerOwner::Another,
        (None, _) => AnswerOwner::Unnamed,
    }
}

fn status_class(status: StatusCode) -> StatusClass {
    match status {
        status if status.is_success() => StatusClass::Success,
        StatusCode::REQUEST_TIMEOUT
        | StatusCode::MISDIRECTED_REQUEST
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE => StatusClass::Guarantee,
        _ => StatusClass::Other,
    }
}

fn framing(status: StatusCode, headers: &HeaderMap) -> Framing {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if headers.contains_key(TRANSFER_ENCODING) {
        Framing::Chunked
    } else if has_no_body || headers.contains_key(CONTENT_LENGTH) {
        Framing::Length
    } else {
        Framing::Connection
    }
}

/// Removes what concerns only the connection to the backend server: the hop-by-hop headers, except
/// for the content length, and the version, as an older one would frame the answer to the caller.
pub fn strip(parts: &mut Parts) {
    parts.version = Version::HTTP_11;
    let headers = &mut parts.headers;
    let hop_by_hop: Vec<_> = headers.keys().filter(|n| names::is_hop_by_hop(n)).cloned().collect();
    for name in hop_by_hop.iter().filter(|n| **n != CONTENT_LENGTH) {
        headers.remove(name);
    }
}

/// Returns how long a connection may stay idle, from the `Keep-Alive` header.
pub fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn millis(left: Duration) -> HeaderValue {
    HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
}
