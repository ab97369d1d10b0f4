//! Weighing of crashes: which part explains them better than all others.

use super::crash::{Crash, ServerRun};
use super::hold::Hold;
use super::{Grounds, SETTLE_TIME};
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
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

/// The unexplained crashes that speak against one part.
struct Suspect<'a> {
    part: PartId,
    /// The crashes in the order of their times, each with its points.
    crashes: Vec<(Moment, &'a ServerRun, usize)>,
    known: bool,
    /// The points that speak against it beyond those that are needed.
    margin: i64,
}

/// Returns the parts to quarantine next, if any.
///
/// They are the one part against which the crashes speak most, or several if they speak alike against
/// all of them after one more. Whoever calls this adds them to the verdicts and calls it again, as the
/// crashes that they explain no longer speak against others.
pub(super) fn find(
    now: Moment,
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Option<Vec<Grounds>> {
    let leaders = leaders(now, crashes, holds);
    let margin = leaders.first()?.margin;
    let is_tie = leaders.len() > 1;
    let is_tie_of_known = is_tie && leaders.iter().any(|s| s.known);
    if margin < tie_margin(is_tie) || is_tie_of_known {
        return None;
    }
    Some(leaders.iter().map(|s| s.grounds(now)).collect())
}

/// Returns the points beyond those needed from which on the leading parts are quarantined.
fn tie_margin(is_tie: bool) -> i64 {
    if is_tie { EARLY_POINTS as i64 } else { 0 }
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

/// Returns the parts with the most evidence; those with which no answer was completed before go
/// first, so that others are only returned if there are none of these.
fn leaders<'a>(
    now: Moment,
    crashes: &'a BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Vec<Suspect<'a>> {
    let suspects = suspects(now, crashes, holds);
    let rank = |s: &Suspect<'_>| (s.margin, !s.known);
    let Some(best) = suspects.iter().map(rank).max() else { return Vec::new() };
    suspects.into_iter().filter(|s| rank(s) == best).collect()
}

/// Returns all parts against which settled crashes speak that no quarantined part explains.
fn suspects<'a>(
    now: Moment,
    crashes: &'a BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Vec<Suspect<'a>> {
    let held: BTreeSet<PartId> =
        holds.iter().filter(|(_, h)| h.is_held()).map(|(part, _)| *part).collect();
    let is_explained = |c: &Crash| held.iter().any(|part| c.implicates(*part));
    let is_settled = |c: &Crash| now.since(c.at) >= SETTLE_TIME;
    let counts = |c: &&Crash| is_settled(c) && !is_explained(c);
    let mut times: Vec<Moment> = crashes.values().filter(counts).map(|c| c.at).collect();
    times.sort_unstable();
    let mut found: BTreeMap<PartId, Suspect<'_>> = BTreeMap::new();
    for (run, crash) in crashes.iter().filter(|(_, c)| counts(c)) {
        for (part, mark) in crash.parts.iter().filter(|(_, mark)| !mark.harmless) {
            let new = || Suspect { part: *part, crashes: Vec::new(), known: false, margin: 0 };
            let suspect = found.entry(*part).or_insert_with(new);
            let points = if mark.early { EARLY_POINTS } else { LATE_POINTS };
            suspect.crashes.push((crash.at, run, points));
            suspect.known |= mark.known;
        }
    }
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
        let points = sum_points(self.crashes.iter().map(|(at, _, points)| (*at, *points)), gap);
        // Where backend servers end often, a sound part is present at some ends by chance, but hardly
        // at many of them without one completed answer in between.
        let others = sum_points(self.others(all).map(|at| (at, LATE_POINTS)), SEPARATE_TIME);
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.margin = count(points) - count(needed * EARLY_POINTS + others.min(points / 2));
    }

    /// Returns the times of the crashes between its first and last at which it was not present.
    fn others(&self, all: &[Moment]) -> impl Iterator<Item = Moment> {
        let own: BTreeSet<Moment> = self.crashes.iter().map(|(at, ..)| *at).collect();
        let span = own.first().copied().zip(own.last().copied());
        let is_between = move |at: &Moment| span.is_some_and(|(a, b)| a < *at && *at < b);
        all.iter().copied().filter(is_between).filter(move |at| !own.contains(at))
    }

    fn grounds(&self, now: Moment) -> Grounds {
        let first = self.crashes.first().map_or(now, |(at, ..)| *at);
        let servers = self.crashes.iter().map(|(_, run, _)| Arc::clone(&run.server)).collect();
        let last = self.crashes.last().map_or(now, |(at, ..)| *at);
        Grounds { part: self.part, servers, span: now.since(first), last, known: self.known }
    }
}
