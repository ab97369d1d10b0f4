//! Handles one request of a caller, from its head to its answer.

use super::connections::Reuse;
use super::failure::{Failure, Reason};
use super::forward;
use super::node::{Shared, StoreView};
use super::quarantine;
use super::stages;
use super::stream::Body;
use super::upload;
use crate::core::catalog::{Catalog, KeyHolder, Route, RouteKey};
use crate::core::memory::head_bytes;
use crate::core::prompt_part::PartId;
use crate::core::quarantine::{Trial, Verdict};
use crate::core::time::Moment;
use crate::event;
use crate::platform::caller::{self, Prompt, RequestHead};
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::memory::{Reservation, Use};
use crate::util::metrics::Metric;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::timeout;

/// The part of a caller's deadline that is reserved for the transfer of the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// The retry delay for a caller while no configuration is known.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The retry delay for a caller while keys cannot be checked against recent records.
const STALE_RETRY_DELAY: Duration = Duration::from_millis(700);

/// The retry delay for a caller whose request would not end before the node does; another node may
/// accept it at once.
const STOPPING_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request whose route and workspace are known.
pub struct RoutedRequest {
    /// The head of the request.
    pub head: RequestHead,
    /// The parts of its prompt.
    pub prompt: Prompt,
    /// The body of the request.
    pub body: Bytes,
    /// The configuration under which it was accepted.
    pub catalog: Arc<Catalog>,
    /// The key of its route in the configuration.
    pub route: RouteKey,
    /// The service that answers it.
    pub service: Arc<str>,
    /// The holder of the caller's key, if the route needs one.
    pub holder: Option<KeyHolder>,
    /// When the request arrived.
    pub arrived: Moment,
    /// The end of the caller's deadline or the route's timeout, less the time reserved for the
    /// transfer of the answer.
    pub deadline: Moment,
    /// Whether a backend server may have received and run it.
    pub maybe_ran: AtomicBool,
    /// The addresses that it was sent to.
    sent_to: Mutex<BTreeSet<SocketAddr>>,
    /// The claims on the memory of its head and its prompt; that of its body is part of the body.
    _memory: [Reservation; 2],
}

impl RoutedRequest {
    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.catalog.routes[self.route]
    }

    /// Returns the priority; 0 is the highest.
    pub fn priority(&self) -> u8 {
        let workspace = self.holder.as_ref().and_then(|h| h.priority);
        workspace.unwrap_or(self.route().priority)
    }

    /// Returns the workspace of the caller's key, if the route needs a key.
    pub fn workspace(&self) -> Option<&str> {
        self.holder.as_ref().map(|h| &*h.workspace)
    }

    /// Returns the number of pieces of each stage of the route.
    pub fn pieces(&self) -> Vec<u32> {
        let count = |stage| self.head.pieces.get(stage).copied().unwrap_or_default();
        (0..self.route().stages.len()).map(count).collect()
    }

    /// Returns the time by which an answer meets the route's latency target.
    pub fn latency_deadline(&self) -> Moment {
        self.arrived + self.route().target_latency
    }

    /// Counts a send to an address and returns which connections it may use.
    ///
    /// A copy of the answer to an earlier send may still arrive on the connection of that send, and
    /// it carries the id of the request like the answer to this one.
    pub fn count_send(&self, addr: SocketAddr) -> Reuse {
        let mut sent_to = self.sent_to.lock().unwrap_or_else(PoisonError::into_inner);
        if sent_to.insert(addr) { Reuse::Allowed } else { Reuse::Forbidden }
    }

    /// Returns the failure of a request whose work ends without an answer; only one that no backend
    /// server may have run is refused.
    fn unanswered(&self, sent: Reason, unsent: Reason) -> Failure {
        let maybe_ran = self.maybe_ran.load(Ordering::Relaxed);
        Failure::new(if maybe_ran { sent } else { unsent })
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        clock::boot().until(self.deadline)
    }
}

/// Answers a request.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::boot();
    let (parts, body) = request.into_parts();
    let head = match caller::decode(&parts) {
        Ok(head) => head,
        Err(error) => {
            event!(EventCode::RequestRejected, path = parts.uri.path(), reason = error);
            shared.metrics.count(Metric::RequestsRejected, 1, &[]);
            return Failure::new(Reason::BadRequest).answer();
        }
    };
    let mut closes = head.chunked || shared.is_stopping();
    let id = head.id.clone();
    let mut answer = match accept(&shared, head, body, arrived).await {
        Ok(routed) => run(&shared, routed).await,
        Err(failure) => {
            // The rest of the body may still arrive.
            closes |= matches!(failure.reason, Reason::TooLate | Reason::MemoryFull);
            refuse(&shared, &id, arrived, failure)
        }
    };
    // A chunked body may hide a second request (request smuggling), so the connection closes.
    if closes || shared.is_stopping() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Logs, counts and builds an answer that the node creates itself.
fn refuse(shared: &Shared, id: &str, arrived: Moment, failure: Failure) -> Response<Body> {
    let now = clock::boot();
    let view = shared.view.load();
    let reason: &'static str = failure.reason.into();
    let execution: &'static str = if failure.is_not_run() { "not_run" } else { "unknown" };
    let tags = [("code", reason), ("execution", execution)];
    shared.metrics.count(Metric::RequestsRefused, 1, &tags);
    event!(
        EventCode::RequestRefused,
        request = id,
        status = failure.status().as_u16(),
        reason = reason,
        retry_ms = failure.retry.map_or(0, |r| r.as_millis()),
        took_ms = now.since(arrived).as_millis(),
        version = view.orders.version(),
        orders_age_ms = view.orders.age(now).as_millis(),
        listing_age_ms = now.since(view.listing.confirmed_at).as_millis()
    );
    failure.answer()
}

/// Resolves a request and reads its body.
async fn accept(
    shared: &Shared,
    head: RequestHead,
    body: Incoming,
    arrived: Moment,
) -> Result<RoutedRequest, Failure> {
    let memory = claim_head(shared, &head)?;
    let view = shared.view.load();
    let Some(config) = &view.orders.config else {
        return Err(Failure::with_retry(Reason::NoConfig, NOT_READY_RETRY_DELAY));
    };
    let catalog = Arc::clone(&config.catalog);
    let route = catalog.route(&head.host, &head.path).ok_or(Failure::new(Reason::NoRoute))?;
    let holder = authorize(shared, &view, &catalog, &catalog.routes[route], &head)?;
    let allowed = head.deadline.min(catalog.routes[route].timeout).saturating_sub(ANSWER_MARGIN);
    let body = upload::read(shared, &head.id, body, catalog.limits.max_body, allowed).await?;
    let (prompt, parts_memory) = read_prompt(shared, &head)?;
    check_parts(shared, &head, &prompt)?;
    let service = choose_service(&catalog.routes[route]).ok_or(Failure::new(Reason::NoRoute))?;
    let deadline = arrived + allowed;
    if !shared.accepts(deadline) {
        return Err(Failure::with_retry(Reason::Stopping, STOPPING_RETRY_DELAY));
    }
    let (maybe_ran, sent_to) = (AtomicBool::new(false), Mutex::default());
    Ok(RoutedRequest {
        head,
        prompt,
        body,
        catalog,
        route,
        service,
        holder,
        arrived,
        deadline,
        maybe_ran,
        sent_to,
        _memory: [memory, parts_memory],
    })
}

/// Claims the memory of a head, which holds most of a request with very many headers.
fn claim_head(shared: &Shared, head: &RequestHead) -> Result<Reservation, Failure> {
    let text = head.headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    let claimed = shared.memory.reserve(head_bytes(head.headers.len(), text));
    claimed.map_err(|full| upload::refuse(shared, Use::Head, full, &head.id))
}

/// Claims the memory of a prompt's parts and reads them. An upload that has stopped holds only their text.
fn read_prompt(shared: &Shared, head: &RequestHead) -> Result<(Prompt, Reservation), Failure> {
    let claimed = shared.memory.reserve(Prompt::bytes(head));
    let memory = claimed.map_err(|full| upload::refuse(shared, Use::Prompt, full, &head.id))?;
    Ok((Prompt::decode(head), memory))
}

/// Returns the holder of the caller's key, or `None` if the route needs no key.
///
/// # Errors
/// Returns a failure for an unknown key, and for any key while the operator's records may be out of
/// date.
pub fn authorize(
    shared: &Shared,
    view: &StoreView,
    catalog: &Catalog,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<KeyHolder>, Failure> {
    if !catalog.needs_key(route) {
        return Ok(None);
    }
    if !shared.is_fresh() {
        return Err(Failure::with_retry(Reason::StaleOrders, STALE_RETRY_DELAY));
    }
    let holder = head.api_key.as_deref().and_then(|key| catalog.holder(key));
    debug_assert!(view.orders.config.is_some());
    holder.cloned().map(Some).ok_or(Failure::new(Reason::UnknownKey))
}

/// Returns the trial that a request is, if it is one of a quarantined part.
///
/// # Errors
/// Returns a refusal if a part of its prompt is quarantined otherwise.
pub fn check_parts(
    shared: &Shared,
    head: &RequestHead,
    prompt: &Prompt,
) -> Result<Option<Trial>, Failure> {
    match shared.verdict(&prompt.shared) {
        Verdict::Sound => Ok(None),
        Verdict::Trial(trial) => Ok(Some(trial)),
        Verdict::Held { part, trial_in } => Err(held(head, part, trial_in)),
    }
}

/// Logs which part holds a request back and returns its refusal.
pub fn held(head: &RequestHead, part: PartId, trial_in: Duration) -> Failure {
    event!(EventCode::RequestHeld, request = head.id, part = part, trial_ms = trial_in.as_millis());
    Failure::with_retry(Reason::Quarantined, quarantine::retry_delay(trial_in))
}

fn choose_service(route: &Route) -> Option<Arc<str>> {
    let weights = route.targets.iter().map(|(_, weight)| u64::from(*weight));
    let total: u64 = weights.sum();
    if route.targets.len() == 1 || total == 0 {
        return route.targets.first().map(|(service, _)| Arc::clone(service));
    }
    let mut draw = rand::random_range(0..total);
    for (service, weight) in &route.targets {
        match draw.checked_sub(u64::from(*weight)) {
            Some(left) => draw = left,
            None => return Some(Arc::clone(service)),
        }
    }
    None
}

/// Runs the stages, sends the request and returns its answer before the deadline.
async fn run(shared: &Arc<Shared>, routed: RoutedRequest) -> Response<Body> {
    let routed = Arc::new(routed);
    shared.retry_share().count_first(clock::boot(), &routed.service);
    let work = async {
        let inputs = stages::run(shared, &routed).await?;
        match forward::send(shared, &routed, inputs).await {
            // A backend server that held results was lost meanwhile; the request has not run.
            Err(failure) if failure.reason == Reason::InputsGone => {
                let inputs = stages::run(shared, &routed).await?;
                forward::send(shared, &routed, inputs).await
            }
            result => result,
        }
    };
    let result = tokio::select! {
        biased;
        result = timeout(routed.time_left(), work) => {
            result.unwrap_or_else(|_| Err(routed.unanswered(Reason::Timeout, Reason::TooLate)))
        }
        () = shared.must_answer() => Err(routed.unanswered(Reason::Lost, Reason::Stopping)),
    };
    match result {
        Ok(answer) => answer,
        Err(failure) => refuse(shared, &routed.head.id, routed.arrived, failure),
    }
}

/// Counts a request as running until this value is dropped.
pub struct Running(Arc<Shared>);

impl Running {
    /// Counts one request.
    pub fn new(shared: &Arc<Shared>) -> Self {
        shared.running.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}
