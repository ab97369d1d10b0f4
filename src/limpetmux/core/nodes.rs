//! The nodes of a deployment as one of them knows the others.
//!
//! Every node pulls from one source, which so hears from all and tells each of the others. A node
//! that was not heard of for a while is left out; a source that does not answer is passed over at
//! once. No node is special: the order of sources is a hash that all compute alike.

use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The time after which a node that was not heard of counts as gone.
pub const SILENT_AFTER: Duration = Duration::from_secs(5);
/// The least time for which a node that did not answer is passed over; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The number of doublings of that time.
const MAX_DOUBLINGS: u32 = 4;

/// A node of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: Arc<str>,
    /// Where it accepts calls of other nodes.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Whether it queues pieces; otherwise it serves callers.
    pub gate: bool,
    /// The Unix millisecond of its start.
    pub started: u64,
}

#[derive(Clone, Debug)]
struct Known {
    node: Node,
    heard: Moment,
    /// When it last did not answer this node.
    silent: Moment,
    /// The calls in a row that it did not answer.
    failures: u32,
}

impl Known {
    /// Returns whether the node is believed to live and worth a call of this node.
    fn is_live(&self, now: Moment) -> bool {
        let pause = FIRST_PAUSE * (1 << self.failures.saturating_sub(1).min(MAX_DOUBLINGS));
        let is_back = self.failures == 0 || (self.heard > self.silent && now > self.silent + pause);
        is_back && now.since(self.heard) < SILENT_AFTER
    }
}

/// The nodes that one node knows, itself included.
#[derive(Clone, Debug)]
pub struct Nodes {
    own: Node,
    known: BTreeMap<SocketAddr, Known>,
    /// Addresses at which nodes once were; nothing says that they live.
    candidates: BTreeSet<SocketAddr>,
    /// The starts of nodes that have said that they stop.
    left: BTreeMap<SocketAddr, u64>,
}

impl Nodes {
    /// Creates the view of a node that knows only itself.
    pub fn new(own: Node) -> Self {
        Self { own, known: BTreeMap::new(), candidates: BTreeSet::new(), left: BTreeMap::new() }
    }

    /// Returns the node itself.
    pub fn own(&self) -> &Node {
        &self.own
    }

    /// Takes in that a node lived at a moment.
    pub fn heard(&mut self, node: Node, at: Moment) {
        let has_left = self.left.get(&node.addr).is_some_and(|started| node.started <= *started);
        if node.addr == self.own.addr || has_left {
            return;
        }
        match self.known.get_mut(&node.addr) {
            Some(known) if known.node.started > node.started => {}
            Some(known) => {
                let renewed = known.node.started < node.started || at > known.heard;
                known.heard = if renewed { at } else { known.heard };
                known.node = node;
            }
            None => {
                let known = Known { node, heard: at, silent: Moment::ZERO, failures: 0 };
                self.known.insert(known.node.addr, known);
            }
        }
    }

    /// Forgets a node that has said that it stops; a later process at its address is another one.
    pub fn leave(&mut self, addr: SocketAddr, started: u64) {
        if self.known.get(&addr).is_some_and(|k| k.node.started <= started) {
            self.known.remove(&addr);
        }
        self.left.insert(addr, started);
    }

    /// Passes a node over because it did not answer, until others have heard of it since.
    pub fn suspect(&mut self, addr: SocketAddr, now: Moment) {
        if let Some(known) = self.known.get_mut(&addr) {
            known.silent = now;
            known.failures += 1;
        }
    }

    /// Takes in an address at which a node once was.
    pub fn add_candidate(&mut self, addr: SocketAddr) {
        if addr != self.own.addr {
            self.candidates.insert(addr);
        }
    }

    /// Returns the addresses at which nodes once were.
    pub fn candidates(&self) -> impl Iterator<Item = SocketAddr> {
        self.candidates.iter().copied()
    }

    /// Takes in that a node has answered.
    pub fn answered(&mut self, addr: SocketAddr, now: Moment) {
        if let Some(known) = self.known.get_mut(&addr) {
            known.failures = 0;
            known.heard = known.heard.max(now);
        }
    }

    /// Returns the other nodes that live, with the moment at which each was last heard of.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (&Node, Moment)> {
        self.known.values().filter(move |k| k.is_live(now)).map(|k| (&k.node, k.heard))
    }

    /// Forgets nodes that have been silent for long.
    pub fn forget(&mut self, now: Moment) {
        self.known.retain(|_, k| now.since(k.heard) < SILENT_AFTER * 12);
    }

    /// Returns the live nodes, itself included, in the order in which they serve a purpose.
    ///
    /// Nodes that queue pieces come first: they have the more even load.
    pub fn order(&self, now: Moment, purpose: &str) -> Vec<&Node> {
        let mut nodes: Vec<&Node> = self.live(now).map(|(n, _)| n).collect();
        nodes.push(&self.own);
        nodes.sort_by_cached_key(|n| {
            let rank = hash_parts(&[purpose.as_bytes(), n.addr.to_string().as_bytes()]);
            (!n.gate, std::cmp::Reverse(rank))
        });
        nodes
    }

    /// Returns the node that queues the pieces of a service, leaving some out.
    pub fn gate(&self, now: Moment, service: &str, except: &[SocketAddr]) -> Option<&Node> {
        self.order(now, service).into_iter().find(|n| !except.contains(&n.addr))
    }

    /// Returns the names of the entries that live, itself included if it is one.
    pub fn entries(&self, now: Moment) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> =
            self.live(now).filter(|(n, _)| !n.gate).map(|(n, _)| Arc::clone(&n.name)).collect();
        if !self.own.gate {
            names.push(Arc::clone(&self.own.name));
        }
        names
    }
}
