//! The client of the platform's power switch for hosts.

use super::answer::{self, AnswerError};
use super::one_call::OneCallClient;
use crate::core::read_limits::Peer;
use crate::core::revision::Offset;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The timeout of a request; the body of its answer is not read.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A power order that failed; orders are idempotent and may be retried.
#[derive(Debug, thiserror::Error)]
pub enum PowerError {
    /// No response arrived; the platform may have applied the order.
    #[error("the platform did not respond to a power order")]
    NoAnswer(#[from] AnswerError),
    /// The platform refused the order.
    #[error("the platform refused a power order with status {0}")]
    Refused(u16),
}

/// An order to switch one host on or off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PowerOrder {
    /// The host's name.
    pub host: String,
    /// Whether to switch the host on.
    pub on: bool,
    /// The fencing number of the planner's lease.
    pub fence: Offset,
}

type SetFn = dyn Fn(PowerOrder) -> BoxFuture<'static, Result<(), PowerError>> + Send + Sync;

/// Access to the power switch; replaceable by a fake in tests.
#[derive(Clone)]
pub struct PowerClient {
    /// Switches a host on or off.
    pub set: Arc<SetFn>,
}

#[derive(Serialize, Deserialize)]
struct PowerBody {
    on: bool,
    fence: Offset,
}

impl PowerClient {
    /// Creates a client of the protocol in `docs/PROTOCOLS.md`; `base` is the platform's URL.
    pub fn http(client: OneCallClient, base: &str) -> Self {
        let base = base.trim_end_matches('/').to_owned();
        let set = move |order: PowerOrder| {
            let url = format!("{base}/v1/hosts/{}/power", order.host);
            let body = PowerBody { on: order.on, fence: order.fence };
            let request = client.post(url.clone()).timeout(TIMEOUT).json(&body);
            let result: BoxFuture<'static, Result<(), PowerError>> = Box::pin(async move {
                let response = answer::send(request, Peer::Platform).await;
                let response = response.map_err(|e| e.logged(Peer::Platform, TIMEOUT, url))?;
                let status = response.status();
                if status.is_success() { Ok(()) } else { Err(PowerError::Refused(status.as_u16())) }
            });
            result
        };
        Self { set: Arc::new(set) }
    }
}
