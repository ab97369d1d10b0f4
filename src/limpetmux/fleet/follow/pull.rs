//! Pulls from other nodes: which ones are asked, and what their replies change.

use super::Follower;
use crate::core::time::Moment;
use crate::event;
use crate::fleet::{convert, rollout};
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::{PullReply, PullRequest};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::timeout;

/// How long another node may hold a pull while a version is being tried, as the pull tells its answers.
const TRIAL_WAIT: Duration = Duration::from_millis(250);
/// The pulls that fit at least into the time after which a bad version gets no more requests.
const ROLLBACK_PULLS: u32 = 20;
/// The turns between two pulls from an arbitrary known address, by which nodes that have lost
/// contact merge again.
const MERGE_TURNS: usize = 8;
/// How much longer than this node another one has to have run to know which writes the store may have
/// executed late in the list that this node has read at its start.
const ELDER_AGE: Duration = Duration::from_secs(10);

impl Follower {
    /// Returns the nodes to pull from in this turn, in order of preference.
    pub(super) fn sources(&self, turn: usize) -> Vec<SocketAddr> {
        let now = clock::boot();
        let stale = self.with_view(|v| v.orders.age(now)) > self.times().orders_stale;
        let nodes = self.shared.nodes();
        let local_addr = nodes.local().addr;
        let order: Vec<SocketAddr> = nodes.readers(now).iter().map(|n| n.addr).collect();
        let others: Vec<SocketAddr> = order.iter().copied().filter(|a| *a != local_addr).collect();
        let is_reader = order.first() == Some(&local_addr);
        match (is_reader, stale, others.len()) {
            (_, _, 0) => {
                let settings = self.shared.settings();
                settings.seeds.iter().copied().filter(|s| *s != local_addr).collect()
            }
            (true, false, _) => Vec::new(),
            (_, true, n) => vec![others[0], others[turn % n]],
            (false, false, _) => vec![others[0]],
        }
    }

    /// Returns a current or former address of a node every [`MERGE_TURNS`] turns, so that groups of
    /// nodes that have lost contact merge again; a node without others gets one in each turn.
    pub(super) fn merge_addr(&self, turn: usize) -> Option<SocketAddr> {
        if !turn.is_multiple_of(MERGE_TURNS) && !self.is_alone() {
            return None;
        }
        let nodes = self.shared.nodes();
        let local_addr = nodes.local().addr;
        let settings = self.shared.settings();
        let addrs = settings.seeds.iter().copied().chain(nodes.candidates());
        let addrs: Vec<SocketAddr> = addrs.filter(|a| *a != local_addr).collect();
        addrs.get(turn / MERGE_TURNS % addrs.len().max(1)).copied()
    }

    /// Pulls the whole list of a node that has run for longer, once: the newest records alone do not show
    /// which of them are earlier writes that the store executed late (`docs/design/late-writes.md`).
    pub(super) async fn compare_list(&self) {
        if self.compared.load(Ordering::Relaxed) {
            return;
        }
        let Some(addr) = self.elder() else { return };
        let request =
            PullRequest { listing_end: 0, listing_era: 0, ..self.request(Duration::ZERO) };
        if self.exchange(addr, request).await.is_some() {
            self.compared.store(true, Ordering::Relaxed);
        }
    }

    /// Returns one of the nodes that have run for longer than this one.
    fn elder(&self) -> Option<SocketAddr> {
        let nodes = self.shared.nodes();
        let margin = u64::try_from(ELDER_AGE.as_millis()).unwrap_or(u64::MAX);
        let latest = nodes.local().started.saturating_sub(margin);
        let elders = nodes.live(clock::boot()).filter(|(node, _)| node.started <= latest);
        elders.map(|(node, _)| node.addr).choose(&mut rand::rng())
    }

    /// Pulls from one node; returns whether its view was fresh.
    pub(super) async fn pull(&self, addr: SocketAddr, wait: Duration) -> bool {
        self.exchange(addr, self.request(wait)).await.unwrap_or(false)
    }

    /// Builds a pull for what this node's view lacks.
    fn request(&self, wait: Duration) -> PullRequest {
        let view = self.with_view(Clone::clone);
        let nodes = self.shared.nodes();
        let is_trying = view.rollouts.has_running();
        let rollback = self.shared.settings().bounds.rollout.rollback;
        let trial_wait = (rollback / ROLLBACK_PULLS).min(TRIAL_WAIT);
        let wait = if is_trying { wait.min(trial_wait) } else { wait };
        let wait = if view.orders.end.is_start() { Duration::ZERO } else { wait };
        let mut request = convert::pull_request(nodes.local(), &view, wait);
        if let Some(caller) = &mut request.caller {
            caller.store_lost = nodes.is_store_lost(nodes.local().addr);
        }
        request
    }

    /// Sends a pull and applies the reply; returns whether the view in it was fresh, or `None` without one.
    async fn exchange(&self, addr: SocketAddr, request: PullRequest) -> Option<bool> {
        let requested_at = clock::boot();
        let (request, told) = self.with_evidence(addr, request);
        let request = self.with_notices(addr, request);
        let request = self.with_rollouts(request);
        let call = async { self.shared.peers.client(addr)?.pull(request).await };
        let limit = self.times().pull_limit;
        match timeout(limit, call).await {
            Ok(Ok(reply)) => {
                let reply = reply.into_inner();
                self.exchanged.record(addr, told, reply.evidence_version);
                Some(self.apply_reply(requested_at, addr, &reply))
            }
            Ok(Err(status)) => {
                self.mark_unresponsive(addr, &status.to_string());
                None
            }
            Err(_) => {
                self.record_late_pull(addr, limit);
                self.mark_unresponsive(addr, "no answer in time");
                None
            }
        }
    }

    fn mark_unresponsive(&self, addr: SocketAddr, reason: &str) {
        event!(EventCode::NodeSilent, node = addr, reason = reason);
        self.shared.peers.close(addr);
        self.shared.nodes().record_failure(addr, clock::boot());
    }

    pub(super) fn apply_reply(
        &self,
        requested_at: Moment,
        addr: SocketAddr,
        reply: &PullReply,
    ) -> bool {
        self.record_members(requested_at, addr, reply);
        self.merge_evidence(addr, reply);
        self.learn_notices(addr, reply);
        let age = reply.operator.as_ref().map_or(u64::MAX, |o| o.age_ms);
        let applied = self.update_from(addr, |v| {
            let applied = convert::apply_reply(requested_at, v, reply);
            if let Some(notice) = &reply.rollout {
                rollout::merge(&mut v.rollouts, notice);
            }
            applied
        });
        if let Err(error) = applied {
            event!(EventCode::OrderUnreadable, source = addr, reason = error);
            return false;
        }
        Duration::from_millis(age) < self.times().orders_stale
    }

    /// Records the nodes that another node has heard of.
    ///
    /// Ages count from the earliest moment at which the reply may have been sent, so that nodes which
    /// tell each other of a third one never make it look younger than it is.
    pub(super) fn record_members(&self, asked: Moment, addr: SocketAddr, reply: &PullReply) {
        let sent = asked + Duration::from_millis(reply.held_ms);
        let mut nodes = self.shared.nodes();
        for member in &reply.members {
            if let Some(node) = convert::node(member) {
                let at = sent - Duration::from_millis(member.heard_ms);
                let addr = node.addr;
                nodes.observe(node, at);
                nodes.record_store_lost(addr, member.store_lost, at);
            }
        }
        nodes.record_answer(addr, clock::boot());
    }
}
