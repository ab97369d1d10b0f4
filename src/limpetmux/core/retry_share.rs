//! One entry's share of the retries that a service accepts.
//!
//! The limit on retries applies to all entries together, in any window. Each entry applies the
//! ratio to its own first attempts and gets an equal part of the fixed allowance, divided by the
//! largest possible number of entries.

use crate::core::time::Moment;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Part of the limit that is used, so that retries that arrive late stay within it.
const USED_PART: f64 = 0.8;

/// The limit on retries of all entries together.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimit {
    /// Retries for each first attempt.
    pub ratio: f64,
    /// Retries that are allowed in each window in addition.
    pub allowance: f64,
    /// The length of a window.
    pub window: Duration,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    first: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// Counts the first attempts and the retries of one entry.
#[derive(Clone, Debug)]
pub struct RetryShare {
    limit: RetryLimit,
    services: BTreeMap<Arc<str>, Counts>,
}

impl RetryShare {
    /// Creates a share without counts.
    pub fn new(limit: RetryLimit) -> Self {
        Self { limit, services: BTreeMap::new() }
    }

    /// Replaces the limit.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts the first attempt of a request at a service.
    pub fn count_first(&mut self, now: Moment, service: &Arc<str>) {
        self.counts(now, service).first.push_back(now);
    }

    /// Counts a retry at a service and returns whether it is allowed, given the number of entries
    /// that share the limit.
    pub fn try_retry(&mut self, now: Moment, service: &Arc<str>, entries: usize) -> bool {
        let limit = self.limit;
        let counts = self.counts(now, service);
        let allowance = limit.allowance / entries.max(1) as f64;
        let max_retries = (limit.ratio * counts.first.len() as f64 + allowance) * USED_PART;
        if (counts.retries.len() + 1) as f64 > max_retries {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    fn counts(&mut self, now: Moment, service: &Arc<str>) -> &mut Counts {
        let window = self.limit.window;
        let counts = self.services.entry(Arc::clone(service)).or_default();
        for times in [&mut counts.first, &mut counts.retries] {
            while times.front().is_some_and(|t| now.since(*t) > window) {
                times.pop_front();
            }
        }
        counts
    }
}
