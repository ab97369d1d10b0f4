//! Exchange of what backend servers have stated: that they leave, and their limits.
//!
//! A pull tells the called node all that the caller knows, and the reply what the caller lacks. As all
//! nodes pull from one, what one node hears reaches all of them within two pulls. The few servers that
//! leave or have limits at a time are sent whole.

use super::Follower;
use crate::fleet::convert;
use crate::wire::fleet::{PullReply, PullRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// The most nodes whose versions are remembered; all are forgotten when there is one more.
const MAX_NODES: usize = 1_024;

/// Up to which version this node knows what each other node has heard.
#[derive(Debug, Default)]
pub(super) struct SeenVersions(Mutex<BTreeMap<SocketAddr, u64>>);

impl SeenVersions {
    fn get(&self, addr: SocketAddr) -> u64 {
        let versions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        versions.get(&addr).copied().unwrap_or_default()
    }

    fn set(&self, addr: SocketAddr, version: u64) {
        let mut versions = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if versions.len() >= MAX_NODES && !versions.contains_key(&addr) {
            versions.clear();
        }
        versions.insert(addr, version);
    }
}

impl Follower {
    /// Adds to a pull what backend servers have stated.
    pub(super) fn with_notices(&self, addr: SocketAddr, request: PullRequest) -> PullRequest {
        let leaving = convert::encode_leaving(self.shared.notices.leaving().0);
        let limits = convert::encode_limits(&self.shared.notices.limits());
        PullRequest { leaving, limits, leaving_seen: self.leaving_seen.get(addr), ..request }
    }

    /// Records what backend servers have stated by a reply.
    pub(super) fn learn_notices(&self, addr: SocketAddr, reply: &PullReply) {
        self.shared.learn_leaving(&convert::decode_leaving(&reply.leaving));
        self.shared.learn_limits(&convert::decode_limits(&reply.limits));
        self.leaving_seen.set(addr, reply.leaving_version);
    }

    /// Drops what backend servers have stated that are no longer listed.
    pub(super) fn forget_notices(&self) {
        let view = self.shared.view.load();
        self.shared.notices.remove_unlisted(|id| view.listing.is_listed(id));
        self.shared.quotas.remove_idle();
    }
}
