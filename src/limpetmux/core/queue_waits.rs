//! Recent queue waits of the stage services, as reported to one entry.
//!
//! Every answer of a piece queue states how long a new stage would wait there. A request is refused
//! before its first stage if the waits along its stages make it miss its latency objective. So no
//! service time is wasted on stages of a late request, and the caller learns at once when to retry.

use crate::core::time::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Age at which a reported wait is no longer used.
const REPORT_EXPIRY: Duration = Duration::from_secs(2);
/// A request is not refused if its waits add up to at most this.
const ORDINARY_WAIT: Duration = Duration::from_millis(300);
/// The longest wait. Longer ones are taken for it, so that sums of waits stay in range.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3_600);

/// The latest report of one service.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// How long a new stage waits.
    wait: Duration,
    /// The pieces per second that the service completes.
    rate: f64,
    received_at: Moment,
}

/// The reported waits, and the pieces that this entry will submit.
#[derive(Clone, Debug, Default)]
pub struct QueueWaits {
    reports: BTreeMap<Arc<str>, Report>,
    /// Pieces that this entry will submit to each service once earlier stages have ended.
    expected: BTreeMap<Arc<str>, usize>,
}

impl QueueWaits {
    /// Records how long a new stage waits at a service, and how many pieces per second the service
    /// completes.
    pub fn record(&mut self, now: Moment, service: &Arc<str>, wait: Duration, rate: f64) {
        let report = Report { wait: wait.min(MAX_WAIT), rate, received_at: now };
        self.reports.insert(Arc::clone(service), report);
    }

    /// Adds pieces that this entry will submit to a service.
    pub fn add_expected(&mut self, service: &Arc<str>, pieces: usize) {
        *self.expected.entry(Arc::clone(service)).or_default() += pieces;
    }

    /// Removes pieces that were submitted to a service, or never will be.
    pub fn remove_expected(&mut self, service: &str, pieces: usize) {
        if let Some(expected) = self.expected.get_mut(service) {
            *expected = expected.saturating_sub(pieces);
        }
    }

    /// Returns how long a new stage waits at a service; a reported wait shrinks as time passes.
    pub fn wait(&self, now: Moment, service: &str) -> Duration {
        self.recent(now, service)
            .map_or(Duration::ZERO, |r| r.wait.saturating_sub(now.since(r.received_at)))
    }

    /// Returns how long a stage will wait that is submitted to a service after `until`.
    ///
    /// By then the service has completed that much work, and the pieces that all `entries` will
    /// submit are in its queue; each entry is assumed to submit as many as this one.
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
        let expected = self.expected.get(service).copied().unwrap_or_default() * entries;
        let backlog = Duration::try_from_secs_f64(expected as f64 / report.rate);
        let backlog = backlog.map_or(MAX_WAIT, |b| b.min(MAX_WAIT));
        (self.wait(now, service) + backlog).saturating_sub(until)
    }

    fn recent(&self, now: Moment, service: &str) -> Option<&Report> {
        self.reports.get(service).filter(|r| now.since(r.received_at) <= REPORT_EXPIRY)
    }
}

/// Returns the time after which a late request should be retried, or `None` if it may start.
///
/// `needed` is the time of the request with all `waits`, `target` its latency objective, both from
/// now on.
pub fn late_retry_delay(needed: Duration, target: Duration, waits: Duration) -> Option<Duration> {
    let excess = needed.checked_sub(target)?;
    (waits > ORDINARY_WAIT).then(|| excess.max(waits / 2))
}
