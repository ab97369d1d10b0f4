//! Answers that the node creates itself instead of a backend server, and whether each of them
//! guarantees that the request has not run.

use super::stream::Body;
use crate::core::server_notices::PoolClosed;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;
use strum::IntoStaticStr;

/// The shortest delay in `Retry-After`.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// The time over which callers return once a pool accepts requests again.
const REOPEN_SPREAD: Duration = Duration::from_millis(500);
/// The retry delay for a caller whose pool has only backend servers that leave; others that replace
/// them appear in the list.
const REPLACEMENT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a request was not answered by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The head of the request is invalid.
    BadRequest,
    /// The body exceeds the operator's limit.
    BodyTooLarge,
    /// The body ended early.
    BodyCut,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No configuration is known yet.
    NoConfig,
    /// The operator's records are out of date, so keys may have been revoked since.
    StaleOrders,
    /// The process is shutting down.
    Stopping,
    /// The stages or backend servers cannot answer in time.
    Overloaded,
    /// A stage failed.
    StagesFailed,
    /// A result that a later step needs was lost.
    InputsGone,
    /// No backend server is available.
    Unavailable,
    /// Every backend server that was tried refused the request.
    AllFull,
    /// Every backend server has asked for no requests.
    Held,
    /// The limits of all backend servers are used up.
    Limited,
    /// A part of the prompt crashes backend servers and is quarantined.
    Quarantined,
    /// The process has no memory for the request.
    MemoryFull,
    /// The deadline passed before the request was sent.
    TooLate,
    /// The deadline passed while a backend server was running the request.
    Timeout,
    /// A backend server received the request but did not return a complete answer.
    Lost,
}

/// An answer that the node creates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The reason.
    pub reason: Reason,
    /// The delay for `Retry-After`, if the request did not run.
    pub retry: Option<Duration>,
}

impl From<PoolClosed> for Failure {
    fn from(closed: PoolClosed) -> Self {
        match closed.opens_in {
            Some(time) => {
                let reason = if closed.is_limited { Reason::Limited } else { Reason::Held };
                Self::with_retry(reason, time + REOPEN_SPREAD.mul_f64(rand::random()))
            }
            None => Self::with_retry(Reason::Unavailable, REPLACEMENT_RETRY_DELAY),
        }
    }
}

impl Failure {
    /// Creates a failure without `Retry-After`.
    pub fn new(reason: Reason) -> Self {
        Self { reason, retry: None }
    }

    /// Creates a refusal with a delay for `Retry-After`.
    pub fn with_retry(reason: Reason, retry: Duration) -> Self {
        Self { reason, retry: Some(retry.max(MIN_RETRY)) }
    }

    /// Returns the status; 429 and 503 guarantee that the request has not run and will not.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            Reason::BadRequest | Reason::BodyCut => StatusCode::BAD_REQUEST,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::NoRoute => StatusCode::NOT_FOUND,
            Reason::UnknownKey => StatusCode::UNAUTHORIZED,
            Reason::Lost => StatusCode::BAD_GATEWAY,
            Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Reason::NoConfig
            | Reason::StaleOrders
            | Reason::Stopping
            | Reason::Overloaded
            | Reason::StagesFailed
            | Reason::InputsGone
            | Reason::Unavailable
            | Reason::AllFull
            | Reason::Held
            | Reason::Limited
            | Reason::Quarantined
            | Reason::MemoryFull
            | Reason::TooLate => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns whether the answer guarantees that the request has not run and will not.
    pub fn is_not_run(&self) -> bool {
        !matches!(self.reason, Reason::Lost | Reason::Timeout)
    }

    /// Builds the HTTP response.
    pub fn answer(&self) -> Response<Body> {
        let name: &'static str = self.reason.into();
        let body = Full::new(Bytes::from_static(name.as_bytes()));
        let mut answer = Response::new(body.map_err(|never| match never {}).boxed_unsync());
        *answer.status_mut() = self.status();
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(retry) = self.retry {
            let seconds = format!("{:.3}", retry.as_secs_f64());
            headers.extend(HeaderValue::try_from(seconds).ok().map(|v| (RETRY_AFTER, v)));
        }
        if matches!(self.reason, Reason::BadRequest | Reason::BodyCut | Reason::BodyTooLarge) {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}
