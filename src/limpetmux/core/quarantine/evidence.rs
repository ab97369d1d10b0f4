//! What nodes tell each other about crashes and quarantined parts.
//!
//! Times travel as ages, because the clocks of two nodes cannot be compared.

use super::crash::{Mark, ServerRun};
use super::group::GroupId;
use crate::core::prompt_part::PartId;
use std::sync::Arc;
use std::time::Duration;

/// The part of one node's knowledge that another one lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes.
    pub crashes: Vec<CrashRecord>,
    /// Verdicts.
    pub holds: Vec<HoldRecord>,
}

/// A crash as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The run of the backend server that ended.
    pub run: ServerRun,
    /// The time since the crash.
    pub age: Duration,
    /// The parts that ran there.
    pub parts: Vec<(PartId, Mark)>,
}

/// A verdict on a group of parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldRecord {
    /// The name of the group.
    pub group: GroupId,
    /// The parts that a request has if it is held back, in their order.
    pub parts: Vec<PartId>,
    /// The number of changes between quarantined and free; odd if the group is quarantined.
    pub turn: u32,
    /// The time since the last crash before it was quarantined, or since it became free.
    pub age: Duration,
    /// The number of trials since then.
    pub trials: u32,
    /// The time since the last trial, or since the change if there was none.
    pub tried_age: Duration,
    /// Whether answers had been completed with the parts before.
    pub known: bool,
    /// The backend servers whose crashes the verdict rests on.
    pub servers: Vec<Arc<str>>,
}

impl HoldRecord {
    /// Returns whether the group is quarantined.
    pub fn is_held(&self) -> bool {
        !self.turn.is_multiple_of(2)
    }
}

impl Evidence {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.holds.is_empty()
    }
}
