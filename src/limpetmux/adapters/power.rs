//! The client of the platform's power switch.

use crate::core::revision::Offset;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A power order that failed; orders are idempotent and may be repeated.
#[derive(Debug, thiserror::Error)]
pub enum PowerError {
    /// The platform gave no usable answer.
    #[error("the platform gave no answer to a power order")]
    NoAnswer(#[from] reqwest::Error),
    /// The platform refused the order.
    #[error("the platform refused a power order with status {0}")]
    Refused(u16),
}

/// An order to switch one host on or off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PowerOrder {
    /// The host's name.
    pub host: String,
    /// Whether the host is to run.
    pub on: bool,
    /// The fencing number of the planner's tenure.
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
    pub fn http(http: reqwest::Client, base: &str) -> Self {
        let base = base.trim_end_matches('/').to_owned();
        let set = move |order: PowerOrder| {
            let url = format!("{base}/v1/hosts/{}/power", order.host);
            let body = PowerBody { on: order.on, fence: order.fence };
            let request = http.post(url).timeout(TIMEOUT).json(&body);
            let answer: BoxFuture<'static, Result<(), PowerError>> = Box::pin(async move {
                let status = request.send().await?.status();
                if status.is_success() { Ok(()) } else { Err(PowerError::Refused(status.as_u16())) }
            });
            answer
        };
        Self { set: Arc::new(set) }
    }
}
