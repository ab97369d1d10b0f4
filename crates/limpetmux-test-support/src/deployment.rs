//! A whole deployment of real nodes over TCP in one process, for failure tests.
//!
//! Every node has its own control service, spread, membership and shutdown, as a process has; they
//! share nothing but the platform's stand-ins. Nodes are drained and replaced one by one, and a
//! node can be cut off from the log alone.

use crate::changes::{change, change_record, first_change};
use futures::future::BoxFuture;
use limpetmux::adapters::backend::Backend;
use limpetmux::adapters::hosts::HostsClient;
use limpetmux::adapters::log::{LogClient, LogError, Stream};
use limpetmux::control::{
    Control, ControlOptions, PeerCounters, Spread, SpreadOptions, peer_server, prepare,
};
use limpetmux::core::config::{Change, Config, Edit, Name};
use limpetmux::core::once::Rules;
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::core::shutdown::{DrainReport, ShutdownOptions};
use limpetmux::entry::{Entry, EntryOptions, Limits, Members};
use limpetmux::kernel::Kernel;
use limpetmux::membership::{self, MembershipParts, Reporter};
use limpetmux::node::local::StandIn;
use limpetmux::node::process::{EntryListeners, Process, ProcessParts, follow_listing, run_entry};
use limpetmux::shutdown::ShutdownPort;
use limpetmux::sidecar::{OnceLink, Sidecar, SidecarOptions};
use limpetmux::util::metrics::Metrics;
use limpetmux::wire::admin::StatusReply;
use limpetmux_standins::{Hosts, Log, LogOptions};
use rand::SeedableRng;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
/// The time after which a condition is taken never to hold.
const GIVE_UP: Duration = Duration::from_secs(120);
/// Times of a test's shutdowns.
const TIMES: ShutdownOptions = ShutdownOptions {
    notice: Duration::from_millis(1_000),
    deadline: Duration::from_secs(60),
    flush: Duration::from_secs(5),
};

/// One running process of either role.
pub struct Node<T> {
    /// The role.
    pub role: Arc<T>,
    /// The configuration as this node knows it.
    pub control: Control,
    /// Where operators and peers reach the node.
    pub grpc: SocketAddr,
    /// Where callers reach the node, if it is an entry.
    pub url: String,
    /// What the node knows of hosts.
    pub members: Option<Reporter>,
    shutdown: ShutdownPort,
    main: JoinHandle<DrainReport>,
    spread: JoinHandle<()>,
    _kernel: Arc<Kernel>,
}

impl<T> Node<T> {
    /// Drains the process and waits for its end.
    ///
    /// # Panics
    /// Panics if the process fails.
    pub async fn drain(self) -> DrainReport {
        let _ = self.shutdown.drain(None).await;
        self.spread.abort();
        match self.main.await {
            Ok(report) => report,
            Err(e) => panic!("{e}"),
        }
    }
}

impl Node<Entry> {
    /// Returns whether the entry knows that a host takes new work.
    pub fn knows(&self, host: &Name) -> bool {
        let view = self.control.view.load();
        let states = self.members.as_ref().map(Reporter::states).unwrap_or_default();
        view.host(host.as_str()).is_some_and(|key| states.is_usable(&view, key))
    }
}

/// A deployment of one configuration.
pub struct Deployment {
    /// The configuration that was declared first.
    pub config: Config,
    /// The platform's log.
    pub log: Log,
    /// The platform's host list.
    pub hosts: Hosts,
    /// The backend server of each host.
    pub standins: BTreeMap<Name, StandIn>,
    /// The sidecar of each host.
    pub sidecars: BTreeMap<Name, Node<Sidecar>>,
    /// The entries.
    pub entries: Vec<Node<Entry>>,
    cuts: BTreeMap<String, Arc<AtomicBool>>,
    changes: u64,
    revision: Revision,
}

impl Deployment {
    /// Starts the hosts of a configuration, each with a backend server and a sidecar, and entries.
    ///
    /// # Panics
    /// Panics if a part does not start.
    pub async fn start(mut config: Config, entries: usize) -> Self {
        let mut listeners = Vec::new();
        for (name, host) in &mut config.hosts {
            let listener = bind(0).await;
            host.sidecar = listener.local_addr().unwrap();
            listeners.push((name.clone(), listener));
        }
        let mut standins = BTreeMap::new();
        for (name, host) in &config.hosts {
            let kind = config.services[&host.service].kind;
            standins.insert(name.clone(), StandIn::start(kind).await.unwrap());
        }
        let log = Log::start(LogOptions::default()).await.unwrap();
        let hosts = Hosts::start(0, Duration::ZERO).await.unwrap();
        let mut deployment = Self {
            log,
            hosts,
            standins,
            sidecars: BTreeMap::new(),
            entries: Vec::new(),
            cuts: BTreeMap::new(),
            changes: 0,
            revision: Revision::EMPTY,
            config,
        };
        let first = change_record(first_change(&deployment.config));
        deployment.revision = Revision::at(deployment.append(first).await);
        for (name, listener) in listeners {
            let node = deployment.sidecar(&name, listener).await;
            deployment.sidecars.insert(name, node);
        }
        for index in 0..entries {
            let node = deployment.entry(index).await;
            deployment.entries.push(node);
        }
        deployment.in_force(deployment.revision).await;
        deployment
    }

    /// Appends a change of the configuration and returns the revision that it makes.
    ///
    /// # Panics
    /// Panics if the log refuses the append.
    pub async fn change(&mut self, edits: Vec<Edit>) -> Revision {
        self.changes += 1;
        let offset = Offset(self.log.end("config"));
        let change = change(u128::from(self.changes), self.revision, offset, edits);
        // The small configuration has two zones, so taking one out counts as dangerous.
        let change = Change { force: true, ..change };
        self.revision = Revision::at(self.append(change_record(change)).await);
        self.revision
    }

    /// Takes an availability zone out or in.
    pub async fn set_zone(&mut self, zone: &str, serving: bool) -> Revision {
        let edit = crate::changes::zone_edit(&self.config, zone, serving);
        self.change(vec![edit]).await
    }

    /// Waits until a revision is in force on all nodes.
    pub async fn in_force(&self, revision: Revision) {
        let sidecars = self.sidecars.values().map(|n| &n.control);
        for control in sidecars.chain(self.entries.iter().map(|n| &n.control)) {
            wait_for(|| control.view.load().revision >= revision).await;
        }
    }

    /// Cuts a node off from the log, or reconnects it.
    pub fn set_cut(&self, node: &str, cut: bool) {
        self.cuts[node].store(cut, Ordering::SeqCst);
    }

    /// Returns the names of all nodes.
    pub fn nodes(&self) -> Vec<String> {
        self.cuts.keys().cloned().collect()
    }

    /// Returns the hosts of an availability zone.
    pub fn zone_hosts(&self, zone: &str) -> Vec<Name> {
        let hosts = self.config.hosts.iter().filter(|(_, h)| h.zone.as_str() == zone);
        hosts.map(|(name, _)| name.clone()).collect()
    }

    /// Drains a sidecar, starts its successor at the same address and waits until all entries know
    /// that it takes work, as an operator does before the next one.
    ///
    /// # Panics
    /// Panics if the host is not declared.
    pub async fn restart_sidecar(&mut self, name: &Name) -> DrainReport {
        let Some(old) = self.sidecars.remove(name) else { panic!("no sidecar {name}") };
        let port = old.grpc.port();
        let report = old.drain().await;
        let node = self.sidecar(name, bind(port).await).await;
        self.sidecars.insert(name.clone(), node);
        for entry in &self.entries {
            wait_for(|| entry.knows(name)).await;
        }
        report
    }

    /// Starts another entry in place of one and drains that, as a balancer that follows readiness
    /// sees it: `urls` is what the balancer sends to.
    ///
    /// # Panics
    /// Panics if the old entry's readiness cannot be asked for.
    pub async fn restart_entry(&mut self, index: usize, urls: &Mutex<Vec<String>>) -> DrainReport {
        let node = self.entry(index).await;
        wait_for(|| node.role.is_ready()).await;
        urls.lock().unwrap().push(node.url.clone());
        let old = std::mem::replace(&mut self.entries[index], node);
        let (role, url) = (Arc::clone(&old.role), old.url.clone());
        let drained = tokio::spawn(old.drain());
        wait_for(|| !role.is_ready()).await;
        urls.lock().unwrap().retain(|u| *u != url);
        drained.await.unwrap()
    }

    /// Ends all nodes.
    pub async fn stop(mut self) {
        for entry in self.entries {
            entry.drain().await;
        }
        for sidecar in self.sidecars.into_values() {
            sidecar.drain().await;
        }
        self.log.stop().await;
    }

    async fn append(&self, record: Vec<u8>) -> Offset {
        let log = LogClient::http(reqwest::Client::new(), &self.log.url());
        (log.append)(Stream::Config, record).await.unwrap()
    }

    /// Starts the sidecar of a host.
    async fn sidecar(&mut self, name: &Name, listener: TcpListener) -> Node<Sidecar> {
        let grpc = listener.local_addr().unwrap();
        let kernel = Arc::new(Kernel::new());
        let log = self.node_log(name.as_str());
        let control = control(name.as_str(), log.clone(), &kernel);
        let backend = Backend::http(reqwest::Client::new(), &self.standins[name].url());
        let view = control.view.clone();
        // All processes share one clock.
        let rules = Rules { margin: Duration::ZERO, ..Rules::default() };
        let once = Some(OnceLink { rules, ..OnceLink::new(log) });
        let role = Sidecar::start(SidecarOptions {
            host: name.clone(),
            view,
            backend,
            metrics: Metrics::none(),
            once,
        });
        let members = self.members(&control, &kernel);
        follow_listing(&role, name.clone(), control.view.clone(), &members);
        let times = ShutdownOptions { notice: Duration::ZERO, ..TIMES };
        let flushed = Arc::clone(&role);
        let flush = move || -> BoxFuture<'static, bool> {
            let role = Arc::clone(&flushed);
            Box::pin(async move { role.flush().await })
        };
        let parts = ProcessParts { flush: Arc::new(flush), ..parts(&kernel, times) };
        let process = Process::sidecar(&role, parts).unwrap();
        let (process, spread) = self.spread(process, &control, grpc);
        let shutdown = process.shutdown.clone();
        let run = process.run(listener, std::future::pending());
        let main = tokio::spawn(async move { run.await.unwrap() });
        let (url, members) = (String::new(), Some(members));
        Node { role, control, grpc, url, members, shutdown, main, spread, _kernel: kernel }
    }

    /// Starts an entry on ports of its own.
    pub async fn entry(&mut self, index: usize) -> Node<Entry> {
        let listeners = EntryListeners { http: bind(0).await, grpc: bind(0).await };
        let grpc = listeners.grpc.local_addr().unwrap();
        let url = limpetmux::entry::base_url(listeners.http.local_addr().unwrap());
        let kernel = Arc::new(Kernel::new());
        let node = format!("entry-{index}");
        let control = control(&node, self.node_log(&node), &kernel);
        let members = self.members(&control, &kernel);
        let zones: Vec<&Name> = self.config.zones.keys().collect();
        let role = Entry::start(EntryOptions {
            zone: zones[index % zones.len()].clone(),
            ordinal: u32::try_from(index / zones.len()).unwrap(),
            view: control.view.clone(),
            members: Members(Some(members.clone())),
            channels: Default::default(),
            limits: Limits::default(),
            metrics: Metrics::none(),
        });
        let role = role.unwrap();
        let process = Process::entry(&role, parts(&kernel, TIMES)).unwrap();
        let (process, spread) = self.spread(process, &control, grpc);
        let shutdown = process.shutdown.clone();
        let run = run_entry(Arc::clone(&role), process, listeners, std::future::pending());
        let main = tokio::spawn(async move { run.await.unwrap() });
        let members = Some(members);
        Node { role, control, grpc, url, members, shutdown, main, spread, _kernel: kernel }
    }

    /// Starts the membership of a node.
    fn members(&self, control: &Control, kernel: &Kernel) -> Reporter {
        let list = HostsClient::http(reqwest::Client::new(), &self.hosts.url());
        let parts = MembershipParts { views: control.view.clone(), hosts: Some(list) };
        membership::start(kernel, parts).unwrap()
    }

    /// Returns a node's own access to the log.
    fn node_log(&mut self, node: &str) -> LogClient {
        let cut = self.cuts.entry(node.to_owned()).or_default();
        cuttable(LogClient::http(reqwest::Client::new(), &self.log.url()), cut)
    }

    /// Adds the exchange with peers to a process.
    fn spread(
        &self,
        process: Process,
        control: &Control,
        grpc: SocketAddr,
    ) -> (Process, JoinHandle<()>) {
        let counters = Arc::new(PeerCounters::default());
        let server = peer_server(control.port.clone(), Arc::clone(&counters));
        let seeds = self.sidecars.values().map(|n| n.grpc).collect();
        let period = Duration::from_millis(50);
        let options = SpreadOptions { period, ..SpreadOptions::new(Some(grpc), seeds) };
        let rng = rand::rngs::StdRng::seed_from_u64(u64::from(grpc.port()));
        let spread = Spread::new(control.clone(), options, counters, rng);
        (process.with(|routes| routes.add_service(server)), tokio::spawn(spread.run()))
    }
}

/// Starts the control service of a node.
fn control(node: &str, log: LogClient, kernel: &Kernel) -> Control {
    let retry = Duration::from_millis(50);
    let options = ControlOptions { retry, ..ControlOptions::new(node) };
    let (control, service) = prepare(kernel, log, options).unwrap();
    tokio::spawn(service.run());
    control
}

fn parts(kernel: &Arc<Kernel>, times: ShutdownOptions) -> ProcessParts {
    ProcessParts {
        kernel: Arc::clone(kernel),
        channels: Default::default(),
        times,
        flush: Arc::new(|| Box::pin(async { true })),
        status: Arc::new(StatusReply::default),
    }
}

/// Wraps a client of the log so that one node can be cut off from it.
fn cuttable(log: LogClient, cut: &Arc<AtomicBool>) -> LogClient {
    let refused = || LogError::Refused { status: 503, retry_after: None };
    let (read, append) = (Arc::clone(&log.read), Arc::clone(&log.append));
    let (read_cut, append_cut) = (Arc::clone(cut), Arc::clone(cut));
    LogClient {
        read: Arc::new(move |stream, from, wait| {
            let (page, cut) = (read(stream, from, wait), Arc::clone(&read_cut));
            Box::pin(async move {
                let page = page.await;
                if cut.load(Ordering::SeqCst) { Err(refused()) } else { page }
            })
        }),
        append: Arc::new(move |stream, data| {
            if append_cut.load(Ordering::SeqCst) {
                return Box::pin(async move { Err(refused()) });
            }
            append(stream, data)
        }),
    }
}

async fn bind(port: u16) -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await.unwrap()
}

/// Waits until a condition holds.
///
/// # Panics
/// Panics after so long a time that the test would otherwise never end.
pub async fn wait_for(condition: impl Fn() -> bool) {
    let look = async {
        while !condition() {
            tokio::time::sleep(LOOK).await;
        }
    };
    assert!(tokio::time::timeout(GIVE_UP, look).await.is_ok(), "the condition never holds");
}
