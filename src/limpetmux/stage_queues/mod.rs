//! Runs the queues of pieces for the services of which this node is the queue node.
//!
//! [`StageQueues`] holds one [`PieceQueue`] for each service that entries have sent stages of. It
//! sends the calls that the queues schedule, reports their outcomes to the queues, and frees
//! results that are not needed any more. A request that ends early cancels its stage by dropping
//! the future of [`run`](StageQueues::run).

mod call;
pub mod engines;
mod exchange;
mod leave;

use crate::core::catalog::PieceSpec;
use crate::core::listing::Server;
use crate::core::pieces::{Actions, CallEnd, JobKey, JobSpec, PieceQueue, StageEnd, StageWaits};
use crate::core::pieces::{CallKey, CallQuota, WorkerSpec};
use crate::core::server_limits::RequestRate;
use crate::core::server_notices::{Incarnation, PoolClosed};
use crate::core::share::{Contest, Spell};
use crate::core::work::load::LoadNotice;
use crate::event;
use crate::platform::stage;
use crate::serve::connections::ConnectionPool;
use crate::serve::inputs::free_results;
use crate::serve::load;
use crate::serve::node::{Shared, StoreView};
use crate::util::clock;
use crate::util::event::EventCode;
use call::{free, run_call};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// The time between two steps of a queue that has waiting or running pieces.
const STEP_INTERVAL: Duration = Duration::from_millis(25);

/// The most results that are freed together; a backend server drops others when they expire.
const MAX_DELAYED: usize = 4_096;

/// How many workspaces are named in a log line.
const LOGGED_WAITS: usize = 4;

struct Queue {
    pieces: PieceQueue,
    contest: Contest,
    waiters: BTreeMap<JobKey, oneshot::Sender<StageEnd>>,
}

/// The queues of one node.
pub struct StageQueues {
    shared: Arc<Shared>,
    /// Connections that carry only calls that free results.
    freeing: ConnectionPool,
    /// Results at limited backend servers that are freed together.
    delayed: Mutex<BTreeMap<SocketAddr, Vec<Arc<str>>>>,
    queues: Mutex<BTreeMap<Arc<str>, Queue>>,
}

/// Cancels a queued stage when dropped before the stage has ended.
struct CancelOnDrop {
    queues: Arc<StageQueues>,
    service: Arc<str>,
    key: JobKey,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        let results = {
            let mut queues = self.queues.lock();
            let Some(queue) = queues.get_mut(&self.service) else { return };
            if queue.waiters.remove(&self.key).is_none() {
                return;
            }
            queue.pieces.cancel(self.key)
        };
        self.queues.free(&self.service, results);
    }
}

impl StageQueues {
    /// Creates the queues of a node; there are none at first.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            freeing: ConnectionPool::default(),
            delayed: Mutex::default(),
            queues: Mutex::default(),
        })
    }

    /// Queues a stage and returns its outcome once it has ended.
    pub async fn run(self: &Arc<Self>, service: &Arc<str>, spec: JobSpec) -> StageEnd {
        let (waiter, end) = oneshot::channel();
        let submitted = self.submit(service, spec, waiter);
        let key = match submitted {
            Ok((key, actions)) => {
                self.perform(service, actions);
                key
            }
            Err(end) => return end,
        };
        let queues = Arc::clone(self);
        let _cancel = CancelOnDrop { queues, service: Arc::clone(service), key };
        end.await.unwrap_or(StageEnd::Failed)
    }

    fn submit(
        &self,
        service: &Arc<str>,
        spec: JobSpec,
        waiter: oneshot::Sender<StageEnd>,
    ) -> Result<(JobKey, Actions), StageEnd> {
        let now = clock::boot();
        let view = self.shared.view.load();
        let mut queues = self.lock();
        let queue = queue(&mut queues, &view, service).ok_or(StageEnd::Unavailable)?;
        let available = workers(&self.shared, &view, service);
        queue.pieces.set_workers(available.clone().unwrap_or_default());
        if let Err(PoolClosed { opens_in, .. }) = available {
            return Err(opens_in
                .map_or(StageEnd::Unavailable, |retry_after| StageEnd::Late { retry_after }));
        }
        let key = queue.pieces.submit(now, spec)?;
        queue.waiters.insert(key, waiter);
        Ok((key, queue.pieces.step(now)))
    }

    /// Returns the queueing times of new stages of a service.
    pub fn stage_waits(&self, service: &str) -> StageWaits {
        let queues = self.lock();
        queues
            .get(service)
            .map_or_else(StageWaits::default, |q| q.pieces.stage_waits(clock::boot()))
    }

    /// Returns how many pieces per second a service computes.
    pub fn rate(&self, service: &str) -> f64 {
        self.lock().get(service).map_or(0.0, |q| q.pieces.rate(clock::boot()))
    }

    /// Returns whether the backend servers of a service are short of memory for results.
    pub fn is_room_short(&self, service: &str) -> bool {
        self.lock().get(service).is_some_and(|q| q.pieces.is_room_short(clock::boot()))
    }

    /// Returns whether no stage waits or runs.
    pub fn is_idle(&self) -> bool {
        self.lock().values().all(|q| q.pieces.is_idle())
    }

    /// Frees results that are not needed any more.
    pub fn free(self: &Arc<Self>, service: &str, results: Vec<Arc<str>>) {
        if results.is_empty() {
            return;
        }
        let mut by_holder: BTreeMap<SocketAddr, Vec<Arc<str>>> = BTreeMap::new();
        for result in results {
            if let Some(addr) = stage::holder(&result) {
                by_holder.entry(addr).or_default().push(result);
            }
        }
        for (addr, results) in by_holder {
            let service = Arc::from(service);
            tokio::spawn(free(Arc::clone(self), service, addr, results));
        }
    }

    /// Adds results to those that are freed together at a backend server; returns whether they are the
    /// first.
    fn delay(&self, addr: SocketAddr, results: Vec<Arc<str>>) -> bool {
        let mut delayed = self.delayed.lock().unwrap_or_else(PoisonError::into_inner);
        let is_first = !delayed.contains_key(&addr);
        let known = delayed.entry(addr).or_default();
        let room = MAX_DELAYED.saturating_sub(known.len());
        known.extend(results.into_iter().take(room));
        is_first
    }

    /// Takes the results that are freed together at a backend server.
    fn take_delayed(&self, addr: SocketAddr) -> Vec<Arc<str>> {
        let mut delayed = self.delayed.lock().unwrap_or_else(PoisonError::into_inner);
        delayed.remove(&addr).unwrap_or_default()
    }

    /// Steps all queues with waiting or running pieces and closes idle connections, until the
    /// process exits.
    pub async fn run_queues(self: Arc<Self>) {
        loop {
            sleep(STEP_INTERVAL).await;
            for service in self.busy() {
                self.step(&service);
            }
            self.shared.connections.close_idle();
            self.freeing.close_idle();
        }
    }

    fn busy(&self) -> Vec<Arc<str>> {
        let queues = self.lock();
        let busy = queues.iter().filter(|(_, q)| !q.pieces.is_idle() || q.contest.is_open());
        busy.map(|(service, _)| Arc::clone(service)).collect()
    }

    fn step(self: &Arc<Self>, service: &Arc<str>) {
        let view = self.shared.view.load();
        let actions = {
            let mut queues = self.lock();
            let Some(queue) = queue(&mut queues, &view, service) else { return };
            let available = workers(&self.shared, &view, service);
            queue.pieces.set_workers(available.unwrap_or_default());
            log_contest(service, queue);
            queue.pieces.step(clock::boot())
        };
        self.perform(service, actions);
    }

    /// Performs the actions that a queue has returned.
    fn perform(self: &Arc<Self>, service: &Arc<str>, actions: Actions) {
        for (key, end) in actions.ended {
            let waiter = self.lock().get_mut(service).and_then(|q| q.waiters.remove(&key));
            // The receiver is gone if the caller has disconnected.
            drop(waiter.map(|w| w.send(end)));
        }
        self.free(service, actions.unneeded_results);
        self.free_fetched(actions.fetched_inputs);
        for call in actions.calls {
            tokio::spawn(run_call(Arc::clone(self), Arc::clone(service), call));
        }
    }

    /// Frees results of other services through their queue nodes.
    fn free_fetched(&self, results: Vec<Arc<str>>) {
        if results.is_empty() {
            return;
        }
        let view = self.shared.view.load();
        let mut services: BTreeMap<Arc<str>, Vec<Arc<str>>> = BTreeMap::new();
        for result in results {
            let holder = stage::holder(&result);
            let server = view.listing.servers().find(|s| Some(s.addr) == holder);
            // Results of a backend server that has left no longer exist.
            if let Some(server) = server {
                services.entry(Arc::clone(&server.service)).or_default().push(result);
            }
        }
        for (service, results) in services {
            free_results(&self.shared, service, results);
        }
    }

    /// Records the load that a backend server states in the answer to a call.
    fn record_load(&self, service: &str, server: &str, notice: LoadNotice) {
        let Some(load) = load::stated(&self.shared.metrics, notice) else { return };
        if let Some(queue) = self.lock().get_mut(service) {
            queue.pieces.record_load(clock::boot(), server, load);
        }
    }

    fn finish(self: &Arc<Self>, service: &Arc<str>, call: CallKey, end: CallEnd) {
        let now = clock::boot();
        let (ended, next) = {
            let mut queues = self.lock();
            let Some(queue) = queues.get_mut(service) else { return };
            let ended = queue.pieces.finish(now, call, end);
            (ended, queue.pieces.step(now))
        };
        self.perform(service, ended);
        self.perform(service, next);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, Queue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the queue of a service, creating it if the configuration declares pieces for it.
fn queue<'a>(
    queues: &'a mut BTreeMap<Arc<str>, Queue>,
    view: &StoreView,
    service: &Arc<str>,
) -> Option<&'a mut Queue> {
    let config = view.orders.config.as_ref()?;
    let spec = config.catalog.pool(service)?.pieces?;
    let queue = queues.entry(Arc::clone(service)).or_insert_with(|| new_queue(spec));
    queue.pieces.configure(spec);
    Some(queue)
}

fn new_queue(spec: PieceSpec) -> Queue {
    Queue { pieces: PieceQueue::new(spec), contest: Contest::default(), waiters: BTreeMap::new() }
}

/// Logs when workspaces begin and cease to compete for a queue.
fn log_contest(service: &str, queue: &mut Queue) {
    let now = clock::boot();
    match queue.contest.observe(now, queue.pieces.competing(now)) {
        Some(Spell::Begun { workspaces }) => event!(
            EventCode::ShareBegun,
            service = service,
            workspaces = workspaces,
            waits_ms = waits_text(&queue.pieces.stage_waits(now))
        ),
        Some(Spell::Ended { lasted }) => {
            event!(EventCode::ShareEnded, service = service, lasted_ms = lasted.as_millis());
        }
        None => {}
    }
}

/// Returns the longest waits of workspaces in milliseconds, for a log line.
fn waits_text(waits: &StageWaits) -> String {
    let longest = waits.workspaces.iter().take(LOGGED_WAITS);
    let text: Vec<String> =
        longest.map(|(name, wait)| format!("{name}:{}", wait.as_millis())).collect();
    text.join(",")
}

/// Returns the backend servers of a service that may get calls, with what their limits leave.
fn workers(
    shared: &Shared,
    view: &StoreView,
    service: &str,
) -> Result<Vec<WorkerSpec>, PoolClosed> {
    let servers = shared.open_or_limited(view, service)?;
    let quotas: Vec<CallQuota> = servers.iter().map(|s| call_quota(shared, s)).collect();
    let specs = worker_specs(servers).into_iter().zip(quotas);
    Ok(specs.map(|(spec, quota)| WorkerSpec { quota, ..spec }).collect())
}

fn call_quota(shared: &Shared, server: &Server) -> CallQuota {
    let now = clock::boot();
    let rate = shared.notices.limit(&Incarnation::of(server));
    rate.map_or_else(CallQuota::default, |rate: RequestRate| CallQuota {
        opens_at: now + shared.opens_in(now, server),
        interval: rate.interval(),
    })
}

fn worker_specs(servers: Vec<&Server>) -> Vec<WorkerSpec> {
    let worker = |s: &Server| WorkerSpec {
        id: Arc::clone(&s.id),
        started_ms: s.started_ms,
        addr: s.addr,
        zone: Arc::clone(&s.zone),
        quota: CallQuota::default(),
    };
    servers.into_iter().map(worker).collect()
}
