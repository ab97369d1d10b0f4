//! Checks the system's guarantees to its users on recorded facts.
//!
//! A test or a session records [`Fact`]s in a [`Journal`], and [`violations`] returns every broken
//! guarantee. Each guarantee is checked by one function of the same name, so that a failure reports
//! which guarantee was broken and by what. See `docs/design/invariants.md`.

mod checks;
mod fact;
mod outline;
mod recorded_caller;
mod recorder;

pub use fact::{Fact, Journal, RequestNo};
pub use outline::{outline, revisions, service_of};
pub use recorded_caller::{RecordedCaller, Reply, send_round};
pub use recorder::{BackendInfo, Recorder};

use limpetmux::core::time::Moment;
use std::time::Duration;
use strum::{Display, VariantArray};

/// Time after which a zone taken out of service or a draining host must get no new work.
pub const NEW_WORK_LIMIT: Duration = Duration::from_secs(3);
/// Time within which an accepted configuration must be in force on every node.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(16);

/// A guarantee that the system gives to its users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Guarantee {
    /// No stage result is lost, duplicated or given to another request.
    NoResultLost,
    /// A cold backend server gets no more concurrent calls than its limit when cold.
    ColdBound,
    /// A zone taken out of service gets no new work after [`NEW_WORK_LIMIT`].
    ZoneOut,
    /// A caller gets the complete answer to its own request.
    WholeAnswer,
    /// A refusal with execution `not_run` is true.
    TrueNotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// The backend server of a draining host gets no new work after [`NEW_WORK_LIMIT`].
    Leaving,
    /// A graceful shutdown breaks no request.
    GracefulShutdown,
    /// An accepted configuration is in force everywhere in [`IN_FORCE_LIMIT`] and never reverts.
    ConfigInForce,
}

/// A broken guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The guarantee that was broken.
    pub guarantee: Guarantee,
    /// When it was broken.
    pub at: Moment,
    /// What broke it.
    pub what: String,
}

/// Returns every violation, ordered by guarantee and then by time.
pub fn violations(journal: &Journal) -> Vec<Violation> {
    let check = |guarantee: &Guarantee| {
        let mut violations = checks::Violations { guarantee: *guarantee, list: Vec::new() };
        let facts = journal.facts();
        match guarantee {
            Guarantee::NoResultLost => checks::no_result_lost(facts, &mut violations),
            Guarantee::ColdBound => checks::cold_bound(facts, &mut violations),
            Guarantee::ZoneOut => checks::zone_out(facts, &mut violations),
            Guarantee::WholeAnswer => checks::whole_answer(facts, &mut violations),
            Guarantee::TrueNotRun => checks::true_not_run(facts, &mut violations),
            Guarantee::AtMostOnce => checks::at_most_once(facts, &mut violations),
            Guarantee::Leaving => checks::leaving(facts, &mut violations),
            Guarantee::GracefulShutdown => checks::graceful_shutdown(facts, &mut violations),
            Guarantee::ConfigInForce => checks::config_in_force(facts, &mut violations),
        }
        violations.list
    };
    Guarantee::VARIANTS.iter().flat_map(check).collect()
}
