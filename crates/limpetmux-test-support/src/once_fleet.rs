//! A deployment on loopback of one non-idempotent service: a platform log, a host in each of two
//! zones, and two entries.

use futures::FutureExt;
use limpetmux::adapters::backend::Backend;
use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::log::LogClient;
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::{
    Config, Fencing, HostSpec, PipelineSpec, ServiceSpec, StageKind, StageSpec, WorkspaceSpec,
    ZoneSpec,
};
use limpetmux::core::once::{KeyId, Rules, homes};
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux::entry::{Entry, EntryOptions, Limits, Members};
use limpetmux::kernel::Publisher;
use limpetmux::node::serve_sidecar;
use limpetmux::sidecar::{OnceSettings, Sidecar, SidecarOptions};
use limpetmux::util::metrics::Metrics;
use limpetmux_standins::{BackendOptions, Log, LogOptions, Plain};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::config::name;
use crate::http::Caller;

/// Each host and its availability zone.
const HOSTS: [(&str, &str); 2] = [("port-1", "zone-a"), ("port-2", "zone-b")];
const GRACE_PERIOD: Duration = Duration::from_millis(100);

/// The workspace of the fixture.
pub const WORKSPACE: &str = "porting";
/// The pipeline of the fixture, with one stage.
pub const PIPELINE: &str = "number-port";

/// A host with its backend server and its sidecar.
pub struct Host {
    /// Address on which the sidecar listens.
    pub addr: SocketAddr,
    /// Backend server of the host, a plain service.
    pub plain: Plain,
    /// The running sidecar, if any.
    pub sidecar: Option<Arc<Sidecar>>,
    server: JoinHandle<()>,
}

/// A running deployment of one non-idempotent service.
pub struct OnceFleet {
    /// The platform log.
    pub log: Log,
    /// The hosts, one in each zone.
    pub hosts: Vec<Host>,
    /// Callers of the two entries.
    pub callers: Vec<Caller>,
    entries: Vec<JoinHandle<()>>,
    view: Publisher<View>,
    config: Config,
    rules: Rules,
    /// Whether all sidecars use the first host's backend server.
    shares_backend: bool,
    paused: watch::Sender<bool>,
    held_calls: Arc<AtomicU32>,
}

impl OnceFleet {
    /// Starts a deployment with an empty, reachable log.
    pub async fn start() -> Self {
        Self::start_with(BackendOptions::default(), false).await
    }

    /// Starts a deployment with one backend server for all hosts.
    pub async fn start_shared(options: BackendOptions) -> Self {
        Self::start_with(options, true).await
    }

    async fn start_with(options: BackendOptions, shares_backend: bool) -> Self {
        let log = Log::start(LogOptions::default()).await.unwrap();
        let mut listeners = Vec::new();
        for _ in HOSTS {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let config = config(&addresses);
        let view = Publisher::new(View::compile(Revision(1), &config));
        // All processes share one clock.
        let rules = Rules {
            clock_margin: Duration::ZERO,
            promise_ttl: Duration::from_millis(1_000),
            promise_margin: Duration::from_millis(200),
            ..Rules::default()
        };
        let (hosts, callers, entries) = (Vec::new(), Vec::new(), Vec::new());
        let paused = watch::Sender::new(false);
        let mut fleet = Self {
            log,
            hosts,
            callers,
            entries,
            view,
            config,
            rules,
            shares_backend,
            paused,
            held_calls: Arc::default(),
        };
        for (i, listener) in listeners.into_iter().enumerate() {
            let plain = Plain::start(options.clone()).await.unwrap();
            let addr = listener.local_addr().unwrap();
            let sidecar = fleet.sidecar(i, &plain);
            let server = serve(Arc::clone(&sidecar), listener);
            fleet.hosts.push(Host { addr, plain, sidecar: Some(sidecar), server });
        }
        for _ in 0..2 {
            fleet.add_entry().await;
        }
        fleet
    }

    async fn add_entry(&mut self) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let entry = Entry::start(EntryOptions {
            zone: name(HOSTS[0].1),
            ordinal: 0,
            view: self.view.reader(),
            members: Members(None),
            channels: Channels::plain(),
            limits: Limits::default(),
            metrics: Metrics::none(),
        })
        .unwrap();
        let server = entry.serve(listener, std::future::pending(), GRACE_PERIOD);
        self.entries.push(tokio::spawn(async move { drop(server.await) }));
        self.callers.push(Caller::new(&limpetmux::entry::base_url(addr)));
    }

    fn sidecar(&self, host: usize, plain: &Plain) -> Arc<Sidecar> {
        let log = LogClient::http(OneCallClient::new().unwrap(), &self.log.url());
        let plain =
            self.hosts.first().map(|h| &h.plain).filter(|_| self.shares_backend).unwrap_or(plain);
        let backend = Backend::http(OneCallClient::new().unwrap(), &plain.url());
        Sidecar::start(SidecarOptions {
            host: name(HOSTS[host].0),
            view: self.view.reader(),
            backend: if host == 0 {
                pausable(backend, self.paused.subscribe(), Arc::clone(&self.held_calls))
            } else {
                backend
            },
            once: Some(OnceSettings { rules: self.rules, ..OnceSettings::new(log) }),
            metrics: Metrics::none(),
        })
    }

    /// Holds the first host's calls between acceptance and dispatch, or releases them.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Returns how many calls of the first host have been held.
    pub fn held_calls(&self) -> u32 {
        self.held_calls.load(Ordering::SeqCst)
    }

    /// Stops a sidecar with a graceful shutdown.
    ///
    /// # Panics
    /// Panics if the sidecar is not running.
    pub async fn drain(&mut self, host: usize) {
        let sidecar = self.hosts[host].sidecar.clone().unwrap();
        sidecar.gate().set_draining(true);
        assert!(sidecar.flush().await);
        drop(sidecar);
        self.kill(host).await;
    }

    /// Stops a sidecar without a shutdown, as a crash would.
    pub async fn kill(&mut self, host: usize) {
        self.hosts[host].server.abort();
        self.hosts[host].sidecar = None;
        tokio::task::yield_now().await;
    }

    /// Starts a new sidecar at the address of one that was stopped.
    pub async fn restart(&mut self, host: usize) {
        let sidecar = self.sidecar(host, &self.hosts[host].plain);
        let addr = self.hosts[host].addr;
        let listener = loop {
            match TcpListener::bind(addr).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        self.hosts[host].server = serve(Arc::clone(&sidecar), listener);
        self.hosts[host].sidecar = Some(sidecar);
    }

    /// Stops an entry without a shutdown, as a crash would.
    pub fn kill_entry(&self, entry: usize) {
        self.entries[entry].abort();
    }

    /// Puts a host's zone in or out of service.
    pub fn set_serving(&mut self, host: usize, serving: bool) {
        if let Some(zone) = self.config.zones.get_mut(HOSTS[host].1) {
            zone.serving = serving;
        }
        let revision = Revision(self.view.load().revision.0 + 1);
        self.view.publish(View::compile(revision, &self.config));
    }

    /// Removes a host from the configuration; its sidecar keeps running.
    pub fn remove_host(&mut self, host: usize) {
        self.config.hosts.remove(&name(HOSTS[host].0));
        let revision = Revision(self.view.load().revision.0 + 1);
        self.view.publish(View::compile(revision, &self.config));
    }

    /// Returns the index of a key's home; the other host is its successor.
    pub fn home_index(&self, key: &str) -> usize {
        let view = self.view.load();
        let workspace = view.workspace(WORKSPACE).unwrap();
        let service = view.service("provisioning").unwrap();
        let id = KeyId::new(WORKSPACE, PIPELINE, 0, key);
        let home = homes(&view, workspace, service, id).unwrap().home;
        usize::from(view.hosts[home].name.as_str() != HOSTS[0].0)
    }

    /// Returns how often a key ran on all hosts together.
    pub fn run_count(&self, key: &str) -> u32 {
        self.hosts.iter().filter_map(|h| h.plain.keys().get(key).copied()).sum()
    }
}

fn pausable(
    backend: Backend,
    paused: watch::Receiver<bool>,
    held_calls: Arc<AtomicU32>,
) -> Backend {
    let run = Arc::clone(&backend.run);
    let run_when_resumed = move |job| {
        let (run, mut paused) = (Arc::clone(&run), paused.clone());
        held_calls.fetch_add(u32::from(*paused.borrow()), Ordering::SeqCst);
        async move {
            drop(paused.wait_for(|paused| !paused).await);
            run(job).await
        }
        .boxed()
    };
    Backend { run: Arc::new(run_when_resumed), ..backend }
}

fn serve(sidecar: Arc<Sidecar>, listener: TcpListener) -> JoinHandle<()> {
    let server = serve_sidecar(sidecar, listener, std::future::pending());
    tokio::spawn(async move { drop(server.await) })
}

fn config(addresses: &[SocketAddr]) -> Config {
    let mut config = Config::default();
    for ((host, zone), addr) in HOSTS.iter().zip(addresses) {
        let spec = ZoneSpec { region: name("region"), serving: true };
        config.zones.insert(name(zone), spec);
        let (zone, service) = (name(zone), name("provisioning"));
        let spec = HostSpec { zone, service, sidecar: *addr, running: true };
        config.hosts.insert(name(host), spec);
    }
    let service = ServiceSpec {
        kind: StageKind::Plain,
        model: None,
        idempotent: false,
        fencing: Fencing::Checked,
        concurrency: 8,
        cold: 8,
        warmup: Duration::ZERO,
        price: 1,
        floor: 0,
    };
    config.services.insert(name("provisioning"), service);
    let stage = StageSpec { name: name("port"), service: name("provisioning"), tokens: 0 };
    let deadline = Duration::from_secs(20);
    config.pipelines.insert(name(PIPELINE), PipelineSpec { stages: vec![stage], deadline });
    let (region, pipelines) = (name("region"), vec![name(PIPELINE)]);
    let workspace = WorkspaceSpec { region, weight: 1, inflight: 64, pipelines };
    config.workspaces.insert(name(WORKSPACE), workspace);
    config
}
