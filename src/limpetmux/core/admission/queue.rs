//! The queue of one sidecar: priority first, then weighted fair share between workspaces.
//!
//! Within a priority, start-time fair queuing orders calls: each call gets a start tag that lies
//! behind the work its workspace has already been given, divided by the workspace's weight. The
//! call with the highest place is the least valuable one and is shed first.

use super::offer::{FlowId, Offer, Ticket};
use crate::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The tag distance of one unit of work at weight one.
const TAG_SCALE: u64 = 1 << 16;
/// The number of remembered flows from which on idle ones are forgotten.
const FLOWS_KEPT: usize = 512;

/// The position of a call; lower runs earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// The priority, reversed.
    rank: u8,
    /// The start tag.
    tag: u64,
    ticket: Ticket,
    /// The tag distance of the call's work.
    span: u64,
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    pub(super) flow: FlowId,
    /// The last moment at which starting it makes sense.
    pub(super) start_by: Moment,
}

/// Queued calls in the order in which they run.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    calls: BTreeMap<Place, Waiting>,
    places: BTreeMap<Ticket, Place>,
    expiry: BTreeSet<(Moment, Ticket)>,
    /// The tag at which each flow's last call ends.
    ends: BTreeMap<(u8, FlowId), u64>,
    /// The start tag last served, by rank.
    served: BTreeMap<u8, u64>,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns where a call would stand, without taking it in.
    pub(super) fn place(&self, offer: &Offer, ticket: Ticket) -> Place {
        let rank = u8::MAX - offer.priority;
        let served = self.served.get(&rank).copied().unwrap_or(0);
        let end = self.ends.get(&(rank, offer.flow)).copied().unwrap_or(0);
        let work = u64::from(offer.work.max(1));
        let span = (work * TAG_SCALE / u64::from(offer.weight.max(1))).max(1);
        Place { rank, tag: served.max(end), ticket, span }
    }

    /// Counts a call that starts without queueing.
    pub(super) fn pass(&mut self, offer: &Offer, place: Place) {
        self.ends.insert((place.rank, offer.flow), place.tag.saturating_add(place.span));
        self.serve(place);
    }

    /// Returns how many calls run before this place.
    pub(super) fn ahead(&self, place: Place) -> usize {
        self.calls.range(..place).count()
    }

    /// Returns the least valuable call.
    pub(super) fn last(&self) -> Option<(Place, Ticket)> {
        self.calls.last_key_value().map(|(p, w)| (*p, w.ticket))
    }

    pub(super) fn insert(&mut self, place: Place, call: Waiting) {
        self.ends.insert((place.rank, call.flow), place.tag.saturating_add(place.span));
        self.expiry.insert((call.start_by, call.ticket));
        self.places.insert(call.ticket, place);
        self.calls.insert(place, call);
    }

    /// Takes out the most valuable call to start it.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let (place, call) = self.calls.pop_first()?;
        self.places.remove(&call.ticket);
        self.expiry.remove(&(call.start_by, call.ticket));
        self.serve(place);
        Some(call.ticket)
    }

    /// Takes out a call that will not run and gives its share back to its flow.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<Waiting> {
        let place = self.places.remove(&ticket)?;
        let call = self.calls.remove(&place)?;
        self.expiry.remove(&(call.start_by, ticket));
        if let Some(end) = self.ends.get_mut(&(place.rank, call.flow)) {
            *end = end.saturating_sub(place.span);
        }
        Some(call)
    }

    /// Returns the calls whose last start lies in the past.
    pub(super) fn expired(&self, now: Moment) -> Vec<Ticket> {
        self.expiry.iter().take_while(|(t, _)| *t < now).map(|(_, ticket)| *ticket).collect()
    }

    /// Returns the next moment at which a call expires.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        self.expiry.first().map(|(t, _)| *t + Duration::from_micros(1))
    }

    /// Returns the calls that cannot start in time if one starts per `slot`.
    pub(super) fn hopeless(&self, now: Moment, slot: Duration) -> Vec<Ticket> {
        let mut starts_at = now + slot;
        let mut hopeless = Vec::new();
        for call in self.calls.values() {
            if starts_at > call.start_by {
                hopeless.push(call.ticket);
            } else {
                starts_at = starts_at + slot;
            }
        }
        hopeless
    }

    fn serve(&mut self, place: Place) {
        let served = self.served.entry(place.rank).or_insert(0);
        *served = (*served).max(place.tag);
        if self.ends.len() > FLOWS_KEPT {
            let marks = &self.served;
            self.ends.retain(|(rank, _), end| marks.get(rank).is_some_and(|served| *end > *served));
        }
    }
}
