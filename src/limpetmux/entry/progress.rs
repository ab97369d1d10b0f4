//! Tracks how much of one request may have run.

use crate::core::refusal::Execution;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};

/// Tracks how much of one request may have run.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether any attempt ran on a backend server.
    any_ran: AtomicBool,
    /// The number of attempts at idempotent stages whose outcome is not known.
    pending_idempotent: AtomicU32,
    /// The number of attempts at non-idempotent stages whose outcome is not known.
    pending_once: AtomicU32,
    /// The position of the current stage.
    stage: AtomicUsize,
}

/// An attempt whose outcome is not known yet; it stays unknown if this is dropped.
#[derive(Debug)]
pub(super) struct PendingAttempt<'a> {
    progress: &'a Progress,
    count: &'a AtomicU32,
}

impl Progress {
    /// Records an attempt before it is sent.
    pub(super) fn start_attempt(&self, idempotent: bool) -> PendingAttempt<'_> {
        let count = if idempotent { &self.pending_idempotent } else { &self.pending_once };
        count.fetch_add(1, Ordering::Relaxed);
        PendingAttempt { progress: self, count }
    }

    /// Records that a stage starts.
    pub(super) fn start_stage(&self, position: usize) {
        self.stage.store(position, Ordering::Relaxed);
    }

    /// Returns the position of the stage that started last.
    pub(super) fn current_stage(&self) -> usize {
        self.stage.load(Ordering::Relaxed)
    }

    /// Returns the execution to report to the caller.
    pub(super) fn execution(&self) -> Execution {
        if self.pending_once.load(Ordering::Relaxed) > 0 {
            return Execution::Unknown;
        }
        let ran = self.any_ran.load(Ordering::Relaxed)
            || self.pending_idempotent.load(Ordering::Relaxed) > 0;
        if ran { Execution::PartlyRun } else { Execution::NotRun }
    }
}

impl PendingAttempt<'_> {
    /// Records that the attempt completed.
    pub(super) fn mark_completed(self) {
        self.progress.any_ran.store(true, Ordering::Relaxed);
        self.count.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records that the attempt was refused.
    pub(super) fn mark_refused(self, execution: Execution) {
        match execution {
            Execution::NotRun => drop(self.count.fetch_sub(1, Ordering::Relaxed)),
            Execution::PartlyRun => self.mark_completed(),
            Execution::Unknown => {}
        }
    }
}
