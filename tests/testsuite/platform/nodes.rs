//! Nodes choose the same node to queue a service's pieces, and skip those that do not answer.

use super::{at, ms};
use limpetmux::core::nodes::{Node, Nodes, SILENT_AFTER};
use std::net::SocketAddr;

fn node(number: u8, queues_pieces: bool) -> Node {
    Node {
        name: format!("n{number}").into(),
        addr: addr(number),
        zone: "mnl-a".into(),
        queues_pieces,
        started: 1,
    }
}

fn addr(number: u8) -> SocketAddr {
    ([127, 0, 0, number], 7_000).into()
}

/// The view of one of five nodes, of which the last three queue pieces.
fn view(own: u8) -> Nodes {
    let mut nodes = Nodes::new(node(own, own > 2));
    (1..=5).for_each(|n| nodes.observe(node(n, n > 2), at(0)));
    nodes
}

fn queue_addr(nodes: &Nodes, now: u64, service: &str) -> Option<SocketAddr> {
    nodes.queue_node(at(now), service, &[]).map(|n| n.addr)
}

#[test]
fn all_nodes_choose_the_same_queue_node_for_each_service() {
    let views: Vec<Nodes> = (1..=5).map(view).collect();

    for service in ["a", "b", "c", "d"] {
        let addrs: Vec<_> = views.iter().map(|v| queue_addr(v, 1, service)).collect();
        assert!(addrs.windows(2).all(|w| w[0] == w[1]), "{service}: {addrs:?}");
        assert!(addrs[0] >= Some(addr(3)), "an entry queues pieces of {service}");
    }
}

#[test]
fn failed_node_is_skipped_until_a_later_observation() {
    let mut nodes = view(1);
    let first = queue_addr(&nodes, 1, "a").expect("a node");
    let number = first.ip().to_string().rsplit('.').next().unwrap().parse().unwrap();

    nodes.record_failure(first, at(100));
    // An observation from before the failed call does not count.
    nodes.observe(node(number, true), at(50));
    let second = queue_addr(&nodes, 2_000, "a");
    nodes.observe(node(number, true), at(2_500));

    assert_ne!(second, Some(first));
    assert_eq!(queue_addr(&nodes, 2_600, "a"), Some(first));
}

#[test]
fn address_of_a_former_node_is_not_a_live_node() {
    let mut nodes = Nodes::new(node(1, false));

    nodes.add_candidate(addr(9));

    assert_eq!(nodes.candidates().collect::<Vec<_>>(), [addr(9)]);
    assert_eq!(queue_addr(&nodes, 1, "a"), Some(addr(1)), "the local node is the only live one");
}

#[test]
fn node_that_is_no_longer_observed_is_not_live() {
    let nodes = view(1);

    let after = u64::try_from(SILENT_AFTER.as_millis()).unwrap();

    assert_eq!(nodes.live(at(after - 1)).count(), 4);
    assert_eq!(nodes.live(at(after + 1)).count(), 0);
}

#[test]
fn only_entries_share_the_rate_of_a_cold_backend_server() {
    let nodes = view(3);

    let entries: Vec<String> = nodes.entries(at(1)).iter().map(ToString::to_string).collect();

    assert_eq!(entries, ["n1", "n2"]);
    assert!(ms(1) < SILENT_AFTER);
}

#[test]
fn stopped_node_is_skipped_at_once_until_its_next_start() {
    // Guards against calls to the queue node after it stopped under load: others still report it.
    let mut nodes = view(1);
    let first = queue_addr(&nodes, 1, "a").expect("a node");
    let number = first.ip().to_string().rsplit('.').next().unwrap().parse().unwrap();

    nodes.remove_stopped(first, 1);
    nodes.observe(node(number, true), at(50));
    let second = queue_addr(&nodes, 60, "a");
    nodes.observe(Node { started: 2, ..node(number, true) }, at(70));

    assert_ne!(second, Some(first));
    assert_eq!(queue_addr(&nodes, 80, "a"), Some(first));
}

#[test]
fn node_that_cannot_read_the_store_is_the_last_to_read_it() {
    // Guards against nodes that wait for a reader which the store turns away.
    let mut nodes = view(1);
    let reader = |nodes: &Nodes, now| nodes.readers(at(now))[0].addr;
    let first = reader(&nodes, 1);

    nodes.record_store_lost(first, true, at(100));
    // What another node relays may be older.
    nodes.record_store_lost(first, false, at(90));
    let second = reader(&nodes, 110);
    nodes.record_store_lost(first, false, at(120));

    assert_ne!(second, first);
    assert_eq!(reader(&nodes, 130), first);
    let own = addr(1);
    nodes.set_store_lost(true);
    assert_eq!(nodes.readers(at(140)).last().map(|n| n.addr), Some(own));
}
