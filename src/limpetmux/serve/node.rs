//! What the tasks of one node share.

use super::links::Links;
use super::settings::NodeSettings;
use crate::adapters::channel::Channels;
use crate::core::engines::EngineReport;
use crate::core::listing::{Listing, Server};
use crate::core::nodes::{Node, Nodes};
use crate::core::operator::Orders;
use crate::core::placement::Placement;
use crate::core::pressure::Pressure;
use crate::core::share::RepeatShare;
use crate::fleet::peers::Peers;
use crate::kernel::{Published, Publisher};
use crate::util::clock;
use crate::util::exposition::Exposition;
use crate::util::metrics::Metrics;
use arc_swap::ArcSwap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What is left of the bound on taken-away keys for the way of a request to a backend server.
const REVOKE_MARGIN: Duration = Duration::from_millis(900);

/// The most times of engines that are kept while nothing is asked.
const ENGINE_TIMES: usize = 64;

/// What a node knows of the platform's store.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// The operator's orders.
    pub orders: Orders,
    /// The backend servers.
    pub listing: Listing,
}

impl StoreView {
    /// Returns the backend servers of a service that may be sent to.
    pub fn usable<'a>(&'a self, service: &'a str) -> Vec<&'a Server> {
        let serves = |s: &&Server| *s.service == *service && !s.draining;
        let in_use = |s: &&Server| !self.orders.evacuated.contains(&s.zone);
        self.listing.servers().filter(serves).filter(in_use).collect()
    }
}

/// What the tasks of one node share.
pub struct Shared {
    /// How this node is known to the others.
    pub own: Node,
    settings: ArcSwap<NodeSettings>,
    /// The view of the store, replaced whole.
    pub view: Published<StoreView>,
    /// Where the node counts.
    pub metrics: Metrics,
    /// What it has counted, as text.
    pub exposition: Exposition,
    /// The connections to backend servers.
    pub links: Links,
    /// The connections to other nodes.
    pub peers: Peers,
    /// Whether the node has been told to stop.
    pub stopping: AtomicBool,
    /// Whether the node has looked for others, so that it knows most of those that live.
    settled: AtomicBool,
    /// Requests that run.
    pub running: AtomicUsize,
    nodes: Mutex<Nodes>,
    placement: Mutex<Placement>,
    repeats: Mutex<RepeatShare>,
    pressure: Mutex<Pressure>,
    /// What was seen of engines since the keeper of their board was last asked.
    engine_times: Mutex<Vec<EngineReport>>,
}

impl Shared {
    /// Creates the state of a node that knows only itself.
    pub fn new(settings: NodeSettings, view: &Publisher<StoreView>) -> Arc<Self> {
        let own = Node {
            name: Arc::clone(&settings.name),
            addr: settings.nodes,
            zone: Arc::clone(&settings.zone),
            gate: settings.callers.is_none(),
            started: clock::unix_millis(),
        };
        let exposition = Exposition::default();
        Arc::new(Self {
            metrics: exposition.metrics(),
            exposition,
            view: view.reader(),
            links: Links::default(),
            peers: Peers::new(Channels::plain()),
            stopping: AtomicBool::new(false),
            settled: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            nodes: Mutex::new(Nodes::new(own.clone())),
            pressure: Mutex::default(),
            engine_times: Mutex::default(),
            own,
            placement: Mutex::new(Placement::new()),
            repeats: Mutex::new(RepeatShare::new(settings.bounds.repeat)),
            settings: ArcSwap::from_pointee(settings),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Arc<NodeSettings> {
        self.settings.load_full()
    }

    /// Puts changed settings in force; addresses stay as they were at the start.
    pub fn reload(&self, settings: NodeSettings) {
        self.repeats().rebound(settings.bounds.repeat);
        self.settings.store(Arc::new(settings));
    }

    /// Locks the view of the other nodes.
    pub fn nodes(&self) -> MutexGuard<'_, Nodes> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of the backend servers that this node sends to.
    pub fn placement(&self) -> MutexGuard<'_, Placement> {
        self.placement.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the count of repeats.
    pub fn repeats(&self) -> MutexGuard<'_, RepeatShare> {
        self.repeats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of the waits of stages.
    pub fn pressure(&self) -> MutexGuard<'_, Pressure> {
        self.pressure.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps what was seen of an engine for the keeper of its board.
    pub fn note_engine_time(&self, report: EngineReport) {
        let mut times = self.engine_times.lock().unwrap_or_else(PoisonError::into_inner);
        if times.len() < ENGINE_TIMES {
            times.push(report);
        }
    }

    /// Takes what was seen of engines since the last call.
    pub fn take_engine_times(&self) -> Vec<EngineReport> {
        std::mem::take(&mut *self.engine_times.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether the node has been told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether the node knows most of the others that live.
    pub fn is_settled(&self) -> bool {
        self.settled.load(Ordering::Relaxed)
    }

    /// Takes in that the node has looked for others.
    pub fn settle(&self) {
        self.settled.store(true, Ordering::Relaxed);
    }

    /// Returns whether the operator's orders were confirmed of late, so that keys hold.
    pub fn is_fresh(&self) -> bool {
        let age = self.view.load().orders.age(clock::boot());
        age + REVOKE_MARGIN < self.settings.load().bounds.revoke
    }

    /// Returns whether the node can serve: a configuration and backend servers are known.
    pub fn is_ready(&self) -> bool {
        let view = self.view.load();
        !self.is_stopping() && view.orders.declared.is_some() && !view.listing.is_empty()
    }
}
