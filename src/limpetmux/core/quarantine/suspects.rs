//! Weighing of crashes: which part explains them better than all others.

use super::crash::{Crash, ServerRun};
use super::hold::Hold;
use super::{Grounds, SETTLE_TIME};
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The crashes at separate times after which a part is quarantined, if there are no others.
pub const CRASHES: usize = 3;
/// The same for a part with which answers were completed before.
const KNOWN_CRASHES: usize = 5;
/// The points of a crash at which a request with the part had no event of its answer yet.
const EARLY_POINTS: usize = 2;
/// The points of a crash at which all requests with the part had begun their answers, which poison
/// requests seldom do.
const LATE_POINTS: usize = 1;
/// Backend servers that end within this time of each other may have one cause, such as a lost host,
/// so that they count as one crash.
const SEPARATE_TIME: Duration = Duration::from_millis(250);
/// The same for a part with which answers were completed before: if all of them have failed for
/// several such times, a common cause is unlikely.
const KNOWN_SEPARATE_TIME: Duration = Duration::from_millis(500);

/// A verdict is taken back if another part was present at this many times as many crashes. Fewer may be
/// those of a part that the other one was present with, and a bad part must not come free.
const EXPLAINED_FACTOR: usize = 2;

/// One crash as evidence against one part.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Presence<'a> {
    at: Moment,
    run: &'a ServerRun,
    points: usize,
}

/// A verdict and the crashes that it explains.
struct Explained<'a> {
    part: PartId,
    hold: &'a Hold,
    runs: BTreeSet<&'a ServerRun>,
}

/// The unexplained crashes that speak against one part.
struct Suspect<'a> {
    part: PartId,
    /// The crashes in the order of their times.
    crashes: Vec<Presence<'a>>,
    known: bool,
    /// The points that speak against it beyond those that are needed.
    margin: i64,
}

/// Returns the parts to quarantine next, if any.
///
/// They are the one part against which the crashes speak most. Parts that were present at the very
/// same crashes cannot be told apart, so each of them is quarantined together with the others.
/// Whoever calls this adds them to the verdicts and calls it again, as the crashes that they explain
/// no longer speak against others.
pub(super) fn find(
    now: Moment,
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Option<Vec<Grounds>> {
    let leaders = leaders(now, crashes, holds);
    // Where several parts with completed answers lead, something else is the cause.
    let is_tie_of_known = leaders.len() > 1 && leaders.iter().any(|s| s.known);
    if leaders.first()?.margin < 0 || is_tie_of_known {
        return None;
    }
    let grounds = |s: &Suspect<'_>| {
        let others = leaders.iter().filter(|o| o.part != s.part && o.crashes == s.crashes);
        Grounds { with: others.map(|o| o.part).collect(), ..s.grounds(now) }
    };
    Some(leaders.iter().map(grounds).collect())
}

/// Returns the quarantined parts whose crashes others explain that were present at more crashes.
///
/// A node that knew only some of the parts that ran at a crash may have decided on the wrong one.
pub(super) fn explained(
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Vec<PartId> {
    let mut found: BTreeMap<PartId, Explained<'_>> = BTreeMap::new();
    for (run, crash) in crashes {
        for (part, hold) in explaining(holds, crash) {
            let new = || Explained { part, hold, runs: BTreeSet::new() };
            found.entry(part).or_insert_with(new).runs.insert(run);
        }
    }
    let mut held: Vec<Explained<'_>> = found.into_values().collect();
    if held.len() < 2 {
        return Vec::new();
    }
    held.sort_by_key(|e| (e.hold.is_known(), Reverse(e.runs.len()), e.hold.with_count()));
    let has_grounds = |part: PartId, runs: &BTreeSet<&ServerRun>| {
        let own = crashes.iter().filter(|(run, _)| runs.contains(run));
        suspects(own).iter().any(|s| s.part == part && s.margin >= 0)
    };
    let mut unfounded = Vec::new();
    for (index, own) in held.iter().enumerate() {
        let before = held[..index].iter().filter(|other| other.outweighs(own));
        let explained: BTreeSet<&ServerRun> =
            before.flat_map(|other| &other.runs).copied().collect();
        let rest = own.runs.difference(&explained).copied().collect();
        // Crashes that are merely too old to be remembered do not end a verdict.
        if has_grounds(own.part, &own.runs) && !has_grounds(own.part, &rest) {
            unfounded.push(own.part);
        }
    }
    unfounded
}

impl Explained<'_> {
    /// Returns whether this verdict may take back another one whose crashes it explains.
    fn outweighs(&self, other: &Explained<'_>) -> bool {
        let is_clear = match (self.hold.is_known(), other.hold.is_known()) {
            (false, true) => true,
            (true, false) => false,
            _ => self.runs.len() >= other.runs.len() * EXPLAINED_FACTOR,
        };
        is_clear && !other.hold.is_with(self.part)
    }
}

/// Returns the parts with the most evidence that have no verdict yet and lack one crash for it.
pub(super) fn leading(
    now: Moment,
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Vec<Grounds> {
    let leaders = leaders(now, crashes, holds);
    leaders.iter().filter(|s| s.margin >= -(EARLY_POINTS as i64)).map(|s| s.grounds(now)).collect()
}

/// Returns the parts that were present at most crashes among those against which enough of them
/// speak or, if there are none, the parts with the most evidence; those with which no answer was
/// completed before go first.
fn leaders<'a>(
    now: Moment,
    crashes: &'a BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Vec<Suspect<'a>> {
    let is_explained = |c: &Crash| explaining(holds, c).next().is_some();
    let is_settled = |c: &Crash| now.since(c.at) >= SETTLE_TIME;
    let open = crashes.iter().filter(|(_, c)| is_settled(c) && !is_explained(c));
    let suspects = suspects(open);
    let rank = |s: &Suspect<'_>| {
        let count = if s.margin < 0 { 0 } else { s.crashes.len() };
        (s.margin.min(0), count, !s.known)
    };
    let Some(best) = suspects.iter().map(rank).max() else { return Vec::new() };
    suspects.into_iter().filter(|s| rank(s) == best).collect()
}

/// Returns the verdicts that explain a crash.
fn explaining<'a>(
    holds: &'a BTreeMap<PartId, Hold>,
    crash: &'a Crash,
) -> impl Iterator<Item = (PartId, &'a Hold)> {
    let holds = crash.parts.keys().filter_map(|part| Some((*part, holds.get(part)?)));
    holds.filter(|(part, hold)| hold.explains(*part, crash))
}

/// Returns all parts against which some crashes speak.
fn suspects<'a>(crashes: impl Iterator<Item = (&'a ServerRun, &'a Crash)>) -> Vec<Suspect<'a>> {
    let mut times: Vec<Moment> = Vec::new();
    let mut found: BTreeMap<PartId, Suspect<'_>> = BTreeMap::new();
    for (run, crash) in crashes {
        times.push(crash.at);
        for (part, mark) in crash.parts.iter().filter(|(_, mark)| !mark.harmless) {
            let new = || Suspect { part: *part, crashes: Vec::new(), known: false, margin: 0 };
            let suspect = found.entry(*part).or_insert_with(new);
            let points = if mark.early { EARLY_POINTS } else { LATE_POINTS };
            suspect.crashes.push(Presence { at: crash.at, run, points });
            suspect.known |= mark.known;
        }
    }
    times.sort_unstable();
    let mut suspects: Vec<Suspect<'_>> = found.into_values().collect();
    suspects.iter_mut().for_each(|s| s.weigh(&times));
    suspects
}

/// Returns the points of crashes in the order of their times; of those that are not separate by at
/// least `gap` only the one with the most points counts.
fn sum_points(crashes: impl Iterator<Item = (Moment, usize)>, gap: Duration) -> usize {
    let mut last: Option<(Moment, usize)> = None;
    let mut sum = 0;
    for (at, points) in crashes {
        match &mut last {
            Some((first, most)) if at.since(*first) < gap => *most = points.max(*most),
            _ => {
                sum += last.map_or(0, |(_, most)| most);
                last = Some((at, points));
            }
        }
    }
    sum + last.map_or(0, |(_, most)| most)
}

impl Suspect<'_> {
    /// Sets the margin, given the times of all crashes without a verdict.
    fn weigh(&mut self, all: &[Moment]) {
        self.crashes.sort_unstable();
        let (needed, gap) = match self.known {
            true => (KNOWN_CRASHES, KNOWN_SEPARATE_TIME),
            false => (CRASHES, SEPARATE_TIME),
        };
        let points = sum_points(self.crashes.iter().map(|c| (c.at, c.points)), gap);
        // Where backend servers end often, a sound part is present at some ends by chance, but hardly
        // at many of them without one completed answer in between.
        let others = sum_points(self.others(all).map(|at| (at, LATE_POINTS)), SEPARATE_TIME);
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.margin = count(points) - count(needed * EARLY_POINTS + others.min(points / 2));
    }

    /// Returns the times of the crashes between its first and last at which it was not present.
    fn others(&self, all: &[Moment]) -> impl Iterator<Item = Moment> {
        let own: BTreeSet<Moment> = self.crashes.iter().map(|c| c.at).collect();
        let span = own.first().copied().zip(own.last().copied());
        let is_between = move |at: &Moment| span.is_some_and(|(a, b)| a < *at && *at < b);
        all.iter().copied().filter(is_between).filter(move |at| !own.contains(at))
    }

    fn grounds(&self, now: Moment) -> Grounds {
        let first = self.crashes.first().map_or(now, |c| c.at);
        let servers = self.crashes.iter().map(|c| Arc::clone(&c.run.server)).collect();
        let last = self.crashes.last().map_or(now, |c| c.at);
        let (part, with, span) = (self.part, BTreeSet::new(), now.since(first));
        Grounds { part, with, servers, span, last, known: self.known }
    }
}
