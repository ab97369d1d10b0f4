//! The client of the platform's host list.

use super::answer::{self, AnswerError};
use super::one_call::OneCallClient;
use crate::core::membership::ListedHost;
use crate::core::read_limits::{MAX_HOST_LIST_BYTES, Peer};
use crate::event;
use crate::util::event::EventCode;
use futures::FutureExt;
use futures::future::BoxFuture;
use serde_json::value::RawValue;
use std::sync::Arc;
use std::time::Duration;

/// The timeout of a request, including the response body.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The host list cannot be read; the last list stays in force.
#[derive(Debug, thiserror::Error)]
pub enum HostsError {
    /// The platform returned no usable response.
    #[error("the platform returned no usable host list")]
    NoAnswer(#[from] AnswerError),
    /// The platform refused the request.
    #[error("the platform refused the request for the host list with status {0}")]
    Refused(u16),
}

type ListFn = dyn Fn() -> BoxFuture<'static, Result<Vec<ListedHost>, HostsError>> + Send + Sync;

/// Access to the host list; replaceable by a fake in tests.
#[derive(Clone)]
pub struct HostsClient {
    /// Requests the complete list.
    pub list: Arc<ListFn>,
}

impl HostsClient {
    /// Creates a client of the protocol in `docs/PROTOCOLS.md`; `base` is the platform's URL.
    pub fn http(client: OneCallClient, base: &str) -> Self {
        let url: Arc<str> = format!("{}/v1/hosts", base.trim_end_matches('/')).into();
        Self { list: Arc::new(move || list(client.clone(), Arc::clone(&url)).boxed()) }
    }
}

async fn list(client: OneCallClient, url: Arc<str>) -> Result<Vec<ListedHost>, HostsError> {
    let result = request_list(client, &url).await;
    result.map_err(|error| match error {
        HostsError::NoAnswer(e) => e.logged(Peer::Platform, TIMEOUT, url).into(),
        HostsError::Refused(_) => error,
    })
}

async fn request_list(client: OneCallClient, url: &str) -> Result<Vec<ListedHost>, HostsError> {
    let request = client.get(url.to_owned()).timeout(TIMEOUT);
    let response = answer::send(request, Peer::Platform).await?;
    let status = response.status();
    if !status.is_success() {
        return Err(HostsError::Refused(status.as_u16()));
    }
    let rows: Vec<Box<RawValue>> =
        answer::read_json(response, Peer::Platform, MAX_HOST_LIST_BYTES).await?;
    Ok(rows.iter().filter_map(|row| decode(row)).collect())
}

/// Decodes one row; an odd row of another writer must not hide the others.
fn decode(row: &RawValue) -> Option<ListedHost> {
    let decoded = serde_json::from_str(row.get());
    decoded.inspect_err(|error| event!(EventCode::HostRowSkipped, reason = error)).ok()
}
