//! Keeps track of how much of one request can have run.

use crate::core::verdict::Execution;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};

/// How much of one request can have run.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// Whether a backend server has been asked.
    ran: AtomicBool,
    /// Attempts at stages that may be repeated whose outcome is not known.
    repeatable: AtomicU32,
    /// Attempts at stages that may not be repeated whose outcome is not known.
    once: AtomicU32,
    /// The position of the stage that runs.
    stage: AtomicUsize,
}

/// One attempt whose outcome is not known; dropping it leaves the outcome unknown for good.
#[derive(Debug)]
pub(super) struct Open<'a> {
    progress: &'a Progress,
    count: &'a AtomicU32,
}

impl Progress {
    /// Records an attempt before it is sent.
    pub(super) fn begin(&self, idempotent: bool) -> Open<'_> {
        let count = if idempotent { &self.repeatable } else { &self.once };
        count.fetch_add(1, Ordering::Relaxed);
        Open { progress: self, count }
    }

    /// Records that a stage begins.
    pub(super) fn enter(&self, position: usize) {
        self.stage.store(position, Ordering::Relaxed);
    }

    /// Returns the position of the stage that began last.
    pub(super) fn stage(&self) -> usize {
        self.stage.load(Ordering::Relaxed)
    }

    /// Returns what the caller may be told.
    pub(super) fn execution(&self) -> Execution {
        if self.once.load(Ordering::Relaxed) > 0 {
            return Execution::Unknown;
        }
        let ran = self.ran.load(Ordering::Relaxed) || self.repeatable.load(Ordering::Relaxed) > 0;
        if ran { Execution::PartlyRun } else { Execution::NotRun }
    }
}

impl Open<'_> {
    /// Records that the attempt completed.
    pub(super) fn completed(self) {
        self.progress.ran.store(true, Ordering::Relaxed);
        self.count.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records what a refusal says about the attempt.
    pub(super) fn refused(self, execution: Execution) {
        match execution {
            Execution::NotRun => drop(self.count.fetch_sub(1, Ordering::Relaxed)),
            Execution::PartlyRun => self.completed(),
            Execution::Unknown => {}
        }
    }
}
