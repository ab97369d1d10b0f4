//! How a starting node finds the others.

use super::Follower;
use crate::core::nodes::Node;
use crate::event;
use crate::fleet::convert;
use crate::platform::store::MEETING_TOPIC;
use crate::util::clock;
use crate::util::event::EventCode;
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The pauses before each round of a starting node's look for others.
const GATHER_PAUSES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(60), Duration::from_millis(120)];
/// The places besides the seeds that are asked in each round.
const GATHER_PLACES: usize = 5;
/// The time allowed for an answer in such a round.
const GREET_TIMEOUT: Duration = Duration::from_millis(120);

impl Follower {
    /// Asks seeds and other places where nodes may be which nodes live, again and again for a
    /// moment: nodes that start together then know each other before they act.
    pub(super) async fn gather(&self) {
        for pause in GATHER_PAUSES {
            sleep(pause).await;
            let places = self.meeting_places();
            futures::future::join_all(places.into_iter().map(|addr| self.greet(addr))).await;
        }
    }

    /// Returns the seeds and some of the addresses at which nodes are or were.
    fn meeting_places(&self) -> Vec<SocketAddr> {
        let nodes = self.shared.nodes();
        let own = nodes.own().addr;
        let mut others: Vec<SocketAddr> = nodes.candidates().filter(|a| *a != own).collect();
        others.shuffle(&mut rand::rng());
        let settings = self.shared.settings();
        let seeds = settings.seeds.iter().copied().filter(|s| *s != own);
        seeds.chain(others.into_iter().take(GATHER_PLACES)).collect()
    }

    /// Exchanges members with a node, if there is one; without the store also what it knows.
    async fn greet(&self, addr: SocketAddr) {
        let asked = clock::boot();
        let lacks_all = self.look(|v| v.orders.end == 0) && !self.reachable.load(Ordering::Relaxed);
        let request = match lacks_all {
            true => self.look(|v| convert::request(self.shared.nodes().own(), v, Duration::ZERO)),
            false => convert::members_only(self.shared.nodes().own()),
        };
        let call = async { self.shared.peers.client(addr)?.pull(request).await };
        match timeout(GREET_TIMEOUT, call).await {
            Ok(Ok(reply)) if lacks_all => drop(self.adopt(asked, addr, &reply.into_inner())),
            Ok(Ok(reply)) => self.heard(clock::boot(), addr, &reply.into_inner()),
            // Nothing says that a node is there now.
            Ok(Err(_)) | Err(_) => self.shared.peers.close(addr),
        }
    }

    /// Leaves this node's address where nodes that know no other one look.
    pub(super) async fn announce(&self) {
        let own = self.shared.nodes().own().clone();
        let value = convert::meeting_record(&own);
        let result = self.store.put(MEETING_TOPIC, &own.addr.to_string(), &value).await;
        if let Err(error) = result {
            event!(EventCode::StoreLost, call = "announce", reason = error);
        }
    }

    /// Looks for other nodes in the store.
    pub(super) async fn meet(&self) {
        match self.store.newest(MEETING_TOPIC).await {
            Ok(page) => {
                let found: Vec<Node> =
                    page.records.iter().filter_map(|r| convert::met(&r.value)).collect();
                let mut nodes = self.shared.nodes();
                found.into_iter().for_each(|node| nodes.add_candidate(node.addr));
            }
            Err(error) => event!(EventCode::StoreLost, call = "meet", reason = error),
        }
    }
}
