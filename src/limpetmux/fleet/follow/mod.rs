//! Follows the store, either directly or through another node.
//!
//! Three loops run on the control thread: one for the operator's records, one for the backend
//! servers and one for other nodes. Each of them updates the one view of the process, which the
//! traffic threads read. `pull` asks other nodes, and
//! `evidence` exchanges with them what they know of prompts that crash backend servers, and `notices`
//! what backend servers have stated about themselves. `rollout` judges versions that are being tried.

mod discover;
mod evidence;
mod notices;
mod pull;
mod reader;
mod rollout;
mod stops;

use crate::core::listing::{ListRecord, WriteDecision, WriteNumber};
use crate::core::log_position::{LogPosition, StoreEra};
use crate::core::operator::{Order, StatedOrders};
use crate::core::read_times::{ReadTimes, retry_pause};
use crate::core::time::Moment;
use crate::event;
use crate::kernel::Publisher;
use crate::platform::rollout::RolloutChange;
use crate::platform::store::{Page, Record, Store, StoreError};
use crate::platform::{orders, servers};
use crate::serve::node::{Shared, StoreView};
use crate::util::clock;
use crate::util::event::EventCode;
use evidence::Exchanges;
use notices::SeenVersions;
use reader::LostReads;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// The time between two checks whether the node has to read the store.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// The least time between two turns of pulls.
const PULL_INTERVAL: Duration = Duration::from_millis(50);
/// The turns after which a node that knows no other node, or could not read the product's own topic
/// before, reads that topic again.
const CANDIDATE_TURNS: usize = 16;

/// Owns the view of the process and keeps it up to date.
pub struct Follower {
    shared: Arc<Shared>,
    store: Store,
    view: Mutex<StoreView>,
    publisher: Publisher<StoreView>,
    /// Whether the store answered the last call.
    reachable: AtomicBool,
    /// Whether the last reads of the two topics failed or are late.
    lost: LostReads,
    exchanged: Exchanges,
    leaving_seen: SeenVersions,
    /// Whether the product's own topic has been read.
    candidates_read: AtomicBool,
    /// Whether the list of a node that has run for longer was pulled.
    compared: AtomicBool,
}

impl Follower {
    /// Creates a follower with an empty view.
    pub fn new(shared: Arc<Shared>, store: Store, publisher: Publisher<StoreView>) -> Arc<Self> {
        let view = Mutex::new(StoreView::default());
        Arc::new(Self {
            shared,
            store,
            view,
            publisher,
            reachable: AtomicBool::new(true),
            lost: LostReads::default(),
            exchanged: Exchanges::default(),
            leaving_seen: SeenVersions::default(),
            candidates_read: AtomicBool::new(false),
            compared: AtomicBool::new(false),
        })
    }

    /// Follows the store until the process exits.
    pub async fn run(self: Arc<Self>) {
        tokio::join!(
            self.follow_orders(),
            self.follow_listing(),
            self.follow_nodes(),
            self.preserve_verdicts(),
            self.judge_rollouts(),
            self.write_rollouts(),
            self.announce_again()
        );
    }

    async fn follow_orders(&self) {
        let mut failures = 0;
        loop {
            let age = self.with_view(|v| v.orders.age(clock::boot()));
            if !self.has_to_read(age, self.times().orders_stale, &self.lost.orders) {
                sleep(IDLE_INTERVAL).await;
                continue;
            }
            let requested_at = clock::boot();
            let result = self.watch(&self.lost.orders, self.read_orders(requested_at)).await;
            self.record_stop(orders::TOPIC, &result);
            self.log_reachability(&result);
            failures = if result.is_ok() { 0 } else { failures + 1 };
            if result.is_err() {
                sleep(self.pause(failures, requested_at)).await;
            } else if self.with_view(|v| v.orders.end.is_start()) {
                // The store does not hold reads of an empty topic.
                sleep(self.times().read_hold).await;
            }
        }
    }

    async fn follow_listing(&self) {
        let mut failures = 0;
        loop {
            let age = self.with_view(|v| clock::boot().since(v.listing.confirmed_at));
            if !self.has_to_read(age, self.times().listing_stale, &self.lost.listing) {
                sleep(IDLE_INTERVAL).await;
                continue;
            }
            let requested_at = clock::boot();
            let result = self.watch(&self.lost.listing, self.read_listing(requested_at)).await;
            self.record_stop(servers::TOPIC, &result);
            self.log_reachability(&result);
            if result.as_ref().is_err_and(StoreError::is_outage) {
                self.record_failure(requested_at);
            }
            failures = if result.is_ok() { 0 } else { failures + 1 };
            sleep(if result.is_ok() {
                self.times().listing_interval
            } else {
                self.pause(failures, requested_at)
            })
            .await;
        }
    }

    /// Records a failed read of the list in the view; nobody waits for that.
    fn record_failure(&self, began: Moment) {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        view.listing.record_failure(began);
    }

    /// Returns whether this node reads the store itself, given the age of its view, the age above which
    /// that is stale, and whether its last read failed, so that it tries whether the store is back.
    fn has_to_read(&self, age: Duration, stale: Duration, is_lost: &AtomicBool) -> bool {
        age > stale || is_lost.load(Ordering::Relaxed) || self.is_reader()
    }

    /// Returns the times that keep the bounds of the settings.
    fn times(&self) -> ReadTimes {
        self.shared.settings().bounds.read_times()
    }

    fn is_alone(&self) -> bool {
        self.shared.nodes().live(clock::boot()).next().is_none()
    }

    fn is_reader(&self) -> bool {
        if !self.shared.has_discovered() {
            return self.with_view(|v| v.orders.end.is_start() || v.listing.end.is_start());
        }
        let nodes = self.shared.nodes();
        let order = nodes.readers(clock::boot());
        order.first().is_some_and(|n| n.addr == nodes.local().addr)
    }

    async fn read_orders(&self, requested_at: Moment) -> Result<(), StoreError> {
        let from = self.with_view(|v| v.orders.end);
        if from.is_start() {
            return self.load_orders(requested_at).await;
        }
        match self.store.read(orders::TOPIC, from, self.times().read_hold).await {
            Ok(page) => {
                let changes = decode_orders(page.records.clone());
                let (rollouts, _) = rollout::decode_changes(&page.records);
                let current = self.update(|v| {
                    let current = match page.has_more {
                        true => v.orders.apply_part(page.end, changes),
                        false => v.orders.apply(requested_at, page.end, changes),
                    };
                    if current {
                        rollouts.into_iter().for_each(|c| c.apply(&mut v.rollouts, requested_at));
                    }
                    current
                });
                log_stale(current, &page, from);
                Ok(())
            }
            Err(StoreError::Trimmed | StoreError::Restored) => self.load_orders(requested_at).await,
            Err(error) => Err(error),
        }
    }

    async fn load_orders(&self, requested_at: Moment) -> Result<(), StoreError> {
        let page = self.store.newest(orders::TOPIC).await?;
        let mut config = None;
        let mut evacuated = BTreeSet::new();
        for order in decode_orders(page.records.clone()) {
            match order {
                Order::Declare(d) => config = Some(d),
                Order::Evacuate(zone) => drop(evacuated.insert(zone)),
                Order::Restore(_) => {}
            }
        }
        let (rollouts, unusable) = rollout::decode_changes(&page.records);
        self.update(|v| {
            let known = v.orders.end;
            let (confirmed_at, end) = (requested_at, page.end);
            let unlisted = Vec::new();
            let stated = StatedOrders { confirmed_at, end, config, evacuated, unlisted };
            let current = v.orders.replace(requested_at, stated);
            if current {
                let is_restored = page.end.era > known.era;
                v.rollouts
                    .replace_orders(RolloutChange::orders(rollouts, requested_at), |service| {
                        is_restored || unusable.contains(service)
                    });
            }
            log_stale(current, &page, known);
        });
        Ok(())
    }

    async fn read_listing(&self, requested_at: Moment) -> Result<(), StoreError> {
        let from = self.with_view(|v| v.listing.end);
        if from.is_start() {
            return self.load_listing(requested_at).await;
        }
        match self.store.read(servers::TOPIC, from, Duration::ZERO).await {
            Ok(page) => {
                let entries = decode_servers(page.records.clone());
                let current = self.update(|v| {
                    let current = match page.has_more {
                        true => v.listing.apply_part(requested_at, page.end, entries),
                        false => v.listing.apply(requested_at, page.end, entries),
                    };
                    v.listing.expire(requested_at);
                    current
                });
                log_stale(current, &page, from);
                Ok(())
            }
            Err(StoreError::Trimmed | StoreError::Restored) => {
                self.load_listing(requested_at).await
            }
            Err(error) => Err(error),
        }
    }

    async fn load_listing(&self, requested_at: Moment) -> Result<(), StoreError> {
        let page = self.store.newest(servers::TOPIC).await?;
        let entries = decode_servers(page.records.clone());
        self.update(|v| {
            let known = v.listing.end;
            log_stale(v.listing.replace(requested_at, page.end, entries), &page, known);
        });
        Ok(())
    }

    /// Discovers other nodes, then pulls from the node that reads the store or, if that view is
    /// stale, from others as well.
    async fn follow_nodes(&self) {
        let announced = async {
            // A failure is logged; the other nodes learn of this one from its pulls, too.
            let _ = self.announce().await;
            self.read_candidates().await;
        };
        tokio::join!(announced, self.discover());
        self.shared.mark_discovered();
        let mut turn = 0;
        loop {
            let began = clock::boot();
            self.compare_list().await;
            let sources = self.sources(turn);
            if sources.is_empty() {
                sleep(IDLE_INTERVAL).await;
            }
            if let Some(addr) = self.merge_addr(turn) {
                self.pull(addr, Duration::ZERO).await;
            }
            for addr in sources {
                if self.pull_or_tell(addr).await {
                    break;
                }
            }
            self.shared.quarantine.weigh(&self.shared.metrics);
            turn += 1;
            if turn.is_multiple_of(CANDIDATE_TURNS)
                && (self.is_alone() || !self.candidates_read.load(Ordering::Relaxed))
            {
                self.read_candidates().await;
            }
            let took = clock::boot().since(began);
            sleep(PULL_INTERVAL.saturating_sub(took).max(Duration::from_millis(1))).await;
            self.shared.nodes().remove_dead(clock::boot());
            self.forget_notices();
        }
    }

    /// Logs when the store stops answering or answers again.
    fn log_reachability(&self, result: &Result<(), StoreError>) {
        let reachable = result.is_ok();
        if self.reachable.swap(reachable, Ordering::Relaxed) == reachable {
            return;
        }
        match result {
            Ok(()) => event!(EventCode::StoreBack, end = self.with_view(|v| v.listing.end)),
            Err(error) => event!(EventCode::StoreLost, call = "read", reason = error),
        }
    }

    /// Returns the pause after some failed reads, the last of which began at `began`.
    fn pause(&self, failures: u32, began: Moment) -> Duration {
        let is_new = self.with_view(|v| v.orders.config.is_none());
        retry_pause(failures, is_new, clock::boot().since(began))
    }

    /// Returns the era of the view.
    fn era(&self) -> StoreEra {
        self.with_view(|v| v.orders.end.era)
    }

    fn with_view<T>(&self, read: impl FnOnce(&StoreView) -> T) -> T {
        read(&self.view.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Changes the view by what the store or this node knows, and publishes it.
    fn update<T>(&self, change: impl FnOnce(&mut StoreView) -> T) -> T {
        self.update_from("store", change)
    }

    /// Changes the view by what a source knows, and publishes it; logs changes of the version and of
    /// evacuated zones, so that a version can be followed through the nodes.
    fn update_from<T>(&self, source: impl Display, change: impl FnOnce(&mut StoreView) -> T) -> T {
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        let before = (view.orders.version(), view.orders.evacuated.clone());
        let rollouts = view.rollouts.clone();
        let result = change(&mut view);
        view.name_services();
        let orders = &view.orders;
        if before.0 != orders.version() {
            event!(
                EventCode::VersionInForce,
                version = orders.version(),
                end = orders.end,
                source = source,
                age_ms = orders.age(clock::boot()).as_millis()
            );
        }
        if before.1 != orders.evacuated {
            let zones: Vec<&str> = orders.evacuated.zones().map(|z| &**z).collect();
            event!(
                EventCode::ZonesEvacuated,
                zones = zones.join(","),
                end = orders.end,
                source = source
            );
        }
        if rollouts != view.rollouts {
            rollout::log_changes(&rollouts, &view.rollouts);
        }
        view.listing.take_decisions().iter().for_each(|decision| log_write(decision, &source));
        self.publisher.publish(view.clone());
        result
    }
}

fn decode_orders(records: Vec<Record>) -> Vec<Order> {
    let mut decoded = Vec::new();
    for record in records {
        match orders::decode(&record) {
            Ok(order) => decoded.extend(order),
            Err(error) => {
                event!(EventCode::OrderUnreadable, source = record.key, reason = error);
            }
        }
    }
    decoded
}

fn decode_servers(records: Vec<Record>) -> Vec<ListRecord> {
    let mut decoded = Vec::new();
    for record in records {
        let (entry, error) = servers::decode(record);
        if let Some(error) = error {
            event!(EventCode::ServerUnreadable, server = entry.id, reason = error);
        }
        decoded.push(entry);
    }
    decoded
}

fn log_write(decision: &WriteDecision, source: impl Display) {
    let code = match decision.believed {
        true => EventCode::WriteBelieved,
        false => EventCode::WriteDoubted,
    };
    let [write, latest] =
        [decision.write, decision.latest].map(|write| write.map_or((0, 0), WriteNumber::place));
    event!(
        code,
        server = decision.id,
        position = decision.position,
        started_ms = write.0,
        write = write.1,
        known_start_ms = latest.0,
        known_write = latest.1,
        source = source
    );
}

fn log_stale(current: bool, page: &Page, known: LogPosition) {
    if !current {
        event!(EventCode::StaleAnswer, end = page.end, known = known);
    }
}
