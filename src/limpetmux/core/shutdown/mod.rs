//! The phases in which a process shuts down without cutting off requests.
//!
//! SIGTERM and a drain order start the same sequence: the process reports that it is not ready
//! while it still serves, so that the load balancer stops sending; then new work is refused as not
//! run and running work finishes; then records that still have to reach the platform are flushed;
//! then the process exits with a report. A deadline bounds the wait for running work, which is then
//! answered that its outcome is not known, and a separate
//! time limit bounds the flush. See `docs/design/shutdown.md`.

use crate::core::time::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The phase of a process's shutdown.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The process serves.
    #[default]
    Running,
    /// The process reports that it is not ready but still accepts new work.
    Notice,
    /// The process refuses new work and finishes running work.
    Draining,
    /// Running work ended or the deadline passed; records are being sent to the platform.
    Flushing,
    /// The process may exit.
    Ended,
}

/// The time limits of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownOptions {
    /// How long the process still accepts work after it reports that it is not ready.
    pub notice: Duration,
    /// The time from the order to the end of the last request.
    pub deadline: Duration,
    /// The time limit of the flush, which starts at the last request's end or the deadline.
    pub flush: Duration,
}

impl ShutdownOptions {
    /// The defaults of an entry; its notice lets a load balancer find it not ready first.
    pub const ENTRY: Self = Self {
        notice: Duration::from_secs(3),
        deadline: Duration::from_secs(30),
        flush: Duration::from_secs(5),
    };
    /// The defaults of a sidecar; entries react to its refusals at once, so it needs no notice.
    pub const SIDECAR: Self = Self {
        notice: Duration::ZERO,
        deadline: Duration::from_secs(30),
        flush: Self::ENTRY.flush,
    };
}

/// An action for the process to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownAction {
    /// Answer readiness checks with "not ready".
    Unready,
    /// Refuse new work as not run.
    Refuse,
    /// Answer the requests that still run, as the exit would cut them off.
    Answer,
    /// Send outstanding records to the platform.
    Flush,
    /// Close the listeners and exit.
    Exit(DrainReport),
}

/// The result of a shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The time from the order to the exit, in microseconds.
    pub took_us: u64,
    /// The time from the exit to the deadline, in microseconds, in which answers may still leave; 0 in the
    /// report of another process.
    pub left_us: u64,
    /// Requests that still ran at the deadline; an entry answers them, a sidecar cuts them off.
    pub unfinished: u32,
    /// Whether all records reached the platform.
    pub flushed: bool,
}

impl DrainReport {
    /// Returns whether all requests finished and all records were flushed.
    pub fn is_clean(&self) -> bool {
        self.unfinished == 0 && self.flushed
    }
}

/// The shutdown of one process.
#[derive(Clone, Debug)]
pub struct Shutdown {
    options: ShutdownOptions,
    phase: Phase,
    started: Moment,
    deadline: Moment,
    flush_deadline: Moment,
    unfinished: u32,
}

impl Shutdown {
    /// Creates the state of a process that serves.
    pub fn new(options: ShutdownOptions) -> Self {
        let (phase, at) = (Phase::Running, Moment::ZERO);
        Self { options, phase, started: at, deadline: at, flush_deadline: at, unfinished: 0 }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Starts the shutdown, with the default deadline if none is given.
    ///
    /// A repeated call can only bring the deadline forward.
    pub fn begin(&mut self, now: Moment, deadline: Option<Duration>) -> Vec<ShutdownAction> {
        let deadline = now + deadline.unwrap_or(self.options.deadline);
        if self.phase != Phase::Running {
            self.deadline = self.deadline.min(deadline);
            return Vec::new();
        }
        self.phase = Phase::Notice;
        self.started = now;
        self.deadline = deadline;
        vec![ShutdownAction::Unready]
    }

    /// Advances the phase; `running` is the number of requests that run now.
    pub fn tick(&mut self, now: Moment, running: u32) -> Vec<ShutdownAction> {
        let mut actions = Vec::new();
        let notice_end = (self.started + self.options.notice).min(self.deadline);
        if self.phase == Phase::Notice && now >= notice_end {
            self.phase = Phase::Draining;
            // Requests may have started since `running` was read, so it counts from the next tick.
            return vec![ShutdownAction::Refuse];
        }
        if self.phase == Phase::Draining && (running == 0 || now >= self.deadline) {
            self.phase = Phase::Flushing;
            self.unfinished = running;
            self.flush_deadline = now + self.options.flush;
            if running > 0 {
                actions.push(ShutdownAction::Answer);
            }
            actions.push(ShutdownAction::Flush);
        }
        if self.phase == Phase::Flushing && now >= self.flush_deadline {
            actions.push(self.end(now, false));
        }
        actions
    }

    /// Records the end of the flush; `complete` means that all records were sent.
    pub fn flush_ended(&mut self, now: Moment, complete: bool) -> Vec<ShutdownAction> {
        if self.phase != Phase::Flushing {
            return Vec::new();
        }
        vec![self.end(now, complete)]
    }

    fn end(&mut self, now: Moment, flushed: bool) -> ShutdownAction {
        self.phase = Phase::Ended;
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let took_us = micros(now.since(self.started));
        let left_us = micros(now.until(self.deadline));
        let unfinished = self.unfinished;
        ShutdownAction::Exit(DrainReport { took_us, left_us, unfinished, flushed })
    }
}
