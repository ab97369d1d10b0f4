//! The client for orders to load a model, which a sidecar sends to its backend server.

use super::answer::{self, AnswerError};
use super::one_call::OneCallClient;
use crate::core::config::Name;
use crate::core::read_limits::{MAX_NOTE_BYTES, Peer};
use crate::core::revision::Offset;
use futures::future::BoxFuture;
use reqwest::{RequestBuilder, StatusCode};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// The timeout of a request; the model may finish loading after the response.
const TIMEOUT: Duration = Duration::from_secs(5);

/// An order to load a model; it is idempotent and may be retried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelOrder {
    /// The model to load.
    pub model: Name,
    /// The fencing number of the planner's lease.
    pub fence: Offset,
}

/// An order that was not applied.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// No complete response arrived within its bounds; the backend server may have applied the order.
    #[error("the backend server did not respond to an order")]
    NoAnswer(#[from] AnswerError),
    /// The backend server has seen a higher fencing number.
    #[error("the backend server refused an old fencing number")]
    Fenced,
    /// The backend server refused the order.
    #[error("the backend server refused an order with status {0}")]
    Refused(u16),
}

type SendFn = dyn Fn(ModelOrder) -> BoxFuture<'static, Result<(), OrderError>> + Send + Sync;

/// Access to the orders of one backend server; replaceable by a fake in tests.
#[derive(Clone)]
pub struct OrdersClient {
    /// Sends one order.
    pub send: Arc<SendFn>,
}

#[derive(Serialize, Deserialize)]
struct OrderBody {
    kind: OrderKind,
    model: Name,
    fence: Offset,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    Load,
}

/// The body of the answer to an order with an old fencing number.
#[derive(Deserialize)]
struct FencedBody {
    fence: Offset,
}

/// Returns what a 409 means; an order is fenced only if the server has seen a higher number.
fn conflict(body: &[u8], sent: Offset) -> OrderError {
    match serde_json::from_slice::<FencedBody>(body) {
        Ok(seen) if seen.fence > sent => OrderError::Fenced,
        Ok(_) | Err(_) => OrderError::Refused(StatusCode::CONFLICT.as_u16()),
    }
}

impl OrdersClient {
    /// Creates a client of the protocol in `docs/PROTOCOLS.md`; `base` is the backend server's URL.
    pub fn http(client: OneCallClient, base: &str) -> Self {
        let url = format!("{}/v1/orders", base.trim_end_matches('/'));
        let send = move |order: ModelOrder| {
            let body = OrderBody { kind: OrderKind::Load, model: order.model, fence: order.fence };
            let request = client.post(url.clone()).timeout(TIMEOUT).json(&body);
            let url = url.clone();
            let result: BoxFuture<'static, Result<(), OrderError>> = Box::pin(async move {
                send_order(request, order.fence).await.map_err(|error| match error {
                    OrderError::NoAnswer(e) => e.logged(Peer::BackendServer, TIMEOUT, url).into(),
                    OrderError::Fenced | OrderError::Refused(_) => error,
                })
            });
            result
        };
        Self { send: Arc::new(send) }
    }
}

async fn send_order(request: RequestBuilder, fence: Offset) -> Result<(), OrderError> {
    let response = answer::send(request, Peer::BackendServer).await?;
    match response.status() {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => {
            let body = answer::read_body(response, Peer::BackendServer, MAX_NOTE_BYTES).await?;
            Err(conflict(&body, fence))
        }
        status => Err(OrderError::Refused(status.as_u16())),
    }
}
