//! Gossip passes accepted changes between nodes without the log, at a bounded cost per node.

use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::log::Stream;
use limpetmux::control::{
    Control, ControlOptions, Gossip, GossipOptions, PeerCounters, peer_server, prepare,
};
use limpetmux::core::config::Replica;
use limpetmux::core::planner::PROBES_PER_ROUND;
use limpetmux::core::revision::{Offset, Revision};
use limpetmux::kernel::Kernel;
use limpetmux::node::deployment::Deployment::PhLuzon;
use limpetmux::node::local::{Local, LocalOptions};
use limpetmux::planner::probe_load;
use limpetmux_test_support::changes::{change_record, first_change};
use limpetmux_test_support::{FakeLog, small_config};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::wrappers::TcpListenerStream;

const ENTRIES: usize = 360;
const SIDECARS: usize = 950;
const FANOUT: usize = 2;
/// Half of the 16 s within which a change has to be in force, at one round a second.
const MAX_ROUNDS: usize = 8;
/// A quarter of the 24 KB/s that a node may use for control.
const NODE_BYTES_PER_S: f64 = 6_000.0;
/// Traffic that the lease holder may use for probes, in bytes a second.
const PROBE_BYTES_PER_S: f64 = 6_000.0;
/// The time between two rounds of probes, in seconds.
const PROBE_ROUND_S: f64 = 5.0;

struct Node {
    _kernel: Kernel,
    control: Control,
    counters: Arc<PeerCounters>,
    address: SocketAddr,
}

/// Starts a node with its peer service on loopback.
async fn start(log: &FakeLog, name: &str) -> Node {
    let kernel = Kernel::new();
    let (control, service) = prepare(&kernel, log.client(), ControlOptions::new(name)).unwrap();
    tokio::spawn(service.run());
    let counters = Arc::new(PeerCounters::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = peer_server(control.port.clone(), Arc::clone(&counters));
    let router = tonic::transport::Server::builder().add_service(server);
    tokio::spawn(router.serve_with_incoming(TcpListenerStream::new(listener)));
    Node { _kernel: kernel, control, counters, address }
}

fn start_gossip(node: &Node, seed: SocketAddr, period: Duration) {
    let mut options = GossipOptions::new(Some(node.address), vec![seed]);
    options.period = period;
    let (control, counters) = (node.control.clone(), Arc::clone(&node.counters));
    tokio::spawn(Gossip::new(control, options, counters, StdRng::seed_from_u64(1)).run());
}

async fn wait_configured(node: &Node) {
    let mut view = node.control.view.clone();
    while view.load().revision == Revision::EMPTY {
        assert!(view.changed().await);
    }
}

fn declared() -> FakeLog {
    let log = FakeLog::new();
    log.push(Stream::Config, change_record(first_change(&small_config())));
    log
}

/// Starts a proxy to a node. Returns its address and, as each connection ends, its bytes in both
/// directions.
async fn count_bytes(target: SocketAddr) -> (SocketAddr, tokio::sync::mpsc::Receiver<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = tokio::sync::mpsc::channel(64);
    tokio::spawn(async move {
        while let Ok((mut inward, _)) = listener.accept().await {
            let mut outward = TcpStream::connect(target).await.unwrap();
            let sender = sender.clone();
            tokio::spawn(async move {
                let copied = tokio::io::copy_bidirectional(&mut inward, &mut outward).await;
                let _ = sender.send(copied.map_or(0, |(to, from)| to + from)).await;
            });
        }
    });
    (address, receiver)
}

#[tokio::test]
async fn fresh_node_gets_configuration_over_tcp_with_log_down() {
    let log = declared();
    let old = start(&log, "billing-0").await;
    wait_configured(&old).await;
    log.set_down(true);
    let fresh = start(&log, "billing-1").await;

    start_gossip(&fresh, old.address, Duration::from_millis(50));
    wait_configured(&fresh).await;

    assert_eq!(fresh.control.status.load().position, old.control.status.load().position);
}

#[tokio::test]
async fn node_that_is_ahead_updates_its_peer_over_tcp() {
    let ahead = start(&declared(), "billing-0").await;
    wait_configured(&ahead).await;
    let behind = start(&FakeLog::new(), "billing-1").await;

    start_gossip(&ahead, behind.address, Duration::from_millis(50));
    wait_configured(&behind).await;

    assert_eq!(behind.control.status.load().position, ahead.control.status.load().position);
}

#[tokio::test]
async fn idle_exchange_stays_within_share_of_bandwidth() {
    let log = FakeLog::new();
    let (one, two) = (start(&log, "billing-0").await, start(&log, "billing-1").await);
    let (proxy, mut counts) = count_bytes(two.address).await;

    start_gossip(&one, proxy, Duration::from_secs(3_600));
    let bytes = counts.recv().await.unwrap();

    let received = (ENTRIES + SIDECARS) as f64 / SIDECARS as f64;
    let rate = bytes as f64 * FANOUT as f64 * (1.0 + received);
    println!("idle exchange: {bytes} bytes on TCP, {rate:.0} bytes/s on a sidecar at the target");
    assert_eq!(one.counters.traffic().messages, 2);
    assert!(bytes > 0 && rate <= NODE_BYTES_PER_S, "{rate}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn probes_of_a_round_stay_within_their_share_of_bandwidth() {
    let local = Local::start(LocalOptions { deployment: PhLuzon, port: 0 }).await.unwrap();
    let (proxy, mut counts) = count_bytes(local.hosts[0].addr).await;

    let load = probe_load(Channels::plain())(proxy).await;
    let bytes = counts.recv().await.unwrap();

    let rate = bytes as f64 * PROBES_PER_ROUND as f64 / PROBE_ROUND_S;
    println!("a probe: {bytes} bytes on TCP; all probes of the holder: {rate:.0} bytes/s");
    assert!(load.is_some() && rate <= PROBE_BYTES_PER_S, "{rate}");
    local.stop().await;
}

#[test]
fn change_reaches_all_nodes_at_the_target_size() {
    let record = change_record(first_change(&small_config()));
    for seed in 0..3 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut nodes: Vec<Replica> = (0..SIDECARS + ENTRIES).map(|_| Replica::new()).collect();
        let bounds = (Offset(0), Offset(1));
        let read = nodes[0].next_read();
        nodes[0].on_page(read, bounds, [(Offset(0), &record[..])].into_iter()).unwrap();

        let mut rounds = 0;
        while nodes.iter().any(|n| n.in_force().is_none()) {
            round(&mut nodes, &mut rng);
            rounds += 1;
        }

        println!("seed {seed}: {rounds} rounds");
        assert!(rounds <= MAX_ROUNDS, "{rounds}");
    }
}

/// Lets each node exchange with random sidecars. A node passes a change on from the next round on.
fn round(nodes: &mut [Replica], rng: &mut StdRng) {
    let had_config: Vec<bool> = nodes.iter().map(|n| n.in_force().is_some()).collect();
    for caller in 0..nodes.len() {
        for _ in 0..FANOUT {
            let peer = rng.random_range(0..SIDECARS);
            for (from, to) in [(caller, peer), (peer, caller)] {
                if had_config[from] && nodes[to].in_force().is_none() {
                    let delta = nodes[from].delta_for(nodes[to].position()).unwrap();
                    let position = nodes[from].position();
                    nodes[to].on_delta(position, &delta).unwrap();
                }
            }
        }
    }
}
