//! Nodes reach one state whatever the order, duplication, loss and delay of log pages and messages.

use arbtest::arbitrary::{Result, Unstructured};
use limpetmux::core::config::record::{Body, Void, decode};
use limpetmux::core::config::{Config, Delta, Edit, Fold, FoldError, LogRead, Position, Replica};
use limpetmux::core::revision::{Offset, Revision};
use limpetmux_test_support::changes::{
    change, change_id, change_record, first_change, record, weight_edit, zone_edit,
};
use limpetmux_test_support::{check_cases, name, small_config};

const CASES: u64 = 60;
const STEPS: usize = 120;
const NODES: usize = 4;
const WORKSPACES: [&str; 2] = ["trial", "retail"];
const ZONES: [&str; 2] = ["mnl-a", "mnl-b"];

type Record = (Offset, Vec<u8>);

/// A log page that a node has requested and not yet received.
#[derive(Clone)]
struct Page {
    read: LogRead,
    bounds: (Offset, Offset),
    records: Vec<Record>,
}

/// A message from a peer that the node has not yet received.
#[derive(Clone)]
struct PeerMessage {
    peer: Position,
    delta: Delta,
}

#[derive(Default)]
struct Node {
    replica: Replica,
    pages: Vec<Page>,
    messages: Vec<PeerMessage>,
    reached: (Offset, Revision),
}

/// The log, the nodes, and the state that each prefix of the log must produce.
struct Simulation {
    records: Vec<Vec<u8>>,
    first: u64,
    reference: Fold,
    states: Vec<u64>,
    nodes: Vec<Node>,
}

/// Returns a configuration of two hosts in two zones, small enough for many snapshots.
fn tiny_config() -> Config {
    let mut config = small_config();
    config.hosts.retain(|_, host| host.service.as_str() == "directory");
    config.services.retain(|service, _| service.as_str() == "directory");
    config.pipelines.retain(|pipeline, _| pipeline.as_str() == "extension-lookup");
    config.workspaces.retain(|workspace, _| WORKSPACES.contains(&workspace.as_str()));
    for workspace in config.workspaces.values_mut() {
        workspace.pipelines = vec![name("extension-lookup")];
    }
    config
}

impl Simulation {
    fn new() -> Self {
        let nodes = (0..NODES).map(|_| Node::default()).collect();
        let reference = Fold::new();
        let states = vec![reference.snapshot().checksum];
        let mut simulation = Self { records: Vec::new(), first: 0, reference, states, nodes };
        simulation.append(change_record(first_change(&tiny_config())));
        simulation
    }

    fn append(&mut self, data: Vec<u8>) {
        self.reference.step(self.reference.next(), &data).unwrap();
        self.records.push(data);
        self.states.push(self.reference.snapshot().checksum);
    }

    fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    /// Appends an operator's record, whose base may be old and whose id may be used or voided.
    fn append_operation(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let id = u.int_in_range(1..=200)?;
        if u.ratio(1, 12)? {
            self.append(u.bytes(5)?.to_vec());
            return Ok(());
        }
        if u.ratio(1, 12)? {
            let void = Void { id: change_id(id), author: name("ben"), submitted_ms: 0 };
            self.append(record(&Body::Void(void)));
            return Ok(());
        }
        let fold = self.nodes[u.choose_index(NODES)?].replica.fold();
        let edits = edits(u)?;
        self.append(change_record(change(id, fold.revision(), fold.next(), edits)));
        Ok(())
    }

    /// Appends a node's snapshot, which may be old, and may drop records that a snapshot covers.
    fn snapshot(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let node = &mut self.nodes[u.choose_index(NODES)?];
        let data = node.replica.encoded_snapshot().unwrap().to_vec();
        self.append(data);
        if u.ratio(1, 2)? {
            let kept = self.records[self.first as usize..].iter();
            let covered = kept.filter_map(|data| match decode(data) {
                Ok(Body::Snapshot(snapshot)) => Some(snapshot.next.0),
                _ => None,
            });
            self.first = covered.max().unwrap_or(0).max(self.first);
        }
        Ok(())
    }

    fn request_page(&mut self, at: usize, limit: usize) {
        let read = self.nodes[at].replica.next_read();
        let from = read.from.0.max(self.first);
        let rows = self.records.iter().enumerate().skip(from as usize).take(limit);
        let records = rows.map(|(o, data)| (Offset(o as u64), data.clone())).collect();
        let bounds = (Offset(self.first), self.end());
        self.nodes[at].pages.push(Page { read, bounds, records });
    }

    fn send(&mut self, from: usize, to: usize) {
        let position = self.nodes[to].replica.position();
        let sender = &mut self.nodes[from].replica;
        let delta = sender.delta_for(position).unwrap();
        let peer = sender.position();
        self.nodes[to].messages.push(PeerMessage { peer, delta });
    }

    fn deliver(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let node = &mut self.nodes[at];
        let keep = u.ratio(1, 4)?;
        if !node.pages.is_empty() && u.arbitrary()? {
            let page = pick(&mut node.pages, keep, u)?;
            let records = page.records.iter().map(|(o, data)| (*o, data.as_slice()));
            node.replica.on_page(page.read, page.bounds, records).unwrap();
        } else if !node.messages.is_empty() {
            let message = pick(&mut node.messages, keep, u)?;
            // A delta for the node before its restart may begin beyond its next record.
            let _ = node.replica.on_delta(message.peer, &message.delta);
        }
        Ok(())
    }

    /// Performs one random step and returns the index of a node that it may have changed.
    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<usize> {
        let at = u.choose_index(NODES)?;
        match u.int_in_range(0..=11)? {
            0 | 1 => self.append_operation(u)?,
            2 => self.snapshot(u)?,
            3 | 4 => {
                let limit = u.int_in_range(0..=8)?;
                self.request_page(at, limit);
            }
            5 | 6 => {
                let to = u.choose_index(NODES)?;
                self.send(at, to);
            }
            7 if u.ratio(1, 2)? => self.nodes[at] = Node::default(),
            _ => self.deliver(at, u)?,
        }
        Ok(at)
    }

    /// Asserts that a node has the state of its prefix of the log and has not regressed.
    fn assert_state(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let fold = node.replica.fold();
        assert_eq!(fold.snapshot().checksum, self.states[fold.next().0 as usize]);
        let revision = node.replica.in_force().map_or(Revision::EMPTY, |(r, _)| r);
        let reached = (fold.next(), revision);
        assert!(reached.0 >= node.reached.0 && reached.1 >= node.reached.1, "{reached:?}");
        node.reached = reached;
    }

    fn assert_states(&mut self) {
        (0..NODES).for_each(|at| self.assert_state(at));
    }

    /// Lets every node read the log to its end.
    fn settle(&mut self) {
        for at in 0..NODES {
            for _ in 0..self.records.len() * 2 + 4 {
                self.request_page(at, 8);
                let node = &mut self.nodes[at];
                let page = node.pages.pop().unwrap();
                let records = page.records.iter().map(|(o, data)| (*o, data.as_slice()));
                node.replica.on_page(page.read, page.bounds, records).unwrap();
            }
        }
    }
}

fn pick<T: Clone>(queue: &mut Vec<T>, keep: bool, u: &mut Unstructured<'_>) -> Result<T> {
    let i = u.choose_index(queue.len())?;
    Ok(if keep { queue[i].clone() } else { queue.remove(i) })
}

fn edits(u: &mut Unstructured<'_>) -> Result<Vec<Edit>> {
    let config = tiny_config();
    let weight = weight_edit(&config, u.choose(&WORKSPACES)?, u.int_in_range(0..=3)?);
    let zone = zone_edit(&config, u.choose(&ZONES)?, u.arbitrary()?);
    let removal = Edit::Service(name("directory"), None);
    Ok(match u.int_in_range(0..=5)? {
        0 => vec![zone],
        1 => vec![weight, zone],
        2 => vec![weight, removal],
        _ => vec![weight],
    })
}

#[test]
fn all_nodes_reach_one_state_and_never_regress() {
    check_cases(CASES, |u| {
        let mut simulation = Simulation::new();
        for _ in 0..STEPS {
            let at = simulation.step(u)?;
            simulation.assert_state(at);
        }

        simulation.settle();
        simulation.assert_states();

        let end = simulation.end();
        assert!(simulation.nodes.iter().all(|n| n.replica.position().next == end));
        Ok(())
    });
}

#[test]
fn one_node_that_has_read_the_log_updates_all_others() {
    check_cases(CASES, |u| {
        let mut simulation = Simulation::new();
        for _ in 0..STEPS {
            simulation.step(u)?;
        }
        simulation.settle();
        let position = simulation.nodes[0].replica.position();
        for node in &mut simulation.nodes[1..] {
            *node = Node::default();
        }

        for at in 1..NODES {
            simulation.send(at - 1, at);
            let message = simulation.nodes[at].messages.pop().unwrap();
            simulation.nodes[at].replica.on_delta(message.peer, &message.delta).unwrap();
        }

        simulation.assert_states();
        assert!(simulation.nodes.iter().all(|n| n.replica.position() == position));
        assert!(simulation.nodes.iter().all(|n| n.replica.in_force().is_some()));
        Ok(())
    });
}

#[test]
fn fresh_node_puts_nothing_in_force_before_it_has_caught_up() {
    let declared = change_record(first_change(&tiny_config()));
    let later = vec![weight_edit(&tiny_config(), "trial", 2)];
    let later = change_record(change(1, Revision(1), Offset(1), later));
    let bounds = (Offset(0), Offset(2));
    let mut replica = Replica::new();

    replica.on_page(replica.next_read(), bounds, [(Offset(0), &declared[..])].into_iter()).unwrap();
    let early = replica.in_force().is_some();
    replica.on_page(replica.next_read(), bounds, [(Offset(1), &later[..])].into_iter()).unwrap();

    assert!(!early);
    assert_eq!(replica.in_force().map(|(revision, _)| revision), Some(Revision(2)));
}

#[test]
fn nodes_of_two_histories_exchange_nothing() {
    let [mut old, mut new, mut newer] = [(); 3].map(|()| Replica::new());
    let declared = change_record(first_change(&tiny_config()));
    let other = change_record(first_change(&small_config()));
    let read = |replica: &mut Replica, records: &[&[u8]]| {
        let bounds = (Offset(0), Offset(records.len() as u64));
        let rows = records.iter().enumerate().map(|(o, data)| (Offset(o as u64), *data));
        replica.on_page(replica.next_read(), bounds, rows).unwrap();
    };
    read(&mut old, &[&declared]);
    read(&mut new, &[&other]);
    read(&mut newer, &[&other, b"{}"]);

    let refused = newer.delta_for(old.position());
    let noticed = old.on_delta(new.position(), &Delta::Nothing);

    let diverged = FoldError::Diverged { offset: Offset(1) };
    assert_eq!(refused, Err(diverged.clone()));
    assert_eq!(noticed, Err(diverged));
}
