//! Decisions of roll-outs: which versions of a service's backend servers get requests, and how many.
//!
//! The operator orders a version for a service. The [`book`] holds the orders, what is written about
//! them in the platform's store and the steps that the nodes have taken; it says which backend servers
//! are barred. [`exposure`] counts out the share of the new version at one entry, [`evidence`] sums what
//! all nodes have seen of both versions, and the [`judge`] compares them on each route and takes the
//! next step. See `docs/design/rollout.md`.

pub mod book;
pub mod evidence;
pub mod exposure;
pub mod judge;

use std::sync::Arc;
use std::time::Duration;
use strum::{EnumString, FromRepr, IntoStaticStr};

/// Which of the operator's orders it is, also after a restore of the store, which keeps offsets.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderKey {
    /// The offset of the order's record in the topic of the operator.
    pub offset: u64,
    /// The version that is ordered, as a restored store may give the offset to another order.
    pub target: Arc<str>,
}

/// An order to move a service's requests to a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Which order it is.
    pub key: OrderKey,
    /// The time in which the requests are to be moved.
    pub duration: Duration,
}

/// What is written about an order in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The order is being carried out.
    Running,
    /// All requests go to the ordered version; the other backend servers stop.
    Completed,
    /// No request goes to the ordered version any more.
    RolledBack,
}

impl State {
    /// Returns whether the order has ended for good.
    pub fn is_verdict(self) -> bool {
        self != Self::Running
    }
}

/// How far an order is carried out; nodes tell each other the step, and the latest one holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, FromRepr, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Step {
    /// The new version gets less than the share that the operator allows.
    #[default]
    Canary = 0,
    /// The new version was found good, and gets a third of the requests.
    Third = 1,
    /// It gets two thirds of the requests.
    Most = 2,
    /// It gets all requests that its backend servers accept.
    Offered = 3,
    /// The other versions get no more requests.
    Sealed = 4,
    /// The new version gets no more requests, as it was found bad or the order was taken back.
    Stopped = 5,
}

impl Step {
    /// Returns the part of a service's requests that the new version gets, given its share as a canary.
    pub fn share(self, canary: f64) -> f64 {
        match self {
            Self::Canary => canary,
            Self::Third => 1.0 / 3.0,
            Self::Most => 2.0 / 3.0,
            Self::Offered | Self::Sealed => 1.0,
            Self::Stopped => 0.0,
        }
    }

    /// Returns the next step towards the new version.
    pub fn next(self) -> Self {
        match self {
            Self::Canary => Self::Third,
            Self::Third => Self::Most,
            Self::Most => Self::Offered,
            Self::Offered | Self::Sealed => Self::Sealed,
            Self::Stopped => Self::Stopped,
        }
    }
}

/// The bounds that the operator sets on roll-outs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// The part of a service's requests that a version may get before it is found good.
    pub share: f64,
    /// The requests beyond that part that a bad version may get, which are kept in reserve.
    pub slack: f64,
    /// The time after which a bad version gets no more requests.
    pub rollback: Duration,
}

impl Default for RolloutBounds {
    fn default() -> Self {
        Self { share: 0.1, slack: 0.0, rollback: Duration::from_secs(5) }
    }
}
