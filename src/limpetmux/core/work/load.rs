//! What a backend server states about its load, and what is left of that some time later.
//!
//! The platform adapter decodes a [`LoadNotice`] from each answer. [`LoadRecord`] keeps the latest one
//! of a backend server with the requests that the reader itself had there, so that the requests of
//! others can be told apart. See `docs/design/expected-work.md`.

use super::speed::SpeedRecord;
use crate::core::time::Moment;
use std::time::Duration;
use strum::IntoStaticStr;

/// The smallest and the largest slowdown that a backend server can state.
pub const SLOWDOWN_RANGE: (f64, f64) = (0.05, 100.0);
/// The time in which half of what others had at a backend server is taken to have ended.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(200);

/// The load that a backend server states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait there.
    pub waiting: u32,
    /// The most requests that it runs at a time.
    pub slots: u32,
    /// How long work takes now, relative to the usual time; `None` if that is not stated.
    pub slowdown: Option<f64>,
}

/// What one answer states about the load of the backend server that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LoadNotice {
    /// It states nothing.
    #[default]
    Unstated,
    /// It states something that cannot be read.
    Unreadable,
    /// It states its load; the slowdown is missing or can be used.
    Stated(ServerLoad),
    /// It states its load, and a slowdown that cannot be used.
    SpeedUnreadable(ServerLoad),
}

impl LoadNotice {
    /// Returns the load, if it can be used.
    pub fn load(self) -> Option<ServerLoad> {
        match self {
            Self::Unstated | Self::Unreadable => None,
            Self::Stated(load) | Self::SpeedUnreadable(load) => Some(load),
        }
    }
}

/// The latest stated load of one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadRecord {
    latest: Option<Latest>,
    speed: SpeedRecord,
}

#[derive(Clone, Copy, Debug)]
struct Latest {
    /// The requests of others that ran or waited.
    others: u32,
    slots: u32,
    at: Moment,
}

impl LoadRecord {
    /// Records a load that arrives at `now`, of which `own` requests are the reader's.
    pub fn record(&mut self, now: Moment, load: ServerLoad, own: u32) {
        let others = load.running.saturating_add(load.waiting).saturating_sub(own);
        self.latest = Some(Latest { others, slots: load.slots, at: now });
        if let Some(slowdown) = load.slowdown {
            self.speed.record(now, slowdown);
        }
    }

    /// Returns the expected time until one more request would end, in usual times of a request, with
    /// `own` requests of the reader there now; `None` if no load was stated.
    ///
    /// The older the stated load is, the less of the others' requests is left.
    pub fn expected_end(&self, now: Moment, own: u32) -> Option<f64> {
        let latest = self.latest?;
        let half_lives = now.since(latest.at).as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64();
        let others = f64::from(latest.others) * (-half_lives).exp2();
        let turns = (f64::from(own) + others + 1.0) / f64::from(latest.slots);
        Some(turns.max(1.0) * self.slowdown(now))
    }

    /// Returns the slots that the server stated last.
    pub fn slots(&self) -> Option<u32> {
        self.latest.map(|latest| latest.slots)
    }

    /// Returns the expected slowdown; 1 if none was stated.
    pub fn slowdown(&self, now: Moment) -> f64 {
        self.speed.slowdown(now)
    }
}
