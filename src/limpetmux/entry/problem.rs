//! Error answers to callers: `application/problem+json` with a stable code.

use super::RequestError;
use crate::core::frames::RequestId;
use crate::core::refusal::{Execution, Refusal, RefusalCode};
use poem::Response;
use poem::http::{StatusCode, header};
use serde::Serialize;
use serde_with::{DisplayFromStr, serde_as};
use std::time::Duration;

/// The `Retry-After` time of a refusal that has none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of an error answer.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// A relative URL of the page that explains the code.
    #[serde(rename = "type")]
    pub kind: String,
    /// What went wrong.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// The stable code.
    pub code: RefusalCode,
    /// How much of the request may have run.
    pub execution: Execution,
    /// The id of the request, if it was accepted.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    #[serde(skip)]
    retry_after: Option<Duration>,
}

impl Problem {
    /// Describes invalid input, for which nothing ran.
    pub fn of_request_error(error: &RequestError) -> Self {
        let mut title = error.to_string();
        if let Some(source) = std::error::Error::source(error) {
            title = format!("{title}: {source}");
        }
        let refusal = Refusal::not_run(RefusalCode::BadRequest);
        Self { title, status: error.status(), ..Self::of_refusal(refusal, None) }
    }

    /// Describes the final refusal of a request.
    pub fn of_refusal(refusal: Refusal, request: Option<RequestId>) -> Self {
        Self {
            kind: format!("/problems/{}", refusal.code),
            title: title(refusal.code).to_owned(),
            status: status(refusal.code).as_u16(),
            code: refusal.code,
            execution: refusal.execution,
            request,
            retry_after: refusal.retry_after.or(default_retry_after(refusal.code)),
        }
    }

    /// Builds the HTTP response.
    pub fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.status);
        let mut response = Response::builder()
            .status(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
            .header(header::CONTENT_TYPE, "application/problem+json");
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1_000).max(1);
            response = response.header(header::RETRY_AFTER, seconds.to_string());
        }
        response.body(serde_json::to_vec(&self).unwrap_or_default())
    }
}

/// Returns the `Retry-After` time of a refusal that has none; `None` if a retry cannot succeed.
fn default_retry_after(code: RefusalCode) -> Option<Duration> {
    match code {
        RefusalCode::BadRequest | RefusalCode::KeyReused => None,
        _ => Some(DEFAULT_RETRY_AFTER),
    }
}

fn status(code: RefusalCode) -> StatusCode {
    match code {
        RefusalCode::BadRequest => StatusCode::BAD_REQUEST,
        RefusalCode::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalCode::Deadline => StatusCode::GATEWAY_TIMEOUT,
        RefusalCode::Limited => StatusCode::TOO_MANY_REQUESTS,
        RefusalCode::Failed => StatusCode::BAD_GATEWAY,
        RefusalCode::Unvouched => StatusCode::CONFLICT,
        RefusalCode::Overloaded
        | RefusalCode::Cold
        | RefusalCode::Draining
        | RefusalCode::Stopped
        | RefusalCode::ZoneOut
        | RefusalCode::Stale
        | RefusalCode::Unconfigured
        | RefusalCode::Unavailable
        | RefusalCode::NotHome
        | RefusalCode::Cancelled => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::BadRequest => "the request is not acceptable",
        RefusalCode::KeyReused => "the idempotency key was used with another body",
        RefusalCode::Deadline => "the deadline passed or cannot be met",
        RefusalCode::Overloaded => "no backend server has room",
        RefusalCode::Cold => "the backend servers are in a cold start",
        RefusalCode::Limited => "the workspace has spent its share",
        RefusalCode::Draining => "the process is shutting down",
        RefusalCode::ZoneOut => "the availability zone is out of service",
        RefusalCode::Stale => "the configuration moved on",
        RefusalCode::Unconfigured => "no configuration is known yet",
        RefusalCode::Unavailable => "no backend server is available",
        RefusalCode::Failed => "the backend server failed",
        RefusalCode::NotHome => "the host of the idempotency key is not available",
        RefusalCode::Cancelled => "the request was cancelled",
        RefusalCode::Unvouched => "the outcome of the idempotency key is not known",
        RefusalCode::Stopped => "the process exits before the request has ended",
    }
}
