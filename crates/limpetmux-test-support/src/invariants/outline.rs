//! Text of the part of a session that is the same on every run.

use super::{Fact, Journal, RequestNo};
use limpetmux::util::hash::hash_bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// Returns the service of a host whose name is its service and a number.
pub fn service_of(host: &str) -> &str {
    host.rsplit_once('-').map_or(host, |(service, _)| service)
}

/// Returns the facts of some requests as text, by request and then in chronological order.
///
/// Hosts are shown as their service and zones are omitted, since the choice between equal hosts is
/// random; a key is shown as the number of the request that first sent it.
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
            let first = first_request_with(journal, key).unwrap_or(*request);
            format!("request {request} sent under the key of request {first}")
        }
        Fact::Started { stage, host, .. } => format!("  stage {stage} starts{}", on_service(host)),
        Fact::Declined { stage, host, .. } => {
            format!("  stage {stage} is declined{}", on_service(host))
        }
        Fact::Completed { stage, host, .. } => {
            format!("  stage {stage} completes{}", on_service(host))
        }
        Fact::Stopped { stage, host, .. } => format!("  stage {stage} stops{}", on_service(host)),
        Fact::Answered { request, text, expected } => {
            let result = if text == expected { "whole" } else { "wrong" };
            format!("request {request} answered: {result}, {}", describe(text))
        }
        other => other.to_string(),
    }
}

fn on_service(host: &str) -> String {
    format!(" on a host of {}", service_of(host))
}

/// Describes a text by its length and checksum, unless it is a key, which differs on every run.
fn describe(text: &str) -> String {
    if uuid::Uuid::parse_str(text).is_ok() {
        return "for its own key".to_owned();
    }
    format!("{} bytes, checksum {:016x}", text.len(), hash_bytes(text.as_bytes()))
}

fn first_request_with(journal: &Journal, wanted_key: &str) -> Option<RequestNo> {
    journal.facts().iter().find_map(|(_, fact)| match fact {
        Fact::Sent { request, key: Some(key) } if key == wanted_key => Some(*request),
        _ => None,
    })
}

/// Returns each accepted revision with the number of nodes that have put it in force, as text.
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
