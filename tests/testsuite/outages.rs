//! Outages of the log during a rolling restart and of the network link between two regions.

use futures::FutureExt;
use limpetmux::adapters::hosts::HostsClient;
use limpetmux::adapters::log::{LogClient, LogError, Stream};
use limpetmux::control::{
    Control, ControlOptions, Gossip, GossipOptions, PeerCounters, peer_server, prepare,
};
use limpetmux::core::config::{Config, Edit, HostSpec, Name};
use limpetmux::core::membership::{HostState, ListedHost};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::kernel::Kernel;
use limpetmux::membership::{self, MembershipParts, Reporter};
use limpetmux_test_support::changes::{
    change, change_record, first_change, weight_edit, zone_edit,
};
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::deployment::wait_for;
use limpetmux_test_support::load::Load;
use limpetmux_test_support::{Deployment, FakeLog, name};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;

const CALLERS: usize = 8;
const PERIOD: Duration = Duration::from_millis(20);
/// The number of failed exchanges after which a node counts as cut off.
const FAILURES: u64 = 40;
const LOG_ZONE: &str = "mnl-a";
const REMOTE_ZONE: &str = "mnl-b";

/// The network link between the region of the log and the other region.
#[derive(Clone)]
struct Link(watch::Sender<bool>);

impl Link {
    fn new() -> Self {
        Self(watch::Sender::new(true))
    }

    fn set_open(&self, open: bool) {
        self.0.send_replace(open);
    }

    async fn lost(&self) {
        drop(self.0.subscribe().wait_for(|open| !open).await);
    }

    /// Returns a client that reaches the log over the link.
    fn log(&self, log: &LogClient) -> LogClient {
        let (read, link) = (Arc::clone(&log.read), self.clone());
        let (append, appends) = (Arc::clone(&log.append), self.clone());
        LogClient {
            read: Arc::new(move |stream, from, wait| {
                let (page, link) = (read(stream, from, wait), link.clone());
                async move {
                    tokio::select! {
                        biased;
                        () = link.lost() => Err(LogError::Refused { status: 503, retry_after: None }),
                        page = page => page,
                    }
                }
                .boxed()
            }),
            append: Arc::new(move |stream, data| {
                if *appends.0.borrow() {
                    return append(stream, data);
                }
                async { Err(LogError::Refused { status: 503, retry_after: None }) }.boxed()
            }),
        }
    }

    /// Starts a proxy to a node over the link and returns its address.
    async fn proxy_to(&self, node: SocketAddr) -> SocketAddr {
        let listener = bind().await;
        let address = listener.local_addr().unwrap();
        let link = self.clone();
        tokio::spawn(async move {
            while let Ok((mut inward, _)) = listener.accept().await {
                let link = link.clone();
                tokio::spawn(async move {
                    let copy = async {
                        let mut outward = TcpStream::connect(node).await?;
                        tokio::io::copy_bidirectional(&mut inward, &mut outward).await
                    };
                    tokio::select! {
                        biased;
                        () = link.lost() => {}
                        _ = copy => {}
                    }
                });
            }
        });
        address
    }
}

async fn bind() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap()
}

/// One node with its configuration, peers and membership.
struct Node {
    _kernel: Kernel,
    control: Control,
    members: Reporter,
    counters: Arc<PeerCounters>,
    address: SocketAddr,
    /// Every revision that was in force on the node, in order.
    seen: Arc<Mutex<Vec<Revision>>>,
    /// How often the node has read the host list.
    list_reads: Arc<AtomicU64>,
}

impl Node {
    /// Starts a node whose host list always shows every host as live.
    async fn start(log: LogClient, node: &str, config: &Config) -> Self {
        let kernel = Kernel::new();
        let retry_delay = PERIOD;
        let options = ControlOptions { retry_delay, ..ControlOptions::new(node) };
        let (control, service) = prepare(&kernel, log, options).unwrap();
        let seen = record(&control);
        tokio::spawn(service.run());
        let list_reads = Arc::new(AtomicU64::new(0));
        let hosts = Some(stale_list(config, &list_reads));
        let parts = MembershipParts { views: control.view.clone(), hosts };
        let members = membership::start(&kernel, parts).unwrap();
        let counters = Arc::new(PeerCounters::default());
        let listener = bind().await;
        let address = listener.local_addr().unwrap();
        let server = peer_server(control.port.clone(), Arc::clone(&counters));
        let router = tonic::transport::Server::builder().add_service(server);
        tokio::spawn(router.serve_with_incoming(TcpListenerStream::new(listener)));
        Self { _kernel: kernel, control, members, counters, address, seen, list_reads }
    }

    /// Starts the exchange with peers.
    fn join(&self, seeds: Vec<SocketAddr>) {
        let options = GossipOptions { period: PERIOD, ..GossipOptions::new(None, seeds) };
        let rng = StdRng::seed_from_u64(u64::from(self.address.port()));
        let counters = Arc::clone(&self.counters);
        tokio::spawn(Gossip::new(self.control.clone(), options, counters, rng).run());
    }

    fn revision(&self) -> Revision {
        self.control.view.load().revision
    }

    /// Returns whether the node would send new work to a host.
    fn uses(&self, host: &Name) -> bool {
        let view = self.control.view.load();
        let key = view.host(host.as_str()).unwrap();
        self.members.states().is_usable(&view, key)
    }

    /// Waits until the node has noticed that neither the log nor the other region answers.
    async fn wait_cut_off(&self) {
        let before = self.counters.traffic().failed;
        wait_for(|| !self.control.status.load().reachable).await;
        wait_for(|| self.counters.traffic().failed >= before + FAILURES).await;
    }

    /// Waits for two more reads of the host list, so that the node has applied one of them.
    async fn wait_list_reads(&self) {
        let before = self.list_reads.load(Ordering::SeqCst);
        wait_for(|| self.list_reads.load(Ordering::SeqCst) >= before + 2).await;
    }
}

/// Records every revision that a node puts in force.
fn record(control: &Control) -> Arc<Mutex<Vec<Revision>>> {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let (mut view, record) = (control.view.clone(), Arc::clone(&seen));
    tokio::spawn(async move {
        while view.changed().await {
            record.lock().unwrap().push(view.load().revision);
        }
    });
    seen
}

/// Returns a client whose host list stays as it was at the start, and counts its reads.
fn stale_list(config: &Config, reads: &Arc<AtomicU64>) -> HostsClient {
    let live =
        |host: &Name| ListedHost { host: host.clone(), state: HostState::Live, incarnation: 1 };
    let rows: Vec<ListedHost> = config.hosts.keys().map(live).collect();
    let reads = Arc::clone(reads);
    let list = move || {
        reads.fetch_add(1, Ordering::SeqCst);
        let rows = rows.clone();
        async move { Ok(rows) }.boxed()
    };
    HostsClient { list: Arc::new(list) }
}

/// Two regions with two nodes each; the log is in the first one.
struct Regions {
    config: Config,
    log: FakeLog,
    link: Link,
    log_region: Vec<Node>,
    remote_region: Vec<Node>,
}

impl Regions {
    async fn start() -> Self {
        let mut config = summary_config();
        config.zones.get_mut(REMOTE_ZONE).unwrap().region = name("ph-visayas");
        for (port, host) in (1..).zip(config.hosts.values_mut()) {
            // Nothing listens at these addresses, so that the nodes of the test are the only peers.
            host.sidecar = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        }
        let (log, link) = (FakeLog::new(), Link::new());
        log.push(Stream::Config, change_record(first_change(&config)));
        let (mut log_region, mut remote_region) = (Vec::new(), Vec::new());
        for index in 0..2 {
            log_region.push(Node::start(log.client(), &format!("near-{index}"), &config).await);
            let log = link.log(&log.client());
            remote_region.push(Node::start(log, &format!("far-{index}"), &config).await);
        }
        for (region, other) in [(&log_region, &remote_region), (&remote_region, &log_region)] {
            region[0].join(vec![region[1].address, link.proxy_to(other[0].address).await]);
            region[1].join(vec![region[0].address, link.proxy_to(other[1].address).await]);
        }
        let regions = Self { config, log, link, log_region, remote_region };
        regions.wait_in_force(Revision(1)).await;
        regions
    }

    async fn wait_in_force(&self, revision: Revision) {
        for node in self.log_region.iter().chain(&self.remote_region) {
            wait_for(|| node.revision() == revision).await;
        }
    }

    async fn lose_link(&self) {
        self.link.set_open(false);
        for node in &self.remote_region {
            node.wait_cut_off().await;
        }
    }

    /// Appends one more change and waits until it is in force in the region of the log.
    async fn change(&self, edits: Vec<Edit>) -> Revision {
        let end = self.log.records(Stream::Config).len() as u64;
        let mut change = change(u128::from(end), Revision(end), Offset(end), edits);
        change.force = true;
        let revision = Revision::at(self.log.push(Stream::Config, change_record(change)));
        for node in &self.log_region {
            wait_for(|| node.revision() == revision).await;
        }
        revision
    }

    fn hosts(&self, zone: &str) -> Vec<Name> {
        let hosts = self.config.hosts.iter().filter(|(_, h)| h.zone.as_str() == zone);
        hosts.map(|(name, _)| name.clone()).collect()
    }

    /// Asserts that no node returned to an earlier revision.
    fn assert_no_regression(&self) {
        for node in self.log_region.iter().chain(&self.remote_region) {
            let seen = node.seen.lock().unwrap().clone();
            assert!(seen.is_sorted() && !seen.is_empty(), "{seen:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_link_keeps_the_last_configuration_and_readmits_no_stopped_host() {
    let mut regions = Regions::start().await;
    let host = regions.hosts(REMOTE_ZONE).remove(0);
    let off = HostSpec { running: false, ..regions.config.hosts[&host].clone() };
    regions.lose_link().await;

    regions.change(vec![Edit::Host(host.clone(), Some(off))]).await;
    let last = regions.change(vec![weight_edit(&regions.config, "trial", 9)]).await;
    let log = regions.link.log(&regions.log.client());
    let fresh = Node::start(log, "far-2", &regions.config).await;
    fresh.join(regions.remote_region.iter().map(|n| n.address).collect());
    wait_for(|| fresh.revision() == Revision(1)).await;
    regions.remote_region.push(fresh);
    for node in &regions.remote_region {
        node.wait_cut_off().await;
    }
    let held: Vec<_> =
        regions.remote_region.iter().map(|n| (n.revision(), n.uses(&host))).collect();
    regions.link.set_open(true);
    regions.wait_in_force(last).await;

    assert_eq!(held, [(Revision(1), true); 3]);
    for node in regions.log_region.iter().chain(&regions.remote_region) {
        node.wait_list_reads().await;
        assert_eq!((node.revision(), node.uses(&host)), (last, false));
    }
    regions.assert_no_regression();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_changes_during_a_lost_link_reach_the_other_region_afterwards() {
    let regions = Regions::start().await;
    let (log_hosts, remote_hosts) = (regions.hosts(LOG_ZONE), regions.hosts(REMOTE_ZONE));
    let uses = |node: &Node, hosts: &[Name]| hosts.iter().filter(|h| node.uses(h)).count();
    regions.lose_link().await;

    regions.change(vec![zone_edit(&regions.config, LOG_ZONE, false)]).await;
    let out = regions.log_region.iter().map(|n| uses(n, &log_hosts)).sum::<usize>();
    regions.change(vec![zone_edit(&regions.config, LOG_ZONE, true)]).await;
    let last = regions.change(vec![zone_edit(&regions.config, REMOTE_ZONE, false)]).await;
    let held: Vec<_> = regions
        .remote_region
        .iter()
        .map(|n| (uses(n, &log_hosts), uses(n, &remote_hosts)))
        .collect();
    regions.link.set_open(true);
    regions.wait_in_force(last).await;

    assert_eq!(out, 0);
    assert_eq!(held, [(log_hosts.len(), remote_hosts.len()); 2]);
    for node in regions.log_region.iter().chain(&regions.remote_region) {
        node.wait_list_reads().await;
        assert_eq!((uses(node, &log_hosts), uses(node, &remote_hosts)), (log_hosts.len(), 0));
    }
    regions.assert_no_regression();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sidecars_restart_one_by_one_while_the_log_is_down() {
    let mut deployment = Deployment::start(summary_config(), 2).await;
    let urls = deployment.entries.iter().map(|e| e.url.clone()).collect();
    let load = Load::start(urls, CALLERS, None);
    load.wait_for_answers(8).await;
    let revision = deployment.entries[0].control.view.load().revision;
    deployment.log.faults.set_outage(true);

    let hosts: Vec<Name> = deployment.sidecars.keys().cloned().collect();
    for host in &hosts {
        let report = deployment.restart_sidecar(host).await;
        // Only a host of a service with idempotency keys writes to the log when it ends; it reports
        // that it could not.
        let service = &deployment.config.services[&deployment.config.hosts[host].service];
        let ended = (report.unfinished, report.flushed);
        assert_eq!(ended, (0, service.idempotent), "{host}: {report:?}");
        let control = &deployment.sidecars[host].control;
        wait_for(|| control.view.load().revision == revision).await;
        assert!(!control.status.load().reachable, "{host} reached the log");
        load.wait_for_answers(4).await;
    }
    let tally = load.stop().await;

    assert_eq!(tally.faults, Vec::<String>::new());
    deployment.log.faults.set_outage(false);
    deployment.stop().await;
}
