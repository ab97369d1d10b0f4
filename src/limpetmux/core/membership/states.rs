//! The published states of all hosts, read by the request path.

use super::{Cause, HostState, ProcessId};
use crate::core::arena::Arena;
use crate::core::config::Name;
use crate::core::keys::HostKey;
use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::revision::Revision;
use crate::core::time::Moment;
use crate::core::view::View;
use std::collections::BTreeMap;
use std::time::Duration;

/// The delay after which a refused sender may try the host again.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// The state of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostStatus {
    /// The state.
    pub state: HostState,
    /// Why the host is not live.
    pub cause: Option<Cause>,
    /// When the state or cause last changed; the ramp-up of a recovered host starts here.
    pub since: Moment,
    /// The process that last replied.
    pub process: Option<ProcessId>,
    /// Whether that process is draining.
    pub draining: bool,
}

impl HostStatus {
    /// Returns the refusal that new work gets in this state, if any.
    pub fn refusal(&self) -> Option<Refusal> {
        let code = match self.cause? {
            Cause::ZoneOut => RefusalCode::ZoneOut,
            Cause::Unreachable => RefusalCode::Unavailable,
            Cause::Stopped | Cause::Drained | Cause::Listed => RefusalCode::Draining,
        };
        Some(Refusal::not_run(code).retry_in(RETRY_AFTER))
    }
}

/// The states of the hosts of one view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostStates {
    revision: Revision,
    rows: Arena<HostKey, HostStatus>,
    /// Hosts that are not live, for readers whose view has another revision.
    not_live: BTreeMap<Name, HostStatus>,
}

impl HostStates {
    pub(super) fn new(view: &View, status: impl Fn(HostKey) -> HostStatus) -> Self {
        let rows: Arena<HostKey, HostStatus> = view.hosts.keys().map(status).collect();
        let not_live = rows.iter().filter(|(_, s)| s.state != HostState::Live);
        let not_live = not_live.map(|(key, s)| (view.hosts[key].name.clone(), *s)).collect();
        Self { revision: view.revision, rows, not_live }
    }

    /// Returns the state of a host of the reader's view, which may have a newer or older revision.
    pub fn status(&self, view: &View, host: HostKey) -> HostStatus {
        if view.revision == self.revision {
            return self.rows.get(host).copied().unwrap_or_default();
        }
        let row = view.hosts.get(host);
        row.and_then(|r| self.not_live.get(&r.name)).copied().unwrap_or_default()
    }

    /// Returns whether a host may be given new work.
    ///
    /// The reader's own view counts as well, so a zone that is taken out of service gets no work as
    /// soon as the revision is in force, before the states are published again.
    pub fn is_usable(&self, view: &View, host: HostKey) -> bool {
        if view.hosts.get(host).is_none() || !view.is_serving(host) {
            return false;
        }
        let status = self.status(view, host);
        // A newer view may serve a host that these states show as out of service.
        let is_configured = matches!(status.cause, Some(Cause::ZoneOut | Cause::Stopped));
        status.state == HostState::Live || (is_configured && view.revision > self.revision)
    }

    /// Returns whether a reply has information that these states lack and has to be reported.
    pub fn is_update(
        &self,
        view: &View,
        host: HostKey,
        process: ProcessId,
        draining: bool,
    ) -> bool {
        let status = self.status(view, host);
        status.process != Some(process) || (draining && !status.draining)
    }

    /// Iterates over all hosts of the view from which the states were built.
    pub fn iter(&self) -> impl Iterator<Item = (HostKey, &HostStatus)> {
        self.rows.iter()
    }
}
