//! The rate-limited store of model weights.

use crate::limiter::Limiter;
use crate::server::{Faults, Server, StartError, too_many_requests};
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The limits and timing of the store.
#[derive(Clone, Debug)]
pub struct WeightsOptions {
    /// The port, or 0 for any.
    pub port: u16,
    /// The transfers that may start per second.
    pub rate: u32,
    /// The size of every model.
    pub bytes: u64,
    /// The duration of one transfer.
    pub transfer_time: Duration,
}

impl Default for WeightsOptions {
    fn default() -> Self {
        Self { port: 0, rate: 2, bytes: 1 << 30, transfer_time: Duration::from_millis(50) }
    }
}

#[derive(Debug)]
struct State {
    options: WeightsOptions,
    limiter: Limiter,
    transfers: AtomicU64,
}

/// A running weight store.
#[derive(Debug)]
pub struct Weights {
    /// The server.
    pub server: Server,
    /// The fault switches.
    pub faults: Arc<Faults>,
    state: Arc<State>,
}

handle!(Weights);

impl Weights {
    /// Starts the store.
    ///
    /// # Errors
    /// Returns [`StartError`] if the port cannot be bound.
    pub async fn start(options: WeightsOptions) -> Result<Self, StartError> {
        let (port, limiter) = (options.port, Limiter::new(options.rate));
        let state = Arc::new(State { options, limiter, transfers: AtomicU64::new(0) });
        let faults = Arc::new(Faults::default());
        let route = Route::new().at("/v1/weights/:model", get(fetch)).data(Arc::clone(&state));
        let server = Server::start(port, route, Arc::clone(&faults)).await?;
        Ok(Self { server, faults, state })
    }

    /// Returns the number of transfers that completed.
    pub fn transfers(&self) -> u64 {
        self.state.transfers.load(Ordering::SeqCst)
    }
}

#[derive(Serialize)]
struct WeightsReply {
    bytes: u64,
}

#[handler]
async fn fetch(state: Data<&Arc<State>>, Path(_model): Path<String>) -> Response {
    if !state.limiter.try_take() {
        return too_many_requests(Duration::from_secs(1));
    }
    tokio::time::sleep(state.options.transfer_time).await;
    state.transfers.fetch_add(1, Ordering::SeqCst);
    Json(WeightsReply { bytes: state.options.bytes }).into_response()
}
