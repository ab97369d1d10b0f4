//! The entry's access to the membership service: reads host states and reports observations.

use crate::core::keys::HostKey;
use crate::core::membership::ProcessId;
use crate::core::time::Moment;
use crate::core::view::View;
use crate::membership::Reporter;
use crate::wire::stage;

/// The entry's access to the membership; without a reporter, only the configuration is used.
#[derive(Clone, Debug, Default)]
pub struct Members(pub Option<Reporter>);

impl Members {
    /// Returns whether new work may be sent to a host.
    pub fn is_usable(&self, view: &View, host: HostKey) -> bool {
        match &self.0 {
            Some(reporter) => reporter.states().is_usable(view, host),
            None => view.is_serving(host),
        }
    }

    /// Reports the reply of a sidecar to a request sent at `sent`.
    pub fn report_reply(&self, view: &View, host: HostKey, sent: Moment, load: &stage::Load) {
        let Some(reporter) = &self.0 else { return };
        if load.process != 0 {
            reporter.report_reply(view, host, sent, ProcessId(load.process), load.draining);
        }
    }

    /// Reports a failure to connect to a sidecar.
    pub fn report_unreachable(&self, view: &View, host: HostKey) {
        if let Some(reporter) = &self.0 {
            reporter.report_unreachable(view, host);
        }
    }
}
