//! Answers that the node gives itself, and what each of them promises.

use super::stream::Body;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::time::Duration;
use strum::IntoStaticStr;

/// The least time after which a refused caller is asked to come back.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Why a request was not answered by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The head of the request cannot be used.
    BadRequest,
    /// The body is larger than the operator allows.
    BodyTooLarge,
    /// The body ended early.
    BodyCut,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// No configuration is known yet.
    NoConfig,
    /// The operator's orders were not confirmed of late, so that keys cannot be trusted.
    StaleOrders,
    /// The process is about to stop.
    Stopping,
    /// The stages or backend servers cannot answer in time.
    Overloaded,
    /// The stages cannot be made.
    StagesFailed,
    /// A result that a later stage needs does not exist any more.
    InputsGone,
    /// No backend server can be sent to.
    Unavailable,
    /// All backend servers that were asked refused.
    AllFull,
    /// The time was over before the request was sent.
    TooLate,
    /// The time was over while a backend server worked.
    Timeout,
    /// A backend server took the request and gave no whole answer.
    Lost,
}

/// An answer that the node gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// When it is worth asking again, if the request did not run.
    pub retry: Option<Duration>,
}

impl Failure {
    /// Creates a failure that says nothing about a retry.
    pub fn new(reason: Reason) -> Self {
        Self { reason, retry: None }
    }

    /// Creates a refusal that tells when to ask again.
    pub fn later(reason: Reason, retry: Duration) -> Self {
        Self { reason, retry: Some(retry.max(MIN_RETRY)) }
    }

    /// Returns the status; 429 and 503 promise that the request has not run and will not.
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
            | Reason::TooLate => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns whether the answer promises that the request has not run and will not.
    pub fn is_not_run(&self) -> bool {
        !matches!(self.reason, Reason::Lost | Reason::Timeout)
    }

    /// Builds the answer.
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
