//! The handover of results from a stopping node to the nodes that replace it.

use super::{StageQueues, queue, worker_specs};
use crate::core::pieces::HeldResult;
use crate::event;
use crate::fleet::convert;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::NodeLeaving;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The time allowed for notifying another node that this one stops.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(400);

impl StageQueues {
    /// Takes over results from a stopping node.
    pub fn adopt_results(&self, held: BTreeMap<Arc<str>, Vec<HeldResult>>) {
        let view = self.shared.view.load();
        let mut queues = self.lock();
        for (service, held) in held {
            if let Some(queue) = queue(&mut queues, &view, &service) {
                // Results also take up room at servers that get no new calls; the next step leaves
                // those out.
                queue.pieces.set_workers(worker_specs(view.usable(&service)));
                queue.pieces.adopt_results(clock::boot(), held);
            }
        }
    }

    /// Notifies all other nodes that this one stops and hands over the results that it tracks.
    pub async fn leave(&self) {
        let now = clock::boot();
        let (local, others, handovers) = {
            let nodes = self.shared.nodes();
            let local = convert::member(nodes.local(), Duration::ZERO);
            let others: Vec<SocketAddr> = nodes.live(now).map(|(n, _)| n.addr).collect();
            let successor = |service: &Arc<str>| {
                nodes.queue_node(now, service, &[nodes.local().addr]).map(|n| n.addr)
            };
            let queues = self.lock();
            let handovers: BTreeMap<Arc<str>, (Option<SocketAddr>, Vec<HeldResult>)> = queues
                .iter()
                .map(|(s, q)| (Arc::clone(s), (successor(s), q.pieces.held_results(now))))
                .collect();
            (local, others, handovers)
        };
        let calls = others.into_iter().map(|addr| {
            let for_node = handovers.iter().filter(|(_, (node, _))| *node == Some(addr));
            let held = for_node.flat_map(|(s, (_, held))| convert::encode_held(s, held.clone()));
            let message = NodeLeaving { node: Some(local.clone()), held: held.collect() };
            self.notify(addr, message)
        });
        futures::future::join_all(calls).await;
    }

    async fn notify(&self, addr: SocketAddr, message: NodeLeaving) {
        let call = async { self.shared.peers.client(addr)?.leave(message).await };
        match timeout(LEAVE_TIMEOUT, call).await {
            Ok(Ok(_)) => {}
            Ok(Err(status)) => event!(EventCode::NodeSilent, node = addr, reason = status),
            Err(_) => event!(EventCode::NodeSilent, node = addr, reason = "no answer in time"),
        }
    }
}
