//! How old a node's views may become, and how long reads and pulls that renew them may take.
//!
//! All of it is worked out from the bounds that the settings state. One node reads the store and the
//! others pull from it, so a view is renewed by a read that the store holds and a pull that the reader
//! holds; a node whose view is older than both take reads the store itself, early enough to keep its
//! bounds. See `docs/design/platform.md`.

use std::time::Duration;

/// The longest time for which the store holds a read of the operator's records.
const MAX_HOLD: Duration = Duration::from_millis(600);
/// The most time for a pull in addition to its hold.
const MAX_PULL_EXTRA: Duration = Duration::from_millis(700);
/// The longest time between two reads of the backend servers.
const MAX_LISTING_INTERVAL: Duration = Duration::from_millis(500);

/// Half the pause after a first failed read; the pause doubles with each further failure.
const PAUSE_BASE: Duration = Duration::from_millis(100);
/// How often the pause doubles at most.
const MAX_DOUBLINGS: u32 = 4;
/// How often it doubles at most while the node has no configuration.
const MAX_NEW_DOUBLINGS: u32 = 1;

/// Returns the pause after some failed reads of the store in a row, the last of which took `took`; it is
/// shorter while the node has no configuration.
///
/// The time of a read that stayed without an answer counts toward the pause: it has spaced the reads
/// already, and until the next one the node doesn't notice that the store is back.
pub fn retry_pause(failures: u32, is_new: bool, took: Duration) -> Duration {
    let doublings = if is_new { MAX_NEW_DOUBLINGS } else { MAX_DOUBLINGS };
    (PAUSE_BASE * (1 << failures.min(doublings))).saturating_sub(took)
}

/// Within which times the operator's changes have to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewBounds {
    /// A new configuration is in force.
    pub config: Duration,
    /// A key that was taken away is refused.
    pub revoke: Duration,
    /// An evacuated zone gets no more requests.
    pub evacuate: Duration,
    /// A backend server that leaves gets no more requests.
    pub drain: Duration,
}

/// The times of reads and pulls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadTimes {
    /// The age of the operator's records above which a node reads them itself.
    pub orders_stale: Duration,
    /// The age of the list of backend servers above which a node reads it itself.
    pub listing_stale: Duration,
    /// How long the store may hold a read until there is a new record of the operator.
    pub read_hold: Duration,
    /// The time after which a read that has no answer lets another node read.
    pub read_late: Duration,
    /// The time between two reads of the backend servers.
    pub listing_interval: Duration,
    /// How long another node may hold a pull; longer than a read.
    pub pull_hold: Duration,
    /// Whether a read that renews a view ends the pulls that are held, as the views of the callers would be
    /// stale otherwise. All of them end at once then, so that the reader answers every node in one moment.
    pub ends_pulls: bool,
    /// The time allowed for a whole pull.
    pub pull_limit: Duration,
}

impl ReadTimes {
    /// Works out the times that keep the bounds.
    ///
    /// A configuration has a quarter of its bound for the read and for the requests on their way. Keys and
    /// zones have a half, as requests are refused or sent wrongly when it is over.
    pub fn new(bounds: ViewBounds) -> Self {
        let orders_stale = (bounds.config * 3 / 4).min(bounds.revoke / 2).min(bounds.evacuate / 2);
        let listing_stale = bounds.drain * 3 / 4;
        let read_hold = MAX_HOLD.min(orders_stale * 2 / 5);
        let pull_hold = read_hold * 5 / 4;
        let oldest = read_hold + pull_hold + MAX_PULL_EXTRA;
        Self {
            orders_stale,
            listing_stale,
            read_hold,
            read_late: read_hold + (orders_stale - read_hold) / 2,
            listing_interval: MAX_LISTING_INTERVAL.min(listing_stale / 3),
            pull_hold,
            ends_pulls: oldest > orders_stale,
            pull_limit: (read_hold + MAX_PULL_EXTRA).min(orders_stale).max(pull_hold),
        }
    }
}
