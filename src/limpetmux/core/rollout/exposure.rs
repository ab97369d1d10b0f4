//! Counts out the requests that one node sends to a version that is being tried.
//!
//! Every request of a route that is sent to the service adds the share of the new version to the route's
//! credit, and one that goes to the new version takes a whole request from it. So no node exceeds the
//! share of its own requests, and no sum over nodes that start, stop or are cut off exceeds it, without
//! any message. See `docs/design/rollout.md`.

use super::OrderKey;
use crate::core::listing::Server;
use crate::util::hash::hash_parts;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The part of the allowed share that is used before a version is found good; the rest is left for
/// requests that the platform counts differently.
pub const SHARE_USED: f64 = 0.8;
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
    credits: BTreeMap<Arc<str>, f64>,
}

impl Exposure {
    /// Creates the credits of an order; there are none at first.
    pub fn new(key: OrderKey) -> Self {
        Self { key, credits: BTreeMap::new() }
    }

    /// Returns whether the next request of a route may go to the new version, if it gets `share`.
    pub fn allows(&self, route: &str, share: f64) -> bool {
        let credit = self.credits.get(route).copied().unwrap_or_default();
        credit + share >= WHOLE
    }

    /// Returns how many requests of a route may go to the new version now.
    pub fn room(&self, route: &str, share: f64) -> usize {
        let credit = self.credits.get(route).copied().unwrap_or_default();
        (credit + share + 1.0 - WHOLE).max(0.0) as usize
    }

    /// Counts a request of a route that is sent to the service.
    pub fn count(&mut self, route: &Arc<str>, share: f64, is_new: bool) {
        if self.credits.len() >= MAX_ROUTES && !self.credits.contains_key(route) {
            return;
        }
        let credit = self.credits.entry(Arc::clone(route)).or_default();
        let taken = if is_new { 1.0 } else { 0.0 };
        *credit = (*credit + share - taken).min(MAX_CREDIT);
    }
}

/// Returns the backend servers of the new version that get its share.
///
/// They are as few as the share, so that each of them is as loaded as those of the other version: a
/// version that is bad only under load shows it then. All nodes choose the same ones.
pub fn canaries<'a>(key: &OrderKey, share: f64, servers: &[&'a Server]) -> Vec<&'a Server> {
    let count = ((servers.len() as f64 * share).ceil() as usize).max(1);
    let offset = key.offset.to_le_bytes();
    let mut ranked = servers.to_vec();
    ranked.sort_by_cached_key(|s| hash_parts(&[&offset, s.id.as_bytes()]));
    ranked.truncate(count);
    ranked
}
