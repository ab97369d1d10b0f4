//! Weighing of crashes: which part explains them better than all others.

use super::crash::{Crash, ServerRun};
use super::hold::Hold;
use super::{Grounds, SETTLE_TIME};
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The crashes at separate times after which a part is quarantined.
pub const CRASHES: usize = 3;
/// The crashes after which parts are quarantined that were all present at the same crashes.
const TIED_CRASHES: usize = 4;
/// Backend servers that end within this time of each other may have one cause, such as a lost host,
/// so that they count as one crash.
const SEPARATE_TIME: Duration = Duration::from_millis(250);
/// The same for a part with which answers were completed before: all requests with it have failed
/// for longer than any of them takes.
const KNOWN_SEPARATE_TIME: Duration = Duration::from_secs(1);

/// The unexplained crashes that speak against one part.
struct Suspect<'a> {
    part: PartId,
    /// The crashes in the order of their times.
    crashes: Vec<(Moment, &'a ServerRun)>,
    known: bool,
}

/// Returns the parts to quarantine next, if any.
///
/// They are one part that was present at more crashes than any other, or all that were present at
/// the same ones. Whoever calls this adds them to the verdicts and calls it again, as the crashes
/// that they explain no longer speak against others.
pub(super) fn find(
    now: Moment,
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Option<Vec<Grounds>> {
    let leaders = leaders(now, crashes, holds);
    let strength = leaders.first()?.strength();
    let needed = if leaders.len() == 1 { CRASHES } else { TIED_CRASHES };
    let is_tie_of_known = leaders.len() > 1 && leaders.iter().any(|s| s.known);
    if strength < needed || is_tie_of_known {
        return None;
    }
    Some(leaders.iter().map(|s| s.grounds(now)).collect())
}

/// Returns the parts that lead by at least two crashes and have no verdict yet.
pub(super) fn leading(
    now: Moment,
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Vec<Grounds> {
    let leaders = leaders(now, crashes, holds);
    leaders.iter().filter(|s| s.strength() > 1).map(|s| s.grounds(now)).collect()
}

/// Returns the parts with the most separate crashes; those with which no answer was completed before
/// go first, so that others are only returned if there are none of these.
fn leaders<'a>(
    now: Moment,
    crashes: &'a BTreeMap<ServerRun, Crash>,
    holds: &BTreeMap<PartId, Hold>,
) -> Vec<Suspect<'a>> {
    let suspects = suspects(now, crashes, holds);
    let rank = |s: &Suspect<'_>| (s.strength(), !s.known);
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
    let settled = |c: &Crash| now.since(c.at) >= SETTLE_TIME;
    let mut found: BTreeMap<PartId, Suspect<'_>> = BTreeMap::new();
    for (run, crash) in crashes.iter().filter(|(_, c)| settled(c) && !is_explained(c)) {
        for (part, mark) in crash.parts.iter().filter(|(_, mark)| !mark.harmless) {
            let new = || Suspect { part: *part, crashes: Vec::new(), known: false };
            let suspect = found.entry(*part).or_insert_with(new);
            suspect.crashes.push((crash.at, run));
            suspect.known |= mark.known;
        }
    }
    let mut suspects: Vec<Suspect<'_>> = found.into_values().collect();
    suspects.iter_mut().for_each(|s| s.crashes.sort_unstable());
    suspects
}

impl Suspect<'_> {
    /// Returns the number of crashes at separate times.
    fn strength(&self) -> usize {
        let separate = if self.known { KNOWN_SEPARATE_TIME } else { SEPARATE_TIME };
        let mut counted: Option<Moment> = None;
        let mut count = 0;
        for (at, _) in &self.crashes {
            if counted.is_none_or(|before| at.since(before) >= separate) {
                counted = Some(*at);
                count += 1;
            }
        }
        count
    }

    fn grounds(&self, now: Moment) -> Grounds {
        let first = self.crashes.first().map_or(now, |(at, _)| *at);
        let servers = self.crashes.iter().map(|(_, run)| Arc::clone(&run.server)).collect();
        let last = self.crashes.last().map_or(now, |(at, _)| *at);
        Grounds { part: self.part, servers, span: now.since(first), last, known: self.known }
    }
}
