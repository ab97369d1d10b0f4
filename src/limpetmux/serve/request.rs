//! One request of a caller, from its head to its answer.

use super::failure::{Failure, Reason};
use super::forward;
use super::node::{Shared, StoreView};
use super::stages;
use super::stream::Body;
use crate::core::catalog::{Catalog, Holder, Route, RouteKey};
use crate::core::time::Moment;
use crate::event;
use crate::platform::caller::{self, Ask};
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::Metric;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::timeout;

/// What is left of a caller's deadline for the way of the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// When a caller should come back that came before the configuration was known.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// When a caller should come back whose key cannot be trusted now.
const STALE_RETRY: Duration = Duration::from_millis(700);

/// A request whose route and workspace are known.
pub struct Plan {
    /// What the caller sent.
    pub ask: Ask,
    /// Its body.
    pub body: Bytes,
    /// The configuration under which it was accepted.
    pub catalog: Arc<Catalog>,
    /// Its route.
    pub route: RouteKey,
    /// The service that answers it.
    pub service: Arc<str>,
    /// Whose key it carries, if it needs one.
    pub holder: Option<Holder>,
    /// When it arrived.
    pub arrived: Moment,
    /// When its answer is no longer of use.
    pub deadline: Moment,
    /// Whether it was handed to a backend server that may run it.
    pub sent: AtomicBool,
}

impl Plan {
    /// Returns the route.
    pub fn route(&self) -> &Route {
        &self.catalog.routes[self.route]
    }

    /// Returns the rank, 0 first.
    pub fn priority(&self) -> u8 {
        let own = self.holder.as_ref().and_then(|h| h.priority);
        own.unwrap_or(self.route().priority)
    }

    /// Returns the number of pieces of each stage of the route.
    pub fn pieces(&self) -> Vec<u32> {
        let count = |stage| self.ask.pieces.get(stage).copied().unwrap_or_default();
        (0..self.route().stages.len()).map(count).collect()
    }

    /// Returns when an answer is on time.
    pub fn aim(&self) -> Moment {
        self.arrived + self.route().aim
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        clock::boot().until(self.deadline)
    }
}

/// Answers a request.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let arrived = clock::boot();
    let (parts, body) = request.into_parts();
    let ask = match caller::decode(&parts) {
        Ok(ask) => ask,
        Err(bad) => {
            event!(EventCode::RequestRejected, path = parts.uri.path(), reason = bad);
            shared.metrics.count(Metric::RequestsRejected, 1, &[]);
            return Failure::new(Reason::BadRequest).answer();
        }
    };
    let closes = ask.chunked || shared.is_stopping();
    let id = ask.id.clone();
    let mut answer = match accept(&shared, ask, body, arrived).await {
        Ok(plan) => run(&shared, plan).await,
        Err(failure) => refuse(&shared, &id, arrived, failure),
    };
    // A body in chunks may hide a second request behind its end, so nothing more is read.
    if closes || shared.is_stopping() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Logs and builds an answer of the node itself.
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
        listing_age_ms = now.since(view.listing.confirmed).as_millis()
    );
    failure.answer()
}

/// Resolves a request and reads its body.
async fn accept(
    shared: &Shared,
    ask: Ask,
    body: Incoming,
    arrived: Moment,
) -> Result<Plan, Failure> {
    let view = shared.view.load();
    let Some(declared) = &view.orders.declared else {
        return Err(Failure::later(Reason::NoConfig, NOT_READY_RETRY));
    };
    let catalog = Arc::clone(&declared.catalog);
    let route = catalog.route(&ask.host, &ask.path).ok_or(Failure::new(Reason::NoRoute))?;
    let holder = authorize(shared, &view, &catalog, &catalog.routes[route], &ask)?;
    let body = read_body(body, catalog.limits.body).await?;
    let service = choose_service(&catalog.routes[route]).ok_or(Failure::new(Reason::NoRoute))?;
    let patience = ask.deadline.min(catalog.routes[route].timeout).saturating_sub(ANSWER_MARGIN);
    let deadline = arrived + patience;
    let sent = AtomicBool::new(false);
    Ok(Plan { ask, body, catalog, route, service, holder, arrived, deadline, sent })
}

/// Returns whose key a request carries, or `None` if its route needs none.
///
/// # Errors
/// Returns a failure for an unknown key, and for any key while orders may be out of date.
pub fn authorize(
    shared: &Shared,
    view: &StoreView,
    catalog: &Catalog,
    route: &Route,
    ask: &Ask,
) -> Result<Option<Holder>, Failure> {
    if !catalog.needs_key(route) {
        return Ok(None);
    }
    if !shared.is_fresh() {
        return Err(Failure::later(Reason::StaleOrders, STALE_RETRY));
    }
    let holder = ask.key.as_deref().and_then(|key| catalog.holder(key));
    debug_assert!(view.orders.declared.is_some());
    holder.cloned().map(Some).ok_or(Failure::new(Reason::UnknownKey))
}

async fn read_body(body: Incoming, most: usize) -> Result<Bytes, Failure> {
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Failure::new(Reason::BodyTooLarge)),
        Err(_) => Err(Failure::new(Reason::BodyCut)),
    }
}

fn choose_service(route: &Route) -> Option<Arc<str>> {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if route.targets.len() == 1 || total == 0 {
        return route.targets.first().map(|(service, _)| Arc::clone(service));
    }
    let mut draw = rand::random_range(0..total);
    for (service, weight) in &route.targets {
        match draw.checked_sub(*weight) {
            Some(left) => draw = left,
            None => return Some(Arc::clone(service)),
        }
    }
    None
}

/// Makes the stages, sends the request and returns its answer, within its time.
async fn run(shared: &Arc<Shared>, plan: Plan) -> Response<Body> {
    let plan = Arc::new(plan);
    let _running = Running::new(shared);
    shared.repeats().fresh(clock::boot(), &plan.service);
    let work = async {
        let inputs = stages::make(shared, &plan).await?;
        match forward::send(shared, &plan, inputs).await {
            // A backend server that held results has gone meanwhile; nothing has run.
            Err(failure) if failure.reason == Reason::InputsGone => {
                let inputs = stages::make(shared, &plan).await?;
                forward::send(shared, &plan, inputs).await
            }
            result => result,
        }
    };
    let result = match timeout(plan.left(), work).await {
        Ok(result) => result,
        Err(_) if plan.sent.load(Ordering::Relaxed) => Err(Failure::new(Reason::Timeout)),
        Err(_) => Err(Failure::new(Reason::TooLate)),
    };
    match result {
        Ok(answer) => answer,
        Err(failure) => refuse(shared, &plan.ask.id, plan.arrived, failure),
    }
}

/// Counts a request as running until it is dropped.
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
