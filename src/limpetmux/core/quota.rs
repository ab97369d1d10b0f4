//! Shares the request rates that backend servers accept from all hosts together.
//!
//! One node grants the requests of all others at a backend server, from a token bucket. A node that
//! cannot reach it falls back to an equal part of a quarter of the rate, for which the bound on the sum
//! leaves room beside what is granted. See `docs/design/limits.md`.

use crate::core::server_limits::RequestRate;
use crate::core::server_notices::Incarnation;
use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time whose requests a bucket keeps while there is no demand, besides [`MIN_BURST`].
const BURST_TIME: Duration = Duration::from_millis(250);
/// The requests that a bucket keeps in any case.
const MIN_BURST: f64 = 2.0;
/// The part of a rate that nodes without grants may use together.
const FALLBACK_PART: f64 = 0.25;
/// How long the state of a backend server without requests is kept.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// The most backend servers whose state is kept.
const MAX_SERVERS: usize = 4_096;

/// The decision on one request to a limited backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It may be sent after a delay.
    Given(Duration),
    /// It may not be sent within its patience; one may be after this time.
    Denied(Duration),
}

/// The requests that one backend server may still get.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    rate: RequestRate,
    /// Requests that may be sent now; negative while requests wait for their turn.
    tokens: f64,
    filled_at: Moment,
    used_at: Moment,
}

impl Bucket {
    /// Creates an empty bucket, as another node may have granted requests until now.
    fn new(now: Moment, rate: RequestRate) -> Self {
        Self { rate, tokens: 0.0, filled_at: now, used_at: now }
    }

    fn fill(&mut self, now: Moment, rate: RequestRate) {
        let most = MIN_BURST + rate.as_f64() * BURST_TIME.as_secs_f64();
        let added = now.since(self.filled_at).as_secs_f64() * self.rate.as_f64();
        self.tokens = (self.tokens + added).min(most);
        self.rate = rate;
        self.filled_at = now;
    }

    /// Returns the time until a request may be sent.
    fn opens_in(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        self.rate.interval().mul_f64(missing)
    }
}

/// The buckets of the backend servers whose requests this node grants.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    buckets: BTreeMap<Incarnation, Bucket>,
}

impl Quotas {
    /// Decides on a request that may wait for some time.
    pub fn take(
        &mut self,
        now: Moment,
        server: &Incarnation,
        rate: RequestRate,
        patience: Duration,
    ) -> Grant {
        let Some(bucket) = self.bucket(now, server, rate) else { return Grant::Denied(IDLE_TIME) };
        bucket.used_at = now;
        let wait = bucket.opens_in();
        if wait > patience {
            return Grant::Denied(wait);
        }
        bucket.tokens -= 1.0;
        Grant::Given(wait)
    }

    /// Returns the time until a request may be sent.
    pub fn opens_in(&mut self, now: Moment, server: &Incarnation, rate: RequestRate) -> Duration {
        self.bucket(now, server, rate).map_or(IDLE_TIME, |bucket| bucket.opens_in())
    }

    /// Drops the buckets of backend servers that nobody asks about.
    pub fn remove_idle(&mut self, now: Moment) {
        self.buckets.retain(|_, bucket| now.since(bucket.used_at) < IDLE_TIME);
    }

    fn bucket(
        &mut self,
        now: Moment,
        server: &Incarnation,
        rate: RequestRate,
    ) -> Option<&mut Bucket> {
        if self.buckets.len() >= MAX_SERVERS && !self.buckets.contains_key(server) {
            return None;
        }
        let bucket = self.buckets.entry(server.clone()).or_insert_with(|| Bucket::new(now, rate));
        bucket.fill(now, rate);
        Some(bucket)
    }
}

/// One node's equal part of a rate.
#[derive(Clone, Copy, Debug)]
pub struct RatePart {
    /// The rate of all nodes together.
    pub rate: RequestRate,
    /// The number of nodes that share it.
    pub nodes: usize,
    /// A number from 0 to 1 that each node draws, so that their first requests are spread.
    pub phase: f64,
}

/// The requests that this node sends without grants.
#[derive(Clone, Debug, Default)]
pub struct EqualParts {
    /// When the next request to each backend server may be sent.
    due: BTreeMap<Incarnation, Moment>,
}

impl EqualParts {
    /// Decides on a request, which may wait for some time, by this node's part of a rate.
    pub fn take(
        &mut self,
        now: Moment,
        server: &Incarnation,
        part: RatePart,
        patience: Duration,
    ) -> Grant {
        if self.due.len() >= MAX_SERVERS && !self.due.contains_key(server) {
            return Grant::Denied(IDLE_TIME);
        }
        let interval = part.rate.interval().mul_f64(part.nodes.max(1) as f64 / FALLBACK_PART);
        let known = self.due.get(server).copied().filter(|due| now < *due + interval);
        let due = known.unwrap_or_else(|| now + interval.mul_f64(part.phase));
        let wait = now.until(due);
        let is_given = wait <= patience;
        self.due.insert(server.clone(), if is_given { due + interval } else { due });
        if is_given { Grant::Given(wait) } else { Grant::Denied(wait) }
    }

    /// Drops the state of backend servers whose next request has long been due.
    pub fn remove_idle(&mut self, now: Moment) {
        self.due.retain(|_, due| now < *due + IDLE_TIME);
    }
}
