//! The order in which a process ends, so that no request is cut.
//!
//! SIGTERM and a drain order start the same sequence: readiness goes off while the process still
//! serves, so that the balancer stops sending; then new work is refused as not run and running
//! work finishes; then records that still have to reach the platform are flushed; then the process
//! exits with a report. A deadline bounds the whole. See `docs/design/shutdown.md`.

use crate::core::time::Moment;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// How far a process is with its end.
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
    /// The process is not ready any more but still accepts what arrives.
    Notice,
    /// The process refuses new work and finishes what runs.
    Draining,
    /// Nothing runs any more; records are on their way to the platform.
    Flushing,
    /// The process may exit.
    Ended,
}

/// The times of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownOptions {
    /// How long the process still accepts work after readiness went off.
    pub notice: Duration,
    /// The time from the order to the end of the last request.
    pub deadline: Duration,
    /// The time for the flush, after the deadline or the last request.
    pub flush: Duration,
}

impl ShutdownOptions {
    /// The usual times of an entry, which a balancer has to find not ready first.
    pub const ENTRY: Self = Self {
        notice: Duration::from_secs(3),
        deadline: Duration::from_secs(30),
        flush: Duration::from_secs(5),
    };
    /// The usual times of a sidecar, whose refusals entries act on at once.
    pub const SIDECAR: Self = Self {
        notice: Duration::ZERO,
        deadline: Duration::from_secs(30),
        flush: Self::ENTRY.flush,
    };
}

/// What the process has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownAction {
    /// Answer readiness checks with "not ready".
    Unready,
    /// Refuse new work as not run.
    Refuse,
    /// Send outstanding records to the platform.
    Flush,
    /// Close the listeners and exit.
    Exit(DrainReport),
}

/// How a shutdown went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The time from the order to the exit, in microseconds.
    pub took_us: u64,
    /// Requests that still ran at the deadline and are cut by the exit.
    pub unfinished: u32,
    /// Whether all records reached the platform.
    pub flushed: bool,
}

impl DrainReport {
    /// Returns whether nothing was left undone.
    pub fn is_clean(&self) -> bool {
        self.unfinished == 0 && self.flushed
    }
}

/// The shutdown of one process.
#[derive(Clone, Debug)]
pub struct Shutdown {
    options: ShutdownOptions,
    phase: Phase,
    ordered: Moment,
    deadline: Moment,
    flush_by: Moment,
    unfinished: u32,
}

impl Shutdown {
    /// Creates the state of a process that serves.
    pub fn new(options: ShutdownOptions) -> Self {
        let (phase, at) = (Phase::Running, Moment::ZERO);
        Self { options, phase, ordered: at, deadline: at, flush_by: at, unfinished: 0 }
    }

    /// Returns how far the shutdown is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Starts the shutdown, within `deadline` if one is given; a second order changes nothing but
    /// an earlier deadline.
    pub fn order(&mut self, now: Moment, deadline: Option<Duration>) -> Vec<ShutdownAction> {
        let deadline = now + deadline.unwrap_or(self.options.deadline);
        if self.phase != Phase::Running {
            self.deadline = self.deadline.min(deadline);
            return Vec::new();
        }
        self.phase = Phase::Notice;
        self.ordered = now;
        self.deadline = deadline;
        vec![ShutdownAction::Unready]
    }

    /// Advances with the number of requests that run now.
    pub fn tick(&mut self, now: Moment, running: u32) -> Vec<ShutdownAction> {
        let mut actions = Vec::new();
        let notice_ends = (self.ordered + self.options.notice).min(self.deadline);
        if self.phase == Phase::Notice && now >= notice_ends {
            self.phase = Phase::Draining;
            // What `running` counts may have grown up to this moment, so idleness is judged later.
            return vec![ShutdownAction::Refuse];
        }
        if self.phase == Phase::Draining && (running == 0 || now >= self.deadline) {
            self.phase = Phase::Flushing;
            self.unfinished = running;
            self.flush_by = now + self.options.flush;
            actions.push(ShutdownAction::Flush);
        }
        if self.phase == Phase::Flushing && now >= self.flush_by {
            actions.push(self.end(now, false));
        }
        actions
    }

    /// Takes in the end of the flush.
    pub fn flushed(&mut self, now: Moment, done: bool) -> Vec<ShutdownAction> {
        if self.phase != Phase::Flushing {
            return Vec::new();
        }
        vec![self.end(now, done)]
    }

    fn end(&mut self, now: Moment, flushed: bool) -> ShutdownAction {
        self.phase = Phase::Ended;
        let took_us = u64::try_from(now.since(self.ordered).as_micros()).unwrap_or(u64::MAX);
        ShutdownAction::Exit(DrainReport { took_us, unfinished: self.unfinished, flushed })
    }
}
