//! One checker for what must always hold.
//!
//! A test or a session records [`Fact`]s in a [`Journal`]; [`violations`] names every promise that
//! the facts break. Each promise has one function, named after it, so that a failure says
//! which promise was broken and by what. See `docs/design/invariants.md`.

mod fact;
mod outline;
mod promises;
mod recorder;
mod witness;

pub use fact::{Fact, Journal, RequestNo};
pub use outline::{outline, revisions, service_of};
pub use recorder::{Place, Recorder};
pub use witness::{Reply, Witness, ask_all};

use limpetmux::core::time::Moment;
use std::time::Duration;
use strum::{Display, VariantArray};

/// The time after which a zone or host that leaves must get no new work.
pub const LEAVE_TIME: Duration = Duration::from_secs(3);
/// The time in which an accepted configuration must be in force everywhere.
pub const FORCE_TIME: Duration = Duration::from_secs(16);

/// A promise to the users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Promise {
    /// No stage result is lost, doubled or handed to another request.
    NoResultLost,
    /// A cold backend server gets no more work than it bears.
    ColdBound,
    /// A zone taken out gets no new work after a few seconds.
    ZoneOut,
    /// A caller gets the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    TrueNotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work after a few seconds.
    Leaving,
    /// A graceful shutdown cuts no request.
    GracefulShutdown,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ConfigInForce,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// When it was broken.
    pub at: Moment,
    /// What broke it.
    pub what: String,
}

/// Returns every broken promise, in the order of the promises and of time.
pub fn violations(journal: &Journal) -> Vec<Violation> {
    let check = |promise: &Promise| {
        let mut found = promises::Found { promise: *promise, list: Vec::new() };
        let facts = journal.facts();
        match promise {
            Promise::NoResultLost => promises::no_result_lost(facts, &mut found),
            Promise::ColdBound => promises::cold_bound(facts, &mut found),
            Promise::ZoneOut => promises::zone_out(facts, &mut found),
            Promise::WholeAnswer => promises::whole_answer(facts, &mut found),
            Promise::TrueNotRun => promises::true_not_run(facts, &mut found),
            Promise::AtMostOnce => promises::at_most_once(facts, &mut found),
            Promise::Leaving => promises::leaving(facts, &mut found),
            Promise::GracefulShutdown => promises::graceful_shutdown(facts, &mut found),
            Promise::ConfigInForce => promises::config_in_force(facts, &mut found),
        }
        found.list
    };
    Promise::VARIANTS.iter().flat_map(check).collect()
}
