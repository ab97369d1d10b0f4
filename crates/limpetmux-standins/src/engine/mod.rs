//! A batching model engine.
//!
//! Its answers depend on the prompt alone ([`answer`]), so a test can check that a caller got the
//! complete answer to its own prompt, whichever engines generated it.

mod cache;
mod stream;

use crate::backend::{Backend, BackendOptions, load};
use crate::server::{Server, StartError};
use cache::Cache;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The options of a model engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The options common to all backend servers; `step_time` is the time of one token.
    pub backend: BackendOptions,
    /// Steps before the first token; a cached prefix needs a quarter of them.
    pub prefill: u32,
    /// The number of prompt prefixes that the cache holds.
    pub cache_size: usize,
    /// The delay before cache events are published.
    pub cache_lag: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        let cache_lag = Duration::from_millis(100);
        Self { backend: BackendOptions::default(), prefill: 4, cache_size: 64, cache_lag }
    }
}

/// An order that was applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// `load`, `unload` or `role`.
    pub kind: String,
    /// The model.
    #[serde(default)]
    pub model: Value,
    /// The version.
    #[serde(default)]
    pub version: Value,
    /// The sender's fencing number.
    pub fence: u64,
}

#[derive(Debug)]
pub(crate) struct State {
    backend: Arc<Backend>,
    prefill: u32,
    cache: Mutex<Cache>,
    /// Known requests by id.
    requests: Mutex<BTreeMap<String, KnownRequest>>,
    orders: Mutex<Vec<Order>>,
    pending_breaks: AtomicU32,
    break_after: AtomicU32,
    /// The prompt whose streams break, and how many of them have.
    poison: Mutex<(Option<String>, u32)>,
    tokens: AtomicU64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownRequest {
    /// The hash of the prompt.
    prompt: u64,
    cancelled: bool,
    imported: bool,
}

impl State {
    fn requests(&self) -> MutexGuard<'_, BTreeMap<String, KnownRequest>> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn poison(&self) -> MutexGuard<'_, (Option<String>, u32)> {
        self.poison.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the streams that answer a prompt break, and counts this one.
    fn breaks(&self, prompt: &str) -> bool {
        let mut poison = self.poison();
        let breaks = poison.0.as_deref() == Some(prompt);
        poison.1 += u32::from(breaks);
        breaks
    }

    fn orders(&self) -> MutexGuard<'_, Vec<Order>> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running model engine.
#[derive(Debug)]
pub struct Engine {
    /// The server.
    pub server: Server,
    /// The state, counters and fault switches.
    pub backend: Arc<Backend>,
    state: Arc<State>,
}

handle!(Engine);

impl Engine {
    /// Starts one model engine.
    ///
    /// # Errors
    /// Returns [`StartError`] if the port cannot be bound.
    pub async fn start(options: EngineOptions) -> Result<Self, StartError> {
        let port = options.backend.port;
        let backend = Backend::new(options.backend);
        let state = Arc::new(State {
            backend: Arc::clone(&backend),
            prefill: options.prefill,
            cache: Mutex::new(Cache::new(options.cache_size, options.cache_lag)),
            requests: Mutex::default(),
            orders: Mutex::default(),
            pending_breaks: AtomicU32::new(0),
            break_after: AtomicU32::new(0),
            poison: Mutex::default(),
            tokens: AtomicU64::new(0),
        });
        let route = Route::new()
            .at("/v1/completions", post(stream::complete))
            .at("/v1/cancel", post(cancel))
            .at("/v1/cache/events", get(events))
            .at("/v1/kv/:request", get(export).put(import))
            .at("/v1/orders", post(order))
            .at("/v1/load", get(load))
            .data(Arc::clone(&backend))
            .data(Arc::clone(&state));
        let server = Server::start(port, route, Arc::clone(&backend.faults)).await?;
        Ok(Self { server, backend, state })
    }

    /// Cuts the connections of the next `streams` streams, each after `after` tokens.
    pub fn break_next(&self, streams: u32, after: u32) {
        self.state.break_after.store(after, Ordering::SeqCst);
        self.state.pending_breaks.store(streams, Ordering::SeqCst);
    }

    /// Cuts the connections of all streams that answer a prompt, before their first token.
    pub fn break_prompt(&self, prompt: &str) {
        self.state.poison().0 = Some(prompt.to_owned());
    }

    /// Returns the number of streams that were cut because of their prompt.
    pub fn broken_prompts(&self) -> u32 {
        self.state.poison().1
    }

    /// Drops every `every`-th cache event; 0 drops none.
    pub fn set_gaps(&self, every: u64) {
        self.state.cache().gap_interval = every;
    }

    /// Returns the number of tokens generated.
    pub fn tokens(&self) -> u64 {
        self.state.tokens.load(Ordering::SeqCst)
    }

    /// Returns the applied orders.
    pub fn orders(&self) -> Vec<Order> {
        self.state.orders().clone()
    }

    /// Returns the hits and misses of the prefix cache.
    pub fn cache_stats(&self) -> (u64, u64) {
        let cache = self.state.cache();
        (cache.hits, cache.misses)
    }
}

/// Returns the FNV-1a hash of a text, which is the same on every machine.
pub fn text_hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    text.bytes().fold(OFFSET, |h, b| (h ^ u64::from(b)).wrapping_mul(PRIME))
}

/// Returns the tokens that any engine generates for a prompt.
///
/// Every fourth prompt ends before the limit, at three quarters of it.
pub fn answer(prompt: &str, limit: u32) -> Vec<String> {
    let hash = text_hash(prompt);
    let count = if hash.is_multiple_of(4) { (limit * 3 / 4).max(1) } else { limit };
    (0..count).map(|i| format!("{:06x}.{i} ", hash & 0xff_ffff)).collect()
}

#[derive(Deserialize)]
struct CancelBody {
    request_id: String,
}

#[handler]
async fn cancel(state: Data<&Arc<State>>, Json(body): Json<CancelBody>) -> Json<Value> {
    let mut requests = state.requests();
    let known = requests.get_mut(&body.request_id);
    let cancelled = known.is_some();
    if let Some(k) = known {
        k.cancelled = true;
    }
    Json(json!({ "cancelled": cancelled }))
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

#[handler]
async fn events(state: Data<&Arc<State>>, Query(query): Query<EventsQuery>) -> Json<Value> {
    let (next, events) = state.cache().events(query.from);
    Json(json!({ "next": next, "events": events }))
}

#[handler]
async fn export(state: Data<&Arc<State>>, Path(request): Path<String>) -> Response {
    match state.requests().get(&request) {
        Some(known) => known.prompt.to_le_bytes().to_vec().into_response(),
        None => StatusCode::NOT_FOUND.into(),
    }
}

#[handler]
async fn import(state: Data<&Arc<State>>, Path(request): Path<String>, body: Vec<u8>) -> Response {
    let Ok(bytes) = <[u8; 8]>::try_from(body.as_slice()) else {
        return StatusCode::BAD_REQUEST.into();
    };
    let prompt = u64::from_le_bytes(bytes);
    let known = KnownRequest { prompt, cancelled: false, imported: true };
    state.requests().insert(request, known);
    StatusCode::OK.into()
}

#[handler]
async fn order(state: Data<&Arc<State>>, Json(order): Json<Order>) -> Response {
    if let Err(fence) = state.backend.check_fence(order.fence) {
        return (StatusCode::CONFLICT, Json(json!({ "fence": fence }))).into_response();
    }
    state.orders().push(order);
    Json(json!({ "applied": true })).into_response()
}
