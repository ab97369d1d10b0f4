//! Plain services, some of whose calls must not be retried.

use crate::backend::{Backend, BackendOptions, load, refuse};
use crate::server::{Server, StartError};
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoResponse, Request, Response, Route, get, handler, post};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Run counts by attempt id and by key, and the keys of fenced calls.
#[derive(Debug, Default)]
struct Runs {
    attempts: BTreeMap<String, u32>,
    keys: BTreeMap<String, u32>,
    fenced: Vec<String>,
}

/// A running plain service.
#[derive(Debug)]
pub struct Plain {
    /// The server.
    pub server: Server,
    /// The state, counters and fault switches; an answer is lost after its call took effect.
    pub backend: Arc<Backend>,
    runs: Arc<Mutex<Runs>>,
}

handle!(Plain);

impl Plain {
    /// Starts one backend server.
    ///
    /// # Errors
    /// Returns [`StartError`] if the port cannot be bound.
    pub async fn start(options: BackendOptions) -> Result<Self, StartError> {
        let port = options.port;
        let backend = Backend::new(options);
        let runs = Arc::new(Mutex::new(Runs::default()));
        let route = Route::new()
            .at("/v1/call", post(call))
            .at("/v1/load", get(load))
            .data(Arc::clone(&backend))
            .data(Arc::clone(&runs));
        let server = Server::start(port, route, Arc::clone(&backend.faults)).await?;
        Ok(Self { server, backend, runs })
    }

    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how often each `X-Attempt-Id` ran.
    pub fn attempts(&self) -> BTreeMap<String, u32> {
        self.runs().attempts.clone()
    }

    /// Returns the keys of calls that were refused because of an old fencing number.
    pub fn fenced(&self) -> Vec<String> {
        self.runs().fenced.clone()
    }

    /// Returns how often each key ran: the body's `key` or `input.key`, or else the whole body.
    pub fn keys(&self) -> BTreeMap<String, u32> {
        self.runs().keys.clone()
    }
}

fn key_of(body: &Value) -> String {
    let named = body.get("key").or_else(|| body.pointer("/input/key")).and_then(Value::as_str);
    named.map_or_else(|| body.to_string(), str::to_owned)
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|v| v.to_str().ok())
}

#[handler]
async fn call(
    backend: Data<&Arc<Backend>>,
    runs: Data<&Arc<Mutex<Runs>>>,
    request: &Request,
    Json(body): Json<Value>,
) -> Response {
    let fence = header(request, "x-fence").and_then(|v| v.parse().ok()).unwrap_or(0);
    let attempt = header(request, "x-attempt-id").unwrap_or_default().to_owned();
    if let Err(newer) = backend.check_fence(fence) {
        runs.lock().unwrap_or_else(PoisonError::into_inner).fenced.push(key_of(&body));
        return (StatusCode::CONFLICT, Json(json!({ "fence": newer }))).into_response();
    }
    let mut slot = match backend.acquire(0).await {
        Ok(slot) => slot,
        Err(full) => return refuse(full),
    };
    let run = record(&runs, &attempt, key_of(&body));
    backend.work(1).await;
    slot.completed = true;
    if slot.is_aborted() {
        return StatusCode::INTERNAL_SERVER_ERROR.into();
    }
    let input = body.get("input").unwrap_or(&body);
    Json(json!({ "attempt": attempt, "run": run, "input": input })).into_response()
}

/// Counts a run and returns how often its key has run.
fn record(runs: &Mutex<Runs>, attempt: &str, key: String) -> u32 {
    let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    *runs.attempts.entry(attempt.to_owned()).or_default() += 1;
    let count = runs.keys.entry(key).or_default();
    *count += 1;
    *count
}
