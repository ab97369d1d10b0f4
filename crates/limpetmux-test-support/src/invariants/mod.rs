//! One checker for what must always hold.
//!
//! A test or a session records [`Fact`]s in a [`Journal`]; [`violations`] names every promise that
//! the facts break. Each promise has one function below, named after it, so that a failure says
//! which promise was broken and by what.

mod fact;

pub use fact::{Fact, Journal, RequestNo};

use limpetmux::core::time::Moment;
use limpetmux::core::verdict::Execution;
use std::collections::{BTreeMap, BTreeSet};
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
        let mut found = Found { promise: *promise, list: Vec::new() };
        let facts = journal.facts();
        match promise {
            Promise::NoResultLost => no_result_lost(facts, &mut found),
            Promise::ColdBound => cold_bound(facts, &mut found),
            Promise::ZoneOut => zone_out(facts, &mut found),
            Promise::WholeAnswer => whole_answer(facts, &mut found),
            Promise::TrueNotRun => true_not_run(facts, &mut found),
            Promise::AtMostOnce => at_most_once(facts, &mut found),
            Promise::Leaving => leaving(facts, &mut found),
            Promise::GracefulShutdown => graceful_shutdown(facts, &mut found),
            Promise::ConfigInForce => config_in_force(facts, &mut found),
        }
        found.list
    };
    Promise::VARIANTS.iter().flat_map(check).collect()
}

struct Found {
    promise: Promise,
    list: Vec<Violation>,
}

impl Found {
    fn add(&mut self, at: Moment, what: String) {
        self.list.push(Violation { promise: self.promise, at, what });
    }
}

type Facts<'a> = &'a [(Moment, Fact)];

fn no_result_lost(facts: Facts<'_>, found: &mut Found) {
    let mut open = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Sent { request, .. } => {
                open.insert(*request, *at);
            }
            Fact::Answered { request, .. }
            | Fact::Refused { request, .. }
            | Fact::Cut { request }
                if open.remove(request).is_none() =>
            {
                found.add(*at, format!("request {request} ended twice or was never sent"));
            }
            _ => {}
        }
    }
    for (request, at) in open {
        found.add(at, format!("request {request} has no answer"));
    }
}

fn cold_bound(facts: Facts<'_>, found: &mut Found) {
    let mut running: BTreeMap<&str, usize> = BTreeMap::new();
    let mut bounds: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Cold { host, bound } => {
                bounds.insert(host, *bound);
            }
            Fact::Warm { host } => {
                bounds.remove(host.as_str());
            }
            Fact::Started { host, .. } => {
                let count = running.entry(host).or_default();
                *count += 1;
                if bounds.get(host.as_str()).is_some_and(|b| *count > *b) {
                    found.add(*at, format!("{count} calls at once on cold {host}"));
                }
            }
            Fact::Completed { host, .. } | Fact::Stopped { host, .. } => {
                let count = running.entry(host).or_default();
                *count = count.saturating_sub(1);
            }
            _ => {}
        }
    }
}

fn zone_out(facts: Facts<'_>, found: &mut Found) {
    let mut out = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Zone { zone, serving: false } => {
                out.insert(zone, *at);
            }
            Fact::Zone { zone, serving: true } => {
                out.remove(zone);
            }
            Fact::Started { request, zone, .. }
                if out.get(zone).is_some_and(|since| at.since(*since) > LEAVE_TIME) =>
            {
                found.add(*at, format!("request {request} started in {zone}, which is out"));
            }
            _ => {}
        }
    }
}

fn whole_answer(facts: Facts<'_>, found: &mut Found) {
    for (at, fact) in facts {
        if let Fact::Answered { request, text, expected } = fact
            && text != expected
        {
            found.add(*at, format!("request {request} got `{text}` for `{expected}`"));
        }
    }
}

fn true_not_run(facts: Facts<'_>, found: &mut Found) {
    let mut ran = BTreeSet::new();
    for (at, fact) in facts {
        match fact {
            Fact::Started { request, repeatable: false, .. } | Fact::Completed { request, .. } => {
                ran.insert(*request);
            }
            Fact::Refused { request, execution: Execution::NotRun } if ran.contains(request) => {
                found.add(*at, format!("request {request} ran but was told not_run"));
            }
            _ => {}
        }
    }
}

fn at_most_once(facts: Facts<'_>, found: &mut Found) {
    let mut keys = BTreeMap::new();
    let mut ran = BTreeSet::new();
    for (at, fact) in facts {
        match fact {
            Fact::Sent { request, key: Some(key) } => {
                keys.insert(*request, key);
            }
            Fact::Started { request, stage, repeatable: false, host, .. } => {
                if let Some(key) = keys.get(request)
                    && !ran.insert((*key, *stage))
                {
                    found.add(*at, format!("key {key} ran again on {host}"));
                }
            }
            _ => {}
        }
    }
}

fn leaving(facts: Facts<'_>, found: &mut Found) {
    let mut left = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Leaves { host, leaving: true } => {
                left.insert(host, *at);
            }
            Fact::Leaves { host, leaving: false } => {
                left.remove(host);
            }
            Fact::Started { request, host, .. }
                if left.get(host).is_some_and(|since| at.since(*since) > LEAVE_TIME) =>
            {
                found.add(*at, format!("request {request} started on {host}, which leaves"));
            }
            _ => {}
        }
    }
}

fn graceful_shutdown(facts: Facts<'_>, found: &mut Found) {
    for (at, fact) in facts {
        if let Fact::Cut { request } = fact {
            found.add(*at, format!("request {request} was cut"));
        }
    }
}

fn config_in_force(facts: Facts<'_>, found: &mut Found) {
    let mut accepted: BTreeMap<u64, Moment> = BTreeMap::new();
    let mut nodes: BTreeMap<&str, u64> = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Accepted { revision } => {
                accepted.insert(*revision, *at);
            }
            Fact::InForce { node, revision } => {
                let last = nodes.insert(node, *revision).unwrap_or_default();
                if last > *revision {
                    found.add(*at, format!("{node} went from r{last} back to r{revision}"));
                }
                if !accepted.contains_key(revision) {
                    found.add(*at, format!("{node} has r{revision}, which was not accepted"));
                }
            }
            Fact::NodeEnded { node } => {
                nodes.remove(node.as_str());
            }
            _ => {}
        }
        overdue(*at, &accepted, &mut nodes, found);
    }
}

/// Reports nodes that lack a revision whose time has passed, once per node.
fn overdue(
    now: Moment,
    accepted: &BTreeMap<u64, Moment>,
    nodes: &mut BTreeMap<&str, u64>,
    found: &mut Found,
) {
    let due = accepted.iter().rev().find(|(_, at)| now.since(**at) > FORCE_TIME);
    let Some((due, _)) = due else { return };
    let late: Vec<&str> = nodes.iter().filter(|(_, r)| *r < due).map(|(n, _)| *n).collect();
    for node in late {
        found.add(now, format!("{node} still lacks r{due}"));
        nodes.remove(node);
    }
}
