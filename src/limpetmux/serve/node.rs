//! State that the tasks of one node share.

use super::connections::ConnectionPool;
use super::ended::Examined;
use super::front::caller_connections;
use super::memory::Memory;
use super::notices::NodeNotices;
use super::quarantine::NodeQuarantine;
use super::quota::NodeQuotas;
use super::settings::NodeSettings;
use crate::adapters::admission::ConnectionBounds;
use crate::adapters::channel::Channels;
use crate::core::engines::EngineReport;
use crate::core::listing::{Listing, Server};
use crate::core::node_stop::NodeStop;
use crate::core::nodes::{Node, Nodes};
use crate::core::operator::Orders;
use crate::core::placement::Placement;
use crate::core::prompt_part::PartId;
use crate::core::quarantine::{Entries, Verdict};
use crate::core::queue_waits::QueueWaits;
use crate::core::read_limits::{NODE_IDLE_TIME, entry_node_connections};
use crate::core::retry_share::RetryShare;
use crate::core::server_notices::{Incarnation, LeavingServer, PoolClosed, ServerNotice};
use crate::core::time::Moment;
use crate::fleet::peers::Peers;
use crate::kernel::{Published, Publisher};
use crate::util::clock;
use crate::util::exposition::Exposition;
use crate::util::metrics::Metrics;
use arc_swap::ArcSwap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The part of the bound on accepting revoked keys that is reserved for the time a request takes to
/// reach a backend server.
const REVOKE_MARGIN: Duration = Duration::from_millis(900);

/// The most measured engine times that are buffered between two calls to a queue node.
const MAX_ENGINE_TIMES: usize = 64;

/// A node's copy of the platform's store.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// The operator's records.
    pub orders: Orders,
    /// The backend servers.
    pub listing: Listing,
}

impl StoreView {
    /// Returns the backend servers of a service that may get requests by the store's records.
    pub fn usable<'a>(&'a self, service: &'a str) -> Vec<&'a Server> {
        let serves = |s: &&Server| *s.service == *service && !s.draining;
        let in_use = |s: &&Server| !self.orders.evacuated.contains(&s.zone);
        self.listing.servers().filter(serves).filter(in_use).collect()
    }
}

/// Returns the bounds on connections of other nodes.
fn bounds(settings: &NodeSettings) -> ConnectionBounds {
    let descriptors = settings.max_descriptors;
    let for_callers = settings.caller_addr.map_or(0, |_| caller_connections(descriptors));
    let count = entry_node_connections(descriptors, for_callers);
    ConnectionBounds { count, idle: NODE_IDLE_TIME }
}

/// State that the tasks of one node share.
pub struct Shared {
    /// This node as the other nodes know it.
    pub local_node: Node,
    settings: ArcSwap<NodeSettings>,
    /// The current view of the store; each change publishes a new one.
    pub view: Published<StoreView>,
    /// Records the metrics of the node.
    pub metrics: Metrics,
    /// Renders the metrics as text.
    pub exposition: Exposition,
    /// The connections to backend servers.
    pub connections: ConnectionPool,
    /// The connections to other nodes.
    pub peers: Peers,
    /// Whether discovery has finished, so that the node knows most live nodes.
    discovered: AtomicBool,
    /// The number of requests that run.
    pub running: AtomicUsize,
    /// The times of the stop, once the node is shutting down.
    stop: watch::Sender<Option<NodeStop>>,
    nodes: Mutex<Nodes>,
    placement: Mutex<Placement>,
    retry_share: Mutex<RetryShare>,
    queue_waits: Mutex<QueueWaits>,
    /// Engine times measured since the last call to a queue node.
    engine_times: Mutex<Vec<EngineReport>>,
    /// The backend servers that are being examined because answers of them broke off.
    pub(super) examined: Examined,
    /// The parts of prompts that crash backend servers.
    pub quarantine: NodeQuarantine,
    /// What backend servers have stated about themselves.
    pub notices: NodeNotices,
    /// The requests that backend servers with limits may still get.
    pub quotas: NodeQuotas,
    /// The memory that is held for callers.
    pub memory: Memory,
}

impl Shared {
    /// Creates the state of a node that knows only itself.
    pub fn new(settings: NodeSettings, view: &Publisher<StoreView>) -> Arc<Self> {
        let local_node = Node {
            name: Arc::clone(&settings.name),
            addr: settings.node_addr,
            zone: Arc::clone(&settings.zone),
            queues_pieces: settings.caller_addr.is_none(),
            started: clock::unix_millis(),
        };
        let exposition = Exposition::default();
        let channels = Channels::plain().bounded(bounds(&settings), exposition.metrics());
        let memory = Memory::new(settings.caller_bytes, exposition.metrics());
        Arc::new(Self {
            metrics: exposition.metrics(),
            exposition,
            view: view.reader(),
            connections: ConnectionPool::default(),
            peers: Peers::new(channels),
            stop: watch::Sender::new(None),
            discovered: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            nodes: Mutex::new(Nodes::new(local_node.clone())),
            queue_waits: Mutex::default(),
            engine_times: Mutex::default(),
            examined: Examined::default(),
            quarantine: NodeQuarantine::new(local_node.started),
            notices: NodeNotices::new(local_node.started),
            quotas: NodeQuotas::default(),
            memory,
            local_node,
            placement: Mutex::new(Placement::new()),
            retry_share: Mutex::new(RetryShare::new(settings.bounds.retry_limit)),
            settings: ArcSwap::from_pointee(settings),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<NodeSettings> {
        self.settings.load_full()
    }

    /// Applies changed settings; addresses stay as they were at the start.
    pub fn reload(&self, settings: NodeSettings) {
        self.retry_share().set_limit(settings.bounds.retry_limit);
        self.memory.set_limit(settings.caller_bytes);
        self.settings.store(Arc::new(settings));
    }

    /// Locks the set of known nodes.
    pub fn nodes(&self) -> MutexGuard<'_, Nodes> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the placement state of the backend servers that this node sends to.
    pub fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the retry budget.
    pub fn retry_share(&self) -> MutexGuard<'_, RetryShare> {
        self.retry_share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the queueing times of stages.
    pub fn queue_waits(&self) -> MutexGuard<'_, QueueWaits> {
        self.queue_waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Buffers a measured engine time for the next call to a queue node.
    pub fn record_engine_time(&self, report: EngineReport) {
        let mut times = self.engine_times.lock().unwrap_or_else(PoisonError::into_inner);
        if times.len() < MAX_ENGINE_TIMES {
            times.push(report);
        }
    }

    /// Takes the engine times measured since the last call.
    pub fn take_engine_times(&self) -> Vec<EngineReport> {
        std::mem::take(&mut *self.engine_times.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether the node is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stop.borrow().is_some()
    }

    /// Begins to stop and returns the times of the stop.
    pub fn begin_stop(&self) -> NodeStop {
        let stop = NodeStop::new(clock::boot(), self.settings().bounds.grace_period);
        self.stop.send_replace(Some(stop));
        stop
    }

    /// Returns whether to accept a request that arrives now and has to be answered by `deadline`.
    pub fn accepts(&self, deadline: Moment) -> bool {
        let stop = *self.stop.borrow();
        stop.is_none_or(|stop| stop.accepts(clock::boot(), deadline))
    }

    /// Waits until the node has to answer all requests because it is about to exit.
    pub async fn must_answer(&self) {
        let mut stop = self.stop.subscribe();
        let Ok(stop) = stop.wait_for(Option::is_some).await.map(|s| *s) else { return };
        let time = stop.map_or(Duration::ZERO, |stop| clock::boot().until(stop.answer_at()));
        tokio::time::sleep(time).await;
    }

    /// Returns whether discovery has finished, so that the node knows most live nodes.
    pub fn has_discovered(&self) -> bool {
        self.discovered.load(Ordering::Relaxed)
    }

    /// Records that discovery has finished.
    pub fn mark_discovered(&self) {
        self.discovered.store(true, Ordering::Relaxed);
    }

    /// Returns the backend servers of a service that may get a request now, by the store's records and
    /// by what they have stated themselves; without one, those whose limit may grant it one within
    /// `patience`.
    ///
    /// # Errors
    /// Returns [`PoolClosed`] if there are backend servers and none of them may, by what they have stated
    /// themselves.
    pub fn available<'a>(
        &self,
        view: &'a StoreView,
        service: &'a str,
        patience: Duration,
    ) -> Result<Vec<&'a Server>, PoolClosed> {
        let drain_time = self.settings.load().bounds.drain_time;
        self.notices.available(drain_time, view.usable(service), patience)
    }

    /// Returns the backend servers of a service that may get requests, also if their limits are used up
    /// now.
    ///
    /// # Errors
    /// Returns [`PoolClosed`] if there are backend servers and none of them may, by what they have stated
    /// themselves.
    pub fn open_or_limited<'a>(
        &self,
        view: &'a StoreView,
        service: &'a str,
    ) -> Result<Vec<&'a Server>, PoolClosed> {
        let drain_time = self.settings.load().bounds.drain_time;
        self.notices.open_or_limited(drain_time, view.usable(service))
    }

    /// Records what a backend server has stated about itself, in the answer to a request that was sent
    /// at `asked_at`.
    pub fn record_notice(&self, server: &Server, asked_at: Moment, notice: ServerNotice) {
        self.notices.record(&self.metrics, &Incarnation::of(server), asked_at, notice);
    }

    /// Records the backend servers that another node knows to be leaving.
    pub fn learn_leaving(&self, leaving: &[LeavingServer]) {
        let view = self.view.load();
        self.notices.learn(&self.metrics, leaving, |id| view.listing.is_listed(id));
    }

    /// Decides whether a request with some shared parts of its prompt may be sent.
    pub fn verdict(&self, parts: &[PartId]) -> Verdict {
        if parts.is_empty() {
            return Verdict::Sound;
        }
        let all = self.nodes().entries(clock::boot());
        let entries = Entries { local: &self.local_node.name, all: &all };
        self.quarantine.check(&self.metrics, parts, entries)
    }

    /// Returns whether the operator's records are recent enough to accept keys.
    pub fn is_fresh(&self) -> bool {
        let age = self.view.load().orders.age(clock::boot());
        age + REVOKE_MARGIN < self.settings.load().bounds.revoke_bound
    }

    /// Returns whether the node can serve callers: it is not shutting down, and a configuration and
    /// backend servers are known.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        !self.is_stopping() && view.orders.config.is_some() && !view.listing.is_empty()
    }
}
