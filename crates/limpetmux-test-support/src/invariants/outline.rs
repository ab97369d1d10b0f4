//! The part of a session that is the same on every run, as text.

use super::{Fact, Journal, RequestNo};
use limpetmux::util::hash::hash_bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Returns the service of a host that is named after its service and its number.
pub fn service_of(host: &str) -> &str {
    host.rsplit_once('-').map_or(host, |(service, _)| service)
}

/// Returns the facts of some requests, one request after the other and each in the order of time.
///
/// Hosts appear as their service and zones not at all, since the choice between equal hosts is
/// drawn; keys appear as the number of the request that sent them first.
pub fn outline(journal: &Journal, requests: &[RequestNo]) -> String {
    let mut text = String::new();
    for request in requests {
        let facts = journal.facts().iter().map(|(_, fact)| fact);
        for fact in facts.filter(|f| f.request() == Some(*request)) {
            let line = line(journal, fact);
            writeln!(text, "{line}").unwrap();
        }
    }
    text
}

fn line(journal: &Journal, fact: &Fact) -> String {
    match fact {
        Fact::Sent { request, key: Some(key) } => {
            let first = first_with(journal, key).unwrap_or(*request);
            format!("request {request} sent under the key of request {first}")
        }
        Fact::Started { stage, host, .. } => format!("  stage {stage} starts{}", on(host)),
        Fact::Declined { stage, host, .. } => format!("  stage {stage} is declined{}", on(host)),
        Fact::Completed { stage, host, .. } => format!("  stage {stage} completes{}", on(host)),
        Fact::Stopped { stage, host, .. } => format!("  stage {stage} stops{}", on(host)),
        Fact::Answered { request, text, expected } => {
            let verdict = if text == expected { "whole" } else { "wrong" };
            format!("request {request} answered: {verdict}, {}", digest(text))
        }
        other => other.to_string(),
    }
}

fn on(host: &str) -> String {
    format!(" on a host of {}", service_of(host))
}

/// Describes a text, unless it is a key, which is different on every run.
fn digest(text: &str) -> String {
    if uuid::Uuid::parse_str(text).is_ok() {
        return "for its own key".to_owned();
    }
    format!("{} bytes, checksum {:016x}", text.len(), hash_bytes(text.as_bytes()))
}

fn first_with(journal: &Journal, wanted: &str) -> Option<RequestNo> {
    journal.facts().iter().find_map(|(_, fact)| match fact {
        Fact::Sent { request, key: Some(key) } if key == wanted => Some(*request),
        _ => None,
    })
}

/// Returns each accepted revision with the number of nodes that have put it in force.
pub fn revisions(journal: &Journal) -> String {
    let mut nodes: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for (_, fact) in journal.facts() {
        match fact {
            Fact::Accepted { revision } => {
                nodes.entry(*revision).or_default();
            }
            Fact::InForce { node, revision } => {
                let node = node.split('#').next().unwrap_or(node);
                nodes.entry(*revision).or_default().insert(node);
            }
            _ => {}
        }
    }
    let line = |(revision, nodes): (u64, BTreeSet<&str>)| {
        format!("r{revision} accepted and in force on {} nodes\n", nodes.len())
    };
    nodes.into_iter().map(line).collect()
}
