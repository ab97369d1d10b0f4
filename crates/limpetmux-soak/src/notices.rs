//! Checks that entries heed what backend servers state about themselves in their answers.

use crate::callers::{Outcome, SentRequest};
use crate::checks::{TIMING_MARGIN, Violation};
use crate::facts::{Facts, Run};
use limpetmux_standins::users::Arrival;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time after which a server that leaves gets no requests from an entry that has passed on an
/// answer which says so, whatever the state of the store.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// The time after which a `Retry-After` binds.
const HOLD_LAG: Duration = Duration::from_millis(500);
/// The most requests that may reach a server through one entry while its `Retry-After` binds.
const MAX_HELD: usize = 2;

/// Checks that no entry sends later requests to a server that leaves by an answer it has passed on.
pub(crate) fn check_leaving(facts: &Facts, known: &BTreeMap<&str, &SentRequest>) -> Vec<Violation> {
    let runs = facts.runs.iter().filter_map(|(id, runs)| Some((*known.get(id.as_str())?, runs)));
    let all: Vec<_> = runs.flat_map(|(sent, runs)| runs.iter().map(move |r| (sent, r))).collect();
    let mut heard: BTreeMap<(&str, usize), Instant> = BTreeMap::new();
    for (sent, run) in all.iter().filter(|(_, run)| run.leaving) {
        if matches!(sent.outcome, Outcome::Answered { status: 200..=299, .. }) {
            let at = heard.entry((&run.server, sent.entry)).or_insert(sent.until);
            *at = sent.until.min(*at);
        }
    }
    let late = |(sent, run): &(&SentRequest, &Run)| {
        let passed_on = *heard.get(&(run.server.as_str(), sent.entry))?;
        let age = sent.at.checked_duration_since(passed_on + LEAVING_BOUND + TIMING_MARGIN)?;
        let runs_on = facts.is_uninterrupted(sent.entry, (passed_on, run.at));
        runs_on.then(|| Violation::LeavingServer(sent.id.clone(), run.server.clone(), age))
    };
    all.iter().filter_map(late).collect()
}

/// Checks that few requests of an entry reach a server that has refused one with `Retry-After`.
pub(crate) fn check_holds(facts: &Facts, known: &BTreeMap<&str, &SentRequest>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (server, arrivals) in &facts.arrivals {
        let mut entries: BTreeMap<usize, Vec<&Arrival>> = BTreeMap::new();
        for arrival in arrivals {
            if let Some(sent) = known.get(arrival.id.as_str()) {
                entries.entry(sent.entry).or_default().push(arrival);
            }
        }
        for (entry, arrivals) in entries {
            let refused = arrivals.iter().filter_map(|a| Some((a.at, a.at + a.hold?)));
            let held = refused.filter(|span| facts.is_uninterrupted(entry, *span)).map(|span| {
                let binds = |a: &&&Arrival| a.at > span.0 + HOLD_LAG && a.at < span.1;
                arrivals.iter().filter(binds).count()
            });
            let most = held.max().filter(|count| *count > MAX_HELD);
            violations.extend(most.map(|n| Violation::HeldServer(server.clone(), entry, n)));
        }
    }
    violations
}
