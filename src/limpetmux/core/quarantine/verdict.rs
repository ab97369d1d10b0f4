//! What the quarantine decides, and the changes of it that are logged.

use super::group::GroupId;
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use std::sync::Arc;
use std::time::Duration;

/// What may happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Sound,
    /// It may be sent as the trial of a quarantined group of parts.
    Trial(Trial),
    /// A group of parts of its prompt is quarantined.
    Held {
        /// The part that stands for the group.
        part: PartId,
        /// The time until the group may be tried.
        trial_in: Duration,
    },
}

/// A request that may be sent although parts of its prompt are quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    /// The group that is tried.
    pub group: GroupId,
    /// The part that stands for the group.
    pub part: PartId,
}

/// A change of the quarantine, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Crashes separate a group of parts from others, but are too few for a verdict.
    Suspected(Grounds),
    /// A group is quarantined.
    Held(Grounds),
    /// Parts were taken out of a quarantined group.
    Narrowed {
        /// The part that stands for the group now.
        part: PartId,
        /// The number of parts that are left.
        left: usize,
    },
    /// A group, for which one part stands, is no longer quarantined.
    Freed(PartId),
    /// The quarantine of a group, for which one part stands, was dropped because there are too many.
    Dropped(PartId),
}

/// The crashes that speak against a group of parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grounds {
    /// The parts that a request has if it is held back, in their order.
    pub parts: Vec<PartId>,
    /// The backend servers that have ended.
    pub servers: Vec<Arc<str>>,
    /// The time since the first of the crashes.
    pub span: Duration,
    /// When the last of them happened.
    pub last: Moment,
    /// Whether answers were completed with the parts before.
    pub known: bool,
}

/// The entries that share the trials of quarantined parts.
#[derive(Clone, Copy, Debug)]
pub struct Entries<'a> {
    /// The name of this one.
    pub local: &'a str,
    /// The names of all that are alive.
    pub all: &'a [Arc<str>],
}
