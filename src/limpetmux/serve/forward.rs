//! Sends a request to a backend server and judges its answer.
//!
//! A request that may run at most once is sent again only if it provably did not run: no
//! connection came about, or the backend server says so. What may be repeated is repeated within
//! the route's attempts and the entry's share of the repeats that the service bears.

use super::engines::{self, InputsAt, Placed};
use super::failure::{Failure, Reason};
use super::inputs::Inputs;
use super::links::{Lease, LinkError};
use super::node::Shared;
use super::request::{Plan, authorize};
use super::stream::Body;
use super::visit::{Visit, pass_on};
use crate::core::catalog::PoolSpec;
use crate::core::listing::Server;
use crate::core::placement::{PlaceEnd, PlaceQuery};
use crate::platform::server::{self, Order, ReplyHead};
use crate::util::clock;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

/// The pause before backend servers are looked for again.
const SEARCH_PAUSE: Duration = Duration::from_millis(40);
/// The part of a request's time that is spent on looking for a backend server.
const SEARCH_PARTS: u32 = 2;
/// What is taken off the time that a backend server is given, for the way of its answer.
const WAY: Duration = Duration::from_millis(10);
/// When a caller should come back that no backend server took.
const FULL_RETRY: Duration = Duration::from_millis(250);
/// The time after which a model engine has fetched the inputs of a request.
const FETCH_TIME: Duration = Duration::from_millis(150);
/// The sends that did not run, after which a request is refused.
const REFUSALS: usize = 4;

/// How one send ended.
pub enum Sent {
    /// An answer for the caller, on which the server's connection depends no more.
    Answer(Response<Body>),
    /// The request did not run there.
    NotRun(Reason),
    /// The request may have run; there is no answer for the caller.
    Lost,
    /// The request ran and failed; the answer may be given if nothing better comes.
    Failed(Response<Body>),
}

struct Attempts<'a> {
    shared: &'a Arc<Shared>,
    plan: &'a Arc<Plan>,
    /// The server that the results were made for.
    planned: Option<Arc<str>>,
    /// Where its inputs lie.
    at: InputsAt,
    excluded: Vec<Arc<str>>,
    /// Sends after which the request may have run.
    runs: u32,
    refusals: usize,
}

/// Sends a request until it is answered.
///
/// # Errors
/// Returns the answer that the node has to give itself.
pub async fn send(
    shared: &Arc<Shared>,
    plan: &Arc<Plan>,
    inputs: Inputs,
) -> Result<Response<Body>, Failure> {
    let (planned, at) = (inputs.planned.clone(), inputs.at.clone());
    let mut inputs = Some(inputs);
    let mut attempts =
        Attempts { shared, plan, planned, at, excluded: Vec::new(), runs: 0, refusals: 0 };
    let mut fallback = None;
    loop {
        let (server, placed) = match attempts.find().await {
            Ok(found) => found,
            Err(failure) => return fallback.ok_or(attempts.truthful(failure)),
        };
        match attempts.send_once(&server, placed, &mut inputs).await? {
            Sent::Answer(answer) => return Ok(answer),
            Sent::NotRun(reason) => {
                attempts.refusals += 1;
                if attempts.refusals >= REFUSALS || !attempts.may_repeat() {
                    let failure = attempts.truthful(Failure::later(reason, FULL_RETRY));
                    return fallback.ok_or(failure);
                }
            }
            Sent::Lost => {
                attempts.runs += 1;
                if !attempts.may_run_again() {
                    return fallback.ok_or(Failure::new(Reason::Lost));
                }
            }
            Sent::Failed(answer) => {
                attempts.runs += 1;
                if !attempts.may_run_again() {
                    return Ok(answer);
                }
                fallback = Some(answer);
            }
        }
        attempts.excluded.push(Arc::clone(&server.id));
    }
}

impl Attempts<'_> {
    /// Looks for a backend server, for a part of the time that is left.
    async fn find(&self) -> Result<(Server, Option<Placed>), Failure> {
        let until = clock::boot() + self.plan.left() / SEARCH_PARTS;
        loop {
            let placed = self.place().await;
            if let Some(server) = self.pick(placed.as_ref())? {
                let placed = placed.filter(|p| p.server == server.id);
                return Ok((server, placed));
            }
            if clock::boot() >= until || !self.excluded.is_empty() {
                return Err(Failure::later(Reason::Unavailable, FULL_RETRY));
            }
            sleep(SEARCH_PAUSE).await;
        }
    }

    /// Has the board of a pool of model engines choose one; `None` for other pools.
    async fn place(&self) -> Option<Placed> {
        let except = {
            let view = self.shared.view.load();
            let pool = view.orders.declared.as_ref()?.catalog.pool(&self.plan.service)?;
            pool.engine?;
            let entries = self.shared.nodes().entries(clock::boot());
            let servers = view.usable(&self.plan.service);
            let query = self.query(Some(pool), &entries, None);
            let unfit = self.shared.placement().unfit(clock::boot(), &servers, query);
            if unfit.len() >= servers.len() {
                return None;
            }
            unfit
        };
        engines::place(self.shared, self.plan, &self.at, &except).await
    }

    fn query<'q>(
        &'q self,
        pool: Option<&PoolSpec>,
        entries: &'q [Arc<str>],
        placed: Option<&'q Placed>,
    ) -> PlaceQuery<'q> {
        let is_engine = pool.is_some_and(|p| p.engine.is_some());
        PlaceQuery {
            prefix: self.plan.ask.prefix().filter(|_| is_engine),
            zone: &self.shared.own.zone,
            planned: self.planned.as_deref(),
            chosen: placed.map(|p| &*p.server),
            exclude: &self.excluded,
            entry: &self.shared.own.name,
            entries,
            cold_rate: pool.map_or(0.0, |p| p.rate),
            cold_for: pool.map_or(Duration::ZERO, |p| p.cold),
        }
    }

    /// Chooses a backend server by what is known now, which may have changed since the request
    /// was accepted; the choice of the board holds if it is still allowed.
    fn pick(&self, placed: Option<&Placed>) -> Result<Option<Server>, Failure> {
        let now = clock::boot();
        let view = self.shared.view.load();
        let plan = self.plan;
        let Some(declared) = &view.orders.declared else {
            return Err(Failure::later(Reason::NoConfig, FULL_RETRY));
        };
        let catalog = &declared.catalog;
        let route = catalog.route(&plan.ask.host, &plan.ask.path);
        let route = route.ok_or(Failure::new(Reason::NoRoute))?;
        authorize(self.shared, &view, catalog, &catalog.routes[route], &plan.ask)?;
        let pool = catalog.pool(&plan.service).or_else(|| plan.catalog.pool(&plan.service));
        let entries = self.shared.nodes().entries(now);
        let query = self.query(pool, &entries, placed);
        let servers = view.usable(&plan.service);
        Ok(self.shared.placement().pick(now, &servers, query).cloned())
    }

    /// Returns whether a send that did not run may be followed by another one.
    fn may_repeat(&self) -> bool {
        let entries = self.shared.nodes().entries(clock::boot()).len();
        self.shared.repeats().repeat(clock::boot(), &self.plan.service, entries * SPARES)
    }

    /// Returns whether a request that may have run may run once more.
    fn may_run_again(&self) -> bool {
        let route = self.plan.route();
        route.repeat.is_safe() && self.runs < route.attempts && self.may_repeat()
    }

    /// A refusal promises that nothing ran; once something may have, the answer says so.
    fn truthful(&self, failure: Failure) -> Failure {
        if self.runs > 0 { Failure::new(Reason::Lost) } else { failure }
    }

    async fn send_once(
        &self,
        server: &Server,
        placed: Option<Placed>,
        inputs: &mut Option<Inputs>,
    ) -> Result<Sent, Failure> {
        let (shared, plan) = (self.shared, self.plan);
        let began = clock::boot();
        let mut visit = Visit::new(shared, plan, server, began);
        visit.expected = placed.as_ref().map(|p| p.expected);
        let results = inputs.as_ref().map(|i| i.results.as_slice()).unwrap_or_default();
        let order = Order {
            server: &server.id,
            workspace: plan.holder.as_ref().map(|h| &*h.workspace),
            left: plan.left().saturating_sub(WAY),
            priority: plan
                .catalog
                .pool(&plan.service)
                .and_then(|p| p.engine)
                .map(|_| plan.priority()),
            inputs: results,
            fetch: placed.and_then(|p| self.address(&p.source?)),
        };
        let request = server::request(&plan.ask, &order, plan.body.clone())
            .map_err(|_| Failure::new(Reason::BadRequest))?;
        plan.sent.store(true, Ordering::Relaxed);
        let sending = shared.links.send(server.addr, request);
        let (answer, lease) = match free_when_fetched(sending, inputs).await {
            Ok(sent) => sent,
            Err(error) => return Ok(self.unanswered(visit, &error)),
        };
        let head = server::head(&plan.ask.id, &answer);
        visit.head = clock::boot();
        if head.not_run {
            visit.end(match head.elsewhere {
                true => PlaceEnd::Elsewhere,
                false if head.inputs_gone => PlaceEnd::Neutral,
                false => PlaceEnd::Full,
            });
            plan.sent.store(self.runs > 0, Ordering::Relaxed);
            give_back(answer, lease, &head).await;
            if head.inputs_gone {
                return Err(self.truthful(Failure::later(Reason::InputsGone, FULL_RETRY)));
            }
            return Ok(Sent::NotRun(Reason::AllFull));
        }
        if !head.own || (head.status.is_success() && !head.signed) {
            visit.failed("the answer is not this request's");
            return Ok(Sent::Lost);
        }
        if plan.route().repeat.is_stream() && head.status.is_success() {
            return Ok(Sent::Answer(pass_on(visit, answer, lease, &head, inputs.take())));
        }
        Ok(visit.whole(answer, lease, &head).await)
    }

    /// Returns where a backend server is, if it may still be used.
    fn address(&self, id: &str) -> Option<SocketAddr> {
        let view = self.shared.view.load();
        let servers = view.usable(&self.plan.service);
        servers.into_iter().find(|s| *s.id == *id).map(|s| s.addr)
    }

    fn unanswered(&self, mut visit: Visit, error: &LinkError) -> Sent {
        visit.failed_by(error);
        if error.is_unsent() {
            self.plan.sent.store(self.runs > 0, Ordering::Relaxed);
            return Sent::NotRun(Reason::Unavailable);
        }
        Sent::Lost
    }
}

/// Waits for an answer and gives the inputs up once the model engine must have fetched them.
async fn free_when_fetched<T>(sending: impl Future<Output = T>, inputs: &mut Option<Inputs>) -> T {
    let mut sending = std::pin::pin!(sending);
    tokio::select! {
        sent = sending.as_mut() => return sent,
        () = sleep(FETCH_TIME) => {}
    }
    if let Some(inputs) = inputs {
        inputs.free();
    }
    sending.await
}

/// How many entries there may be for each one that is known, with the spare ones.
const SPARES: usize = 2;

/// Reads a short answer to its end so that its connection can be kept.
async fn give_back(answer: Response<Incoming>, lease: Lease, head: &ReplyHead) {
    let whole = answer.into_body().collect().await.is_ok();
    if whole && !head.closes && !head.elsewhere {
        lease.keep(head.keep);
    }
}
