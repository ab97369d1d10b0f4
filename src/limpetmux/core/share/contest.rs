//! Spells in which workspaces compete for a full resource, as operators see them.
//!
//! A resource may turn full and free many times a second; a spell ends only when it has been free for
//! [`CALM_TIME`], so that the log has two lines for each.

use crate::core::time::Moment;
use std::time::Duration;

/// A spell ends once nobody has competed for this long.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Whether a spell has begun or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spell {
    /// Workspaces compete from now on.
    Begun {
        /// How many workspaces compete.
        workspaces: usize,
    },
    /// Nobody competes any more.
    Ended {
        /// The time from the first to the last moment of competition.
        lasted: Duration,
    },
}

/// The current spell of one resource, if any.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contest {
    /// The first and the last moment of competition.
    seen: Option<(Moment, Moment)>,
}

impl Contest {
    /// Records how many workspaces compete now, 0 if nobody does; returns what has changed.
    pub fn observe(&mut self, now: Moment, workspaces: usize) -> Option<Spell> {
        match (self.seen, workspaces) {
            (None, 0) => None,
            (None, _) => {
                self.seen = Some((now, now));
                Some(Spell::Begun { workspaces })
            }
            (Some((first, last)), 0) if now.since(last) >= CALM_TIME => {
                self.seen = None;
                Some(Spell::Ended { lasted: last.since(first) })
            }
            (Some(_), 0) => None,
            (Some((first, _)), _) => {
                self.seen = Some((first, now));
                None
            }
        }
    }

    /// Returns whether a spell has not ended yet.
    pub fn is_open(&self) -> bool {
        self.seen.is_some()
    }
}
