//! One node's list of the other nodes of the deployment.
//!
//! All nodes pull from the same node, the source. Each pull is a sign of life of the caller, which
//! the source reports to all nodes. A node without a sign of life for [`SILENT_AFTER`] is left out;
//! a source that does not answer is skipped at once. No node has a fixed role: all compute the same
//! order of sources from a hash.

use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time without a sign of life after which a node counts as dead.
pub const SILENT_AFTER: Duration = Duration::from_secs(5);
/// Shortest time for which a node that did not answer is skipped; it doubles with each further
/// failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Most doublings of that time.
const MAX_DOUBLINGS: u32 = 4;
/// The least time between two questions whether a node is alive.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The purpose that is hashed into the order in which nodes read the store; all nodes must agree on
/// it.
const READERS: &str = "store readers";

/// A node of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The name of the node.
    pub name: Arc<str>,
    /// The address where it accepts calls of other nodes.
    pub addr: SocketAddr,
    /// The availability zone of its host.
    pub zone: Arc<str>,
    /// Whether it queues pieces; otherwise it serves callers.
    pub queues_pieces: bool,
    /// The Unix millisecond of its start.
    pub started: u64,
}

#[derive(Clone, Debug)]
struct Known {
    node: Node,
    /// When it last gave a sign of life, to this node or another one.
    heard_at: Moment,
    /// When a call of this node to it last failed.
    failed_at: Moment,
    /// Failed calls of this node in a row.
    failures: u32,
    /// When this node last asked it whether it is alive.
    checked_at: Moment,
    /// Whether it cannot read the store, as of a moment.
    store_lost: (Moment, bool),
}

impl Known {
    /// Returns whether the node counts as alive and is not skipped after a failed call.
    fn is_live(&self, now: Moment) -> bool {
        let pause = FIRST_PAUSE * (1 << self.failures.saturating_sub(1).min(MAX_DOUBLINGS));
        let is_callable =
            self.failures == 0 || (self.heard_at > self.failed_at && now > self.failed_at + pause);
        is_callable && now.since(self.heard_at) < SILENT_AFTER
    }
}

/// The nodes that one node knows, including itself.
#[derive(Clone, Debug)]
pub struct Nodes {
    local: Node,
    known: BTreeMap<SocketAddr, Known>,
    /// Addresses of former nodes, which may be dead.
    candidates: BTreeSet<SocketAddr>,
    /// The start times of nodes that announced their shutdown, and when each was last heard of.
    stopped: BTreeMap<SocketAddr, (u64, Moment)>,
    /// Whether this node cannot read the store.
    store_lost: bool,
}

impl Nodes {
    /// Creates a list that holds only this node.
    pub fn new(local: Node) -> Self {
        Self {
            local,
            known: BTreeMap::new(),
            candidates: BTreeSet::new(),
            stopped: BTreeMap::new(),
            store_lost: false,
        }
    }

    /// Returns this node.
    pub fn local(&self) -> &Node {
        &self.local
    }

    /// Records a sign of life of a node at a moment.
    pub fn observe(&mut self, node: Node, at: Moment) {
        // The time of day may step back between two starts, so of two processes at an address the one
        // that was heard of last is the later one.
        let has_stopped = self.stopped.get(&node.addr).is_some_and(|(started, heard_at)| {
            node.started == *started || (node.started < *started && at <= *heard_at)
        });
        if node.addr == self.local.addr || has_stopped {
            return;
        }
        match self.known.get_mut(&node.addr) {
            Some(known) if known.node.started != node.started && at <= known.heard_at => {}
            Some(known) => {
                let is_newer = known.node.started != node.started || at > known.heard_at;
                known.heard_at = if is_newer { at } else { known.heard_at };
                if known.node.started != node.started {
                    known.store_lost = (Moment::ZERO, false);
                }
                known.node = node;
            }
            None => {
                let known = Known {
                    node,
                    heard_at: at,
                    failed_at: Moment::ZERO,
                    failures: 0,
                    checked_at: Moment::ZERO,
                    store_lost: (Moment::ZERO, false),
                };
                self.known.insert(known.node.addr, known);
            }
        }
    }

    /// Removes a node that announced its shutdown; a process that starts later at its address is
    /// another node.
    pub fn remove_stopped(&mut self, addr: SocketAddr, started: u64) {
        let known = self.known.get(&addr);
        let before = self.stopped.get(&addr).map_or(Moment::ZERO, |(_, heard_at)| *heard_at);
        let heard_at = known.map_or(before, |known| known.heard_at.max(before));
        if known.is_some_and(|known| known.node.started <= started) {
            self.known.remove(&addr);
        }
        self.stopped.insert(addr, (started, heard_at));
    }

    /// Records whether this node can read the store; returns whether that changes.
    pub fn set_store_lost(&mut self, lost: bool) -> bool {
        std::mem::replace(&mut self.store_lost, lost) != lost
    }

    /// Records whether another node can read the store, as of a moment.
    pub fn record_store_lost(&mut self, addr: SocketAddr, lost: bool, at: Moment) {
        let Some(known) = self.known.get_mut(&addr) else { return };
        if at >= known.store_lost.0 {
            known.store_lost = (at, lost);
        }
    }

    /// Returns whether a node, this one too, is known to be unable to read the store.
    pub fn is_store_lost(&self, addr: SocketAddr) -> bool {
        match addr == self.local.addr {
            true => self.store_lost,
            false => self.known.get(&addr).is_some_and(|known| known.store_lost.1),
        }
    }

    /// Returns the live nodes, including this one, in the order in which they read the store for all;
    /// those that cannot read it come last.
    pub fn readers(&self, now: Moment) -> Vec<&Node> {
        let mut nodes = self.order(now, READERS);
        nodes.sort_by_key(|node| self.is_store_lost(node.addr));
        nodes
    }

    /// Returns whether to ask a node whether it is alive: it is known and was not asked lately.
    pub fn begin_check(&mut self, addr: SocketAddr, now: Moment) -> bool {
        let Some(known) = self.known.get_mut(&addr) else { return false };
        let is_due = now.since(known.checked_at) >= CHECK_INTERVAL;
        if is_due {
            known.checked_at = now;
        }
        is_due
    }

    /// Skips a node that did not answer until a later sign of life of it is reported.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Moment) {
        if let Some(known) = self.known.get_mut(&addr) {
            known.failed_at = now;
            known.failures += 1;
        }
    }

    /// Adds the address of a former node.
    pub fn add_candidate(&mut self, addr: SocketAddr) {
        if addr != self.local.addr {
            self.candidates.insert(addr);
        }
    }

    /// Returns the addresses of former nodes.
    pub fn candidates(&self) -> impl Iterator<Item = SocketAddr> {
        self.candidates.iter().copied()
    }

    /// Records that a node answered a call.
    pub fn record_answer(&mut self, addr: SocketAddr, now: Moment) {
        if let Some(known) = self.known.get_mut(&addr) {
            known.failures = 0;
            known.heard_at = known.heard_at.max(now);
        }
    }

    /// Returns the other live nodes with the time of the last sign of life of each.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (&Node, Moment)> {
        self.known.values().filter(move |k| k.is_live(now)).map(|k| (&k.node, k.heard_at))
    }

    /// Removes nodes without a sign of life for twelve times [`SILENT_AFTER`].
    pub fn remove_dead(&mut self, now: Moment) {
        self.known.retain(|_, k| now.since(k.heard_at) < SILENT_AFTER * 12);
    }

    /// Returns the live nodes, including this one, in rendezvous order for a purpose.
    ///
    /// Nodes that queue pieces come first, as their load is more even.
    pub fn order(&self, now: Moment, purpose: &str) -> Vec<&Node> {
        let mut nodes: Vec<&Node> = self.live(now).map(|(n, _)| n).collect();
        nodes.push(&self.local);
        nodes.sort_by_cached_key(|n| {
            let rank = hash_parts(&[purpose.as_bytes(), n.addr.to_string().as_bytes()]);
            (!n.queues_pieces, std::cmp::Reverse(rank))
        });
        nodes
    }

    /// Returns the node that queues the pieces of a service, other than the excluded addresses.
    pub fn queue_node(&self, now: Moment, service: &str, except: &[SocketAddr]) -> Option<&Node> {
        self.order(now, service).into_iter().find(|n| !except.contains(&n.addr))
    }

    /// Returns the names of the live entries, including this node if it is one.
    pub fn entries(&self, now: Moment) -> Vec<Arc<str>> {
        let mut names: Vec<Arc<str>> = self
            .live(now)
            .filter(|(n, _)| !n.queues_pieces)
            .map(|(n, _)| Arc::clone(&n.name))
            .collect();
        if !self.local.queues_pieces {
            names.push(Arc::clone(&self.local.name));
        }
        names
    }
}
