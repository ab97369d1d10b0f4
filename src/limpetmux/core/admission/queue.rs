//! The queue of one sidecar: priority first, then weighted fair share between workspaces.
//!
//! Within a priority, start-time fair queuing orders calls: each call gets a start tag that grows
//! with the work already admitted for its workspace, divided by the workspace's weight. The call
//! with the highest place is the least valuable one and is shed first.

use super::offer::{Offer, Ticket};
use crate::core::share::{FairTags, FlowId, Tag};
use crate::core::time::Moment;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The position of a call; lower runs earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    /// The inverted priority, so that higher priorities sort first.
    rank: u8,
    /// The start tag.
    tag: u64,
    ticket: Ticket,
    /// The tag length of the call's work.
    span: u64,
}

impl Place {
    fn tag(self) -> Tag {
        Tag { start: self.tag, span: self.span }
    }
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) ticket: Ticket,
    pub(super) flow: FlowId,
    /// The latest moment at which the call can start and still meet its deadline.
    pub(super) start_by: Moment,
}

/// Queued calls in the order in which they run.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    calls: BTreeMap<Place, QueuedCall>,
    places: BTreeMap<Ticket, Place>,
    expiry: BTreeSet<(Moment, Ticket)>,
    tags: FairTags,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the place that a call would get, without inserting it.
    pub(super) fn place(&self, offer: &Offer, ticket: Ticket) -> Place {
        let rank = u8::MAX - offer.priority;
        let tag = self.tags.next(rank, offer.flow, offer.weight, u64::from(offer.work));
        Place { rank, tag: tag.start, ticket, span: tag.span }
    }

    /// Counts a call that starts without being queued.
    pub(super) fn bypass(&mut self, offer: &Offer, place: Place) {
        self.tags.add(place.rank, offer.flow, place.tag());
        self.tags.serve(place.rank, place.tag());
    }

    /// Returns the number of queued calls before a place.
    pub(super) fn ahead(&self, place: Place) -> usize {
        self.calls.range(..place).count()
    }

    /// Returns the call with the highest place, which is shed first.
    pub(super) fn last(&self) -> Option<(Place, Ticket)> {
        self.calls.last_key_value().map(|(p, c)| (*p, c.ticket))
    }

    pub(super) fn insert(&mut self, place: Place, call: QueuedCall) {
        self.tags.add(place.rank, call.flow, place.tag());
        self.expiry.insert((call.start_by, call.ticket));
        self.places.insert(call.ticket, place);
        self.calls.insert(place, call);
    }

    /// Removes the call that runs next and returns its ticket.
    pub(super) fn pop(&mut self) -> Option<Ticket> {
        let (place, call) = self.calls.pop_first()?;
        self.places.remove(&call.ticket);
        self.expiry.remove(&(call.start_by, call.ticket));
        self.tags.serve(place.rank, place.tag());
        Some(call.ticket)
    }

    /// Removes a call that will not run and returns its share to its flow.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<QueuedCall> {
        let place = self.places.remove(&ticket)?;
        let call = self.calls.remove(&place)?;
        self.expiry.remove(&(call.start_by, ticket));
        self.tags.give_back(place.rank, call.flow, place.tag());
        Some(call)
    }

    /// Returns the calls that can no longer start in time.
    pub(super) fn expired(&self, now: Moment) -> Vec<Ticket> {
        self.expiry.iter().take_while(|(t, _)| *t < now).map(|(_, ticket)| *ticket).collect()
    }

    /// Returns the next moment at which a call expires.
    pub(super) fn next_expiry(&self) -> Option<Moment> {
        self.expiry.first().map(|(t, _)| *t + Duration::from_micros(1))
    }

    /// Returns the calls that cannot start in time if one call starts per `interval`.
    pub(super) fn late(&self, now: Moment, interval: Duration) -> Vec<Ticket> {
        let mut starts_at = now + interval;
        let mut late = Vec::new();
        for call in self.calls.values() {
            if starts_at > call.start_by {
                late.push(call.ticket);
            } else {
                starts_at = starts_at + interval;
            }
        }
        late
    }
}
