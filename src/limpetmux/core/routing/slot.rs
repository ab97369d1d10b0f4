//! The routing state of one host in an entry.

use super::outlier::Outlier;
use crate::core::admission::Load;
use crate::core::config::Name;
use crate::core::keys::ArenaKey;
use crate::core::refusal::RefusalCode;
use crate::core::time::Moment;
use crate::util::hash::hash_bytes;
use std::time::Duration;

/// The age at which a reported load has half its weight.
const HALF_AGE: Duration = Duration::from_millis(500);
/// The age of a load report after which the host is probed.
pub(super) const PROBE_AGE: Duration = Duration::from_secs(1);
/// How long a host is avoided that is draining or out of service.
const LEAVING_PAUSE: Duration = Duration::from_secs(5);
/// How long a full host is avoided if its refusal has no retry delay.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// The maximum time for which a full or cold host is avoided.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Identifies a host in a router; valid across views.
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

/// How a routed call ended, as evidence of the host's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The stage completed.
    Done,
    /// The host, its sidecar or its backend server failed.
    Failed,
    /// The sidecar refused the call or the caller disconnected, which says nothing about the host's
    /// health.
    Neutral,
}

/// The routing state of one host in an entry.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// The hash of the host's name, for rendezvous hashing.
    pub(super) hash: u64,
    /// The entry's own calls in flight.
    pub(super) inflight: u32,
    pub(super) outlier: Outlier,
    load: Option<Load>,
    /// When the host measured the last reported load.
    reported_at: Moment,
    /// The entry's own calls in flight when it recorded the report.
    own_reported: u32,
    avoid_until: Moment,
}

impl Slot {
    pub(super) fn new(name: &Name) -> Self {
        Self {
            hash: hash_bytes(name.as_str().as_bytes()),
            inflight: 0,
            outlier: Outlier::default(),
            load: None,
            reported_at: Moment::ZERO,
            own_reported: 0,
            avoid_until: Moment::ZERO,
        }
    }

    pub(super) fn started(&mut self) {
        self.inflight += 1;
    }

    /// Records the end of a call; returns whether the host should be ejected.
    pub(super) fn finished(&mut self, now: Moment, outcome: CallOutcome) -> bool {
        self.inflight = self.inflight.saturating_sub(1);
        match outcome {
            CallOutcome::Done => {
                self.outlier.succeeded(now);
                false
            }
            CallOutcome::Failed => self.outlier.failed(now),
            CallOutcome::Neutral => false,
        }
    }

    /// Records a load report; one that is older than the last report is ignored.
    pub(super) fn report(&mut self, reported_at: Moment, load: Load) {
        if reported_at < self.reported_at {
            return;
        }
        if load.draining {
            self.avoid(reported_at + LEAVING_PAUSE);
        }
        self.load = Some(load);
        self.reported_at = reported_at;
        self.own_reported = self.inflight;
    }

    /// Records a refusal, after which the host may be avoided for a while.
    pub(super) fn refused(&mut self, now: Moment, code: RefusalCode, retry: Option<Duration>) {
        let pause = match code {
            RefusalCode::Draining | RefusalCode::ZoneOut => LEAVING_PAUSE,
            RefusalCode::Overloaded | RefusalCode::Cold | RefusalCode::Unavailable => {
                retry.unwrap_or(FULL_PAUSE).min(MAX_PAUSE)
            }
            _ => return,
        };
        self.avoid(now + pause);
    }

    pub(super) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoid_until
    }

    pub(super) fn reported_at(&self) -> Moment {
        self.reported_at
    }

    /// Returns the concurrency limit as last reported, or as declared if there is no report.
    pub(super) fn limit(&self, declared: u32) -> f64 {
        f64::from(self.load.map_or(declared, |l| l.limit).max(1))
    }

    /// Estimates the utilisation of the limit if one more call were sent.
    ///
    /// Calls of other entries are taken from the report; as it ages, the estimate tends towards
    /// `mean_share`, the mean utilisation of the pool's hosts by other entries.
    pub(super) fn utilisation(&self, now: Moment, declared: u32, mean_share: f64) -> f64 {
        let limit = self.limit(declared);
        let reported = self.load.map_or(0, |l| l.inflight + l.queued);
        let others = f64::from(reported.saturating_sub(self.own_reported));
        let weight = if self.load.is_some() { freshness(now.since(self.reported_at)) } else { 0.0 };
        let expected = others * weight + mean_share * limit * (1.0 - weight);
        (f64::from(self.inflight) + expected + 1.0) / limit
    }

    /// Returns the utilisation of the limit by calls of other entries at the last report.
    pub(super) fn others_share(&self, declared: u32) -> Option<f64> {
        let load = self.load?;
        let others = (load.inflight + load.queued).saturating_sub(self.own_reported);
        Some(f64::from(others) / self.limit(declared))
    }

    fn avoid(&mut self, until: Moment) {
        self.avoid_until = self.avoid_until.max(until);
    }
}

/// Returns the weight of a load report of the given age, from 1 down to 0.
fn freshness(age: Duration) -> f64 {
    let half = HALF_AGE.as_secs_f64();
    half / (half + age.as_secs_f64())
}
