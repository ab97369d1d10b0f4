//! Checks of the product's guarantees against what callers and backend servers observed.

use crate::callers::{BODY, DEADLINE, Kind, Outcome, PIECES, SentRequest};
use crate::facts::{Facts, Run};
use crate::fleet::REVOKE_BOUND;
use crate::limits;
use crate::notices;
use crate::usage::{MAX_MEMORY_KB, MAX_SOCKETS};
use crate::world::{OperatorActions, ROUTE_TIMEOUT, WORKSPACE, service_of};
use limpetmux_standins::users::{EndedAnswer, STREAM_EVENTS, StageResult};
use std::collections::BTreeMap;
use std::time::Duration;
use strum::IntoEnumIterator;
use tokio::time::Instant;

/// The time within which a version takes effect, also if the store was disturbed meanwhile.
const APPLY_BOUND: Duration = Duration::from_secs(7);
/// The time within which an evacuated zone stops getting requests, also if the store was disturbed
/// meanwhile.
const EVACUATE_BOUND: Duration = Duration::from_secs(10);
/// The time within which a draining server stops getting requests, also if the store was disturbed
/// meanwhile.
const DRAIN_BOUND: Duration = Duration::from_secs(7);
/// The measurement error that is allowed for on a busy machine.
pub(crate) const TIMING_MARGIN: Duration = Duration::from_millis(300);

/// A guarantee that was violated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Violation {
    /// A request ran more than once.
    #[error("request {0} may run at most once and ran {1} times")]
    MultipleRuns(String, usize),
    /// A request ran although its answer said that it did not.
    #[error("request {0} ran although status {1} said that it did not")]
    FalseRefusal(String, u16),
    /// A caller got an answer to another request, or an incomplete answer.
    #[error("request {0} got a wrong or incomplete answer: {1:?}")]
    WrongAnswer(String, String),
    /// A caller got an answer that carries the id of another request.
    #[error("request {0} got an answer with status {2} to request {1}")]
    ForeignAnswer(String, String, u16),
    /// A request ran with other inputs than the results that were computed for it, each once.
    #[error("request {0} ran with other inputs than its own, request/stage/piece: {1}")]
    ForeignInputs(String, String),
    /// A piece was computed from other results than those that were computed for its request.
    #[error("request {0}: piece {1} got other inputs than its own, request/stage/piece: {2}")]
    ForeignPiece(String, u64, String),
    /// A successful answer had no signature.
    #[error("request {0} got a successful answer without a signature")]
    Unsigned(String),
    /// A request ran that no caller sent in this form, or the caller's key was passed on.
    #[error("a backend server ran request {0} in a form that no caller sent")]
    UnexpectedRun(String),
    /// A request ran with a revoked key.
    #[error("request {0} ran with a revoked key and was sent {1:?} after the bound on revocation")]
    RevokedKey(String, Duration),
    /// A request was routed by an older version.
    #[error(
        "request {0} ran at {1}; version {2}, written {3:?} before it was sent, routes it elsewhere"
    )]
    OldVersion(String, &'static str, usize, Duration),
    /// A backend server of an evacuated zone got a request.
    #[error("request {0} ran in an evacuated zone {1:?} after the bound")]
    EvacuatedZone(String, Duration),
    /// A draining backend server got a request.
    #[error("request {0} ran at the draining server {1} {2:?} after the bound")]
    DrainingServer(String, String, Duration),
    /// A backend server got a request through an entry that had passed on that it leaves.
    #[error("request {0} ran at {1}, of which its entry had passed on {2:?} before that it leaves")]
    LeavingServer(String, String, Duration),
    /// A backend server got requests through an entry that it had asked for none.
    #[error("{2} requests through entry {1} reached {0}, which had refused with Retry-After")]
    HeldServer(String, usize, usize),
    /// A backend server got more requests than the limit that it had named allows.
    #[error("{1} requests in 4 s reached {0}, whose limit allows {2}")]
    NamedLimit(String, usize, usize),
    /// A process cut a request without a disturbance that excuses it.
    #[error("request {0} ran and was cut by entry {1}, which no fault but a planned stop affected")]
    CutRequest(String, usize),
    /// A process used more memory than its settings allow.
    #[error("process {0} used {1} kB of memory, of {MAX_MEMORY_KB} kB")]
    Memory(usize, u64),
    /// A process had more sockets than its settings allow.
    #[error("process {0} had {1} sockets, of {MAX_SOCKETS}")]
    Sockets(usize, usize),
    /// A process was never measured.
    #[error("process {0} was never measured")]
    Unmeasured(usize),
    /// An endless answer was read after the time that its route allows.
    #[error("request {0} got an endless answer, which was read for {1:?}")]
    LongRead(String, Duration),
    /// Endless answers were still read long after the faults.
    #[error("{1} endless answers of {0} were still read after the faults")]
    StillRead(String, usize),
    /// Requests were not served again after the faults.
    #[error("{0} of {1} requests of kind {2} were served after the faults")]
    NotRecovered(usize, usize, &'static str),
}

/// Returns every violation of a guarantee.
pub fn check(facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    let known: BTreeMap<&str, &SentRequest> =
        facts.sent.iter().map(|s| (s.id.as_str(), s)).collect();
    for (id, runs) in &facts.runs {
        match known.get(id.as_str()) {
            Some(sent) => violations.extend(runs.iter().filter_map(|r| check_run(facts, sent, r))),
            // A caller that was stopped may not have recorded its last request.
            None if runs.iter().all(|r| r.at > facts.recovered) => {}
            None => violations.push(Violation::UnexpectedRun(id.clone())),
        }
    }
    for sent in &facts.sent {
        let runs = facts.runs.get(&sent.id).map_or(&[][..], Vec::as_slice);
        violations.extend(check_answer(facts, sent, runs));
    }
    violations.extend(notices::check_leaving(facts, &known));
    violations.extend(notices::check_holds(facts, &known));
    violations.extend(limits::check_limits(facts, &known));
    violations.extend(check_pieces(&facts.results));
    violations.extend(facts.ended.iter().filter_map(|e| check_read(facts, &known, e)));
    violations.extend(check_usage(facts));
    violations.extend(check_recovery(&facts.sent, facts.recovered));
    violations
}

/// Checks one run of a request at a backend server.
fn check_run(facts: &Facts, sent: &SentRequest, run: &Run) -> Option<Violation> {
    let id = || sent.id.clone();
    if run.keyed || run.workspace.as_deref() != Some(WORKSPACE) || run.body != BODY {
        return Some(Violation::UnexpectedRun(id()));
    }
    let wrong = (sent.kind == Kind::Stream)
        .then(|| wrong_results(&facts.results, &run.inputs, &sent.id, 1))
        .flatten();
    if let Some(wrong) = wrong {
        return Some(Violation::ForeignInputs(id(), wrong));
    }
    let actions = &facts.actions;
    let revoked = actions.revoked.iter().find(|(key, _)| *key == sent.key).map(|(_, at)| *at);
    if let Some(excess) = revoked.and_then(|at| sent.at.checked_duration_since(at + REVOKE_BOUND)) {
        return Some(Violation::RevokedKey(id(), excess));
    }
    if !facts.is_undisturbed(sent.entry, (sent.at, run.at)) {
        return None;
    }
    let excess_over =
        |began: Instant, bound| run.at.checked_duration_since(began + bound + TIMING_MARGIN);
    let evacuated = actions.evacuated.iter().filter(|(zone, ..)| *zone == run.zone);
    let mut active =
        evacuated.filter(|(_, from, to)| run.at > *from && to.is_none_or(|to| run.at < to));
    if let Some(excess) = active.find_map(|(_, from, _)| excess_over(*from, EVACUATE_BOUND)) {
        return Some(Violation::EvacuatedZone(id(), excess));
    }
    if let Some(excess) = run.drained_at.and_then(|from| excess_over(from, DRAIN_BOUND)) {
        return Some(Violation::DrainingServer(id(), run.server.clone(), excess));
    }
    (sent.kind == Kind::Moved).then(|| check_version(actions, sent, run)).flatten()
}

/// Checks that the pieces of the second stage were computed from the results of the first one.
fn check_pieces(results: &BTreeMap<String, StageResult>) -> Vec<Violation> {
    let check_piece = |result: &StageResult| {
        let wrong = wrong_results(results, &result.inputs, &result.request, 0)?;
        Some(Violation::ForeignPiece(result.request.clone(), result.piece, wrong))
    };
    results.values().filter(|r| r.stage == 1).filter_map(check_piece).collect()
}

/// Returns what the results with some handles are, unless they are those of all pieces of a stage
/// of a request, each once.
fn wrong_results(
    results: &BTreeMap<String, StageResult>,
    handles: &[String],
    request: &str,
    stage: usize,
) -> Option<String> {
    let name = |handle: &String| match results.get(handle) {
        Some(result) => format!("{}/{}/{}", result.request, result.stage, result.piece),
        None => format!("unknown {handle}"),
    };
    let mut names: Vec<String> = handles.iter().map(name).collect();
    names.sort_unstable();
    let expected = (0..PIECES[stage]).map(|piece| format!("{request}/{stage}/{piece}"));
    (!expected.eq(names.iter().cloned())).then(|| names.join(","))
}

/// Checks that a request of the route that every version moves ran where a version in force sends
/// it; a version that was replaced before the run may never have been in force.
fn check_version(actions: &OperatorActions, sent: &SentRequest, run: &Run) -> Option<Violation> {
    let expected = (1..=actions.versions.len()).rfind(|version| {
        let replaced = actions.versions.get(*version).is_some_and(|next| *next <= run.at);
        !replaced && sent.at > actions.versions[version - 1] + APPLY_BOUND + TIMING_MARGIN
    })?;
    let age = sent.at.duration_since(actions.versions[expected - 1]);
    let correct = service_of(expected) == run.service;
    (!correct).then(|| Violation::OldVersion(sent.id.clone(), run.service, expected, age))
}

/// Checks the answer to a request, given its runs.
///
/// A stream that its backend server cut has to be cut for its caller as well.
fn check_answer(facts: &Facts, sent: &SentRequest, runs: &[Run]) -> Option<Violation> {
    let id = || sent.id.clone();
    let was_cut = runs.iter().any(|run| run.cut);
    let runs = runs.len();
    let at_most_once = matches!(sent.kind, Kind::Once | Kind::Stream);
    if at_most_once && runs > 1 {
        return Some(Violation::MultipleRuns(id(), runs));
    }
    if let (Outcome::Answered { status, .. }, Some(other)) = (&sent.outcome, &sent.answered_id)
        && *other != sent.id
    {
        return Some(Violation::ForeignAnswer(id(), other.clone(), *status));
    }
    match &sent.outcome {
        Outcome::Answered { status: 200..=299, signed: false, .. } => {
            Some(Violation::Unsigned(id()))
        }
        Outcome::Answered { status: 200..=299, body, .. } => {
            let complete = is_complete(sent, body);
            (!complete).then(|| Violation::WrongAnswer(id(), body.clone()))
        }
        Outcome::Answered { status: status @ (408 | 421 | 429 | 503), .. } => {
            (at_most_once && runs > 0).then(|| Violation::FalseRefusal(id(), *status))
        }
        Outcome::Cut => {
            let undisturbed = facts.is_undisturbed(sent.entry, (sent.at, sent.until));
            let waited = sent.until.duration_since(sent.at);
            let lost = runs > 0 && !was_cut && undisturbed && waited < DEADLINE / 2;
            lost.then(|| Violation::CutRequest(id(), sent.entry))
        }
        Outcome::Answered { .. } | Outcome::TimedOut => None,
    }
}

fn is_complete(sent: &SentRequest, body: &str) -> bool {
    let count = if sent.kind == Kind::Stream { STREAM_EVENTS } else { 1 };
    let events: Vec<&str> = body.split_terminator("\n\n").collect();
    let matches = |(event, number): (&&str, u32)| {
        event.starts_with(&format!("id: {number}\n")) && event.ends_with(&format!(" {}", sent.id))
    };
    events.len() == count as usize && events.iter().zip(1..).all(matches)
}

/// Checks that a process stopped to read an endless answer in the time that its route allows.
fn check_read(
    facts: &Facts,
    known: &BTreeMap<&str, &SentRequest>,
    ended: &EndedAnswer,
) -> Option<Violation> {
    let sent = known.get(ended.id.as_str())?;
    let time = ended.until.duration_since(ended.from);
    let undisturbed = facts.is_undisturbed(sent.entry, (ended.from, ended.until));
    (undisturbed && time > ROUTE_TIMEOUT + TIMING_MARGIN)
        .then(|| Violation::LongRead(ended.id.clone(), time))
}

/// Checks what the processes used, and that they no longer read any endless answer.
fn check_usage(facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (node, usage) in facts.usage.iter().enumerate() {
        if usage.measured == 0 {
            violations.push(Violation::Unmeasured(node));
        }
        if usage.memory_kb > MAX_MEMORY_KB {
            violations.push(Violation::Memory(node, usage.memory_kb));
        }
        if usage.sockets > MAX_SOCKETS {
            violations.push(Violation::Sockets(node, usage.sockets));
        }
    }
    let still_read = facts.endless.iter().filter(|(_, active)| *active > 0);
    violations.extend(still_read.map(|(name, active)| Violation::StillRead(name.clone(), *active)));
    violations
}

/// Checks that at least 95% of the requests of each kind were served after the faults.
fn check_recovery(sent: &[SentRequest], recovered: Instant) -> Vec<Violation> {
    let mut violations = Vec::new();
    for kind in Kind::iter() {
        let after: Vec<&SentRequest> =
            sent.iter().filter(|s| s.kind == kind && s.at > recovered).collect();
        let is_served =
            |s: &&&SentRequest| matches!(s.outcome, Outcome::Answered { status: 200, .. });
        let served = after.iter().filter(is_served).count();
        if served * 20 < after.len() * 19 || after.is_empty() {
            violations.push(Violation::NotRecovered(served, after.len(), kind.into()));
        }
    }
    violations
}
