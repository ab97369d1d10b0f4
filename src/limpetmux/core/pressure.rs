//! How long stages wait for their turn, as an entry has heard of late.
//!
//! Every answer of a queue of pieces tells how long a new stage would wait there. A request is
//! refused before its first stage if the waits along its chain make it late for its objective:
//! the stages that it would take from others are then not thrown away, and the caller learns at
//! once when to come back.

use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The age at which a reported wait says nothing any more.
const FORGET_AFTER: Duration = Duration::from_secs(2);
/// Waits up to this sum are ordinary and refuse nothing.
const ORDINARY: Duration = Duration::from_millis(300);

/// What an entry has heard of one service.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// How long a new stage waits.
    wait: Duration,
    /// The pieces that the service makes in a second.
    rate: f64,
    at: Moment,
}

/// The waits that an entry has heard of, and what it will send itself.
#[derive(Clone, Debug, Default)]
pub struct Pressure {
    reports: BTreeMap<Arc<str>, Report>,
    /// Pieces of requests that are under way to a service, behind earlier stages.
    coming: BTreeMap<Arc<str>, usize>,
}

impl Pressure {
    /// Takes in how long a new stage waits at a service, and how many pieces it makes a second.
    pub fn note(&mut self, now: Moment, service: &Arc<str>, wait: Duration, rate: f64) {
        self.reports.insert(Arc::clone(service), Report { wait, rate, at: now });
    }

    /// Counts pieces that will come to a service.
    pub fn expect(&mut self, service: &Arc<str>, pieces: usize) {
        *self.coming.entry(Arc::clone(service)).or_default() += pieces;
    }

    /// Counts pieces that have come to a service, or never will.
    pub fn arrived(&mut self, service: &str, pieces: usize) {
        if let Some(coming) = self.coming.get_mut(service) {
            *coming = coming.saturating_sub(pieces);
        }
    }

    /// Returns how long a new stage waits at a service; a reported wait drains as time goes on.
    pub fn wait(&self, now: Moment, service: &str) -> Duration {
        self.recent(now, service).map_or(Duration::ZERO, |r| r.wait.saturating_sub(now.since(r.at)))
    }

    /// Returns how long a stage will wait that comes to a service after `until`.
    ///
    /// By then the service has worked off as much, and what is under way to it from all `entries`
    /// has come; this entry's own share stands for that of the others.
    pub fn wait_after(
        &self,
        now: Moment,
        service: &str,
        until: Duration,
        entries: usize,
    ) -> Duration {
        let Some(report) = self.recent(now, service).filter(|r| r.rate > 0.0) else {
            return self.wait(now, service);
        };
        let coming = self.coming.get(service).copied().unwrap_or_default() * entries;
        let backlog = Duration::from_secs_f64(coming as f64 / report.rate);
        (self.wait(now, service) + backlog).saturating_sub(until)
    }

    fn recent(&self, now: Moment, service: &str) -> Option<&Report> {
        self.reports.get(service).filter(|r| now.since(r.at) <= FORGET_AFTER)
    }
}

/// Returns after what time a request should come back that would be late, or `None` if it may
/// start: `needed` is its time with all waits, `aim` its objective, both from now on.
pub fn refuse(needed: Duration, aim: Duration, waits: Duration) -> Option<Duration> {
    let over = needed.checked_sub(aim)?;
    (waits > ORDINARY).then(|| over.max(waits / 2))
}
