//! A service that may run at most once: a log, hosts in two zones and two entries on loopback.

use futures::FutureExt;
use limpetmux::adapters::backend::Backend;
use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::log::LogClient;
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

const HOSTS: [(&str, &str); 2] = [("port-1", "zone-a"), ("port-2", "zone-b")];
const GRACE: Duration = Duration::from_millis(100);

/// The workspace of the fixture.
pub const WORKSPACE: &str = "porting";
/// The pipeline of the fixture, with one stage.
pub const PIPELINE: &str = "number-port";

/// One host.
pub struct Host {
    /// Where the sidecar listens.
    pub addr: SocketAddr,
    /// The plain service beside it.
    pub plain: Plain,
    /// The sidecar's current process.
    pub sidecar: Option<Arc<Sidecar>>,
    server: JoinHandle<()>,
}

/// Everything that runs.
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
    client: reqwest::Client,
    rules: Rules,
    /// Whether all sidecars use the first host's service.
    shared: bool,
    paused: watch::Sender<bool>,
    held: Arc<AtomicU32>,
}

impl OnceFleet {
    /// Starts everything; the log is up and empty.
    pub async fn start() -> Self {
        Self::start_with(BackendOptions::default(), false).await
    }

    /// Starts everything with one service for all hosts.
    pub async fn start_shared(options: BackendOptions) -> Self {
        Self::start_with(options, true).await
    }

    async fn start_with(options: BackendOptions, shared: bool) -> Self {
        let log = Log::start(LogOptions::default()).await.unwrap();
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
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
            client,
            rules,
            shared,
            paused,
            held: Arc::default(),
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
        let server = entry.serve(listener, std::future::pending(), GRACE);
        self.entries.push(tokio::spawn(async move { drop(server.await) }));
        self.callers.push(Caller::new(&limpetmux::entry::base_url(addr)));
    }

    fn sidecar(&self, host: usize, plain: &Plain) -> Arc<Sidecar> {
        let log = LogClient::http(self.client.clone(), &self.log.url());
        let plain = self.hosts.first().map(|h| &h.plain).filter(|_| self.shared).unwrap_or(plain);
        let backend = Backend::http(self.client.clone(), &plain.url());
        Sidecar::start(SidecarOptions {
            host: name(HOSTS[host].0),
            view: self.view.reader(),
            backend: if host == 0 {
                pausing(backend, self.paused.subscribe(), Arc::clone(&self.held))
            } else {
                backend
            },
            once: Some(OnceSettings { rules: self.rules, ..OnceSettings::new(log) }),
            metrics: Metrics::none(),
        })
    }

    /// Holds the first host's calls back between accepting and dispatching, or lets them go on.
    pub fn set_paused(&self, paused: bool) {
        self.paused.send_replace(paused);
    }

    /// Returns how many calls of the first host were held back.
    pub fn held(&self) -> u32 {
        self.held.load(Ordering::SeqCst)
    }

    /// Ends a sidecar's process by a graceful shutdown.
    ///
    /// # Panics
    /// Panics if the sidecar does not run.
    pub async fn drain(&mut self, host: usize) {
        let sidecar = self.hosts[host].sidecar.clone().unwrap();
        sidecar.gate().set_draining(true);
        assert!(sidecar.flush().await);
        drop(sidecar);
        self.kill(host).await;
    }

    /// Ends a sidecar's process without warning.
    pub async fn kill(&mut self, host: usize) {
        self.hosts[host].server.abort();
        self.hosts[host].sidecar = None;
        tokio::task::yield_now().await;
    }

    /// Starts a new process of a sidecar that was killed, at the same address.
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

    /// Ends an entry's process without warning.
    pub fn kill_entry(&self, entry: usize) {
        self.entries[entry].abort();
    }

    /// Takes a host's zone out of service or back.
    pub fn set_serving(&mut self, host: usize, serving: bool) {
        if let Some(zone) = self.config.zones.get_mut(HOSTS[host].1) {
            zone.serving = serving;
        }
        let revision = Revision(self.view.load().revision.0 + 1);
        self.view.publish(View::compile(revision, &self.config));
    }

    /// Removes a host from the declared ones; its process goes on.
    pub fn undeclare(&mut self, host: usize) {
        self.config.hosts.remove(&name(HOSTS[host].0));
        let revision = Revision(self.view.load().revision.0 + 1);
        self.view.publish(View::compile(revision, &self.config));
    }

    /// Returns the position of a key's home; the other host is its successor.
    pub fn home(&self, key: &str) -> usize {
        let view = self.view.load();
        let workspace = view.workspace(WORKSPACE).unwrap();
        let service = view.service("provisioning").unwrap();
        let id = KeyId::new(WORKSPACE, PIPELINE, 0, key);
        let home = homes(&view, workspace, service, id).unwrap().home;
        usize::from(view.hosts[home].name.as_str() != HOSTS[0].0)
    }

    /// Returns how often a key ran on all hosts together.
    pub fn runs(&self, key: &str) -> u32 {
        self.hosts.iter().filter_map(|h| h.plain.keys().get(key).copied()).sum()
    }
}

fn pausing(backend: Backend, paused: watch::Receiver<bool>, held: Arc<AtomicU32>) -> Backend {
    let run = Arc::clone(&backend.run);
    let wait = move |job| {
        let (run, mut paused) = (Arc::clone(&run), paused.clone());
        held.fetch_add(u32::from(*paused.borrow()), Ordering::SeqCst);
        async move {
            drop(paused.wait_for(|paused| !paused).await);
            run(job).await
        }
        .boxed()
    };
    Backend { run: Arc::new(wait), ..backend }
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
