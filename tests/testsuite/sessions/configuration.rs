//! A change of configuration during an outage of the log.

use super::check_session;
use expect_test::expect_file;
use limpetmux::core::config::{Change, Replica};
use limpetmux::prelude::*;
use limpetmux_test_support::changes::{change, change_record, first_change, zone_edit};
use limpetmux_test_support::invariants::{Fact, Guarantee, Journal, violations};
use limpetmux_test_support::small_config;

/// Nodes that read one log and exchange records with each other.
struct Fleet {
    log: Vec<Vec<u8>>,
    nodes: Vec<(&'static str, Replica, u64)>,
    journal: Journal,
    now: Moment,
}

impl Fleet {
    fn new(names: &[&'static str]) -> Self {
        let nodes = names.iter().map(|n| (*n, Replica::new(), 0)).collect();
        Self { log: Vec::new(), nodes, journal: Journal::default(), now: Moment::ZERO }
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now + std::time::Duration::from_millis(ms);
    }

    /// Appends a record; its change is accepted once a node has read it back.
    fn append(&mut self, record: Vec<u8>) {
        self.log.push(record);
    }

    fn read(&mut self, node: usize) {
        let replica = &mut self.nodes[node].1;
        let request = replica.next_read();
        let from = request.from.0 as usize;
        let records = self.log.iter().zip(0..).skip(from).map(|(d, o)| (Offset(o), d.as_slice()));
        let bounds = (Offset(0), Offset(self.log.len() as u64));
        replica.on_page(request, bounds, records).unwrap();
        let accepted = replica.fold().revision().0;
        let known = |f: &Fact| matches!(f, Fact::Accepted { revision } if *revision == accepted);
        if !self.journal.facts().iter().any(|(_, f)| known(f)) {
            self.journal.record(self.now, Fact::Accepted { revision: accepted });
        }
        self.publish(node);
    }

    /// Sends the records that `to` lacks from `from` to `to`.
    fn exchange(&mut self, from: usize, to: usize) {
        let position = self.nodes[to].1.position();
        let sender = self.nodes[from].1.position();
        let delta = self.nodes[from].1.delta_for(position).unwrap();
        self.nodes[to].1.on_delta(sender, &delta).unwrap();
        self.publish(to);
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node].1 = Replica::new();
        self.nodes[node].2 = 0;
        self.journal.record(self.now, Fact::NodeEnded { node: self.nodes[node].0.to_owned() });
    }

    fn publish(&mut self, node: usize) {
        let (name, replica, published) = &mut self.nodes[node];
        let Some((revision, _)) = replica.in_force() else { return };
        if revision.0 != *published {
            *published = revision.0;
            self.journal
                .record(self.now, Fact::InForce { node: name.to_owned(), revision: revision.0 });
        }
    }
}

fn zone_out() -> Vec<u8> {
    let edits = vec![zone_edit(&small_config(), "mnl-a", false)];
    let change = change(1, Revision(1), Offset(1), edits);
    change_record(Change { force: true, ..change })
}

/// Three nodes in an outage of the log: the first had read a change before, the second got it from
/// the first, and the third has restarted.
fn outage() -> Fleet {
    let mut fleet = Fleet::new(&["entry-0", "billing-0", "billing-1"]);
    fleet.append(change_record(first_change(&small_config())));
    (0..3).for_each(|node| fleet.read(node));
    fleet.wait(60_000);
    fleet.append(zone_out());
    fleet.read(0);
    fleet.wait(1_000);
    fleet.exchange(0, 1);
    fleet.wait(500);
    fleet.restart(2);
    fleet.wait(700);
    fleet
}

#[test]
fn change_reaches_all_nodes_while_the_log_is_down() {
    let mut fleet = outage();

    fleet.exchange(1, 2);
    fleet.wait(30_000);
    fleet.read(2);

    check_session(&fleet.journal, "", expect_file!["../golden/log_outage.txt"]);
}

#[test]
fn checker_catches_a_fleet_without_exchange() {
    let mut fleet = Fleet::new(&["entry-0", "billing-0"]);
    fleet.append(change_record(first_change(&small_config())));
    (0..2).for_each(|node| fleet.read(node));
    fleet.append(zone_out());
    fleet.read(0);

    fleet.wait(17_000);
    fleet.journal.record(fleet.now, Fact::Sent { request: 1, key: None });

    let broken: Vec<Guarantee> = violations(&fleet.journal).iter().map(|v| v.guarantee).collect();
    assert!(broken.contains(&Guarantee::ConfigInForce), "{broken:?}");
}
