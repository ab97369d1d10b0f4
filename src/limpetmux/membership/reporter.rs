//! Reads the published host states and reports observations that contradict them.

use super::MembershipMessage;
use crate::core::keys::HostKey;
use crate::core::membership::{HostStates, Observation, ProcessId};
use crate::core::time::Moment;
use crate::core::view::View;
use crate::kernel::{Port, Published};
use std::sync::Arc;

/// The request path's access to the membership.
#[derive(Clone, Debug)]
pub struct Reporter {
    port: Port<MembershipMessage>,
    states: Published<HostStates>,
}

impl Reporter {
    pub(super) fn new(port: Port<MembershipMessage>, states: Published<HostStates>) -> Self {
        Self { port, states }
    }

    /// Returns the latest states.
    pub fn states(&self) -> Arc<HostStates> {
        self.states.load()
    }

    /// Returns a reader of the states that can wait for changes.
    pub fn reader(&self) -> Published<HostStates> {
        self.states.clone()
    }

    /// Reports a reply to a request sent at `sent`, unless it agrees with the published states.
    pub fn report_reply(
        &self,
        view: &View,
        host: HostKey,
        sent: Moment,
        process: ProcessId,
        draining: bool,
    ) {
        if self.states.load().is_update(view, host, process, draining) {
            self.report(view, host, Observation::Reply { process, draining, sent });
        }
    }

    /// Reports a failure to connect.
    pub fn report_unreachable(&self, view: &View, host: HostKey) {
        self.report(view, host, Observation::Unreachable);
    }

    fn report(&self, view: &View, host: HostKey, observation: Observation) {
        let Some(row) = view.hosts.get(host) else { return };
        let message = MembershipMessage::Observed { host: row.name.clone(), observation };
        // If the queue is full, the report is dropped; the next reply or failure repeats it.
        let _ = self.port.try_send(message);
    }
}
