//! The availability zones whose backend servers must get no requests.
//!
//! A store that was restored from a copy may lack an evacuation that it had acknowledged. The zone
//! stays evacuated until the operator has ended that in the restored store, or has had the time to
//! declare it again. See `docs/design/restored-store.md`.

use crate::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// How long a zone stays evacuated that a restored store does not list.
///
/// It exceeds the time for which backend servers are kept, as operators write rarely, and a zone that
/// waits costs less than requests to one that is being emptied.
pub const UNLISTED_GRACE: Duration = Duration::from_secs(10);

/// One node's copy of the evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    /// The zones; of one that the restored store does not list, since when.
    zones: BTreeMap<Arc<str>, Option<Moment>>,
    /// The zones whose evacuation has ended in the current era.
    ended: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the zones that the store lists.
    pub fn listed(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.iter().filter(|(_, unlisted)| unlisted.is_none()).map(|(zone, _)| zone)
    }

    /// Returns the zones that the restored store does not list, and since when.
    pub fn unlisted(&self) -> impl Iterator<Item = (&Arc<str>, Moment)> {
        self.zones.iter().filter_map(|(zone, unlisted)| unlisted.map(|since| (zone, since)))
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.keys()
    }

    /// Begins an evacuation that the operator has declared.
    ///
    /// The record has no number, so a write that the store executes late cannot be told from a new one: the
    /// positions in the log decide, until the operator writes again (`docs/design/late-writes.md`).
    pub(super) fn begin(&mut self, zone: Arc<str>) {
        self.ended.remove(&zone);
        self.zones.insert(zone, None);
    }

    /// Ends an evacuation that the operator has ended.
    pub(super) fn end(&mut self, zone: Arc<str>) {
        self.zones.remove(&zone);
        self.ended.insert(zone);
    }

    /// Takes over all zones that the store lists, in the era of this copy.
    pub(super) fn replace(&mut self, listed: BTreeSet<Arc<str>>) {
        self.zones.retain(|zone, unlisted| unlisted.is_some() && !listed.contains(zone));
        self.zones.extend(listed.into_iter().map(|zone| (zone, None)));
    }

    /// Takes over all zones that a store lists which was restored from a copy; those that it lacks are
    /// kept.
    pub(super) fn restore(&mut self, now: Moment, listed: BTreeSet<Arc<str>>) {
        self.ended.clear();
        for unlisted in self.zones.values_mut() {
            *unlisted = Some(now);
        }
        self.zones.extend(listed.into_iter().map(|zone| (zone, None)));
    }

    /// Adds a zone that another node knows from before the restore, and that the store has not listed
    /// since a moment, unless its evacuation has ended meanwhile.
    pub(super) fn add_unlisted(&mut self, zone: Arc<str>, since: Moment) {
        if !self.ended.contains(&zone) {
            self.zones.entry(zone).or_insert(Some(since));
        }
    }

    /// Removes zones that the restored store has not listed for the grace time, as of the moment at
    /// which it was last read.
    pub(super) fn expire(&mut self, read_at: Moment) {
        let is_kept = |since: &Moment| read_at.since(*since) < UNLISTED_GRACE;
        self.zones.retain(|_, unlisted| unlisted.as_ref().is_none_or(is_kept));
    }
}
