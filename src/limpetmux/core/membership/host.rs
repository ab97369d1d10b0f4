//! The evidence about one host and the state that follows from it.

use super::reach::Reach;
use super::{Cause, HostState, HostStatus, ProcessId};
use crate::core::time::Moment;

/// Evidence about one host.
#[derive(Clone, Debug)]
pub(super) struct Host {
    running: bool,
    zone_serves: bool,
    /// The highest incarnation in the list, and the worst state shown for it.
    listed: Option<(u64, HostState)>,
    process: Option<ProcessId>,
    /// When something was last learnt of the present process.
    seen: Moment,
    /// The incarnation last listed when the present process was seen to drain.
    drained: Option<Option<u64>>,
    reach: Reach,
    status: HostStatus,
}

impl Host {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            running: false,
            zone_serves: false,
            listed: None,
            process: None,
            seen: Moment::ZERO,
            drained: None,
            reach: Reach::default(),
            status: HostStatus { since: now, ..HostStatus::default() },
        }
    }

    pub(super) fn configure(&mut self, running: bool, zone_serves: bool) {
        self.running = running;
        self.zone_serves = zone_serves;
    }

    /// Takes in a row of the host list.
    ///
    /// A row of an earlier incarnation, or a better state of the same one, is stale. A later live
    /// incarnation ends a drain and a pause, which spoke about its predecessor.
    pub(super) fn list(&mut self, now: Moment, state: HostState, incarnation: u64) {
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
            self.replace(now, incarnation);
        }
    }

    /// Forgets what was seen of the processes of an earlier incarnation.
    fn replace(&mut self, now: Moment, incarnation: u64) {
        if self.drained.is_some_and(|at| at.is_none_or(|at| incarnation > at)) {
            self.process = None;
            self.seen = now;
            self.drained = None;
        }
        self.reach = Reach::default();
    }

    /// Takes in a reply of the host's process to a request sent at `sent`.
    ///
    /// A host runs one process after another, so a reply of another process is of a later one only
    /// if its request was sent after the last reply of the present one had arrived. Otherwise the
    /// order is open: a drain is then taken for true until a later request is answered.
    pub(super) fn reply(&mut self, now: Moment, sent: Moment, process: ProcessId, draining: bool) {
        if self.process == Some(process) {
            self.seen = self.seen.max(now);
        } else if sent < self.seen && !draining {
            return;
        } else {
            self.process = Some(process);
            self.seen = now;
            self.drained = None;
            self.reach = Reach::default();
        }
        if !self.reach.is_paused(now) {
            self.reach.replied();
        }
        if draining && self.drained.is_none() {
            self.drained = Some(self.listed.map(|(incarnation, _)| incarnation));
        }
    }

    pub(super) fn unreachable(&mut self, now: Moment) {
        self.reach.failed(now);
    }

    /// Derives the state from the evidence and notes when it changed.
    pub(super) fn settle(&mut self, now: Moment) {
        let (state, cause) = self.judge(now);
        if (state, cause) != (self.status.state, self.status.cause) {
            self.status.since = now;
        }
        self.status.state = state;
        self.status.cause = cause;
        self.status.process = self.process;
        self.status.draining = self.drained.is_some();
    }

    /// Causes that the configuration does not lift come first, so that a reader with a newer view
    /// may discount the others.
    fn judge(&self, now: Moment) -> (HostState, Option<Cause>) {
        let listed = self.listed.map_or(HostState::Live, |(_, state)| state);
        if listed == HostState::Gone {
            (HostState::Gone, Some(Cause::Listed))
        } else if self.reach.is_paused(now) {
            (HostState::Gone, Some(Cause::Unreachable))
        } else if self.drained.is_some() {
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

    pub(super) fn wake(&self, now: Moment) -> Option<Moment> {
        self.reach.wake(now)
    }
}
