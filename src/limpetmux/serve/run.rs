//! Starts and stops a node.
//!
//! The control thread follows the store; the traffic threads serve callers, other nodes and queues
//! of pieces. On SIGTERM the node reports itself as not ready at once, serves on until the balancer
//! has stopped sending, then closes idle connections and waits for running requests.

use super::front;
use super::node::{Shared, StoreView};
use super::settings::NodeSettings;
use crate::event;
use crate::fleet::follow::Follower;
use crate::fleet::service::FleetService;
use crate::kernel::{ControlThread, Publisher, ThreadError};
use crate::node::{ServeError, bind};
use crate::platform::store::Store;
use crate::stage_queues::StageQueues;
use crate::util::clock;
use crate::util::event::EventCode;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};
use tonic::service::Routes;

/// How long a stopping node still runs the stages that it has queued.
const STAGE_DRAIN_TIME: Duration = Duration::from_secs(2);
/// The time between two checks for running requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a node cannot run.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum NodeError {
    /// A listener cannot be set up.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Serve(#[from] ServeError),
    /// The control thread cannot be started.
    #[error(transparent)]
    Control(#[from] ThreadError),
}

/// Events from outside that a running node reacts to.
pub struct ExternalEvents<S> {
    /// Completes when the node has to stop.
    pub stop: S,
    /// Yields settings that replace the current ones.
    pub reloads: mpsc::Receiver<NodeSettings>,
}

/// A running node; dropping it ends its control thread.
pub struct RunningNode {
    /// Where it accepts callers, if it is an entry.
    pub caller_addr: Option<SocketAddr>,
    /// Where it answers the balancer, if it is an entry.
    pub readiness_addr: Option<SocketAddr>,
    /// Where it accepts calls of other nodes.
    pub node_addr: SocketAddr,
    /// Where it serves its metrics.
    pub metrics_addr: SocketAddr,
    shared: Arc<Shared>,
    queues: Arc<StageQueues>,
    stop: watch::Sender<bool>,
    _control: ControlThread,
}

/// Runs a node until it has to stop and is drained; returns how many requests were cut off.
///
/// # Errors
/// Returns [`NodeError`] if it cannot be started.
pub async fn run(
    settings: NodeSettings,
    events: ExternalEvents<impl Future<Output = ()>>,
) -> Result<usize, NodeError> {
    let node = start(settings).await?;
    tokio::spawn(reload(Arc::clone(&node.shared), events.reloads));
    events.stop.await;
    Ok(node.drain().await)
}

/// Starts a node; the system assigns ports that are given as zero.
///
/// # Errors
/// Returns [`NodeError`] if a listener or the control thread cannot be set up.
pub async fn start(mut settings: NodeSettings) -> Result<RunningNode, NodeError> {
    let (listener, node_addr) = bind(settings.node_addr).await?;
    settings.node_addr = node_addr;
    let publisher = Publisher::new(StoreView::default());
    let shared = Shared::new(settings, &publisher);
    let control = ControlThread::start()?;
    let store = Store::new(shared.settings().store.address);
    let follower = Follower::new(Arc::clone(&shared), store, publisher);
    let queues = StageQueues::new(Arc::clone(&shared));
    let (stop, stopped) = watch::channel(false);
    serve_nodes(&shared, &queues, listener);
    let readiness_addr = serve_readiness(&shared).await?;
    let caller_addr = serve_callers(&shared, &stopped).await?;
    let (metrics_listener, metrics_addr) = bind(shared.settings().metrics_addr).await?;
    tokio::spawn(front::serve_metrics(Arc::clone(&shared), metrics_listener));
    {
        let _guard = control.enter();
        tokio::spawn(follower.run());
    }
    tokio::spawn(Arc::clone(&queues).run_queues());
    Ok(RunningNode {
        caller_addr,
        readiness_addr,
        node_addr,
        metrics_addr,
        shared,
        queues,
        stop,
        _control: control,
    })
}

async fn reload(shared: Arc<Shared>, mut reloads: mpsc::Receiver<NodeSettings>) {
    while let Some(settings) = reloads.recv().await {
        event!(EventCode::SettingsReloaded, name = settings.name);
        shared.reload(settings);
    }
}

fn serve_nodes(shared: &Arc<Shared>, queues: &Arc<StageQueues>, listener: TcpListener) {
    let service = FleetService::server(Arc::clone(shared), Arc::clone(queues));
    let channels = shared.peers.channels().clone();
    tokio::spawn(async move {
        let never = std::future::pending();
        if let Err(error) = channels.serve(Routes::new(service), listener, never).await {
            event!(EventCode::ConnectionRefused, reason = error);
        }
    });
}

async fn serve_readiness(shared: &Arc<Shared>) -> Result<Option<SocketAddr>, NodeError> {
    let Some(addr) = shared.settings().readiness_addr else { return Ok(None) };
    let (listener, addr) = bind(addr).await?;
    tokio::spawn(front::serve_readiness(Arc::clone(shared), listener));
    Ok(Some(addr))
}

async fn serve_callers(
    shared: &Arc<Shared>,
    stopped: &watch::Receiver<bool>,
) -> Result<Option<SocketAddr>, NodeError> {
    let Some(addr) = shared.settings().caller_addr else { return Ok(None) };
    let (listener, addr) = bind(addr).await?;
    event!(EventCode::ListenerReady, addr = addr);
    tokio::spawn(front::serve(Arc::clone(shared), listener, stopped.clone()));
    Ok(Some(addr))
}

impl RunningNode {
    /// Returns whether the node can serve callers.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Stops the node; returns how many requests were cut off.
    pub async fn drain(self) -> usize {
        drain(&self.shared, &self.queues, &self.stop).await
    }
}

/// Stops accepting and waits for running requests; returns how many are cut off.
async fn drain(shared: &Shared, queues: &StageQueues, stop: &watch::Sender<bool>) -> usize {
    let began = Instant::now();
    event!(EventCode::DrainStarted, running = shared.running.load(Ordering::Relaxed));
    let times = shared.begin_stop();
    if shared.settings().caller_addr.is_some() {
        sleep(clock::boot().until(times.accept_until())).await;
    } else {
        queues.leave().await;
        let end = began + STAGE_DRAIN_TIME;
        while !queues.is_idle() && Instant::now() < end {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
    stop.send_replace(true);
    wait_idle(&shared.running, Instant::now() + clock::boot().until(times.exit)).await
}

/// Waits until no request has run for a whole interval, or until `end`; returns how many run then.
///
/// A request that was being read while the node stopped begins only after the first check. The
/// interval also lets the last bytes of an answer leave the socket buffers.
pub async fn wait_idle(running: &AtomicUsize, end: Instant) -> usize {
    loop {
        let before = running.load(Ordering::Relaxed);
        sleep(DRAIN_POLL_INTERVAL).await;
        let after = running.load(Ordering::Relaxed);
        if (before == 0 && after == 0) || Instant::now() >= end {
            return after;
        }
    }
}
