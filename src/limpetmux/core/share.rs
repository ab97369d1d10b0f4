//! One entry's share of the repeats that a service bears.
//!
//! The bound on repeats holds over all entries together, in any window. Each entry keeps to the
//! ratio on its own fresh requests and to an equal part of what is allowed besides, by the largest
//! number of entries that there may be.

use crate::core::time::Moment;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The part of the bound that is used, so that requests that arrive late stay within it.
const USED: f64 = 0.8;

/// The bound on repeats of all entries together.
#[derive(Clone, Copy, Debug)]
pub struct RepeatBound {
    /// Repeats for each fresh request.
    pub ratio: f64,
    /// Repeats that are allowed besides, in each window.
    pub slack: f64,
    /// The length of a window.
    pub window: Duration,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    fresh: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

/// Counts the fresh requests and the repeats of one entry.
#[derive(Clone, Debug)]
pub struct RepeatShare {
    bound: RepeatBound,
    services: BTreeMap<Arc<str>, Counts>,
}

impl RepeatShare {
    /// Creates a share that has counted nothing.
    pub fn new(bound: RepeatBound) -> Self {
        Self { bound, services: BTreeMap::new() }
    }

    /// Puts a changed bound in force.
    pub fn rebound(&mut self, bound: RepeatBound) {
        self.bound = bound;
    }

    /// Counts a fresh request for a service.
    pub fn fresh(&mut self, now: Moment, service: &Arc<str>) {
        self.counts(now, service).fresh.push_back(now);
    }

    /// Counts a repeat at a service if it stays within the share of one of `entries` entries.
    pub fn repeat(&mut self, now: Moment, service: &Arc<str>, entries: usize) -> bool {
        let bound = self.bound;
        let counts = self.counts(now, service);
        let besides = bound.slack / entries.max(1) as f64;
        let most = (bound.ratio * counts.fresh.len() as f64 + besides) * USED;
        if (counts.repeats.len() + 1) as f64 > most {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn counts(&mut self, now: Moment, service: &Arc<str>) -> &mut Counts {
        let window = self.bound.window;
        let counts = self.services.entry(Arc::clone(service)).or_default();
        for times in [&mut counts.fresh, &mut counts.repeats] {
            while times.front().is_some_and(|t| now.since(*t) > window) {
                times.pop_front();
            }
        }
        counts
    }
}
