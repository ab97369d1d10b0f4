//! The checks, one for each promise.

use super::{FORCE_TIME, Fact, LEAVE_TIME, Promise, Violation};
use limpetmux::core::refusal::Execution;
use limpetmux::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// The breaches of one promise.
pub(super) struct Found {
    pub(super) promise: Promise,
    pub(super) list: Vec<Violation>,
}

impl Found {
    fn add(&mut self, at: Moment, what: String) {
        self.list.push(Violation { promise: self.promise, at, what });
    }
}

type Facts<'a> = &'a [(Moment, Fact)];

pub(super) fn no_result_lost(facts: Facts<'_>, found: &mut Found) {
    let mut open = BTreeMap::new();
    let (mut begun, mut done) = (BTreeSet::new(), BTreeSet::new());
    for (at, fact) in facts {
        match fact {
            Fact::Sent { request, .. } => {
                open.insert(*request, *at);
            }
            Fact::Started { request, stage, .. } => {
                begun.insert((*request, *stage));
            }
            Fact::Completed { request, stage, .. } => {
                done.insert((*request, *stage));
            }
            Fact::Answered { request, .. }
            | Fact::Refused { request, .. }
            | Fact::Cut { request }
            | Fact::Left { request }
                if open.remove(request).is_none() =>
            {
                found.add(*at, format!("request {request} ended twice or was never sent"));
            }
            Fact::Answered { request, .. } => {
                let lost = begun.iter().filter(|(r, _)| r == request).find(|s| !done.contains(s));
                if let Some((_, stage)) = lost {
                    found.add(*at, format!("request {request} lacks a result of stage {stage}"));
                }
            }
            _ => {}
        }
    }
    for (request, at) in open {
        found.add(at, format!("request {request} has no answer"));
    }
}

pub(super) fn cold_bound(facts: Facts<'_>, found: &mut Found) {
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

pub(super) fn zone_out(facts: Facts<'_>, found: &mut Found) {
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

pub(super) fn whole_answer(facts: Facts<'_>, found: &mut Found) {
    for (at, fact) in facts {
        if let Fact::Answered { request, text, expected } = fact
            && text != expected
        {
            found.add(*at, format!("request {request} got `{text}` for `{expected}`"));
        }
    }
}

pub(super) fn true_not_run(facts: Facts<'_>, found: &mut Found) {
    let (mut begun, mut done) = (BTreeSet::new(), BTreeSet::new());
    for (at, fact) in facts {
        match fact {
            Fact::Started { request, stage, repeatable: false, host, .. } => {
                begun.insert((*request, *stage, host));
            }
            Fact::Declined { request, stage, host } => {
                begun.remove(&(*request, *stage, host));
            }
            Fact::Completed { request, .. } => {
                done.insert(*request);
            }
            Fact::Refused { request, execution: Execution::NotRun }
                if done.contains(request) || begun.iter().any(|(r, ..)| r == request) =>
            {
                found.add(*at, format!("request {request} ran but was told not_run"));
            }
            _ => {}
        }
    }
}

pub(super) fn at_most_once(facts: Facts<'_>, found: &mut Found) {
    let mut keys = BTreeMap::new();
    let mut ran = BTreeMap::new();
    for (at, fact) in facts {
        match fact {
            Fact::Sent { request, key: Some(key) } => {
                keys.insert(*request, key);
            }
            Fact::Started { request, stage, repeatable: false, host, key, .. } => {
                let key = key.as_ref().or(keys.get(request).copied());
                let Some(key) = key else { continue };
                if ran.insert((key, *stage), (*request, host)).is_some() {
                    found.add(*at, format!("key {key} ran again on {host}"));
                }
            }
            Fact::Declined { request, stage, host } => {
                ran.retain(|(_, s), run| s != stage || *run != (*request, host));
            }
            _ => {}
        }
    }
}

pub(super) fn leaving(facts: Facts<'_>, found: &mut Found) {
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

pub(super) fn graceful_shutdown(facts: Facts<'_>, found: &mut Found) {
    for (at, fact) in facts {
        if let Fact::Cut { request } = fact {
            found.add(*at, format!("request {request} was cut"));
        }
    }
}

pub(super) fn config_in_force(facts: Facts<'_>, found: &mut Found) {
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
