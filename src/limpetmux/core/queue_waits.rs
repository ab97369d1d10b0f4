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

/// Most workspaces that are kept of one report.
const MAX_WORKSPACES: usize = 64;

/// The latest report of one service.
#[derive(Clone, Debug)]
struct Report {
    /// How long a new stage waits.
    wait: Duration,
    /// How long it waits if it is of one of these workspaces.
    workspaces: BTreeMap<Arc<str>, Duration>,
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
        let (wait, workspaces) = (wait.min(MAX_WAIT), BTreeMap::new());
        let report = Report { wait, workspaces, rate, received_at: now };
        self.reports.insert(Arc::clone(service), report);
    }

    /// Adds to the latest report of a service how long stages of some workspaces wait.
    pub fn record_workspaces(&mut self, service: &str, waits: Vec<(Arc<str>, Duration)>) {
        if let Some(report) = self.reports.get_mut(service) {
            let waits = waits.into_iter().take(MAX_WORKSPACES);
            report.workspaces = waits.map(|(name, wait)| (name, wait.min(MAX_WAIT))).collect();
        }
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

    /// Returns how long a new stage of a workspace waits at a service; a reported wait shrinks as
    /// time passes.
    pub fn wait(&self, now: Moment, service: &str, workspace: Option<&str>) -> Duration {
        let Some(report) = self.recent(now, service) else { return Duration::ZERO };
        let own = workspace.and_then(|w| report.workspaces.get(w));
        own.unwrap_or(&report.wait).saturating_sub(now.since(report.received_at))
    }

    /// Returns how long a stage of a workspace will wait that is submitted to a service after `until`.
    ///
    /// By then the service has completed that much work, and the pieces that all `entries` will
    /// submit are in its queue; each entry is assumed to submit as many as this one.
    pub fn wait_after(
        &self,
        now: Moment,
        service: &str,
        workspace: Option<&str>,
        until: Duration,
        entries: usize,
    ) -> Duration {
        let Some(report) = self.recent(now, service).filter(|r| r.rate > 0.0) else {
            return self.wait(now, service, workspace);
        };
        let expected = self.expected.get(service).copied().unwrap_or_default() * entries;
        let backlog = Duration::try_from_secs_f64(expected as f64 / report.rate);
        let backlog = backlog.map_or(MAX_WAIT, |b| b.min(MAX_WAIT));
        (self.wait(now, service, workspace) + backlog).saturating_sub(until)
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
