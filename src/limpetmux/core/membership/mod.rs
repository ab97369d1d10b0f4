//! The state of each host, from every source that reports on it.
//!
//! Four sources report on a host: the configuration in force, the platform's lagging host list, the
//! host's own replies, and failures to connect. The evidence of each only grows within one
//! incarnation, so late, repeated and reordered reports cannot return a host to an earlier state.
//! [`Membership`] turns the evidence into one [`HostState`] per host and publishes them as
//! [`HostStates`]. The rules are in `docs/design/membership.md`.

mod host;
mod reachability;
mod states;

pub use states::{HostStates, HostStatus};

use crate::core::config::Name;
use crate::core::keys::HostKey;
use crate::core::time::Moment;
use crate::core::view::View;
use host::Host;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Whether a host may be given work; a later variant is worse.
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
pub enum HostState {
    /// The host accepts new work.
    #[default]
    Live,
    /// The host finishes its running work and accepts no new work.
    Leaving,
    /// The host cannot be reached or no longer exists.
    Gone,
}

/// Why a host is not live.
#[derive(
    Clone,
    Copy,
    Debug,
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
pub enum Cause {
    /// Operators do not allow the host to run.
    Stopped,
    /// The availability zone of the host is out of service.
    ZoneOut,
    /// The host's process reported that it drains.
    Drained,
    /// The platform's host list does not show the host as live.
    Listed,
    /// The host's process cannot be connected to.
    Unreachable,
}

/// One row of the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host.
    pub host: Name,
    /// The state that the list shows.
    pub state: HostState,
    /// A number that increases each time the host is replaced or restarted.
    pub incarnation: u64,
}

/// Identifies one run of a host's process; the order of the numbers has no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProcessId(pub u64);

impl ProcessId {
    /// Draws a random number for a new process; zero is reserved for an unknown process.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random_range(1..=u64::MAX))
    }
}

/// The result of one attempt to contact a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The host's process replied.
    Reply {
        /// The process that replied.
        process: ProcessId,
        /// Whether it is draining.
        draining: bool,
        /// When the request that it answers was sent.
        sent: Moment,
    },
    /// No connection could be made.
    Unreachable,
}

/// The evidence about all hosts of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    hosts: BTreeMap<Name, Host>,
}

impl Membership {
    /// Applies a configuration and removes the hosts that it does not declare.
    pub fn apply_view(&mut self, now: Moment, view: &View) {
        self.hosts.retain(|name, _| view.host(name.as_str()).is_some());
        for (_, row) in view.hosts.iter() {
            let zone_serves = view.zones[row.zone].serving;
            let host = self.hosts.entry(row.name.clone()).or_insert_with(|| Host::new(now));
            host.configure(row.running, zone_serves);
            host.update_status(now);
        }
    }

    /// Applies the host list; rows of hosts that are not declared are skipped.
    pub fn apply_list(&mut self, now: Moment, rows: &[ListedHost]) {
        for row in rows {
            let Some(host) = self.hosts.get_mut(&row.host) else { continue };
            host.apply_row(now, row.state, row.incarnation);
            host.update_status(now);
        }
    }

    /// Applies the result of an attempt to contact a host.
    pub fn observe(&mut self, now: Moment, name: &Name, observation: Observation) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        match observation {
            Observation::Reply { process, draining, sent } => {
                host.reply(now, sent, process, draining)
            }
            Observation::Unreachable => host.connect_failed(now),
        }
        host.update_status(now);
    }

    /// Ends expired pauses; to be called at the time from [`next_change`](Self::next_change).
    pub fn tick(&mut self, now: Moment) {
        self.hosts.values_mut().for_each(|host| host.update_status(now));
    }

    /// Returns when a host's state changes next without another report, if any does.
    pub fn next_change(&self, now: Moment) -> Option<Moment> {
        self.hosts.values().filter_map(|host| host.pause_end(now)).min()
    }

    /// Returns the state of one host.
    pub fn status(&self, name: &Name) -> Option<HostStatus> {
        self.hosts.get(name).map(Host::status)
    }

    /// Returns the states of all hosts of a view for publication.
    pub fn states(&self, view: &View) -> HostStates {
        let status = |key: HostKey| self.status(&view.hosts[key].name).unwrap_or_default();
        HostStates::new(view, status)
    }
}
