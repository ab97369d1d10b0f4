//! Checks that entries and sidecars together keep to the limits that backend servers name.

use crate::callers::{Outcome, SentRequest};
use crate::checks::Violation;
use crate::facts::Facts;
use crate::world::{ENTRIES, SIDECARS};
use limpetmux_standins::users::Arrival;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time after which a limit binds that a server has named.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// The time after which the requests of an entry count that has passed on the limit.
const TOLD_LAG: Duration = Duration::from_millis(500);
/// The time after which all calls for pieces count, as their answers are not seen.
const CALL_LAG: Duration = Duration::from_secs(1);
/// The time in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The requests that are allowed besides one and a half times the limit.
const ALLOWANCE: f64 = 5.0;

/// The consecutive arrivals at one incarnation that were answered with one limit.
struct Span<'a> {
    server: &'a str,
    limit: f64,
    arrivals: Vec<&'a Arrival>,
}

/// Checks that no server gets more requests than the limit that it names allows.
pub(crate) fn check_limits(facts: &Facts, known: &BTreeMap<&str, &SentRequest>) -> Vec<Violation> {
    let spans = facts.arrivals.values().flat_map(|arrivals| spans(arrivals));
    spans.filter_map(|span| check_span(facts, known, &span)).collect()
}

fn spans(arrivals: &[Arrival]) -> Vec<Span<'_>> {
    let mut spans: Vec<Span<'_>> = Vec::new();
    let mut is_open = false;
    for arrival in arrivals {
        let Some(limit) = arrival.limit else {
            is_open = false;
            continue;
        };
        match spans.last_mut() {
            Some(span) if is_open && span.server == arrival.server && span.limit == limit => {
                span.arrivals.push(arrival);
            }
            _ => spans.push(Span { server: &arrival.server, limit, arrivals: vec![arrival] }),
        }
        is_open = true;
    }
    spans
}

fn check_span(
    facts: &Facts,
    known: &BTreeMap<&str, &SentRequest>,
    span: &Span<'_>,
) -> Option<Violation> {
    let named_at = span.arrivals.first()?.at;
    let told = told(known, span);
    let counts = |arrival: &&&Arrival| {
        let entry = known.get(arrival.id.as_str()).map(|sent| sent.entry);
        match entry {
            Some(entry) => told.get(&entry).is_some_and(|at| {
                arrival.at > *at + TOLD_LAG && facts.is_uninterrupted(entry, (*at, arrival.at))
            }),
            None => {
                let calm = |node| facts.is_uninterrupted(node, (named_at, arrival.at));
                arrival.at > named_at + CALL_LAG && (0..ENTRIES + SIDECARS).all(calm)
            }
        }
    };
    let times: Vec<Instant> = span.arrivals.iter().filter(counts).map(|a| a.at).collect();
    let binding = times.iter().filter(|at| **at > named_at + CONTACT_TIME);
    let in_window =
        |end: &Instant| times.iter().filter(|at| **at <= *end && **at + WINDOW > *end).count();
    let most = binding.map(in_window).max()?;
    let allowed = (span.limit * WINDOW.as_secs_f64() * 1.5 + ALLOWANCE) as usize;
    (most > allowed).then(|| Violation::NamedLimit(span.server.to_owned(), most, allowed))
}

/// Returns when each entry first passed on an answer of a span.
fn told(known: &BTreeMap<&str, &SentRequest>, span: &Span<'_>) -> BTreeMap<usize, Instant> {
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    for sent in span.arrivals.iter().filter_map(|a| known.get(a.id.as_str())) {
        if matches!(sent.outcome, Outcome::Answered { status: 200..=299, .. }) {
            let at = told.entry(sent.entry).or_insert(sent.until);
            *at = sent.until.min(*at);
        }
    }
    told
}
