//! Carries out roll-outs: the node that reads the store for all judges, and writes how orders stand.
//!
//! All nodes take over what others tell. The judge reads the topic of statuses whenever it has to write,
//! and writes under the condition that nothing was written since, so that the first verdict on an order
//! is the only one. See `docs/design/rollout.md`.

use super::Follower;
use crate::core::listing::Server;
use crate::core::log_position::{LogPosition, StoreEra};
use crate::core::rollout::book::{Book, KnownOrder, Status, version};
use crate::core::rollout::evidence::Counter;
use crate::core::rollout::judge::{Decision, Judge};
use crate::core::rollout::{OrderKey, State, Step};
use crate::core::time::Moment;
use crate::event;
use crate::fleet::rollout as messages;
use crate::platform::rollout::{self, RolloutChange};
use crate::platform::store::{Page, Record, StoreError};
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::{PullRequest, RolloutNotice};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// The time between two turns of the judge.
const TURN_INTERVAL: Duration = Duration::from_millis(200);
/// The time after which a failed call is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// The time after which the statuses are read again while an order is being carried out.
const READ_INTERVAL: Duration = Duration::from_secs(2);
/// For how long all nodes have to state that nothing runs at the old versions.
const LEFT_TIME: Duration = Duration::from_millis(800);

/// The judges of the orders of services.
type Judges = BTreeMap<Arc<str>, (OrderKey, Judge)>;

/// What the writing task keeps between its turns.
#[derive(Default)]
struct Desk {
    /// Since when nothing runs at the old versions of a service.
    left_since: BTreeMap<Arc<str>, Moment>,
    /// The era of the store in which the statuses were read last, and when.
    read_in: Option<StoreEra>,
    read_at: Moment,
}

impl Follower {
    /// Takes over what other nodes tell of roll-outs, and judges them as long as this node reads the
    /// store for all. The store may be away meanwhile, so [`write_rollouts`](Self::write_rollouts) is
    /// another task.
    pub(super) async fn judge_rollouts(&self) {
        let mut judges = Judges::new();
        loop {
            self.wait_for_rollouts().await;
            sleep(TURN_INTERVAL).await;
            self.take_over();
            self.tell_itself();
            if !self.is_reader_of_all() {
                judges.clear();
                continue;
            }
            for service in self.rollout_services() {
                self.decide(&mut judges, &service);
            }
        }
    }

    /// Reads and writes the statuses as long as this node reads the store for all.
    pub(super) async fn write_rollouts(&self) {
        let mut desk = Desk::default();
        loop {
            self.wait_for_rollouts().await;
            sleep(TURN_INTERVAL).await;
            if !self.is_reader_of_all() {
                desk = Desk::default();
                continue;
            }
            if let Err(error) = self.write_due(&mut desk).await {
                event!(EventCode::RolloutUnwritten, reason = error);
                desk.read_in = None;
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Waits until there is an order or a status.
    async fn wait_for_rollouts(&self) {
        let mut view = self.shared.view.clone();
        while view.load().rollouts.is_empty() && view.changed().await {}
    }

    fn rollout_services(&self) -> BTreeSet<Arc<str>> {
        self.with_view(|v| {
            let orders = v.rollouts.orders().map(|(service, _)| Arc::clone(service));
            orders.chain(v.rollouts.statuses().map(|(service, _)| Arc::clone(service))).collect()
        })
    }

    /// Merges what other nodes have told into the view.
    fn take_over(&self) {
        let heard = self.shared.rollouts.take_heard();
        if heard.is_empty() {
            return;
        }
        let mut book = self.with_view(|v| v.rollouts.clone());
        let mut changed = false;
        for notice in &heard {
            changed |= messages::merge(&mut book, notice);
        }
        if changed {
            self.update(|v| v.rollouts.merge(&book));
        }
    }

    /// Records this node's own counts among those of all nodes.
    fn tell_itself(&self) {
        let told = self.with_view(|v| self.shared.told(v));
        if !told.is_empty() {
            let notice = RolloutNotice::default();
            self.shared.rollouts.hear(self.counter(), notice, &told);
        }
    }

    /// Adds to a pull what this node knows and has counted.
    pub(super) fn with_rollouts(&self, request: PullRequest) -> PullRequest {
        let rollout = self.with_view(|v| {
            let told = if v.rollouts.has_running() { self.shared.told(v) } else { Vec::new() };
            messages::encode(&v.rollouts, &told)
        });
        PullRequest { rollout, ..request }
    }

    fn counter(&self) -> Counter {
        let local = &self.shared.local_node;
        Counter { node: Arc::clone(&local.name), started_ms: local.started }
    }

    async fn write_due(&self, desk: &mut Desk) -> Result<(), StoreError> {
        // Before the operator's records were read, each order would pass for one that was taken back.
        if self.with_view(|v| v.orders.end.is_start()) {
            return Ok(());
        }
        // Another node may have written while this one was cut off from the others.
        let is_old = clock::boot().since(desk.read_at) >= READ_INTERVAL;
        let is_running = self.with_view(|v| v.rollouts.has_running());
        if desk.read_in != Some(self.era()) || (is_running && is_old) {
            self.read_statuses().await?;
            desk.read_in = Some(self.era());
            desk.read_at = clock::boot();
        }
        for service in self.rollout_services() {
            let verdict = self.verdict(desk, &service);
            if self.due(&service, verdict).is_some() {
                self.write_status(desk, &service).await?;
            }
        }
        Ok(())
    }

    /// Lets the judge of a service take a step, if its order is being carried out.
    fn decide(&self, judges: &mut Judges, service: &Arc<str>) {
        let now = clock::boot();
        let Some((known, step)) = self.with_view(|v| {
            let known = v.rollouts.running(service)?.clone();
            let step = v.rollouts.step(service, &known.order.key);
            Some((known, step))
        }) else {
            return;
        };
        let KnownOrder { order, learned_at } = known;
        let totals = self.shared.rollouts.totals(service, &order.key);
        let fresh = || (order.key.clone(), Judge::default());
        let (key, judge) = judges.entry(Arc::clone(service)).or_insert_with(fresh);
        if *key != order.key {
            (*key, *judge) = fresh();
        }
        let age = now.since(learned_at);
        let bounds = self.shared.settings().bounds.rollout;
        if let Some(decision) = judge.decide(step, (age, order.duration), &totals, &bounds) {
            log_decision(service, &order.key, &decision, age);
            self.update(|v| v.rollouts.raise_step(service, &order.key, decision.step));
        }
    }

    /// Returns the verdict that the step of a service's order calls for, with the replaced versions.
    fn verdict(&self, desk: &mut Desk, service: &Arc<str>) -> Option<(State, BTreeSet<Arc<str>>)> {
        let now = clock::boot();
        let (key, step, versions) = self.with_view(|v| {
            let key = v.rollouts.running(service)?.order.key.clone();
            let of_service = |s: &&Server| s.service == *service;
            let servers = v.listing.servers().filter(of_service);
            let versions: BTreeSet<Arc<str>> = servers.map(|s| version(s).into()).collect();
            let step = v.rollouts.step(service, &key);
            Some((key, step, versions))
        })?;
        match step {
            Step::Stopped => Some((State::RolledBack, BTreeSet::new())),
            Step::Sealed if self.shared.rollouts.is_left(service, &key, &self.live_counters()) => {
                let since = *desk.left_since.entry(Arc::clone(service)).or_insert(now);
                (now.since(since) >= LEFT_TIME).then_some((State::Completed, versions))
            }
            _ => {
                desk.left_since.remove(service);
                None
            }
        }
    }

    /// Returns the processes that may send requests: this one, and all that show signs of life.
    fn live_counters(&self) -> Vec<Counter> {
        let nodes = self.shared.nodes();
        let live = nodes.live(clock::boot());
        let others =
            live.map(|(n, _)| Counter { node: Arc::clone(&n.name), started_ms: n.started });
        others.chain([self.counter()]).collect()
    }

    fn due(&self, service: &str, verdict: Option<(State, BTreeSet<Arc<str>>)>) -> Option<Status> {
        let now = (clock::boot(), clock::unix_millis());
        self.with_view(|v| v.rollouts.due_status(service, now, verdict))
    }

    /// Reads the statuses, and writes again what a restored store has lost of them; returns the end of
    /// their topic.
    async fn read_statuses(&self) -> Result<LogPosition, StoreError> {
        let result = self.store.newest(rollout::TOPIC).await;
        self.record_stop(rollout::TOPIC, &result);
        let page = result?;
        let read = decode_statuses(&page);
        let (now, unix) = (clock::boot(), clock::unix_millis());
        let lost = self.update(|v| {
            for (service, status) in &read {
                v.rollouts.put_status(Arc::clone(service), status.clone());
            }
            v.rollouts.date_orders((now, unix), self.shared.local_node.started);
            let is_stored = |service: &Arc<str>, status: &Status| {
                let stored = read.get(service);
                stored.is_some_and(|s| s.key == status.key && s.state == status.state)
            };
            // Only a restored store can have lost one; any other that it lacks was replaced.
            let is_lost =
                |service, s: &Status| s.position.era < page.end.era && !is_stored(service, s);
            let mut lost = v.rollouts.statuses().filter(|(service, s)| is_lost(service, s));
            lost.next().map(|(service, s)| (Arc::clone(service), s.clone()))
        });
        let Some((service, status)) = lost else { return Ok(page.end) };
        event!(
            EventCode::RecordRewritten,
            record = rollout::status_key(&service),
            era = page.end.era
        );
        self.append_status(&service, status, page.end).await?;
        Ok(LogPosition { offset: page.end.offset.saturating_add(1), ..page.end })
    }

    /// Writes the status that is due of a service, unless the store has it already.
    async fn write_status(&self, desk: &mut Desk, service: &Arc<str>) -> Result<(), StoreError> {
        let end = self.read_statuses().await?;
        // The judge may have stopped the version meanwhile.
        let verdict = self.verdict(desk, service);
        let Some(status) = self.due(service, verdict) else { return Ok(()) };
        self.append_status(service, status, end).await
    }

    /// Appends a status if nothing was written after `end`.
    async fn append_status(
        &self,
        service: &Arc<str>,
        status: Status,
        end: LogPosition,
    ) -> Result<(), StoreError> {
        let Ok(value) = rollout::encode_status(service, &status) else { return Ok(()) };
        let key = rollout::status_key(service);
        let result = self.store.put_at(rollout::TOPIC, &key, &value, end).await;
        self.record_stop(rollout::TOPIC, &result);
        result?;
        let state: &str = status.state.into();
        event!(
            EventCode::RolloutWritten,
            service = service,
            target = status.key.target,
            state = state,
            position = end
        );
        self.update(|v| {
            v.rollouts.put_status(Arc::clone(service), Status { position: end, ..status })
        });
        Ok(())
    }
}

fn log_decision(service: &str, key: &OrderKey, decision: &Decision, age: Duration) {
    let (step, cause): (&str, &str) = (decision.step.into(), decision.cause.into());
    event!(
        EventCode::RolloutDecided,
        service = service,
        target = key.target,
        step = step,
        cause = cause,
        route = decision.route,
        answers = decision.answers,
        bad = decision.bad,
        expected = decision.expected,
        age_ms = age.as_millis()
    );
}

fn decode_statuses(page: &Page) -> BTreeMap<Arc<str>, Status> {
    let mut statuses = BTreeMap::new();
    for record in &page.records {
        match rollout::decode_status(record) {
            Ok(status) => statuses.extend(status),
            Err(error) => {
                event!(EventCode::RolloutUnreadable, key = record.key, reason = error);
            }
        }
    }
    statuses
}

/// Decodes the orders among records of the operator; the services of those that cannot be used are
/// returned, too.
pub(super) fn decode_changes(records: &[Record]) -> (Vec<RolloutChange>, BTreeSet<String>) {
    let (mut changes, mut unusable) = (Vec::new(), BTreeSet::new());
    for record in records {
        match rollout::decode(record) {
            Ok(change) => changes.extend(change),
            Err(error) => {
                event!(EventCode::RolloutRejected, source = record.key, reason = error);
                unusable.extend(rollout::service(&record.key).map(str::to_owned));
            }
        }
    }
    (changes, unusable)
}

/// Logs how a view's roll-outs have changed.
pub(super) fn log_changes(before: &Book, after: &Book) {
    for (service, known) in after.orders() {
        let (order, is_known) = (&known.order, before.order(service).map(|k| &k.order.key));
        if is_known != Some(&order.key) {
            let duration_ms = order.duration.as_millis();
            let (target, offset) = (&order.key.target, order.key.offset);
            event!(
                EventCode::RolloutOrdered,
                service = service,
                target = target,
                offset = offset,
                duration_ms = duration_ms
            );
        }
    }
    for (service, known) in before.orders().filter(|(s, _)| after.order(s).is_none()) {
        event!(EventCode::RolloutWithdrawn, service = service, target = known.order.key.target);
    }
    for (service, (key, step)) in after.current_steps() {
        if before.step(service, key) != *step {
            let step: &str = step.into();
            event!(EventCode::RolloutStep, service = service, target = key.target, step = step);
        }
    }
    for (service, status) in after.statuses().filter(|(s, status)| before.status(s) != Some(status))
    {
        let (state, target): (&str, _) = (status.state.into(), &status.key.target);
        event!(
            EventCode::RolloutStatus,
            service = service,
            target = target,
            state = state,
            position = status.position
        );
    }
}
