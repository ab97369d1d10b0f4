//! The promises, checked against what callers and backend servers have seen.

use crate::callers::{BODY, DEADLINE, End, Kind, Sent};
use crate::fleet::REVOKE;
use crate::world::{Backend, Orders, WORKSPACE, World, lock, moved_to};
use limpetmux_standins::users::{STREAM_EVENTS, Seen};
use std::collections::BTreeMap;
use std::time::Duration;
use strum::IntoEnumIterator;
use tokio::time::Instant;

/// How long a process has to be left alone before bounds in time hold for it.
const CONTACT: Duration = Duration::from_secs(3);
/// The time within which a version is in force, with the store calm or not.
const APPLY: Duration = Duration::from_secs(7);
/// The time within which an emptied zone gets nothing more, with the store calm or not.
const EVACUATE: Duration = Duration::from_secs(10);
/// The time within which a leaving backend server gets nothing more, with the store calm or not.
const LEAVE: Duration = Duration::from_secs(7);
/// What measurement in a busy machine may add.
const SLACK: Duration = Duration::from_millis(300);

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum Broken {
    /// A request ran more than once.
    #[error("request {0} of a kind that may run at most once ran {1} times")]
    Twice(String, usize),
    /// A refusal was not true.
    #[error("request {0} was answered {1}, which says that it did not run, and ran")]
    FalseRefusal(String, u16),
    /// A caller got what is not the answer to its request, or not all of it.
    #[error("request {0} got a wrong or short answer: {1:?}")]
    Mixed(String, String),
    /// A success without a signature.
    #[error("request {0} got a success without a signature")]
    Unsigned(String),
    /// A request ran that no caller sent, or a key was passed on.
    #[error("a backend server ran {0}, which no caller sent like that")]
    Unasked(String),
    /// A request ran with a key that had been taken away.
    #[error("request {0} ran with a key that was taken away {1:?} before it was sent")]
    Revoked(String, Duration),
    /// A request was handled by an older version.
    #[error("request {0} went to {1}, which version {2} had ended {3:?} before")]
    OldVersion(String, &'static str, usize, Duration),
    /// A backend server of an emptied zone got a request.
    #[error("request {0} ran in a zone that was emptied {1:?} before")]
    Evacuated(String, Duration),
    /// A leaving backend server got a request.
    #[error("request {0} ran at {1}, which had left {2:?} before")]
    Drained(String, String, Duration),
    /// Planned work cut a request.
    #[error("request {0} ran and was cut by entry {1}, which was only asked to stop")]
    Lost(String, usize),
    /// Requests are not served again once the faults are over.
    #[error("{0} of {1} requests of kind {2} were served after the faults")]
    NotRecovered(usize, usize, &'static str),
}

/// One run of a request at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The service of the backend server.
    pub service: &'static str,
    /// Its zone.
    pub zone: usize,
    /// The id under which it was sent to.
    pub server: String,
    /// When the store took in that this id leaves, if it did.
    pub left: Option<Instant>,
    /// When the run began.
    pub at: Instant,
    /// The workspace that it was told.
    pub workspace: Option<String>,
    /// Whether the caller's key was passed on.
    pub keyed: bool,
    /// The body that it got.
    pub body: Vec<u8>,
}

/// All that callers, backend servers and the operator have seen of a run of the soak.
#[derive(Clone, Debug)]
pub struct Facts {
    /// The runs of each request, by its id.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// The requests of callers.
    pub sent: Vec<Sent>,
    /// What the operator has done.
    pub orders: Orders,
    /// For each process the spans in which it or its links were harmed.
    pub harmed: Vec<(usize, Instant, Instant)>,
    /// From when on all has to be served.
    pub recovered: Instant,
}

impl Facts {
    /// Collects what a world has seen.
    pub fn collect(world: &World, sent: Vec<Sent>, recovered: Instant) -> Self {
        let (orders, harmed) = (lock(&world.orders).clone(), lock(&world.harmed).clone());
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        for backend in &world.backends {
            for seen in backend.server.seen() {
                let id = seen.headers.get("x-limpetmux-request-id").cloned().unwrap_or_default();
                runs.entry(id).or_default().push(run(backend, seen));
            }
        }
        Self { runs, sent, orders, harmed, recovered }
    }

    /// Returns whether a process was left alone from [`CONTACT`] before a span to its end.
    fn is_calm(&self, node: usize, (from, to): (Instant, Instant)) -> bool {
        !self.harmed.iter().any(|(n, a, b)| *n == node && *a <= to && *b + CONTACT >= from)
    }
}

fn run(backend: &Backend, seen: Seen) -> Run {
    let server = seen.headers.get("x-limpetmux-expected-instance").cloned().unwrap_or_default();
    let left = lock(&backend.drained).iter().find(|(_, id)| *id == server).map(|(at, _)| *at);
    Run {
        service: backend.service,
        zone: backend.zone,
        server,
        left,
        at: seen.at,
        workspace: seen.headers.get("x-limpetmux-tenant-id").cloned(),
        keyed: seen.headers.contains_key("authorization"),
        body: seen.body,
    }
}

/// Returns every promise that was broken.
pub fn check(facts: &Facts) -> Vec<Broken> {
    let mut broken = Vec::new();
    let known: BTreeMap<&str, &Sent> = facts.sent.iter().map(|s| (s.id.as_str(), s)).collect();
    for (id, runs) in &facts.runs {
        match known.get(id.as_str()) {
            Some(sent) => broken.extend(runs.iter().filter_map(|r| check_run(facts, sent, r))),
            // A caller that has just stopped has not noted its last request.
            None if runs.iter().all(|r| r.at > facts.recovered) => {}
            None => broken.push(Broken::Unasked(id.clone())),
        }
    }
    for one in &facts.sent {
        let count = facts.runs.get(&one.id).map_or(0, Vec::len);
        broken.extend(check_answer(facts, one, count));
    }
    broken.extend(check_recovery(&facts.sent, facts.recovered));
    broken
}

/// Checks one run of a request at a backend server.
fn check_run(facts: &Facts, sent: &Sent, run: &Run) -> Option<Broken> {
    let id = || sent.id.clone();
    if run.keyed || run.workspace.as_deref() != Some(WORKSPACE) || run.body != BODY {
        return Some(Broken::Unasked(id()));
    }
    let orders = &facts.orders;
    let revoked = orders.revoked.iter().find(|(key, _)| *key == sent.key).map(|(_, at)| *at);
    if let Some(late) = revoked.and_then(|at| sent.at.checked_duration_since(at + REVOKE)) {
        return Some(Broken::Revoked(id(), late));
    }
    if !facts.is_calm(sent.entry, (sent.at, run.at)) {
        return None;
    }
    let over = |began: Instant, bound| run.at.checked_duration_since(began + bound + SLACK);
    let emptied = orders.evacuated.iter().filter(|(zone, ..)| *zone == run.zone);
    let mut inside =
        emptied.filter(|(_, from, to)| run.at > *from && to.is_none_or(|to| run.at < to));
    if let Some(late) = inside.find_map(|(_, from, _)| over(*from, EVACUATE)) {
        return Some(Broken::Evacuated(id(), late));
    }
    if let Some(late) = run.left.and_then(|from| over(from, LEAVE)) {
        return Some(Broken::Drained(id(), run.server.clone(), late));
    }
    (sent.kind == Kind::Moved).then(|| check_version(orders, sent, run)).flatten()
}

/// Checks that a request of the route that every version moves went where a version in force sends
/// it; one that was replaced before the run may never have been in force.
fn check_version(orders: &Orders, sent: &Sent, run: &Run) -> Option<Broken> {
    let lasting = (1..=orders.versions.len()).rfind(|version| {
        let replaced = orders.versions.get(*version).is_some_and(|next| *next <= run.at);
        !replaced && sent.at > orders.versions[version - 1] + APPLY + SLACK
    })?;
    let late = sent.at.duration_since(orders.versions[lasting - 1]);
    let right = moved_to(lasting) == run.service;
    (!right).then(|| Broken::OldVersion(sent.id.clone(), run.service, lasting, late))
}

/// Checks the answer to a request that ran `runs` times.
fn check_answer(facts: &Facts, sent: &Sent, runs: usize) -> Option<Broken> {
    let id = || sent.id.clone();
    let at_most_once = matches!(sent.kind, Kind::Once | Kind::Stream);
    if at_most_once && runs > 1 {
        return Some(Broken::Twice(id(), runs));
    }
    match &sent.end {
        End::Answered { status: 200..=299, signed: false, .. } => Some(Broken::Unsigned(id())),
        End::Answered { status: 200..=299, body, .. } => {
            let whole = is_whole(sent, body);
            (!whole).then(|| Broken::Mixed(id(), body.clone()))
        }
        End::Answered { status: status @ (408 | 421 | 429 | 503), .. } => {
            (at_most_once && runs > 0).then(|| Broken::FalseRefusal(id(), *status))
        }
        End::Cut => {
            let alone = facts.is_calm(sent.entry, (sent.at, sent.until));
            let waited = sent.until.duration_since(sent.at);
            let lost = runs > 0 && alone && waited < DEADLINE / 2;
            lost.then(|| Broken::Lost(id(), sent.entry))
        }
        End::Answered { .. } | End::Silent => None,
    }
}

fn is_whole(sent: &Sent, body: &str) -> bool {
    let numbers = if sent.kind == Kind::Stream { STREAM_EVENTS } else { 1 };
    let events: Vec<&str> = body.split_terminator("\n\n").collect();
    let right = |(event, number): (&&str, u32)| {
        event.starts_with(&format!("id: {number}\n")) && event.ends_with(&format!(" {}", sent.id))
    };
    events.len() == numbers as usize && events.iter().zip(1..).all(right)
}

fn check_recovery(sent: &[Sent], recovered: Instant) -> Vec<Broken> {
    let mut broken = Vec::new();
    for kind in Kind::iter() {
        let after: Vec<&Sent> =
            sent.iter().filter(|s| s.kind == kind && s.at > recovered).collect();
        let is_served = |s: &&&Sent| matches!(s.end, End::Answered { status: 200, .. });
        let served = after.iter().filter(is_served).count();
        if served * 20 < after.len() * 19 || after.is_empty() {
            broken.push(Broken::NotRecovered(served, after.len(), kind.into()));
        }
    }
    broken
}
