//! Discovery of the other nodes at the start of a node.

use super::Follower;
use crate::core::nodes::Node;
use crate::event;
use crate::fleet::convert;
use crate::platform::store::{self, NODES_TOPIC, StoreError};
use crate::util::clock;
use crate::util::event::EventCode;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The pause before each round of discovery.
const ROUND_PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(60), Duration::from_millis(120)];
/// How many addresses are probed in each round in addition to the seeds.
const EXTRA_ADDRESSES: usize = 5;
/// The time over which nodes spread the writes of their addresses after a restore of the store.
const ANNOUNCE_SPREAD: Duration = Duration::from_secs(3);
/// The time allowed for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);

impl Follower {
    /// Probes the seeds and other possible addresses of nodes in several rounds, so that nodes that
    /// start at the same time know each other before they serve.
    pub(super) async fn discover(&self) {
        for pause in ROUND_PAUSES {
            sleep(pause).await;
            let addrs = self.discovery_addrs();
            futures::future::join_all(addrs.into_iter().map(|addr| self.probe(addr))).await;
        }
    }

    /// Returns the seeds and a random choice of the known addresses of nodes, current or former.
    fn discovery_addrs(&self) -> Vec<SocketAddr> {
        let nodes = self.shared.nodes();
        let local_addr = nodes.local().addr;
        let mut others: Vec<SocketAddr> = nodes.candidates().filter(|a| *a != local_addr).collect();
        others.shuffle(&mut rand::rng());
        let settings = self.shared.settings();
        let seeds = settings.seeds.iter().copied().filter(|s| *s != local_addr);
        seeds.chain(others.into_iter().take(EXTRA_ADDRESSES)).collect()
    }

    /// Exchanges members with the node at an address, if there is one; also pulls its view if the
    /// store does not answer and this node has no view yet.
    async fn probe(&self, addr: SocketAddr) {
        let began = clock::boot();
        let needs_view =
            self.with_view(|v| v.orders.end.is_start()) && !self.reachable.load(Ordering::Relaxed);
        let request = match needs_view {
            true => self.with_view(|v| {
                convert::pull_request(self.shared.nodes().local(), v, Duration::ZERO)
            }),
            false => convert::members_only(self.shared.nodes().local()),
        };
        let call = async { self.shared.peers.client(addr)?.pull(request).await };
        match timeout(PROBE_TIMEOUT, call).await {
            Ok(Ok(reply)) if needs_view => drop(self.apply_reply(began, addr, &reply.into_inner())),
            Ok(Ok(reply)) => self.record_members(began, addr, &reply.into_inner()),
            // There may be no node at this address, so no node is marked as unresponsive.
            Ok(Err(_)) | Err(_) => self.shared.peers.close(addr),
        }
    }

    /// Writes this node's address again whenever the store was restored from a copy, which may lack
    /// it.
    pub(super) async fn announce_again(&self) {
        let mut view = self.shared.view.clone();
        let mut announced = self.era();
        loop {
            let era = self.era();
            if era > announced {
                // The other nodes write theirs too, and the store limits the rate of all together.
                sleep(ANNOUNCE_SPREAD.mul_f64(rand::random())).await;
                if self.announce().await.is_ok() {
                    announced = era;
                    event!(EventCode::RecordRewritten, record = "node", era = era);
                }
            } else if !view.changed().await {
                return;
            }
        }
    }

    /// Writes this node's address into the store for nodes that know no other node.
    ///
    /// # Errors
    /// Returns [`StoreError`] if the call fails; the record may still have been written.
    pub(super) async fn announce(&self) -> Result<(), StoreError> {
        let local = self.shared.nodes().local().clone();
        let value = convert::encode_node_record(&local);
        let result = self.store.put(NODES_TOPIC, &local.addr.to_string(), &value).await;
        self.record_stop(NODES_TOPIC, &result);
        if let Err(error) = &result {
            event!(EventCode::StoreLost, call = "announce", reason = error);
        }
        result
    }

    /// Reads the addresses of other nodes from the store.
    pub(super) async fn read_candidates(&self) {
        let result = self.store.newest(NODES_TOPIC).await;
        self.record_stop(NODES_TOPIC, &result);
        match result {
            Ok(page) => {
                self.candidates_read.store(true, Ordering::Relaxed);
                self.merge_verdicts(&page);
                let found: Vec<Node> = page
                    .records
                    .iter()
                    .filter(|r| !store::is_verdict(&r.key))
                    .filter_map(|r| convert::decode_node_record(&r.value))
                    .collect();
                let mut nodes = self.shared.nodes();
                found.into_iter().for_each(|node| nodes.add_candidate(node.addr));
            }
            Err(error) => event!(EventCode::StoreLost, call = "meet", reason = error),
        }
    }
}
