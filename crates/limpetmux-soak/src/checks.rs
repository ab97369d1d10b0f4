//! The promises, checked against what callers and backend servers have seen.

use crate::callers::{DEADLINE, End, Kind, Sent};
use crate::fleet::{DRAIN, REVOKE};
use crate::world::{Backend, World, lock, moved_to};
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

struct Run<'a> {
    backend: &'a Backend,
    seen: Seen,
}

/// Returns every promise that was broken up to `quiet`, when the last fault had ended, and in the
/// time from `recovered` on, in which all has to be served.
pub fn check(world: &World, sent: &[Sent], recovered: Instant) -> Vec<Broken> {
    let mut broken = Vec::new();
    let runs = runs(world);
    let known: BTreeMap<&str, &Sent> = sent.iter().map(|s| (s.id.as_str(), s)).collect();
    for (id, runs) in &runs {
        match known.get(id.as_str()) {
            Some(sent) => broken.extend(runs.iter().filter_map(|r| check_run(world, sent, r))),
            // A caller that has just stopped has not noted its last request.
            None if runs.iter().all(|r| r.seen.at > recovered) => {}
            None => broken.push(Broken::Unasked(id.clone())),
        }
    }
    for one in sent {
        let count = runs.get(&one.id).map_or(0, Vec::len);
        broken.extend(check_answer(world, one, count));
    }
    broken.extend(check_recovery(sent, recovered));
    broken
}

fn runs(world: &World) -> BTreeMap<String, Vec<Run<'_>>> {
    let mut runs: BTreeMap<String, Vec<Run<'_>>> = BTreeMap::new();
    for backend in &world.backends {
        for seen in backend.server.seen() {
            let id = seen.headers.get("x-limpetmux-request-id").cloned().unwrap_or_default();
            runs.entry(id).or_default().push(Run { backend, seen });
        }
    }
    runs
}

/// Checks one run of a request at a backend server.
fn check_run(world: &World, sent: &Sent, run: &Run<'_>) -> Option<Broken> {
    let id = || sent.id.clone();
    let headers = &run.seen.headers;
    let tenant = headers.get("x-limpetmux-tenant-id").map(String::as_str);
    if headers.contains_key("authorization") || tenant != Some("w1") || run.seen.body != b"body" {
        return Some(Broken::Unasked(id()));
    }
    let orders = lock(&world.orders);
    let revoked = orders.revoked.iter().find(|(key, _)| *key == sent.key).map(|(_, at)| *at);
    if let Some(late) = revoked.and_then(|at| sent.at.checked_duration_since(at + REVOKE)) {
        return Some(Broken::Revoked(id(), late));
    }
    let at = run.seen.at;
    if !world.is_calm(sent.entry, (sent.at, at), CONTACT) {
        return None;
    }
    let over = |began: Instant, bound: Duration| at.checked_duration_since(began + bound + SLACK);
    if sent.kind == Kind::Moved {
        let newer = (1..=orders.versions.len()).filter(|v| moved_to(*v) != run.backend.service);
        // A version that was replaced soon may never have been in force.
        let ended = newer.filter(|v| {
            orders.versions.get(*v).is_none_or(|next| *next > at)
                && sent.at > orders.versions[v - 1] + APPLY + SLACK
        });
        if let Some(version) = ended.last() {
            let late = sent.at.duration_since(orders.versions[version - 1]);
            return Some(Broken::OldVersion(id(), run.backend.service, version, late));
        }
    }
    let emptied = orders.evacuated.iter().filter(|(zone, ..)| *zone == run.backend.zone);
    let inside = emptied.filter(|(_, from, to)| at > *from && to.is_none_or(|to| at < to));
    if let Some(late) = inside.filter_map(|(_, from, _)| over(*from, EVACUATE)).next() {
        return Some(Broken::Evacuated(id(), late));
    }
    let expected = headers.get("x-limpetmux-expected-instance").cloned().unwrap_or_default();
    let drained = lock(&run.backend.drained);
    let left = drained.iter().find(|(_, id)| *id == expected);
    let late = left.and_then(|(from, _)| over(*from, LEAVE.max(DRAIN)));
    late.map(|late| Broken::Drained(id(), expected, late))
}

/// Checks the answer to a request that ran `runs` times.
fn check_answer(world: &World, sent: &Sent, runs: usize) -> Option<Broken> {
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
            let alone = world.is_calm(sent.entry, (sent.at, sent.until), CONTACT);
            let sound = world.backends.iter().all(|b| b.proxy.is_whole());
            let waited = sent.until.duration_since(sent.at);
            let lost = runs > 0 && alone && sound && waited < DEADLINE / 2;
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
