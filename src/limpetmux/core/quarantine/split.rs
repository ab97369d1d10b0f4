//! Splitting of quarantined groups by later crashes at which only some of their parts were present.

use super::Grounds;
use super::crash::{Crash, ServerRun};
use super::group::GroupId;
use super::hold::Hold;
use super::holds::Holds;
use super::suspects::is_settled;
use crate::core::prompt_part::PartId;
use crate::core::time::Moment;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The most groups that one group falls into at a time.
const MAX_SPLITS: usize = 8;

/// The crashes at which a part was present, in the order of their runs.
type Presence<'a> = Vec<(&'a ServerRun, Moment)>;

/// The parts of a group that were present at the very same crashes.
struct Class<'a> {
    presence: Presence<'a>,
    parts: Vec<PartId>,
}

/// Returns the groups that quarantined ones fall into; of those of one group only the ones that were
/// present at most crashes, as requests with the others have all parts of one of them.
///
/// The first group stays quarantined: a part that was missing at a later crash may yet be the cause of
/// the first ones, once the others have proved harmless.
pub(super) fn split(
    now: Moment,
    crashes: &BTreeMap<ServerRun, Crash>,
    holds: &Holds,
) -> Vec<Grounds> {
    let mut found: BTreeMap<GroupId, BTreeMap<PartId, Presence<'_>>> = BTreeMap::new();
    for (run, crash) in crashes.iter().filter(|(_, c)| is_settled(now, c)) {
        for part in crash.suspects() {
            for group in holds.of_part(part) {
                let present = found.entry(*group).or_default();
                present.entry(part).or_default().push((run, crash.at));
            }
        }
    }
    let held = found.into_iter().filter_map(|(group, parts)| Some((holds.get(group)?, parts)));
    held.flat_map(|(hold, parts)| split_one(now, hold, parts)).collect()
}

fn split_one(now: Moment, hold: &Hold, present: BTreeMap<PartId, Presence<'_>>) -> Vec<Grounds> {
    let mut classes: BTreeMap<Presence<'_>, Vec<PartId>> = BTreeMap::new();
    for (part, presence) in present {
        classes.entry(presence).or_default().push(part);
    }
    let mut largest = largest(classes);
    largest.retain(|class| class.parts.len() < hold.parts.len());
    let grounds = |class: Class<'_>| {
        let last = class.presence.iter().map(|(_, at)| *at).max().unwrap_or(hold.at);
        Grounds { parts: class.parts, last, ..hold.grounds(now) }
    };
    largest.into_iter().map(grounds).collect()
}

/// Returns the classes of which no other one was present at the same crashes and at more.
fn largest(classes: BTreeMap<Presence<'_>, Vec<PartId>>) -> Vec<Class<'_>> {
    let classes = classes.into_iter().map(|(presence, parts)| Class { presence, parts });
    let mut classes: Vec<Class<'_>> = classes.collect();
    classes.sort_by_key(|class| Reverse(class.presence.len()));
    let mut largest: Vec<Class<'_>> = Vec::new();
    for class in classes {
        let is_within = |other: &Class<'_>| {
            class.presence.iter().all(|run| other.presence.binary_search(run).is_ok())
        };
        if largest.len() < MAX_SPLITS && !largest.iter().any(is_within) {
            largest.push(class);
        }
    }
    largest
}
