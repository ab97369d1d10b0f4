//! Nodes agree on who queues pieces, and silent ones are passed over.

use super::{at, ms};
use limpetmux::core::nodes::{Node, Nodes, SILENT_AFTER};
use std::net::SocketAddr;

fn node(number: u8, gate: bool) -> Node {
    Node {
        name: format!("n{number}").into(),
        addr: addr(number),
        zone: "mnl-a".into(),
        queues_pieces: gate,
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

fn gate(nodes: &Nodes, now: u64, service: &str) -> Option<SocketAddr> {
    nodes.queue_node(at(now), service, &[]).map(|n| n.addr)
}

#[test]
fn all_nodes_name_the_same_gate_for_each_service() {
    let views: Vec<Nodes> = (1..=5).map(view).collect();

    for service in ["a", "b", "c", "d"] {
        let gates: Vec<_> = views.iter().map(|v| gate(v, 1, service)).collect();
        assert!(gates.windows(2).all(|w| w[0] == w[1]), "{service}: {gates:?}");
        assert!(gates[0] >= Some(addr(3)), "an entry queues pieces of {service}");
    }
}

#[test]
fn silent_node_stays_out_until_others_have_heard_of_it_since() {
    let mut nodes = view(1);
    let first = gate(&nodes, 1, "a").expect("a gate");
    let number = first.ip().to_string().rsplit('.').next().unwrap().parse().unwrap();

    nodes.record_failure(first, at(100));
    // A report that is older than the call that was not answered says nothing.
    nodes.observe(node(number, true), at(50));
    let second = gate(&nodes, 2_000, "a");
    nodes.observe(node(number, true), at(2_500));

    assert_ne!(second, Some(first));
    assert_eq!(gate(&nodes, 2_600, "a"), Some(first));
}

#[test]
fn former_address_is_no_living_node() {
    let mut nodes = Nodes::new(node(1, false));

    nodes.add_candidate(addr(9));

    assert_eq!(nodes.candidates().collect::<Vec<_>>(), [addr(9)]);
    assert_eq!(gate(&nodes, 1, "a"), Some(addr(1)), "it keeps to itself");
}

#[test]
fn node_that_nobody_hears_is_forgotten() {
    let nodes = view(1);

    let after = u64::try_from(SILENT_AFTER.as_millis()).unwrap();

    assert_eq!(nodes.live(at(after - 1)).count(), 4);
    assert_eq!(nodes.live(at(after + 1)).count(), 0);
}

#[test]
fn only_entries_share_what_a_cold_backend_server_bears() {
    let nodes = view(3);

    let entries: Vec<String> = nodes.entries(at(1)).iter().map(ToString::to_string).collect();

    assert_eq!(entries, ["n1", "n2"]);
    assert!(ms(1) < SILENT_AFTER);
}

#[test]
fn node_that_stops_is_left_at_once_and_heard_again_only_after_its_next_start() {
    // Pattern: the node that queues the pieces is stopped under load; others still tell of it.
    let mut nodes = view(1);
    let first = gate(&nodes, 1, "a").expect("a gate");
    let number = first.ip().to_string().rsplit('.').next().unwrap().parse().unwrap();

    nodes.remove_stopped(first, 1);
    nodes.observe(node(number, true), at(50));
    let second = gate(&nodes, 60, "a");
    nodes.observe(Node { started: 2, ..node(number, true) }, at(70));

    assert_ne!(second, Some(first));
    assert_eq!(gate(&nodes, 80, "a"), Some(first));
}
