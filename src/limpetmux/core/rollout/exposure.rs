//! Counts out the requests that one node sends to a version that is being tried.
//!
//! Every request of a route that is sent to the service adds the share of the new version to the route's
//! credit, and one that goes to the new version takes a whole request from it. So the sum over nodes that
//! start, stop or are cut off keeps to the share without any message. As a node may have few requests in
//! the whole time of an order, a route starts with a part of one, which a hash of the node decides; these
//! parts come from the requests that the operator allows beyond the share. See `docs/design/rollout.md`.

use super::OrderKey;
use crate::core::listing::Server;
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The part of the allowed share that is used before a version is found good; the rest is left for
/// requests that the platform counts differently.
pub const SHARE_USED: f64 = 0.8;
/// The fewest backend servers of the new version that get its share, as one may be in trouble.
const MIN_CANARIES: usize = 2;
/// The most requests that a route may save up for the new version.
const MAX_CREDIT: f64 = 2.0;
/// The least credit that allows a request; sums of shares are not exact.
const WHOLE: f64 = 1.0 - 1e-9;
/// The most routes of a service that are counted.
const MAX_ROUTES: usize = 1_024;

/// The credits of one node for the order of one service.
#[derive(Clone, Debug)]
pub struct Exposure {
    /// The order that is counted.
    pub key: OrderKey,
    node: Arc<str>,
    /// The greatest credit that a route may start with.
    reserve: f64,
    credits: BTreeMap<Arc<str>, f64>,
}

impl Exposure {
    /// Creates the credits of a node for an order; a route starts with up to `reserve`.
    pub fn new(key: OrderKey, node: Arc<str>, reserve: f64) -> Self {
        Self { key, node, reserve: reserve.clamp(0.0, 1.0), credits: BTreeMap::new() }
    }

    fn credit(&self, route: &str) -> f64 {
        self.credits.get(route).copied().unwrap_or_else(|| self.first_credit(route))
    }

    fn first_credit(&self, route: &str) -> f64 {
        let offset = self.key.offset.to_le_bytes();
        let rank = hash_parts(&[&offset, self.node.as_bytes(), route.as_bytes()]);
        self.reserve * (rank as f64 / u64::MAX as f64)
    }

    /// Returns whether the next request of a route may go to the new version, if it gets `share`.
    pub fn allows(&self, route: &str, share: f64) -> bool {
        // Sends at the same moment may overdraw the credit, and nothing pays that back once all requests go
        // to the new version.
        share >= 1.0 || share > 0.0 && self.credit(route) + share >= WHOLE
    }

    /// Returns how many requests of a route may go to the new version now.
    pub fn room(&self, route: &str, share: f64) -> usize {
        if share <= 0.0 || share >= 1.0 {
            return if share >= 1.0 { usize::MAX } else { 0 };
        }
        (self.credit(route) + share + 1.0 - WHOLE).max(0.0) as usize
    }

    /// Counts a request of a route that is sent to the service.
    pub fn count(&mut self, route: &Arc<str>, share: f64, is_new: bool) {
        if self.credits.len() >= MAX_ROUTES && !self.credits.contains_key(route) {
            return;
        }
        let credit = self.credit(route);
        let taken = if is_new { 1.0 } else { 0.0 };
        let left = (credit + share - taken).min(MAX_CREDIT);
        self.credits.insert(Arc::clone(route), left);
    }
}

/// Returns the greatest credit that a route of one of `counters` nodes and routes may start with, so that
/// all of them together stay within the requests beyond the share.
pub fn reserve(slack: f64, counters: usize) -> f64 {
    (slack / counters.max(1) as f64).clamp(0.0, 1.0)
}

/// Returns the backend servers of the new version that get its share.
///
/// They are as few as the share, so that each of them is as loaded as those of the other version: a
/// version that is bad only under load shows it then. All nodes choose the same ones.
pub fn canaries<'a>(key: &OrderKey, share: f64, servers: &[&'a Server]) -> Vec<&'a Server> {
    let count = ((servers.len() as f64 * share).ceil() as usize).max(MIN_CANARIES);
    let offset = key.offset.to_le_bytes();
    let mut ranked = servers.to_vec();
    ranked.sort_by_cached_key(|s| hash_parts(&[&offset, s.id.as_bytes()]));
    ranked.truncate(count);
    ranked
}
