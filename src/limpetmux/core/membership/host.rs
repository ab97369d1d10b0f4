//! The evidence about one host and the state that follows from it.

use super::reachability::Reachability;
use super::{Cause, HostState, HostStatus, ProcessId};
use crate::core::time::Moment;

/// Evidence about one host.
#[derive(Clone, Debug)]
pub(super) struct Host {
    running: bool,
    zone_serves: bool,
    /// The highest incarnation listed, and the worst state listed for it.
    listed: Option<(u64, HostState)>,
    process: Option<ProcessId>,
    /// When the current process last replied, or was discarded.
    last_seen: Moment,
    /// The highest incarnation listed when the current process first reported that it drains;
    /// `None` if it has not, `Some(None)` if the host was not listed.
    drain_incarnation: Option<Option<u64>>,
    reachability: Reachability,
    status: HostStatus,
}

impl Host {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            running: false,
            zone_serves: false,
            listed: None,
            process: None,
            last_seen: Moment::ZERO,
            drain_incarnation: None,
            reachability: Reachability::default(),
            status: HostStatus { since: now, ..HostStatus::default() },
        }
    }

    pub(super) fn configure(&mut self, running: bool, zone_serves: bool) {
        self.running = running;
        self.zone_serves = zone_serves;
    }

    /// Applies a row of the host list.
    ///
    /// A row of an earlier incarnation, or a better state of the same one, is stale. A later live
    /// incarnation ends the drain and the pause of its predecessor.
    pub(super) fn apply_row(&mut self, now: Moment, state: HostState, incarnation: u64) {
        let known = self.listed.map(|(known, _)| known);
        match self.listed {
            Some((known, _)) if incarnation < known => return,
            Some((known, worst)) if incarnation == known => {
                self.listed = Some((known, worst.max(state)));
            }
            _ => self.listed = Some((incarnation, state)),
        }
        let is_new = known.is_some_and(|known| incarnation > known);
        if is_new && state == HostState::Live {
            self.discard_process(now, incarnation);
        }
    }

    /// Discards the evidence about processes of an earlier incarnation.
    fn discard_process(&mut self, now: Moment, incarnation: u64) {
        if self.drain_incarnation.is_some_and(|at| at.is_none_or(|at| incarnation > at)) {
            self.process = None;
            self.last_seen = now;
            self.drain_incarnation = None;
        }
        self.reachability = Reachability::default();
    }

    /// Applies a reply of the host's process to a request sent at `sent`.
    ///
    /// A host runs one process at a time, so a reply of another process is surely from a later one
    /// only if its request was sent after the last reply of the current process arrived. Otherwise
    /// their order is unknown, and a reported drain is assumed to be current until a later request
    /// is answered.
    pub(super) fn reply(&mut self, now: Moment, sent: Moment, process: ProcessId, draining: bool) {
        if self.process == Some(process) {
            self.last_seen = self.last_seen.max(now);
        } else if sent < self.last_seen && !draining {
            return;
        } else {
            self.process = Some(process);
            self.last_seen = now;
            self.drain_incarnation = None;
            self.reachability = Reachability::default();
        }
        if !self.reachability.is_paused(now) {
            self.reachability.replied();
        }
        if draining && self.drain_incarnation.is_none() {
            self.drain_incarnation = Some(self.listed.map(|(incarnation, _)| incarnation));
        }
    }

    pub(super) fn connect_failed(&mut self, now: Moment) {
        self.reachability.failed(now);
    }

    /// Derives the state from the evidence and records when it changed.
    pub(super) fn update_status(&mut self, now: Moment) {
        let (state, cause) = self.derive_state(now);
        if (state, cause) != (self.status.state, self.status.cause) {
            self.status.since = now;
        }
        self.status.state = state;
        self.status.cause = cause;
        self.status.process = self.process;
        self.status.draining = self.drain_incarnation.is_some();
    }

    /// Returns the state that follows from the evidence, and its cause.
    ///
    /// Causes that the configuration cannot end come first, so that a reader with a newer view may
    /// ignore the others.
    fn derive_state(&self, now: Moment) -> (HostState, Option<Cause>) {
        let listed = self.listed.map_or(HostState::Live, |(_, state)| state);
        if listed == HostState::Gone {
            (HostState::Gone, Some(Cause::Listed))
        } else if self.reachability.is_paused(now) {
            (HostState::Gone, Some(Cause::Unreachable))
        } else if self.drain_incarnation.is_some() {
            (HostState::Leaving, Some(Cause::Drained))
        } else if listed == HostState::Leaving {
            (HostState::Leaving, Some(Cause::Listed))
        } else if !self.zone_serves {
            (HostState::Leaving, Some(Cause::ZoneOut))
        } else if !self.running {
            (HostState::Leaving, Some(Cause::Stopped))
        } else {
            (HostState::Live, None)
        }
    }

    pub(super) fn status(&self) -> HostStatus {
        self.status
    }

    pub(super) fn pause_end(&self, now: Moment) -> Option<Moment> {
        self.reachability.pause_end(now)
    }
}
