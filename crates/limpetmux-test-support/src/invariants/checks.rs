//! The checks, one function for each guarantee.

use super::{Fact, Guarantee, IN_FORCE_LIMIT, NEW_WORK_LIMIT, Violation};
use limpetmux::core::refusal::Execution;
use limpetmux::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// The violations of one guarantee.
pub(super) struct Violations {
    pub(super) guarantee: Guarantee,
    pub(super) list: Vec<Violation>,
}

impl Violations {
    fn add(&mut self, at: Moment, what: String) {
        self.list.push(Violation { guarantee: self.guarantee, at, what });
    }
}

type Facts<'a> = &'a [(Moment, Fact)];

pub(super) fn no_result_lost(facts: Facts<'_>, violations: &mut Violations) {
    let mut open = BTreeMap::new();
    let (mut started, mut completed) = (BTreeSet::new(), BTreeSet::new());
    for (at, fact) in facts {
        match fact {
            Fact::Sent { request, .. } => {
                open.insert(*request, *at);
            }
            Fact::Started { request, stage, .. } => {
                started.insert((*request, *stage));
            }
            Fact::Completed { request, stage, .. } => {
                completed.insert((*request, *stage));
            }
            Fact::Answered { request, .. }
            | Fact::Refused { request, .. }
            | Fact::Cut { request }
            | Fact::Abandoned { request }
                if open.remove(request).is_none() =>
            {
                violations.add(*at, format!("request {request} ended twice or was never sent"));
            }
            Fact::Answered { request, .. } => {
                let missing =
                    started.iter().filter(|(r, _)| r == request).find(|s| !completed.contains(s));
                if let Some((_, stage)) = missing {
                    violations
                        .add(*at, format!("request {request} lacks a result of stage {stage}"));
                }
            }
            _ => {}
        }
    }
    for (request, at) in open {
        violations.add(at, format!("request {request} has no answer"));
    }
}

pub(super) fn cold_bound(facts: Facts<'_>, violations: &mut Violations) {
    let mut running: BTreeMap<&str, usize> = BTreeMap::new();
    let mut limits: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Cold { host, bound } => {
                limits.insert(host, *bound);
            }
            Fact::Warm { host } => {
                limits.remove(host.as_str());
            }
            Fact::Started { host, .. } => {
                let count = running.entry(host).or_default();
                *count += 1;
                if limits.get(host.as_str()).is_some_and(|b| *count > *b) {
                    violations.add(*at, format!("{count} calls at once on cold {host}"));
                }
            }
            Fact::Completed { host, .. }
            | Fact::Stopped { host, .. }
            | Fact::Declined { host, .. } => {
                let count = running.entry(host).or_default();
                *count = count.saturating_sub(1);
            }
            _ => {}
        }
    }
}

pub(super) fn zone_out(facts: Facts<'_>, violations: &mut Violations) {
    let mut out_since = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Zone { zone, serving: false } => {
                out_since.insert(zone, *at);
            }
            Fact::Zone { zone, serving: true } => {
                out_since.remove(zone);
            }
            Fact::Started { request, zone, .. }
                if out_since.get(zone).is_some_and(|since| at.since(*since) > NEW_WORK_LIMIT) =>
            {
                violations.add(
                    *at,
                    format!("request {request} started in {zone}, which is out of service"),
                );
            }
            _ => {}
        }
    }
}

pub(super) fn whole_answer(facts: Facts<'_>, violations: &mut Violations) {
    for (at, fact) in facts {
        if let Fact::Answered { request, text, expected } = fact
            && text != expected
        {
            violations.add(*at, format!("request {request} got `{text}` instead of `{expected}`"));
        }
    }
}

pub(super) fn true_not_run(facts: Facts<'_>, violations: &mut Violations) {
    let (mut started, mut completed) = (BTreeSet::new(), BTreeSet::new());
    for (at, fact) in facts {
        match fact {
            Fact::Started { request, stage, idempotent: false, host, .. } => {
                started.insert((*request, *stage, host));
            }
            Fact::Declined { request, stage, host } => {
                started.remove(&(*request, *stage, host));
            }
            Fact::Completed { request, .. } => {
                completed.insert(*request);
            }
            Fact::Refused { request, execution: Execution::NotRun }
                if completed.contains(request) || started.iter().any(|(r, ..)| r == request) =>
            {
                violations.add(*at, format!("request {request} ran but was refused as not_run"));
            }
            _ => {}
        }
    }
}

pub(super) fn at_most_once(facts: Facts<'_>, violations: &mut Violations) {
    let mut keys = BTreeMap::new();
    let mut ran = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Sent { request, key: Some(key) } => {
                keys.insert(*request, key);
            }
            Fact::Started { request, stage, idempotent: false, host, key, .. } => {
                let key = key.as_ref().or(keys.get(request).copied());
                let Some(key) = key else { continue };
                if ran.insert((key, *stage), (*request, host)).is_some() {
                    violations.add(*at, format!("key {key} ran again on {host}"));
                }
            }
            Fact::Declined { request, stage, host } => {
                ran.retain(|(_, s), run| s != stage || *run != (*request, host));
            }
            _ => {}
        }
    }
}

pub(super) fn leaving(facts: Facts<'_>, violations: &mut Violations) {
    let mut draining_since = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Draining { host, is_draining: true } => {
                draining_since.insert(host, *at);
            }
            Fact::Draining { host, is_draining: false } => {
                draining_since.remove(host);
            }
            Fact::Started { request, host, .. }
                if draining_since
                    .get(host)
                    .is_some_and(|since| at.since(*since) > NEW_WORK_LIMIT) =>
            {
                violations
                    .add(*at, format!("request {request} started on {host}, which is draining"));
            }
            _ => {}
        }
    }
}

pub(super) fn graceful_shutdown(facts: Facts<'_>, violations: &mut Violations) {
    for (at, fact) in facts {
        if let Fact::Cut { request } = fact {
            violations.add(*at, format!("request {request} was cut"));
        }
    }
}

pub(super) fn config_in_force(facts: Facts<'_>, violations: &mut Violations) {
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
                    violations.add(*at, format!("{node} went from r{last} back to r{revision}"));
                }
                if !accepted.contains_key(revision) {
                    violations.add(*at, format!("{node} put unaccepted r{revision} in force"));
                }
            }
            Fact::NodeEnded { node } => {
                nodes.remove(node.as_str());
            }
            _ => {}
        }
        check_overdue(*at, &accepted, &mut nodes, violations);
    }
}

/// Reports, once per node, the nodes without a revision whose time limit has passed.
fn check_overdue(
    now: Moment,
    accepted: &BTreeMap<u64, Moment>,
    nodes: &mut BTreeMap<&str, u64>,
    violations: &mut Violations,
) {
    let due = accepted.iter().rev().find(|(_, at)| now.since(**at) > IN_FORCE_LIMIT);
    let Some((due, _)) = due else { return };
    let late: Vec<&str> = nodes.iter().filter(|(_, r)| *r < due).map(|(n, _)| *n).collect();
    for node in late {
        violations.add(now, format!("{node} does not have r{due} in force"));
        nodes.remove(node);
    }
}
