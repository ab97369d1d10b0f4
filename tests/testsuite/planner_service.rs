//! The planner service with an in-memory log, on paused time, and its plans on running processes.

use futures::FutureExt;
use limpetmux::adapters::log::{LogClient, Stream};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::adapters::power::{PowerClient, PowerError, PowerOrder};
use limpetmux::core::planner::{AgentOptions, DutyFold, DutyRecord, LoadSample, PlanDelta};
use limpetmux::kernel::{Published, Publisher};
use limpetmux::node::local::StandIn;
use limpetmux::planner::{PlannerParts, PowerView, run, wait_for_sleep};
use limpetmux::prelude::*;
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::deployment::wait_for;
use limpetmux_test_support::load::Load;
use limpetmux_test_support::policy::{pool_config, view};
use limpetmux_test_support::processes::Processes;
use limpetmux_test_support::{FakeLog, name};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Nodes that run the planner service on one log, and the power orders that they sent.
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

async fn sleep_minutes(count: u64) {
    tokio::time::sleep(Duration::from_secs(60 * count)).await;
}

#[tokio::test(start_paused = true)]
async fn one_node_plans_and_all_nodes_agree() {
    let fleet = Fleet::new();
    let (_a, first) = fleet.start("entry-0", true);
    let (_b, second) = fleet.start("entry-1", true);
    let (_c, follower) = fleet.start("writer-0", false);

    sleep_minutes(30).await;

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
    sleep_minutes(30).await;
    let before = power.load();
    let (_second, power) = fleet.start("entry-1", true);
    first.abort();
    *fleet.calls.lock().unwrap() = 8;

    sleep_minutes(5).await;

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
    sleep_minutes(30).await;
    let before = power.load();

    fleet.log.set_down(true);
    *fleet.calls.lock().unwrap() = 8;
    sleep_minutes(60).await;
    let during = power.load();
    let orders = fleet.orders();
    fleet.log.set_down(false);
    sleep_minutes(10).await;

    assert_eq!(*before, *during);
    assert_eq!(orders, []);
    assert!(power.load().asleep.len() < before.asleep.len());
}

#[tokio::test(start_paused = true)]
async fn host_is_notified_that_it_is_to_sleep() {
    let fleet = Fleet::new();
    let (_planner, plan) = fleet.start("entry-0", true);
    let (_node, power) = fleet.start("writer", false);
    sleep_minutes(30).await;
    let host = plan.load().asleep.first().unwrap().clone();

    let fence = wait_for_sleep(power, &host).await;

    assert_eq!(fence, plan.load().fence);
}

/// Takes the lease for a planner of the test from any holder, and returns the fencing number.
async fn take_lease(log: &LogClient, planner: &str) -> Offset {
    loop {
        let page = (log.read)(Stream::Duties, Offset(0), Duration::ZERO).await.unwrap();
        let mut fold = DutyFold::new(page.first);
        for record in &page.records {
            fold.fold(record.offset, &DutyRecord::decode(&record.data).unwrap());
        }
        if let Some(lease) = fold.lease().filter(|l| l.holder == planner) {
            return lease.fence;
        }
        let previous = fold.lease().map(|l| l.last);
        append(log, DutyRecord::Grant { holder: planner.to_owned(), previous }).await;
    }
}

async fn append(log: &LogClient, record: DutyRecord) {
    (log.append)(Stream::Duties, record.encode().unwrap()).await.unwrap();
}

fn sleep_plan(fence: Offset, host: &Name) -> DutyRecord {
    let delta = PlanDelta { sleep: [host.to_string()].into(), ..PlanDelta::default() };
    DutyRecord::Plan { fence, delta }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_drains_and_switches_itself_off_for_the_planner_that_holds_the_lease() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join("sleep");
    let binary = Path::new(env!("CARGO_BIN_EXE_limpetmux"));
    let mut processes = Processes::start(binary, &dir, summary_config(), 1).await;
    let log = LogClient::http(OneCallClient::new().unwrap(), &processes.log.url());
    let load = Load::start(vec![processes.entries[0].url.clone()], 6, None);
    load.wait_for_answers(12).await;
    let (host, kept) = (name("encode-0"), name("encode-1"));
    let backend = Arc::clone(processes.standins[&host].backend());
    processes.power.attach(host.as_str(), Arc::clone(&backend));
    let paused = take_lease(&log, "paused").await;
    let fence = take_lease(&log, "planner").await;

    append(&log, sleep_plan(paused, &kept)).await;
    append(&log, sleep_plan(fence, &host)).await;
    while processes.sidecars.get_mut(&host).unwrap().is_running() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    load.wait_for_answers(12).await;
    let StandIn::Engine(engine) = &processes.standins["generate-0"] else { panic!("no engine") };
    wait_for(|| engine.orders().iter().any(|o| o.kind == "load" && o.fence == fence.0)).await;
    let tally = load.stop().await;

    assert_eq!(tally.faults, Vec::<String>::new());
    let off: Vec<_> = processes.power.orders().into_iter().filter(|o| !o.on).collect();
    let order =
        limpetmux_standins::power::PowerOrder { host: host.to_string(), on: false, fence: fence.0 };
    assert_eq!(off, [order]);
    assert_eq!(backend.running(), 0);
    assert!(processes.sidecars.get_mut(&kept).unwrap().is_running());
}

mod models {
    //! A sidecar orders the model of its backend server with the plan's fencing number.

    use super::*;
    use limpetmux::adapters::orders::{ModelOrder, OrderError, OrdersClient};
    use limpetmux::core::config::Fencing;
    use limpetmux::planner::{ModelParts, follow_model};
    use limpetmux_standins::{BackendOptions, Engine, EngineOptions};
    use std::sync::atomic::{AtomicU64, Ordering};

    /// Longer than the 5 s between two checks of the model.
    const CHECK_TIME: Duration = Duration::from_secs(6);

    /// The orders that were sent: model and fencing number.
    type Sent = Arc<Mutex<Vec<(String, u64)>>>;

    /// A sidecar's model task with the state that it follows.
    struct Host {
        config: Config,
        views: Publisher<View>,
        power: Publisher<PowerView>,
        incarnation: Arc<AtomicU64>,
        _task: JoinHandle<()>,
    }

    impl Host {
        fn start(fencing: Fencing, orders: OrdersClient) -> Self {
            let mut config = summary_config();
            config.services.get_mut("generate").unwrap().fencing = fencing;
            let views = Publisher::new(view(1, &config));
            let power = Publisher::new(PowerView::default());
            let incarnation = Arc::new(AtomicU64::new(1));
            let seen = Arc::clone(&incarnation);
            let task = tokio::spawn(follow_model(ModelParts {
                host: name("generate-0"),
                views: views.reader(),
                power: power.reader(),
                orders,
                incarnation: Arc::new(move || seen.load(Ordering::SeqCst)),
            }));
            Self { config, views, power, incarnation, _task: task }
        }

        async fn set_fence(&self, fence: u64) {
            let fence = Some(Offset(fence));
            self.power.publish(PowerView { fence, ..PowerView::default() });
            tokio::time::sleep(CHECK_TIME).await;
        }

        async fn set_model(&mut self, revision: u64, model: &str) {
            let model = Some(name(model));
            self.config.services.get_mut("generate").unwrap().model = model;
            self.views.publish(view(revision, &self.config));
            tokio::time::sleep(CHECK_TIME).await;
        }
    }

    /// Returns a client that records orders and fails the first `failures` of them.
    fn recorder(failures: usize) -> (OrdersClient, Sent) {
        let sent = Sent::default();
        let record = Arc::clone(&sent);
        let send = move |order: ModelOrder| {
            let mut sent = record.lock().unwrap();
            sent.push((order.model.to_string(), order.fence.0));
            let fails = sent.len() <= failures;
            async move { if fails { Err(OrderError::Refused(503)) } else { Ok(()) } }.boxed()
        };
        (OrdersClient { send: Arc::new(send) }, sent)
    }

    #[tokio::test(start_paused = true)]
    async fn model_is_ordered_once_for_each_fence_model_and_restart() {
        let (orders, sent) = recorder(1);
        let mut host = Host::start(Fencing::Checked, orders);
        tokio::time::sleep(CHECK_TIME).await;
        let without_planner = sent.lock().unwrap().len();

        host.set_fence(3).await;
        host.set_model(2, "dispatch-8b").await;
        host.set_fence(9).await;
        host.incarnation.store(2, Ordering::SeqCst);
        sleep_minutes(10).await;

        assert_eq!(without_planner, 0);
        let rows = [
            ("dispatch-7b", 3),
            ("dispatch-7b", 3),
            ("dispatch-8b", 3),
            ("dispatch-8b", 9),
            ("dispatch-8b", 9),
        ];
        assert_eq!(*sent.lock().unwrap(), rows.map(|(model, fence)| (model.to_owned(), fence)));
    }

    #[tokio::test(start_paused = true)]
    async fn backend_server_that_ignores_fencing_gets_repeated_orders() {
        let (orders, sent) = recorder(0);
        let host = Host::start(Fencing::Ignored, orders);

        host.set_fence(3).await;
        sleep_minutes(10).await;

        assert_eq!(sent.lock().unwrap().len(), 11);
    }

    /// Sends two orders, the newer fencing number first. Returns whether each was refused as
    /// fenced, and the fencing numbers that the engine applied.
    async fn send_reordered(checks_fence: bool) -> (Vec<bool>, Vec<u64>) {
        let backend = BackendOptions { checks_fence, ..BackendOptions::default() };
        let engine = Engine::start(EngineOptions { backend, ..EngineOptions::default() }).await;
        let engine = engine.unwrap();
        let orders = OrdersClient::http(OneCallClient::new().unwrap(), &engine.server.url());
        let mut fenced = Vec::new();
        for fence in [5, 3].map(Offset) {
            let result = (orders.send)(ModelOrder { model: name("dispatch-7b"), fence }).await;
            fenced.push(matches!(result, Err(OrderError::Fenced)));
        }
        (fenced, engine.orders().iter().map(|o| o.fence).collect())
    }

    #[tokio::test]
    async fn late_order_applies_only_on_an_engine_that_ignores_fencing() {
        let (checked, ignored) = (send_reordered(true).await, send_reordered(false).await);

        assert_eq!(checked, (vec![false, true], vec![5]));
        assert_eq!(ignored, (vec![false, false], vec![5, 3]));
    }
}
