//! What an entry knows about one host.

use super::outlier::Outlier;
use crate::core::admission::Load;
use crate::core::config::Name;
use crate::core::keys::ArenaKey;
use crate::core::time::Moment;
use crate::core::verdict::RefusalCode;
use crate::util::hash::hash_bytes;
use std::time::Duration;

/// The age at which a reported load counts half.
const HALF_AGE: Duration = Duration::from_millis(500);
/// The age of a report after which the host is worth a probe.
pub(super) const PROBE_AGE: Duration = Duration::from_secs(1);
/// How long a host that is leaving or out of service is avoided.
const LEAVING_PAUSE: Duration = Duration::from_secs(5);
/// How long a full host is avoided if it does not say.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// The longest time for which a full or cold host is avoided.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The record of one host in a router; outlives views.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey(pub u32);

impl ArenaKey for SlotKey {
    fn from_index(index: usize) -> Self {
        Self(u32::try_from(index).unwrap_or(u32::MAX))
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// How a routed call ended, as far as it speaks about the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The stage completed.
    Done,
    /// The host, its sidecar or its backend server failed.
    Failed,
    /// The sidecar refused, or the caller went away: nothing about the host's health.
    Neutral,
}

/// What an entry knows about one host.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// The hash of the host's name, for rendezvous.
    pub(super) hash: u64,
    /// The entry's own calls in flight.
    pub(super) inflight: u32,
    pub(super) outlier: Outlier,
    load: Option<Load>,
    taken: Moment,
    /// The entry's own calls in flight when the report was taken.
    own_then: u32,
    avoid_until: Moment,
}

impl Slot {
    pub(super) fn new(name: &Name) -> Self {
        Self {
            hash: hash_bytes(name.as_str().as_bytes()),
            inflight: 0,
            outlier: Outlier::default(),
            load: None,
            taken: Moment::ZERO,
            own_then: 0,
            avoid_until: Moment::ZERO,
        }
    }

    pub(super) fn started(&mut self) {
        self.inflight += 1;
    }

    /// Returns whether the host should be ejected.
    pub(super) fn finished(&mut self, now: Moment, ending: Ending) -> bool {
        self.inflight = self.inflight.saturating_sub(1);
        match ending {
            Ending::Done => {
                self.outlier.succeeded(now);
                false
            }
            Ending::Failed => self.outlier.failed(now),
            Ending::Neutral => false,
        }
    }

    pub(super) fn report(&mut self, taken: Moment, load: Load) {
        if taken < self.taken {
            return;
        }
        if load.draining {
            self.avoid(taken + LEAVING_PAUSE);
        }
        self.load = Some(load);
        self.taken = taken;
        self.own_then = self.inflight;
    }

    pub(super) fn refused(&mut self, now: Moment, code: RefusalCode, after: Option<Duration>) {
        let pause = match code {
            RefusalCode::Draining | RefusalCode::ZoneOut => LEAVING_PAUSE,
            RefusalCode::Overloaded | RefusalCode::Cold | RefusalCode::Unavailable => {
                after.unwrap_or(FULL_PAUSE).min(MAX_PAUSE)
            }
            _ => return,
        };
        self.avoid(now + pause);
    }

    pub(super) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoid_until
    }

    pub(super) fn reported_at(&self) -> Moment {
        self.taken
    }

    /// Returns the concurrency limit, as last reported or as declared.
    pub(super) fn limit(&self, declared: u32) -> f64 {
        f64::from(self.load.map_or(declared, |l| l.limit).max(1))
    }

    /// Estimates the share of the limit in use if one more call were sent.
    ///
    /// Calls of other entries are taken from the report; as it ages they fade towards `usual`,
    /// the share that hosts of the pool have in use on average.
    pub(super) fn utilisation(&self, now: Moment, declared: u32, usual: f64) -> f64 {
        let limit = self.limit(declared);
        let reported = self.load.map_or(0, |l| l.inflight + l.queued);
        let others = f64::from(reported.saturating_sub(self.own_then));
        let fresh = if self.load.is_some() { freshness(now.since(self.taken)) } else { 0.0 };
        let expected = others * fresh + usual * limit * (1.0 - fresh);
        (f64::from(self.inflight) + expected + 1.0) / limit
    }

    /// Returns the share of the limit that calls of other entries had in use at the last report.
    pub(super) fn others_share(&self, declared: u32) -> Option<f64> {
        let load = self.load?;
        let others = (load.inflight + load.queued).saturating_sub(self.own_then);
        Some(f64::from(others) / self.limit(declared))
    }

    fn avoid(&mut self, until: Moment) {
        self.avoid_until = self.avoid_until.max(until);
    }
}

fn freshness(age: Duration) -> f64 {
    let half = HALF_AGE.as_secs_f64();
    half / (half + age.as_secs_f64())
}
