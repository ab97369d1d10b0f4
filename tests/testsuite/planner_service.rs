//! The planner duty around a log in the process, on paused time.

use futures::FutureExt;
use limpetmux::adapters::power::{PowerClient, PowerError, PowerOrder};
use limpetmux::core::planner::{AgentOptions, LoadSample};
use limpetmux::kernel::{Published, Publisher};
use limpetmux::planner::{PlannerParts, PowerView, run, wait_for_sleep};
use limpetmux::prelude::*;
use limpetmux_test_support::FakeLog;
use limpetmux_test_support::policy::{pool_config, view};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Nodes that run the duty over one log, and what they ordered.
struct Fleet {
    log: FakeLog,
    views: Publisher<View>,
    orders: Arc<Mutex<Vec<PowerOrder>>>,
    calls: Arc<Mutex<u32>>,
}

impl Fleet {
    fn new() -> Self {
        let config = pool_config(&[("mnl-a", 4), ("mnl-b", 4)], 8, 2);
        Self {
            log: FakeLog::new(),
            views: Publisher::new(view(1, &config)),
            orders: Arc::default(),
            calls: Arc::new(Mutex::new(1)),
        }
    }

    /// Starts a node; each awake backend server reports the fleet's current number of calls.
    fn start(&self, name: &str, candidate: bool) -> (JoinHandle<()>, Published<PowerView>) {
        let (orders, calls) = (Arc::clone(&self.orders), Arc::clone(&self.calls));
        let load = move |_: SocketAddr| {
            let inflight = *calls.lock().unwrap();
            async move { Some(LoadSample { inflight, queued: 0 }) }.boxed()
        };
        let set = move |order: PowerOrder| {
            orders.lock().unwrap().push(order);
            async { Ok::<(), PowerError>(()) }.boxed()
        };
        let publisher = Publisher::new(PowerView::default());
        let power = publisher.reader();
        let parts = PlannerParts {
            options: AgentOptions::new(name.to_owned()),
            log: self.log.client(),
            power: PowerClient { set: Arc::new(set) },
            views: self.views.reader(),
            load: Arc::new(load),
            candidate,
        };
        (tokio::spawn(run(parts, publisher)), power)
    }

    fn orders(&self) -> Vec<PowerOrder> {
        self.orders.lock().unwrap().clone()
    }
}

async fn minutes(count: u64) {
    tokio::time::sleep(Duration::from_secs(60 * count)).await;
}

#[tokio::test(start_paused = true)]
async fn one_node_plans_and_all_nodes_agree() {
    let fleet = Fleet::new();
    let (_a, first) = fleet.start("entry-0", true);
    let (_b, second) = fleet.start("entry-1", true);
    let (_c, follower) = fleet.start("writer-0", false);

    minutes(30).await;

    let plan = first.load();
    assert!(!plan.asleep.is_empty(), "{plan:?}");
    assert!(plan.asleep.len() < 8, "{plan:?}");
    assert_eq!(*plan, *second.load());
    assert_eq!(*plan, *follower.load());
    assert!(plan.holder.as_deref().is_some_and(|h| h.starts_with("entry-")));
}

#[tokio::test(start_paused = true)]
async fn another_node_takes_over_and_wakes_what_demand_needs() {
    let fleet = Fleet::new();
    let (first, power) = fleet.start("entry-0", true);
    minutes(30).await;
    let before = power.load();
    let (_second, power) = fleet.start("entry-1", true);
    first.abort();
    *fleet.calls.lock().unwrap() = 8;

    minutes(5).await;

    let after = power.load();
    assert_eq!(after.holder.as_deref(), Some("entry-1"));
    assert!(after.fence > before.fence);
    assert!(after.asleep.len() < before.asleep.len(), "{after:?}");
    let woken = fleet.orders();
    assert!(!woken.is_empty());
    assert!(woken.iter().all(|o| o.on && Some(o.fence) == after.fence), "{woken:?}");
}

#[tokio::test(start_paused = true)]
async fn last_plan_holds_through_a_long_outage() {
    let fleet = Fleet::new();
    let (_node, power) = fleet.start("entry-0", true);
    minutes(30).await;
    let before = power.load();

    fleet.log.set_down(true);
    *fleet.calls.lock().unwrap() = 8;
    minutes(60).await;
    let during = power.load();
    let orders = fleet.orders();
    fleet.log.set_down(false);
    minutes(10).await;

    assert_eq!(*before, *during);
    assert_eq!(orders, []);
    assert!(power.load().asleep.len() < before.asleep.len());
}

#[tokio::test(start_paused = true)]
async fn host_learns_that_it_is_to_sleep() {
    let fleet = Fleet::new();
    let (_planner, plan) = fleet.start("entry-0", true);
    let (_node, power) = fleet.start("writer", false);
    minutes(30).await;
    let host = plan.load().asleep.first().unwrap().clone();

    let fence = wait_for_sleep(power, &host).await;

    assert_eq!(fence, plan.load().fence);
}
