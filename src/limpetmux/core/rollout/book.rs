//! One node's copy of the orders of roll-outs, of what the store says about them, and of the steps.
//!
//! Orders change only with the operator's records. Statuses come from the store or from other nodes; a
//! verdict on an order is never replaced by anything else on that order, also if a restored store has
//! lost it. Steps come from the judging node through the other nodes, and only rise. So copies can be
//! merged in any order. See `docs/design/rollout.md`.

use super::{Order, OrderKey, State, Step};
use crate::core::listing::Server;
use crate::core::log_position::LogPosition;
use crate::core::time::Moment;
use crate::util::hash::hash_parts;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The most versions of a service that are remembered as refused.
const MAX_REFUSED: usize = 16;

/// An order as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownOrder {
    /// The order.
    pub order: Order,
    /// When a node first learned of it.
    pub learned_at: Moment,
}

/// What is written about the latest order of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The order.
    pub key: OrderKey,
    /// How the order stands.
    pub state: State,
    /// The versions that get no requests any more, because they were replaced or were not found good.
    pub refused: BTreeSet<Arc<str>>,
    /// The Unix millisecond at which the order was first seen.
    pub since: u64,
    /// The position of the record in the topic of statuses.
    pub position: LogPosition,
}

/// What a roll-out says about a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It gets requests as without a roll-out.
    Usual,
    /// It runs the version that is being tried, and gets that version's share.
    New,
    /// It gets no requests.
    Barred,
}

/// The orders, statuses and steps that a node knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    orders: BTreeMap<Arc<str>, KnownOrder>,
    statuses: BTreeMap<Arc<str>, Status>,
    steps: BTreeMap<Arc<str>, (OrderKey, Step)>,
}

impl Book {
    /// Returns whether no service has ever had a roll-out.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.statuses.is_empty()
    }

    /// Returns the orders.
    pub fn orders(&self) -> impl Iterator<Item = (&Arc<str>, &KnownOrder)> {
        self.orders.iter()
    }

    /// Returns the statuses.
    pub fn statuses(&self) -> impl Iterator<Item = (&Arc<str>, &Status)> {
        self.statuses.iter()
    }

    /// Returns the steps of the orders in force.
    pub fn current_steps(&self) -> impl Iterator<Item = (&Arc<str>, &(OrderKey, Step))> {
        self.steps.iter().filter(|(service, (key, _))| self.is_current(service, key))
    }

    /// Returns the order of a service.
    pub fn order(&self, service: &str) -> Option<&KnownOrder> {
        self.orders.get(service)
    }

    /// Returns the status of a service.
    pub fn status(&self, service: &str) -> Option<&Status> {
        self.statuses.get(service)
    }

    /// Puts an order in force; one that is known keeps the moment at which it was first learned.
    pub fn put_order(&mut self, service: Arc<str>, order: Order, learned_at: Moment) {
        let known = self.orders.get(&service).filter(|known| known.order.key == order.key);
        let learned_at = known.map_or(learned_at, |known| known.learned_at.min(learned_at));
        self.orders.insert(service, KnownOrder { order, learned_at });
    }

    /// Removes an order that was taken back.
    pub fn remove_order(&mut self, service: &str) {
        self.orders.remove(service);
    }

    /// Takes over all orders that the store lists, except of services for which `keeps` says that it
    /// states nothing: a restored store may have lost orders, and a record may be unreadable.
    pub fn replace_orders(
        &mut self,
        orders: BTreeMap<Arc<str>, KnownOrder>,
        keeps: impl Fn(&str) -> bool,
    ) {
        self.orders.retain(|service, _| orders.contains_key(service) || keeps(service));
        for (service, known) in orders {
            self.put_order(service, known.order, known.learned_at);
        }
    }

    /// Records a status; returns whether it changes anything.
    pub fn put_status(&mut self, service: Arc<str>, status: Status) -> bool {
        let known = self.statuses.get(&service);
        if known.is_some_and(|known| !self.outranks(&service, &status, known)) {
            return false;
        }
        self.statuses.insert(service, status);
        true
    }

    /// Returns whether a status replaces another one; all nodes that know the same order agree on it.
    fn outranks(&self, service: &str, status: &Status, known: &Status) -> bool {
        if status.key != known.key {
            let rank = |s: &Status| (self.is_current(service, &s.key), s.position);
            return rank(status) > rank(known);
        }
        match (status.state.is_verdict(), known.state.is_verdict()) {
            (true, false) => true,
            (false, true) => false,
            // Only a restored store can hold a second verdict, and the first one is in force.
            (true, true) => status.position < known.position,
            _ => status.position > known.position,
        }
    }

    /// Records that a step of the order in force was taken; returns whether it is new.
    pub fn raise_step(&mut self, service: &Arc<str>, key: &OrderKey, step: Step) -> bool {
        let is_known = step <= self.step(service, key);
        if is_known || !self.is_current(service, key) {
            return false;
        }
        self.steps.insert(Arc::clone(service), (key.clone(), step));
        true
    }

    /// Returns whether an order is the one that is in force for a service.
    fn is_current(&self, service: &str, key: &OrderKey) -> bool {
        self.orders.get(service).is_some_and(|known| known.order.key == *key)
    }

    /// Returns the step of an order.
    pub fn step(&self, service: &str, key: &OrderKey) -> Step {
        let known = self.steps.get(service).filter(|(known, _)| known == key);
        known.map_or(Step::Canary, |(_, step)| *step)
    }

    /// Returns the order of a service that is being carried out, if there is one: its start is written
    /// in the store, and no verdict.
    pub fn running(&self, service: &str) -> Option<&KnownOrder> {
        let known = self.orders.get(service)?;
        let status = self.statuses.get(service)?;
        (status.key == known.order.key && status.state == State::Running).then_some(known)
    }

    /// Returns whether an order of any service is being carried out.
    pub fn has_running(&self) -> bool {
        self.orders.keys().any(|service| self.running(service).is_some())
    }

    /// Returns the service's status if it belongs to the order in force, or if there is no order.
    fn own_status(&self, service: &str) -> Option<&Status> {
        let status = self.statuses.get(service)?;
        let order = self.orders.get(service);
        order.is_none_or(|known| known.order.key == status.key).then_some(status)
    }

    /// Returns what the roll-outs say about a version of a service.
    pub fn standing(&self, service: &str, version: &str) -> Standing {
        let (order, status) = (self.orders.get(service), self.statuses.get(service));
        let own = self.own_status(service);
        if status.is_some_and(|s| own.is_none() && is_unproven(s, version)) {
            return Standing::Barred;
        }
        if let Some(status) = own.filter(|s| s.state.is_verdict() || order.is_none()) {
            let is_barred = is_unproven(status, version);
            return if is_barred { Standing::Barred } else { Standing::Usual };
        }
        let Some(KnownOrder { order, .. }) = order else { return Standing::Usual };
        let is_new = *order.key.target == *version;
        if own.is_some_and(|s| s.refused.contains(version)) {
            return Standing::Barred;
        }
        let step = self.step(service, &order.key);
        match (is_new, own.is_some(), step) {
            (true, false, _) | (true, true, Step::Stopped) => Standing::Barred,
            (true, true, _) => Standing::New,
            (false, true, Step::Sealed) => Standing::Barred,
            (false, _, _) => Standing::Usual,
        }
    }

    /// Returns the backend servers of a service that are not barred.
    ///
    /// If no other version is listed, there is nothing to protect and nothing to compare with, and the
    /// new one is served.
    pub fn allowed<'a>(
        &self,
        service: &str,
        listed: &[&'a Server],
        servers: Vec<&'a Server>,
    ) -> Vec<&'a Server> {
        if self.is_empty() || !self.concerns(service) {
            return servers;
        }
        let target = self.orders.get(service).map(|known| &*known.order.key.target);
        if target.is_some_and(|t| self.is_alone(service, t, listed)) {
            return servers;
        }
        let standing = |s: &&Server| self.standing(service, version(s));
        servers.into_iter().filter(|s| standing(s) != Standing::Barred).collect()
    }

    /// Returns whether only the ordered version is listed, while it is not refused.
    fn is_alone(&self, service: &str, target: &str, listed: &[&Server]) -> bool {
        let is_ended = self.own_status(service).is_some_and(|s| s.state == State::RolledBack);
        let key = self.orders.get(service).map(|known| &known.order.key);
        let is_stopped = key.is_some_and(|key| self.step(service, key) == Step::Stopped);
        !is_ended && !is_stopped && listed.iter().all(|s| version(s) == target)
    }

    /// Returns whether a service has a roll-out.
    pub fn concerns(&self, service: &str) -> bool {
        self.orders.contains_key(service) || self.statuses.contains_key(service)
    }

    /// Splits backend servers into those of the version that is being tried and the others; `None` if
    /// none is being tried, or if no other version is listed.
    pub fn split<'a>(
        &self,
        service: &str,
        listed: &[&'a Server],
        servers: &[&'a Server],
    ) -> Option<(Vec<&'a Server>, Vec<&'a Server>)> {
        let known = self.running(service)?;
        if self.is_alone(service, &known.order.key.target, listed) {
            return None;
        }
        let is_new = |s: &&Server| version(s) == &*known.order.key.target;
        let (new, usual): (Vec<&Server>, Vec<&Server>) =
            servers.iter().copied().partition(|s| is_new(s));
        Some((new, usual))
    }

    /// Returns the record that is to be written next about a service, without its position: that its
    /// order is being carried out, a verdict on it, or that it was taken back.
    ///
    /// `unix` is the Unix millisecond, and `verdict` is what the judge has found with the versions that
    /// are replaced.
    pub fn due_status(
        &self,
        service: &str,
        (now, unix): (Moment, u64),
        verdict: Option<(State, BTreeSet<Arc<str>>)>,
    ) -> Option<Status> {
        let status = self.statuses.get(service);
        let Some(KnownOrder { order, learned_at }) = self.orders.get(service) else {
            let status = status.filter(|s| s.state == State::Running)?;
            return Some(Status { state: State::RolledBack, ..status.clone() });
        };
        let Some(status) = status.filter(|s| s.key == order.key) else {
            return Some(Status {
                key: order.key.clone(),
                state: State::Running,
                refused: refused_before(status, &order.key.target),
                since: unix.saturating_sub(millis(now.since(*learned_at))),
                position: LogPosition::START,
            });
        };
        let (state, replaced) = verdict.filter(|_| !status.state.is_verdict())?;
        let mut refused = status.refused.clone();
        if state == State::Completed {
            refused.extend(replaced);
            refused.remove(&order.key.target);
        }
        Some(Status { state, refused, ..status.clone() })
    }

    /// Returns a number that differs between books that differ in statuses or steps.
    pub fn digest(&self) -> u64 {
        if self.is_empty() {
            return 0;
        }
        let mut digest = 0_u64;
        for (service, status) in &self.statuses {
            let state: &str = status.state.into();
            let offset = status.key.offset.to_le_bytes();
            let place = status.position.to_string();
            digest ^=
                hash_parts(&[service.as_bytes(), state.as_bytes(), &offset, place.as_bytes()]);
        }
        for (service, (key, step)) in self.current_steps() {
            let offset = key.offset.to_le_bytes();
            digest ^= hash_parts(&[service.as_bytes(), &offset, &[*step as u8]]);
        }
        digest
    }

    /// Merges the statuses and steps of another node; returns whether that changes anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (service, status) in &other.statuses {
            changed |= self.put_status(Arc::clone(service), status.clone());
        }
        for (service, (key, step)) in &other.steps {
            changed |= self.raise_step(service, key, *step);
        }
        changed
    }

    /// Moves the start of orders back to what the store states of it, for a node that has learned of
    /// them late, as after a stop of all processes.
    ///
    /// `started` is the Unix millisecond of the start of this process. Orders that came later are dated
    /// by the ages that nodes tell each other, which no step of a time of day changes.
    pub fn date_orders(&mut self, (now, unix): (Moment, u64), started: u64) {
        for (service, known) in &mut self.orders {
            let status = self.statuses.get(service).filter(|s| s.key == known.order.key);
            let Some(status) = status.filter(|s| s.since <= started) else { continue };
            let age = Duration::from_millis(unix.saturating_sub(status.since));
            let started_at = now - age.min(known.order.duration);
            known.learned_at = known.learned_at.min(started_at);
        }
    }
}

/// Returns the text of a backend server's version; empty if it states none.
pub fn version(server: &Server) -> &str {
    server.version.as_deref().unwrap_or_default()
}

/// Returns whether a status bars a version.
fn is_unproven(status: &Status, version: &str) -> bool {
    let is_target = *status.key.target == *version;
    if is_target { status.state != State::Completed } else { status.refused.contains(version) }
}

/// Returns the versions that stay refused when a new order begins.
fn refused_before(status: Option<&Status>, target: &str) -> BTreeSet<Arc<str>> {
    let Some(status) = status else { return BTreeSet::new() };
    let mut refused = status.refused.clone();
    if status.state != State::Completed {
        refused.insert(Arc::clone(&status.key.target));
    }
    refused.remove(target);
    while refused.len() > MAX_REFUSED {
        refused.pop_first();
    }
    refused
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
