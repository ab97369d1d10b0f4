//! The quarantine of prompt parts as the tasks of one node share it: with its log lines and metrics,
//! and a signal for each change that other nodes have to learn.

use crate::core::prompt_part::{self, PartId};
use crate::core::quarantine::{
    Change, Entries, Evidence, Grounds, HoldRecord, MAX_PAGE_PARTS, Quarantine, ServerRun, Trial,
    Verdict,
};
use crate::core::time::Moment;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::util::metrics::{Metric, Metrics};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// The bits of a version that count the changes of one process; those above hold the Unix millisecond
/// of its start.
const COUNTER_BITS: u32 = 20;

/// The quarantine of one node.
#[derive(Debug)]
pub struct NodeQuarantine {
    state: Mutex<Quarantine>,
    version: watch::Sender<u64>,
}

/// Returns whether two versions belong to the same process.
pub fn is_same_process(version: u64, other: u64) -> bool {
    version >> COUNTER_BITS == other >> COUNTER_BITS
}

impl NodeQuarantine {
    /// Creates the empty quarantine of a process that started at a Unix millisecond.
    pub fn new(started_ms: u64) -> Self {
        let first = started_ms << COUNTER_BITS;
        Self { state: Mutex::new(Quarantine::new(first)), version: watch::Sender::new(first) }
    }

    /// Returns a receiver of the version of the evidence.
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns the version of the evidence.
    pub fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// Records that a backend server has ended while requests with some parts ran there; of each it is
    /// stated whether a request with it had no event of its answer yet.
    pub fn record_crash(
        &self,
        metrics: &Metrics,
        at: Moment,
        run: ServerRun,
        parts: &[(PartId, bool)],
    ) {
        self.change(metrics, |state, now| state.record_crash(now, at, run, parts));
    }

    /// Records that an answer to a request that was sent at `began` was completed.
    pub fn record_use(&self, metrics: &Metrics, began: Moment, parts: &[PartId]) {
        if !parts.is_empty() {
            self.change(metrics, |state, now| state.record_use(now, began, parts));
        }
    }

    /// Decides what may happen to a request with some parts.
    pub fn check(&self, metrics: &Metrics, parts: &[PartId], entries: Entries<'_>) -> Verdict {
        if parts.is_empty() {
            return Verdict::Sound;
        }
        self.change(metrics, |state, now| state.check(now, parts, entries))
    }

    /// Counts a trial that is about to be sent.
    pub fn begin_trial(&self, metrics: &Metrics, trial: Trial) {
        self.change(metrics, |state, now| state.begin_trial(now, trial));
    }

    /// Weighs evidence that has settled meanwhile.
    pub fn weigh(&self, metrics: &Metrics) {
        self.change(metrics, |state, now| state.weigh(now));
    }

    /// Ends quarantines at an operator's request; returns those that are left.
    pub fn lift(&self, metrics: &Metrics, parts: &[PartId]) -> Evidence {
        self.change(metrics, |state, now| {
            for part in parts {
                state.free(now, *part);
            }
            Evidence { crashes: Vec::new(), holds: state.holds(now) }
        })
    }

    /// Adds the evidence of another node that knows this node's up to a version; returns up to which
    /// version it does then.
    pub fn merge(&self, metrics: &Metrics, evidence: Evidence, told: u64) -> u64 {
        self.change(metrics, |state, now| {
            let had_news = state.version() > told;
            let adds = state.merge(now, evidence);
            if had_news || adds { told } else { state.version() }
        })
    }

    /// Returns what one message tells a node that has seen the evidence up to a version, and the version
    /// up to which it has seen it then.
    pub fn evidence_page(&self, version: u64) -> (Evidence, u64) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.evidence_page(clock::boot(), version, MAX_PAGE_PARTS)
    }

    /// Returns all verdicts.
    pub fn holds(&self) -> Vec<HoldRecord> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.holds(clock::boot())
    }

    /// Changes the state, logs what that decided and tells other tasks of new evidence.
    fn change<T>(&self, metrics: &Metrics, change: impl FnOnce(&mut Quarantine, Moment) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut state, clock::boot());
        let (changes, held, version) = (state.take_changes(), state.held(), state.version());
        drop(state);
        if !changes.is_empty() {
            metrics.gauge(Metric::PartsHeld, held as u64);
        }
        for change in &changes {
            record(metrics, change);
        }
        self.version.send_if_modified(|old| std::mem::replace(old, version.max(*old)) < version);
        result
    }
}

/// Logs and counts one change.
fn record(metrics: &Metrics, change: &Change) {
    let count = |name| metrics.count(Metric::PartVerdicts, 1, &[("verdict", name)]);
    match change {
        Change::Suspected(grounds) => log_grounds(EventCode::PartSuspected, grounds),
        Change::Held(grounds) => {
            count("held");
            log_grounds(EventCode::PartHeld, grounds);
        }
        Change::Narrowed { part, left } => {
            count("narrowed");
            event!(EventCode::PartsNarrowed, part = part, parts = left);
        }
        Change::Freed(part) => {
            count("freed");
            event!(EventCode::PartFreed, part = part);
        }
        Change::Dropped(part) => {
            count("dropped");
            event!(EventCode::PartDropped, part = part);
        }
    }
}

fn log_grounds(code: EventCode, grounds: &Grounds) {
    event!(
        code,
        part = prompt_part::list(&grounds.parts),
        parts = grounds.parts.len(),
        crashes = grounds.servers.len(),
        servers = grounds.servers.join(","),
        span_ms = grounds.span.as_millis(),
        known = grounds.known
    );
}

/// The longest time that a refused caller is told to wait.
const MAX_RETRY: Duration = Duration::from_secs(600);
/// The shortest such time; a trial that is due is another entry's.
const MIN_RETRY: Duration = Duration::from_secs(30);

/// Returns the retry delay of a caller whose request is held back until the next trial.
pub fn retry_delay(trial_in: Duration) -> Duration {
    trial_in.clamp(MIN_RETRY, MAX_RETRY)
}
