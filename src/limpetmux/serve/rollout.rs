//! Roll-outs as the tasks of one node share them: what it has sent, and what it and others have counted.
//!
//! The book of orders, statuses and steps is part of the view of the store, so all sends see one state
//! of it. Here are the counts that change with each request. Without an order nothing is counted. See
//! `docs/design/rollout.md`.

use super::node::{Shared, StoreView};
use crate::core::catalog::Route;
use crate::core::listing::Server;
use crate::core::rollout::book::{KnownOrder, Standing, version};
use crate::core::rollout::evidence::{Answer, Arm, Counter, Counts, Ledger, Told};
use crate::core::rollout::exposure::{self, Exposure, SHARE_USED};
use crate::core::rollout::{OrderKey, Step};
use crate::core::server_notices::Incarnation;
use crate::util::clock;
use crate::util::metrics::Metric;
use crate::wire::fleet::RolloutNotice;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The most backend servers with breaks that are not explained yet.
const MAX_BROKEN: usize = 4_096;
/// The most notices of other nodes that wait for the control thread.
const MAX_HEARD: usize = 1_024;

/// The backend servers that a request may be sent to: those of the second list only if none of the first
/// accepts it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lanes<'a> {
    /// The backend servers that are asked first.
    pub first: Vec<&'a Server>,
    /// The others.
    pub second: Vec<&'a Server>,
}

/// How a send to a backend server ended, as evidence on its version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendEnd {
    /// It answered or failed.
    Answer(Answer),
    /// The connection broke; a crash says nothing about the version.
    Broken,
}

#[derive(Debug)]
struct State {
    /// What this node has sent, once it has sent anything.
    exposure: Option<Exposure>,
    counts: Counts,
    ledger: Ledger,
}

impl State {
    fn new(key: &OrderKey) -> Self {
        Self { exposure: None, counts: Counts::default(), ledger: Ledger::new(key.clone()) }
    }
}

#[derive(Debug, Default)]
struct Inner {
    services: BTreeMap<Arc<str>, State>,
    /// The breaks on each route at each incarnation of a backend server that has not answered since.
    broken: BTreeMap<Incarnation, BTreeMap<Arm, u32>>,
    /// The calls that run at each backend server.
    calls: BTreeMap<Arc<str>, u32>,
    heard: Vec<RolloutNotice>,
}

impl Inner {
    /// Returns the state of an order; that of an earlier order is dropped.
    fn state(&mut self, service: &Arc<str>, key: &OrderKey) -> &mut State {
        let state = self.services.entry(Arc::clone(service)).or_insert_with(|| State::new(key));
        if state.ledger.key != *key {
            *state = State::new(key);
            self.broken.clear();
        }
        state
    }

    /// Returns the credits for an order, which begin with the given reserve of the node.
    fn exposure(
        &mut self,
        service: &Arc<str>,
        key: &OrderKey,
        reserve: impl FnOnce() -> (Arc<str>, f64),
    ) -> &mut Exposure {
        self.state(service, key).exposure.get_or_insert_with(|| {
            let (node, reserve) = reserve();
            Exposure::new(key.clone(), node, reserve)
        })
    }
}

/// What one node has sent and counted in roll-outs.
#[derive(Debug, Default)]
pub struct NodeRollouts(Mutex<Inner>);

/// A call that runs at a backend server, until it is dropped.
pub struct RunningCall<'a> {
    rollouts: &'a NodeRollouts,
    server: Arc<str>,
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        let mut inner = self.rollouts.lock();
        if let Some(count) = inner.calls.get_mut(&self.server) {
            *count -= 1;
            if *count == 0 {
                inner.calls.remove(&self.server);
            }
        }
    }
}

impl NodeRollouts {
    /// Counts a call as running at a backend server until the result is dropped.
    pub fn begin_call(&self, server: &Arc<str>) -> RunningCall<'_> {
        *self.lock().calls.entry(Arc::clone(server)).or_default() += 1;
        RunningCall { rollouts: self, server: Arc::clone(server) }
    }

    /// Keeps what another node knows for the control thread, and records what it has counted.
    pub fn hear(&self, counter: Counter, notice: RolloutNotice, told: &[Told]) {
        let mut inner = self.lock();
        for told in told {
            inner.state(&told.service, &told.key).ledger.record(counter.clone(), told);
        }
        if inner.heard.len() < MAX_HEARD {
            inner.heard.push(notice);
        }
    }

    /// Takes what other nodes have told since the last call.
    pub fn take_heard(&self) -> Vec<RolloutNotice> {
        std::mem::take(&mut self.lock().heard)
    }

    /// Returns the sums of what all nodes have counted of an order.
    pub fn totals(&self, service: &Arc<str>, key: &OrderKey) -> Counts {
        self.lock().state(service, key).ledger.totals()
    }

    /// Returns whether some processes have all left the old versions of a service.
    pub fn is_left(&self, service: &Arc<str>, key: &OrderKey, counters: &[Counter]) -> bool {
        self.lock().state(service, key).ledger.is_left(counters)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns all backend servers of a service, whatever their state.
fn listed<'a>(view: &'a StoreView, service: &str) -> Vec<&'a Server> {
    view.listing.servers().filter(|s| *s.service == *service).collect()
}

impl Shared {
    /// Returns the share of an order's version now.
    fn share(&self, view: &StoreView, service: &str, key: &OrderKey) -> f64 {
        let canary = self.settings().bounds.rollout.share * SHARE_USED;
        view.rollouts.step(service, key).share(canary)
    }

    /// Returns this node, and the greatest credit that each of its routes to a service may start with.
    fn reserve(&self, view: &StoreView, service: &str) -> (Arc<str>, f64) {
        let catalog = view.orders.config.as_ref().map(|config| &config.catalog);
        let has_target = |r: &Route| r.targets.iter().any(|(target, _)| **target == *service);
        let routes = catalog.map_or(0, |c| c.routes.iter().filter(|(_, r)| has_target(r)).count());
        let entries = self.nodes().entries(clock::boot()).len();
        let slack = self.settings().bounds.rollout.slack;
        let reserve = exposure::reserve(slack, routes.max(1) * entries.max(1));
        (Arc::clone(&self.local_node.name), reserve)
    }

    /// Returns the order of a service that is being carried out, and the backend servers of its version
    /// that may get its share and of the others.
    fn split<'a>(
        &self,
        view: &'a StoreView,
        service: &str,
        servers: &[&'a Server],
    ) -> Option<(&'a KnownOrder, f64, Lanes<'a>)> {
        let known = view.rollouts.running(service)?;
        let (new, usual) = view.rollouts.split(service, &listed(view, service), servers)?;
        let key = &known.order.key;
        let share = self.share(view, service, key);
        let new = match view.rollouts.step(service, key) {
            Step::Canary => exposure::canaries(key, share, &new),
            _ => new,
        };
        Some((known, share, Lanes { first: new, second: usual }))
    }

    /// Returns which of a service's backend servers the next request of a route may be sent to.
    pub fn lanes<'a>(
        &self,
        view: &'a StoreView,
        service: &Arc<str>,
        route: &str,
        servers: Vec<&'a Server>,
    ) -> Lanes<'a> {
        let Some((known, share, split)) = self.split(view, service, &servers) else {
            return Lanes { first: servers, second: Vec::new() };
        };
        let reserve = || self.reserve(view, service);
        let mut inner = self.rollouts.lock();
        let allowed = inner.exposure(service, &known.order.key, reserve).allows(route, share);
        match allowed && !split.first.is_empty() {
            true => split,
            false => Lanes { first: split.second, second: Vec::new() },
        }
    }

    /// Returns which of a stage service's backend servers may get calls now: of a version that is being
    /// tried no more than it may get calls.
    pub fn call_servers<'a>(
        &self,
        view: &'a StoreView,
        service: &Arc<str>,
        servers: Vec<&'a Server>,
    ) -> Vec<&'a Server> {
        let Some((known, share, split)) = self.split(view, service, &servers) else {
            return servers;
        };
        let reserve = || self.reserve(view, service);
        let mut inner = self.rollouts.lock();
        let room = inner.exposure(service, &known.order.key, reserve).room(service, share);
        split.first.into_iter().take(room).chain(split.second).collect()
    }

    /// Counts a request or call that is sent to a backend server.
    pub fn count_send(&self, view: &StoreView, route: &Arc<str>, server: &Server) {
        let service = &server.service;
        let Some(known) = view.rollouts.running(service) else { return };
        let key = &known.order.key;
        let share = self.share(view, service, key);
        let is_new = version(server) == &*key.target;
        let reserve = || self.reserve(view, service);
        self.rollouts.lock().exposure(service, key, reserve).count(route, share, is_new);
    }

    /// Records how a request or call at a backend server ended, as evidence on its version.
    pub fn record_send(&self, route: &Arc<str>, server: &Server, end: SendEnd) {
        let view = self.view.load();
        let service = &server.service;
        let Some(known) = view.rollouts.running(service) else { return };
        let is_new = version(server) == &*known.order.key.target;
        let arm = Arm { route: Arc::clone(route), is_new };
        let mut inner = self.rollouts.lock();
        let SendEnd::Answer(answer) = end else {
            let run = Incarnation::of(server);
            if inner.broken.len() < MAX_BROKEN || inner.broken.contains_key(&run) {
                *inner.broken.entry(run).or_default().entry(arm).or_default() += 1;
            }
            return;
        };
        // The server runs on, so it has not crashed.
        let broken = inner.broken.remove(&Incarnation::of(server)).unwrap_or_default();
        let counts = &mut inner.state(service, &known.order.key).counts;
        counts.add(arm, answer);
        for (arm, breaks) in broken {
            (0..breaks).for_each(|_| counts.add(arm.clone(), Answer::Failed));
        }
        drop(inner);
        let outcome = if answer == Answer::Failed { "failed" } else { "answered" };
        let tags = [("service", &**service), ("version", version(server)), ("outcome", outcome)];
        self.metrics.count(Metric::RolloutAnswers, 1, &tags);
    }

    /// Returns what this node has counted of the orders that are being carried out.
    pub fn told(&self, view: &StoreView) -> Vec<Told> {
        let running = view.rollouts.orders().filter(|(s, _)| view.rollouts.running(s).is_some());
        let mut told = Vec::new();
        for (service, known) in running {
            let key = &known.order.key;
            let is_sealed = view.rollouts.step(service, key) == Step::Sealed;
            let left = is_sealed.then(|| self.left(view, service));
            let counts = self.rollouts.lock().state(service, key).counts.clone();
            told.push(Told { service: Arc::clone(service), key: key.clone(), counts, left });
        }
        told
    }

    /// Returns how many requests and calls of this node run at barred backend servers of a service.
    fn left(&self, view: &StoreView, service: &str) -> u32 {
        let is_barred =
            |s: &&Server| view.rollouts.standing(service, version(s)) == Standing::Barred;
        let barred: Vec<&Server> = listed(view, service).into_iter().filter(is_barred).collect();
        let requests: u32 = {
            let placement = self.placement();
            barred.iter().map(|s| placement.inflight(&s.id)).sum()
        };
        let inner = self.rollouts.lock();
        let calls: u32 = barred.iter().filter_map(|s| inner.calls.get(&s.id)).sum();
        requests.saturating_add(calls)
    }
}
