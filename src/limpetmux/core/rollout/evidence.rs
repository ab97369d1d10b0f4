//! What backend servers of two versions have answered, counted by route and summed over all nodes.
//!
//! A node counts the answers that it got since it knows an order. Its counts only rise, so another node
//! keeps the highest of what it was told, in any order and however often. A node that was started again
//! counts from zero under its new start time, and what it had told before stays.

use super::OrderKey;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The number of ranges of times; each is wider than the one before by the square root of two.
pub const RANGES: usize = 32;
/// The ranges in a doubling of a time.
const RANGES_PER_DOUBLING: f64 = 2.0;
/// The most counts of one node; there is one for each route and version.
const MAX_COUNTS: usize = 2_048;
/// The most nodes whose counts are kept.
const MAX_NODES: usize = 4_096;

/// How one request ended, as evidence on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It was answered; holds the time to the first byte or event.
    Answered(Duration),
    /// The backend server failed it.
    Failed,
}

/// What is counted apart: a route, and whether it is the version that is being tried.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arm {
    /// The name of the route, or of the stage's service.
    pub route: Arc<str>,
    /// Whether the backend servers run the version that is being tried.
    pub is_new: bool,
}

/// The answers of one arm.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The answers that failed.
    pub failed: u32,
    /// The other answers, by the range of their time.
    pub times: [u32; RANGES],
}

impl Tally {
    /// Counts an answer.
    pub fn add(&mut self, answer: Answer) {
        let count = match answer {
            Answer::Answered(took) => &mut self.times[range(took)],
            Answer::Failed => &mut self.failed,
        };
        *count = count.saturating_add(1);
    }

    /// Raises the counts to those of a later tally of the same answers.
    pub fn raise(&mut self, later: &Self) {
        self.failed = self.failed.max(later.failed);
        for (count, later) in self.times.iter_mut().zip(&later.times) {
            *count = (*count).max(*later);
        }
    }

    /// Adds the counts of other answers.
    pub fn sum(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        for (count, other) in self.times.iter_mut().zip(&other.times) {
            *count = count.saturating_add(*other);
        }
    }

    /// Returns the answers that were added since an earlier tally.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut added = *self;
        added.failed = self.failed.saturating_sub(earlier.failed);
        for (count, earlier) in added.times.iter_mut().zip(&earlier.times) {
            *count = count.saturating_sub(*earlier);
        }
        added
    }

    /// Returns the number of answers that did not fail.
    pub fn answered(&self) -> u32 {
        self.times.iter().fold(0, |sum, count| sum.saturating_add(*count))
    }
}

/// Returns the range of a time.
pub fn range(time: Duration) -> usize {
    let millis = time.as_secs_f64() * 1_000.0;
    let range = (millis.max(1.0).log2() * RANGES_PER_DOUBLING) as usize;
    range.min(RANGES - 1)
}

/// The counts of one node for one order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    arms: BTreeMap<Arm, Tally>,
}

impl Counts {
    /// Counts an answer.
    pub fn add(&mut self, arm: Arm, answer: Answer) {
        if self.arms.len() < MAX_COUNTS || self.arms.contains_key(&arm) {
            self.arms.entry(arm).or_default().add(answer);
        }
    }

    /// Raises the counts to those of a later state of the same node.
    pub fn raise(&mut self, later: &Self) {
        for (arm, tally) in &later.arms {
            if self.arms.len() < MAX_COUNTS || self.arms.contains_key(arm) {
                self.arms.entry(arm.clone()).or_default().raise(tally);
            }
        }
    }

    /// Returns the tallies by arm.
    pub fn arms(&self) -> impl Iterator<Item = (&Arm, &Tally)> {
        self.arms.iter()
    }

    /// Sets the tally of an arm, as another node has told it.
    pub fn set(&mut self, arm: Arm, tally: Tally) {
        self.arms.insert(arm, tally);
    }

    /// Returns the tally of an arm.
    pub fn get(&self, arm: &Arm) -> Tally {
        self.arms.get(arm).copied().unwrap_or_default()
    }

    /// Adds the counts of another node.
    fn sum(&mut self, other: &Self) {
        for (arm, tally) in &other.arms {
            self.arms.entry(arm.clone()).or_default().sum(tally);
        }
    }
}

/// The process that has counted: the name of its node, and the Unix millisecond of its start.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Counter {
    /// The name of the node.
    pub node: Arc<str>,
    /// When its process started.
    pub started_ms: u64,
}

/// What a node says about the answers of one order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// The service.
    pub service: Arc<str>,
    /// The order.
    pub key: OrderKey,
    /// Its counts.
    pub counts: Counts,
    /// The requests and calls that it runs at backend servers of other versions, once it sends them no
    /// more; `None` before.
    pub left: Option<u32>,
}

/// The counts of all nodes for one order.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// The order.
    pub key: OrderKey,
    counters: BTreeMap<Counter, (Counts, Option<u32>)>,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(key: OrderKey) -> Self {
        Self { key, counters: BTreeMap::new() }
    }

    /// Records what a node says of this order.
    pub fn record(&mut self, counter: Counter, told: &Told) {
        let is_full = self.counters.len() >= MAX_NODES && !self.counters.contains_key(&counter);
        if told.key != self.key || is_full {
            return;
        }
        let (counts, left) = self.counters.entry(counter).or_default();
        counts.raise(&told.counts);
        *left = told.left;
    }

    /// Returns the sums over all nodes.
    pub fn totals(&self) -> Counts {
        let mut totals = Counts::default();
        self.counters.values().for_each(|(counts, _)| totals.sum(counts));
        totals
    }

    /// Returns whether all of some processes have said that they send nothing to other versions any
    /// more, and that nothing of theirs runs there.
    pub fn is_left(&self, counters: &[Counter]) -> bool {
        counters.iter().all(|c| self.counters.get(c).is_some_and(|(_, left)| *left == Some(0)))
    }
}
