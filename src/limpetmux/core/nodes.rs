//! The nodes of a deployment as one of them knows the others.
//!
//! Every node pulls from one source, which so hears from all and tells each of the others. A node
//! that was not heard of for a while is left out; a source that does not answer is passed over at
//! once. No node is special: the order of sources is a hash that all compute alike.

use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The time after which a node that was not heard of counts as gone.
pub const SILENT_AFTER: Duration = Duration::from_secs(5);
/// How long a node that did not answer is passed over.
const SUSPECT_FOR: Duration = Duration::from_secs(3);

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
    suspect: Moment,
}

/// The nodes that one node knows, itself included.
#[derive(Clone, Debug)]
pub struct Nodes {
    own: Node,
    known: BTreeMap<SocketAddr, Known>,
}

impl Nodes {
    /// Creates the view of a node that knows only itself.
    pub fn new(own: Node) -> Self {
        Self { own, known: BTreeMap::new() }
    }

    /// Returns the node itself.
    pub fn own(&self) -> &Node {
        &self.own
    }

    /// Takes in that a node lived at a moment.
    pub fn heard(&mut self, node: Node, at: Moment) {
        if node.addr == self.own.addr {
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
                let known = Known { node, heard: at, suspect: Moment::ZERO };
                self.known.insert(known.node.addr, known);
            }
        }
    }

    /// Passes a node over for a while because it did not answer.
    pub fn suspect(&mut self, addr: SocketAddr, now: Moment) {
        if let Some(known) = self.known.get_mut(&addr) {
            known.suspect = now + SUSPECT_FOR;
        }
    }

    /// Takes in that a node has answered.
    pub fn answered(&mut self, addr: SocketAddr, now: Moment) {
        if let Some(known) = self.known.get_mut(&addr) {
            known.suspect = Moment::ZERO;
            known.heard = known.heard.max(now);
        }
    }

    /// Returns the other nodes that live, with the moment at which each was last heard of.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (&Node, Moment)> {
        let live = move |k: &&Known| now.since(k.heard) < SILENT_AFTER && now >= k.suspect;
        self.known.values().filter(live).map(|k| (&k.node, k.heard))
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
