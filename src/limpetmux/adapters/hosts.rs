//! The client of the platform's host list.

use crate::core::membership::ListedHost;
use futures::FutureExt;
use futures::future::BoxFuture;
use reqwest::Client;
use std::sync::Arc;
use std::time::Duration;

/// The time allowed for the whole list.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The host list cannot be read; what was last read stays in force.
#[derive(Debug, thiserror::Error)]
pub enum HostsError {
    /// The platform gave no usable answer.
    #[error("the platform gave no host list")]
    NoAnswer(#[from] reqwest::Error),
    /// The platform refused the call.
    #[error("the platform refused the host list with status {0}")]
    Refused(u16),
}

type ListFn = dyn Fn() -> BoxFuture<'static, Result<Vec<ListedHost>, HostsError>> + Send + Sync;

/// Access to the host list; replaceable by a fake in tests.
#[derive(Clone)]
pub struct HostsClient {
    /// Reads the whole list.
    pub list: Arc<ListFn>,
}

impl HostsClient {
    /// Creates a client of the protocol in `docs/PROTOCOLS.md`; `base` is the platform's URL.
    pub fn http(client: Client, base: &str) -> Self {
        let url: Arc<str> = format!("{}/v1/hosts", base.trim_end_matches('/')).into();
        Self { list: Arc::new(move || list(client.clone(), Arc::clone(&url)).boxed()) }
    }
}

async fn list(client: Client, url: Arc<str>) -> Result<Vec<ListedHost>, HostsError> {
    let answer = client.get(&*url).timeout(TIMEOUT).send().await?;
    let status = answer.status();
    if !status.is_success() {
        return Err(HostsError::Refused(status.as_u16()));
    }
    Ok(answer.json().await?)
}
