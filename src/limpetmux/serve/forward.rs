//! Sends a request to a backend server and retries it where that is safe.
//!
//! A request that may run at most once is sent again only if it certainly did not run: no
//! connection was established, or the backend server states in an answer to this very request that
//! it did not run it. A request that is safe to repeat is retried within the route's attempts and
//! the entry's share of the service's retry budget.

use super::attempt::{Attempt, stream};
use super::connections::{ActiveConnection, ConnectionError};
use super::engines::{self, InputLocation, PlacedEngine};
use super::failure::{Failure, Reason};
use super::inputs::Inputs;
use super::load;
use super::node::{Shared, StoreView};
use super::plain;
use super::quota::QuotaDenied;
use super::request::{RoutedRequest, authorize, check_parts};
use super::stream::Body;
use crate::core::answer_proof::{self, Proof};
use crate::core::catalog::PoolSpec;
use crate::core::listing::Server;
use crate::core::placement::{PlaceEnd, PlaceQuery};
use crate::core::quarantine::Trial;
use crate::core::read_limits::{Bound, Exceeded, Peer};
use crate::event;
use crate::platform::caller::RequestHead;
use crate::platform::server::{self, AddedHeaders, ReplyHead};
use crate::util::clock;
use crate::util::event::EventCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Response;
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The pause between two searches for a backend server.
const SEARCH_PAUSE: Duration = Duration::from_millis(40);
/// The search for a backend server takes at most the remaining time divided by this.
const SEARCH_TIME_DIVISOR: u32 = 2;
/// Subtracted from the time that a backend server is given, for the transfer of its answer.
const TRANSFER_MARGIN: Duration = Duration::from_millis(10);
/// The retry delay for a caller whose request no backend server accepted.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The time after which a model engine has fetched the inputs of a request.
const INPUT_FETCH_TIME: Duration = Duration::from_millis(150);
/// A request waits for its turn at a limited backend server for at most the remaining time divided by
/// this.
const PATIENCE_DIVISOR: u32 = 8;
/// The most bytes that are read of the body of a refusal.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// The time in which the body of a refusal is read.
const REFUSAL_READ_TIME: Duration = Duration::from_millis(50);
/// How many sends may end without running before the request is refused.
const MAX_REFUSALS: usize = 4;

/// The outcome of one send.
pub enum SendOutcome {
    /// An answer for the caller; its connection needs no further handling.
    Answer(Response<Body>),
    /// The backend server did not run the request.
    NotRun(Reason),
    /// The request may have run, but there is no answer for the caller.
    Lost,
    /// The request ran and failed; the caller gets this answer if no further attempt succeeds.
    Failed(Response<Body>),
}

/// The sends of one request.
struct Attempts<'a> {
    shared: &'a Arc<Shared>,
    routed: &'a Arc<RoutedRequest>,
    /// The backend server near which the results were computed.
    planned: Option<Arc<str>>,
    /// Where the inputs are stored.
    location: InputLocation,
    excluded: Vec<Arc<str>>,
    /// The number of sends after which the request may have run.
    runs: u32,
    refusals: usize,
}

/// Sends a request until it is answered or may not be sent again.
///
/// # Errors
/// Returns the failure for the caller if no answer of a backend server can be used.
pub async fn send(
    shared: &Arc<Shared>,
    routed: &Arc<RoutedRequest>,
    inputs: Inputs,
) -> Result<Response<Body>, Failure> {
    let (planned, location) = (inputs.planned.clone(), inputs.location.clone());
    let mut inputs = Some(inputs);
    let mut attempts =
        Attempts { shared, routed, planned, location, excluded: Vec::new(), runs: 0, refusals: 0 };
    let mut fallback = None;
    loop {
        let (server, choice, attempt) = match attempts.find_server().await {
            Ok(found) => found,
            Err(failure) => return fallback.ok_or(attempts.lost_if_run(failure)),
        };
        match attempts.send_once(&server, choice, attempt, &mut inputs).await? {
            SendOutcome::Answer(answer) => return Ok(answer),
            SendOutcome::NotRun(reason) => {
                attempts.refusals += 1;
                if attempts.refusals >= MAX_REFUSALS || !attempts.take_retry() {
                    let failure =
                        attempts.lost_if_run(Failure::with_retry(reason, FULL_RETRY_DELAY));
                    return fallback.ok_or(failure);
                }
            }
            SendOutcome::Lost => {
                attempts.runs += 1;
                if !attempts.may_run_again() {
                    return fallback.ok_or(Failure::new(Reason::Lost));
                }
            }
            SendOutcome::Failed(answer) => {
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
    /// Searches for a backend server for a part of the remaining time.
    async fn find_server(&self) -> Result<(Server, Option<PlacedEngine>, Attempt), Failure> {
        let until = clock::boot() + self.routed.time_left() / SEARCH_TIME_DIVISOR;
        loop {
            let choice = self.choose_engine().await?;
            let Some((server, trial)) = self.pick(choice.as_ref())? else {
                if clock::boot() >= until || !self.excluded.is_empty() {
                    return Err(Failure::with_retry(Reason::Unavailable, FULL_RETRY_DELAY));
                }
                sleep(SEARCH_PAUSE).await;
                continue;
            };
            // Counts the request at its server from here on, and no more if it is not sent.
            let mut attempt = Attempt::new(self.shared, self.routed, &server, clock::boot());
            if self.take_quota(&server).await? {
                if let Some(trial) = trial {
                    begin_trial(self.shared, &self.routed.head, trial, &server.id);
                }
                let choice = choice.filter(|c| c.server == server.id);
                attempt.expected = choice.as_ref().map(|c| c.expected);
                return Ok((server, choice, attempt));
            }
            if clock::boot() >= until {
                return Err(Failure::with_retry(Reason::Limited, FULL_RETRY_DELAY));
            }
        }
    }

    /// Returns how long the request may wait for its turn at a limited backend server.
    fn patience(&self) -> Duration {
        self.routed.time_left() / PATIENCE_DIVISOR
    }

    /// Takes one request from what a limited backend server accepts; returns whether it may be sent.
    async fn take_quota(&self, server: &Server) -> Result<bool, Failure> {
        let request = &self.routed.head.id;
        match self.shared.take_quota(request, server, self.patience()).await {
            Ok(Duration::ZERO) => Ok(true),
            Ok(_) => self.is_allowed(server),
            Err(QuotaDenied) => Ok(false),
        }
    }

    /// Returns whether the request, which has waited for its turn, may still be sent to its backend
    /// server.
    fn is_allowed(&self, server: &Server) -> Result<bool, Failure> {
        let view = self.shared.view.load();
        self.authorize(&view)?;
        let servers = self.shared.open_or_limited(&view, &self.routed.service)?;
        Ok(servers.iter().any(|s| s.id == server.id && s.started_ms == server.started_ms))
    }

    /// Refuses the request if its route or its key is not in the view.
    fn authorize(&self, view: &StoreView) -> Result<(), Failure> {
        let routed = self.routed;
        let Some(config) = &view.orders.config else {
            return Err(Failure::with_retry(Reason::NoConfig, FULL_RETRY_DELAY));
        };
        let catalog = &config.catalog;
        let route = catalog.route(&routed.head.host, &routed.head.path);
        let route = route.ok_or(Failure::new(Reason::NoRoute))?;
        authorize(self.shared, view, catalog, &catalog.routes[route], &routed.head)?;
        Ok(())
    }

    /// Lets the queue node of a pool of model engines choose one; `None` for other pools.
    async fn choose_engine(&self) -> Result<Option<PlacedEngine>, Failure> {
        let Some(except) = self.unusable_engines() else { return Ok(None) };
        engines::place(self.shared, self.routed, &self.location, &except).await
    }

    /// Returns the engines that cannot be chosen; `None` if there is no other, or for other pools.
    fn unusable_engines(&self) -> Option<Vec<Arc<str>>> {
        let view = self.shared.view.load();
        let pool = view.orders.config.as_ref()?.catalog.pool(&self.routed.service)?;
        pool.engine?;
        let entries = self.shared.nodes().entries(clock::boot());
        let servers = view.usable(&self.routed.service);
        let available = self.shared.available(&view, &self.routed.service, Duration::ZERO).ok()?;
        let query = self.query(Some(pool), &entries, None);
        let route = &self.routed.route().name;
        let available = self.shared.lanes(&view, &self.routed.service, route, available).first;
        let mut unusable = self.shared.placement().unusable(clock::boot(), &available, query);
        let closed = servers.iter().filter(|s| !available.iter().any(|a| a.id == s.id));
        unusable.extend(closed.map(|s| Arc::clone(&s.id)));
        (unusable.len() < servers.len()).then_some(unusable)
    }

    fn query<'q>(
        &'q self,
        pool: Option<&PoolSpec>,
        entries: &'q [Arc<str>],
        choice: Option<&'q PlacedEngine>,
    ) -> PlaceQuery<'q> {
        let is_engine = pool.is_some_and(|p| p.engine.is_some());
        PlaceQuery {
            prefix: self.routed.prompt.prefix().filter(|_| is_engine),
            zone: &self.shared.local_node.zone,
            planned: self.planned.as_deref(),
            chosen: choice.map(|c| &*c.server),
            exclude: &self.excluded,
            entry: &self.shared.local_node.name,
            entries,
            cold_rate: pool.map_or(0.0, |p| p.cold_rate),
            cold_time: pool.map_or(Duration::ZERO, |p| p.cold_time),
        }
    }

    /// Picks a backend server by the current view, which may have changed since the request was
    /// accepted; an engine that the queue node chose is used if it is still allowed.
    ///
    /// Returns also the part of the prompt of which the request is a trial.
    fn pick(
        &self,
        choice: Option<&PlacedEngine>,
    ) -> Result<Option<(Server, Option<Trial>)>, Failure> {
        let now = clock::boot();
        let view = self.shared.view.load();
        let routed = self.routed;
        self.authorize(&view)?;
        let trial = check_parts(self.shared, &routed.head, &routed.prompt)?;
        let catalog = view.orders.config.as_ref().map_or(&routed.catalog, |c| &c.catalog);
        let pool = catalog.pool(&routed.service).or_else(|| routed.catalog.pool(&routed.service));
        let entries = self.shared.nodes().entries(now);
        let query = self.query(pool, &entries, choice);
        let servers = self.shared.available(&view, &routed.service, self.patience())?;
        let route = &routed.route().name;
        let lanes = self.shared.lanes(&view, &routed.service, route, servers);
        let server = {
            let mut placement = self.shared.placement();
            let first = placement.pick(now, &lanes.first, query);
            first.or_else(|| placement.pick(now, &lanes.second, query)).cloned()
        };
        if let Some(server) = &server {
            self.shared.count_send(&view, route, server);
        }
        Ok(server.map(|server| (server, trial)))
    }

    /// Takes one retry from the entry's share of the budget; returns whether there was one.
    fn take_retry(&self) -> bool {
        let entries = self.shared.nodes().entries(clock::boot()).len();
        self.shared.retry_share().try_retry(
            clock::boot(),
            &self.routed.service,
            entries * SPARE_ENTRY_FACTOR,
        )
    }

    /// Returns whether a request that may already have run may be sent again.
    fn may_run_again(&self) -> bool {
        let route = self.routed.route();
        route.retry_class.is_retryable() && self.runs < route.attempts && self.take_retry()
    }

    /// Replaces a refusal, which guarantees that nothing ran, once the request may have run.
    fn lost_if_run(&self, failure: Failure) -> Failure {
        if self.runs > 0 { Failure::new(Reason::Lost) } else { failure }
    }

    async fn send_once(
        &self,
        server: &Server,
        choice: Option<PlacedEngine>,
        mut attempt: Attempt,
        inputs: &mut Option<Inputs>,
    ) -> Result<SendOutcome, Failure> {
        let (shared, routed) = (self.shared, self.routed);
        let began = clock::boot();
        attempt.began = began;
        let results = inputs.as_ref().map(|i| i.results.as_slice()).unwrap_or_default();
        let added = AddedHeaders {
            server: &server.id,
            workspace: routed.holder.as_ref().map(|h| &*h.workspace),
            time_left: routed.time_left().saturating_sub(TRANSFER_MARGIN),
            priority: routed
                .catalog
                .pool(&routed.service)
                .and_then(|p| p.engine)
                .map(|_| routed.priority()),
            inputs: results,
            fetch_from: choice.and_then(|c| self.address(&c.source?)),
        };
        let request = server::request(&routed.head, &added, routed.body.clone())
            .map_err(|_| self.lost_if_run(Failure::new(Reason::BadRequest)))?;
        routed.maybe_ran.store(true, Ordering::Relaxed);
        let watch = attempt.watch.clone();
        let reuse = routed.count_send(server.addr);
        let sending = shared.connections.send_watched(server.addr, request, reuse, &watch);
        let (answer, conn) = match free_when_fetched(sending, inputs).await {
            Ok(sent) => sent,
            Err(error) => return Ok(self.connection_failed(attempt, &error)),
        };
        let head = server::head(&routed.head.id, &answer);
        attempt.head_at = clock::boot();
        shared.record_notice(server, began, head.notice);
        if let Some(load) = load::stated(&shared.metrics, head.load) {
            shared.placement().record_load(attempt.head_at, &server.id, load);
        }
        match answer_proof::proof(head.claims()) {
            Proof::Answered if head.status.is_informational() => {
                attempt.fail_answer("the answer is informational", &head);
                return Ok(SendOutcome::Lost);
            }
            Proof::Answered => {}
            Proof::NotRun => return self.not_run(attempt, (answer, conn), &head).await,
            Proof::Nothing(unusable) => {
                attempt.fail_answer(&unusable.to_string(), &head);
                return Ok(SendOutcome::Lost);
            }
        }
        if routed.route().retry_class.is_stream() && head.status.is_success() {
            return Ok(SendOutcome::Answer(stream(attempt, answer, conn, &head, inputs.take())));
        }
        Ok(plain::read(attempt, answer, conn, &head).await)
    }

    /// Ends an attempt whose answer proves that the backend server did not run the request.
    async fn not_run(
        &self,
        mut attempt: Attempt,
        (answer, connection): (Response<Incoming>, ActiveConnection),
        head: &ReplyHead,
    ) -> Result<SendOutcome, Failure> {
        attempt.record_not_run(head, connection.earlier());
        attempt.end(match head.wrong_server {
            true => PlaceEnd::WrongServer,
            false if head.inputs_missing => PlaceEnd::Neutral,
            false => PlaceEnd::Full,
        });
        self.routed.maybe_ran.store(self.runs > 0, Ordering::Relaxed);
        if let Some(exceeded) = recycle(answer, connection, head).await {
            attempt.record_stop(exceeded);
        }
        if head.inputs_missing {
            let failure = Failure::with_retry(Reason::InputsGone, FULL_RETRY_DELAY);
            return Err(self.lost_if_run(failure));
        }
        Ok(SendOutcome::NotRun(Reason::AllFull))
    }

    /// Returns the address of a backend server, if it is still usable.
    fn address(&self, id: &str) -> Option<SocketAddr> {
        let view = self.shared.view.load();
        let servers = view.usable(&self.routed.service);
        servers.into_iter().find(|s| *s.id == *id).map(|s| s.addr)
    }

    fn connection_failed(&self, mut attempt: Attempt, error: &ConnectionError) -> SendOutcome {
        attempt.fail_connection(error);
        if error.is_unsent() {
            self.routed.maybe_ran.store(self.runs > 0, Ordering::Relaxed);
            return SendOutcome::NotRun(Reason::Unavailable);
        }
        SendOutcome::Lost
    }
}

/// Counts and logs a request that is sent as the trial of a quarantined part.
fn begin_trial(shared: &Shared, head: &RequestHead, trial: Trial, server: &str) {
    shared.quarantine.begin_trial(&shared.metrics, trial);
    event!(EventCode::PartTried, request = head.id, part = trial.part, server = server);
}

/// Waits for an answer and frees the inputs once the model engine must have fetched them.
async fn free_when_fetched<T>(sending: impl Future<Output = T>, inputs: &mut Option<Inputs>) -> T {
    let mut sending = std::pin::pin!(sending);
    tokio::select! {
        sent = sending.as_mut() => return sent,
        () = sleep(INPUT_FETCH_TIME) => {}
    }
    if let Some(inputs) = inputs {
        inputs.free();
    }
    sending.await
}

/// The retry budget is divided among this many entries for each known one, because spare entries
/// may join.
const SPARE_ENTRY_FACTOR: usize = 2;

/// Reads a short answer to its end so that its connection can be reused; a longer one closes it.
///
/// Returns the bound that ended the reading. The answer has proved before that nothing ran.
async fn recycle(
    answer: Response<Incoming>,
    connection: ActiveConnection,
    head: &ReplyHead,
) -> Option<Exceeded> {
    let reading = Limited::new(answer.into_body(), MAX_REFUSAL_BYTES).collect();
    let peer = Peer::BackendServer;
    match timeout(REFUSAL_READ_TIME, reading).await {
        Ok(Ok(_)) if head.closes || head.wrong_server => None,
        Ok(Ok(_)) => {
            connection.keep(head.keep_alive);
            None
        }
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Some(Exceeded::count(peer, Bound::Body, MAX_REFUSAL_BYTES))
        }
        Ok(Err(error)) => {
            log::debug!(target: "limpetmux", "the body of a refusal is broken: {error}");
            None
        }
        Err(_) => Some(Exceeded::time(peer, REFUSAL_READ_TIME)),
    }
}
