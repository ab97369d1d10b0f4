//! Weighing of crashes: which part explains them better than all others.

use super::crash::{Crash, Mark, ServerRun};
use super::group::GroupId;
use super::hold::Hold;
use super::holds::Holds;
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

impl<'a> Presence<'a> {
    fn new(run: &'a ServerRun, crash: &Crash, mark: Mark) -> Self {
        Self { at: crash.at, run, points: if mark.early { EARLY_POINTS } else { LATE_POINTS } }
    }
}

/// A verdict and the crashes that it explains.
struct Explained<'a> {
    group: GroupId,
    hold: &'a Hold,
    runs: BTreeSet<&'a ServerRun>,
}

/// The unexplained crashes that speak against some parts, which were present at the very same ones.
struct Suspects<'a> {
    /// The parts in their order.
    parts: Vec<PartId>,
    /// The crashes in the order of their times.
    crashes: Vec<Presence<'a>>,
    known: bool,
    /// The points that speak against them beyond those that are needed.
    margin: i64,
}

/// Returns the groups of parts to quarantine next, if any.
///
/// They are the one part against which the crashes speak most. Parts that were present at the very
/// same crashes cannot be told apart, so they are quarantined as one group. Whoever calls this adds
/// it to the verdicts and calls it again, as the crashes that it explains no longer speak against
/// others.
pub(super) fn find(
    now: Moment,
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &Holds,
) -> Option<Vec<Grounds>> {
    let leaders = leaders(now, crashes, holds);
    // Where several parts with completed answers lead, something else is the cause.
    let is_tie_of_known = count_parts(&leaders) > 1 && leaders.iter().any(|s| s.known);
    if leaders.first()?.margin < 0 || is_tie_of_known {
        return None;
    }
    Some(leaders.iter().map(|s| s.grounds(now)).collect())
}

/// Returns the quarantined groups whose crashes others explain that were present at more crashes.
///
/// A node that knew only some of the parts that ran at a crash may have decided on the wrong one.
pub(super) fn explained(crashes: &BTreeMap<ServerRun, Crash>, holds: &Holds) -> Vec<GroupId> {
    let mut found: BTreeMap<GroupId, Explained<'_>> = BTreeMap::new();
    for (run, crash) in crashes {
        for group in holds.explaining(crash) {
            let Some(hold) = holds.get(group) else { continue };
            let new = || Explained { group, hold, runs: BTreeSet::new() };
            found.entry(group).or_insert_with(new).runs.insert(run);
        }
    }
    let mut held: Vec<Explained<'_>> = found.into_values().collect();
    if held.len() < 2 {
        return Vec::new();
    }
    held.sort_by_key(|e| (e.hold.known, Reverse(e.runs.len()), e.hold.parts.len()));
    let mut unfounded = Vec::new();
    for (index, own) in held.iter().enumerate() {
        let before = held[..index].iter().filter(|other| other.outweighs(own));
        let explained: BTreeSet<&ServerRun> =
            before.flat_map(|other| &other.runs).copied().collect();
        let rest = own.runs.difference(&explained).copied().collect();
        // Crashes that are merely too old to be remembered do not end a verdict.
        if own.has_grounds(crashes, &own.runs) && !own.has_grounds(crashes, &rest) {
            unfounded.push(own.group);
        }
    }
    unfounded
}

impl Explained<'_> {
    /// Returns whether this verdict may take back another one whose crashes it explains.
    fn outweighs(&self, other: &Explained<'_>) -> bool {
        let is_clear = match (self.hold.known, other.hold.known) {
            (false, true) => true,
            (true, false) => false,
            _ => self.runs.len() >= other.runs.len() * EXPLAINED_FACTOR,
        };
        is_clear && other.hold.parts.binary_search(&self.hold.lead()).is_err()
    }

    /// Returns whether some of the crashes that this verdict explains would suffice for it.
    fn has_grounds(
        &self,
        crashes: &BTreeMap<ServerRun, Crash>,
        runs: &BTreeSet<&ServerRun>,
    ) -> bool {
        let lead = self.hold.lead();
        let marks = runs.iter().filter_map(|run| {
            let crash = crashes.get(*run)?;
            let mark = crash.parts.get(&lead)?;
            Some((Presence::new(run, crash, *mark), mark.known))
        });
        let (crashes, known): (Vec<Presence<'_>>, Vec<bool>) = marks.unzip();
        let known = known.contains(&true);
        let mut suspects = Suspects { parts: vec![lead], crashes, known, margin: 0 };
        suspects.weigh(&[]);
        suspects.margin >= 0
    }
}

/// Returns the groups with the most evidence that have no verdict yet and lack one crash for it, unless
/// they have more than `max` parts.
pub(super) fn leading(
    now: Moment,
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &Holds,
    max: usize,
) -> Vec<Grounds> {
    let mut leaders = leaders(now, crashes, holds);
    leaders.retain(|s| s.margin >= -(EARLY_POINTS as i64));
    if count_parts(&leaders) > max {
        return Vec::new();
    }
    leaders.iter().map(|s| s.grounds(now)).collect()
}

fn count_parts(suspects: &[Suspects<'_>]) -> usize {
    suspects.iter().map(|s| s.parts.len()).sum()
}

/// Returns whether other nodes have reported their requests at a crash.
pub(super) fn is_settled(now: Moment, crash: &Crash) -> bool {
    now.since(crash.at) >= SETTLE_TIME
}

/// Returns the parts that were present at most crashes among those against which enough of them
/// speak or, if there are none, the parts with the most evidence; those with which no answer was
/// completed before go first.
fn leaders<'a>(
    now: Moment,
    crashes: &'a BTreeMap<ServerRun, Crash>,
    holds: &Holds,
) -> Vec<Suspects<'a>> {
    let is_open = |c: &Crash| is_settled(now, c) && holds.explaining(c).is_empty();
    let suspects = suspects(crashes.iter().filter(|(_, c)| is_open(c)));
    let rank = |s: &Suspects<'_>| {
        let count = if s.margin < 0 { 0 } else { s.crashes.len() };
        (s.margin.min(0), count, !s.known)
    };
    let Some(best) = suspects.iter().map(rank).max() else { return Vec::new() };
    suspects.into_iter().filter(|s| rank(s) == best).collect()
}

/// Returns all parts against which some crashes speak, those that were present at the same ones
/// together.
fn suspects<'a>(crashes: impl Iterator<Item = (&'a ServerRun, &'a Crash)>) -> Vec<Suspects<'a>> {
    let mut times: Vec<Moment> = Vec::new();
    let mut found: BTreeMap<PartId, (Vec<Presence<'_>>, bool)> = BTreeMap::new();
    for (run, crash) in crashes {
        times.push(crash.at);
        for (part, mark) in crash.parts.iter().filter(|(_, mark)| !mark.harmless) {
            let (present, known) = found.entry(*part).or_default();
            present.push(Presence::new(run, crash, *mark));
            *known |= mark.known;
        }
    }
    times.sort_unstable();
    let mut classes: BTreeMap<(Vec<Presence<'_>>, bool), Vec<PartId>> = BTreeMap::new();
    for (part, evidence) in found {
        classes.entry(evidence).or_default().push(part);
    }
    let weighed = classes.into_iter().map(|((crashes, known), parts)| {
        let mut suspects = Suspects { parts, crashes, known, margin: 0 };
        suspects.weigh(&times);
        suspects
    });
    weighed.collect()
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

impl Suspects<'_> {
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
        let (parts, span) = (self.parts.clone(), now.since(first));
        Grounds { parts, servers, span, last, known: self.known }
    }
}
