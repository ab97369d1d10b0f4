//! Roll-outs over TCP: two entries and a sidecar, a store that fails, and versions that are good, bad at
//! once, later, on one route, under load, or slow. The load is a steady one on two routes.

use super::node_fixture::{Fixture, fixture, settings};
use limpetmux::serve::run::{RunningNode, start};
use limpetmux_standins::users::{AppendFault, UsersServer, UsersStore, VersionQuality};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

pub(super) const ORDER: &str = "rollout/plain";
pub(super) const STATUS: &str = "keyed.status";
/// The pause of each of the callers between two requests.
const PAUSE: Duration = Duration::from_millis(20);
const CALLERS: u32 = 6;
/// The requests beyond a tenth of all that a bad version may get in the users' deployments.
const SLACK: usize = 50;

/// The fixture with a second entry and two backend servers of another version.
struct Deployment {
    fixture: Fixture,
    second: RunningNode,
    new: [UsersServer; 2],
}

async fn deployment() -> Deployment {
    let fixture = fixture().await;
    let seeds = vec![fixture.sidecar.node_addr];
    let second = start(settings("entry2", fixture.store.addr, true, seeds)).await.unwrap();
    while !second.is_ready() {
        sleep(Duration::from_millis(10)).await;
    }
    let new = [UsersServer::start("n1").await.unwrap(), UsersServer::start("n2").await.unwrap()];
    for (server, id) in new.iter().zip(["n1", "n2"]) {
        server.set_work_time(Duration::from_millis(2));
        let entry = server.entry_of("v2", "plain", "mnl-a", "ready");
        fixture.store.put("keyed.servers", id, &entry);
    }
    fixture.plain.iter().for_each(|s| s.set_work_time(Duration::from_millis(2)));
    Deployment { fixture, second, new }
}

impl Deployment {
    fn order(&self, seconds: &str) {
        let order = format!(r#"{{"service":"plain","target":"v2","duration-s":{seconds}}}"#);
        self.fixture.store.put("keyed.op", ORDER, &order);
    }

    fn states(&self) -> Vec<String> {
        states(&self.fixture.store)
    }

    async fn wait_state(&self, state: &str, within: Duration) {
        wait_state(&self.fixture.store, state, within).await;
    }

    fn new_requests(&self) -> usize {
        self.new.iter().map(|s| s.requests().len()).sum()
    }

    fn old_requests(&self) -> usize {
        self.fixture.plain.iter().map(|s| s.requests().len()).sum()
    }

    /// Sends requests through both entries until the result is ended.
    fn load(&self) -> Load {
        let entries = [self.fixture.entry.caller_addr, self.second.caller_addr];
        load(&entries.map(Option::unwrap))
    }
}

/// Returns the states that were written of the order, in their order.
pub(super) fn states(store: &UsersStore) -> Vec<String> {
    let state = |value: &Vec<u8>| -> String {
        let status: Value = serde_json::from_slice(value).unwrap();
        status["state"].as_str().unwrap().to_owned()
    };
    store.history(STATUS, ORDER).iter().map(state).collect()
}

pub(super) async fn wait_state(store: &UsersStore, state: &str, within: Duration) {
    let end = Instant::now() + within;
    while states(store).last().is_none_or(|last| last != state) {
        assert!(Instant::now() < end, "not {state} within {within:?}: {:?}", states(store));
        sleep(Duration::from_millis(20)).await;
    }
}

/// Sends requests through some entries until the result is ended.
pub(super) fn load(entries: &[SocketAddr]) -> Load {
    let (tasks, failures) = (JoinSet::new(), Arc::new(AtomicU32::new(0)));
    let mut load = Load { tasks, failures, stops: Arc::default() };
    for caller in 0..CALLERS {
        let addr = entries[caller as usize % entries.len()];
        let path = if caller < CALLERS / 2 { "/safe/x" } else { "/once/x" };
        let (failures, stops) = (Arc::clone(&load.failures), Arc::clone(&load.stops));
        load.tasks.spawn(async move {
            let client = reqwest::Client::new();
            for number in 0.. {
                if stops.load(Ordering::Relaxed) {
                    return;
                }
                let request = client
                    .post(format!("http://{addr}{path}"))
                    .header("host", "a.example")
                    .header("x-limpetmux-request-id", format!("c{caller}-{number}"))
                    .header("x-limpetmux-deadline-ms", "2000")
                    .header("authorization", "Bearer k1");
                let answer = request.body("body").send().await;
                let is_served = answer.is_ok_and(|a| a.status().is_success());
                failures.fetch_add(u32::from(!is_served), Ordering::Relaxed);
                sleep(PAUSE).await;
            }
        });
    }
    load
}

/// Callers that send requests.
pub(super) struct Load {
    tasks: JoinSet<()>,
    failures: Arc<AtomicU32>,
    stops: Arc<AtomicBool>,
}

impl Load {
    /// Ends the callers and returns how many requests were not served.
    pub(super) async fn end(mut self) -> u32 {
        self.stops.store(true, Ordering::Relaxed);
        while self.tasks.join_next().await.is_some() {}
        self.failures.load(Ordering::Relaxed)
    }
}

/// Plays an order to a bad version, and checks that it is rolled back within the share.
async fn assert_rolled_back(quality: VersionQuality) -> Deployment {
    let deployment = deployment().await;
    deployment.new.iter().for_each(|s| s.set_quality(quality));
    deployment.order("12");
    let ordered_at = Instant::now();
    let load = deployment.load();
    deployment.wait_state("rolled_back", Duration::from_secs(14)).await;
    // The nodes hear of it within two pulls, far sooner than the operator allows.
    sleep(Duration::from_millis(600)).await;
    let before = deployment.new_requests();
    let to_deadline = Duration::from_secs(12).saturating_sub(ordered_at.elapsed());
    sleep(to_deadline.max(Duration::from_secs(1))).await;
    assert_eq!(deployment.new_requests(), before, "nothing more after the roll-back");
    assert_eq!(deployment.states(), ["running", "rolled_back"]);
    let all = deployment.old_requests() + before;
    assert!(before > 0 && before <= all / 10 + SLACK, "{before} of {all}");
    load.end().await;
    deployment
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn good_version_is_completed_and_nothing_is_lost() {
    let deployment = deployment().await;
    let load = deployment.load();
    sleep(Duration::from_millis(500)).await;
    deployment.order("8");
    deployment.wait_state("running", Duration::from_secs(3)).await;
    deployment.wait_state("completed", Duration::from_secs(8)).await;
    let old = deployment.old_requests();
    sleep(Duration::from_millis(700)).await;
    assert_eq!(deployment.old_requests(), old, "the old version gets nothing once it is completed");
    assert_eq!(deployment.states(), ["running", "completed"]);
    assert_eq!(load.end().await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_an_order_all_versions_are_served_and_nothing_is_written() {
    let deployment = deployment().await;
    let load = deployment.load();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(load.end().await, 0);
    let (old, new) = (deployment.old_requests(), deployment.new_requests());
    assert!(old > 0 && new > 0, "{old} and {new}");
    assert_eq!(deployment.fixture.store.values(STATUS).len(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_that_is_bad_at_once_is_rolled_back() {
    assert_rolled_back(VersionQuality { one_in: 2, ..VersionQuality::default() }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_that_is_bad_on_one_route_is_rolled_back() {
    let quality = VersionQuality { one_in: 1, path: Some("/once/"), ..VersionQuality::default() };
    assert_rolled_back(quality).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_version_is_rolled_back() {
    let delay = Some(Duration::from_millis(60));
    assert_rolled_back(VersionQuality { one_in: 2, delay, ..VersionQuality::default() }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_that_turns_bad_late_is_rolled_back() {
    let quality = VersionQuality { one_in: 2, after: 40, ..VersionQuality::default() };
    assert_rolled_back(quality).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_that_is_bad_under_load_is_rolled_back() {
    let quality = VersionQuality { one_in: 2, load: 12, ..VersionQuality::default() };
    assert_rolled_back(quality).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_taken_back_is_rolled_back() {
    let deployment = deployment().await;
    let load = deployment.load();
    deployment.order("20");
    deployment.wait_state("running", Duration::from_secs(3)).await;
    deployment.fixture.store.remove("keyed.op", ORDER);
    deployment.wait_state("rolled_back", Duration::from_secs(4)).await;
    sleep(Duration::from_millis(300)).await;
    let new = deployment.new_requests();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(deployment.new_requests(), new);
    assert_eq!(load.end().await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_order_changes_nothing() {
    let deployment = deployment().await;
    deployment.order("0");
    let load = deployment.load();
    sleep(Duration::from_millis(1_500)).await;
    assert!(deployment.new_requests() > 0);
    assert_eq!(load.end().await, 0);
    assert_eq!(deployment.states(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_and_late_answers_of_the_store_write_one_verdict() {
    let deployment = deployment().await;
    let store = &deployment.fixture.store;
    let load = deployment.load();
    store.set_appends(AppendFault::AnswerLost);
    deployment.order("8");
    deployment.wait_state("running", Duration::from_secs(3)).await;
    store.set_appends(AppendFault::DoneLate(Duration::from_millis(1_600)));
    deployment.wait_state("completed", Duration::from_secs(10)).await;
    sleep(Duration::from_secs(3)).await;
    assert_eq!(deployment.states(), ["running", "completed"]);
    assert_eq!(load.end().await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn store_that_is_away_at_the_verdict_gets_it_later() {
    let deployment = deployment().await;
    deployment.new.iter().for_each(|s| {
        s.set_quality(VersionQuality { one_in: 1, ..VersionQuality::default() });
    });
    deployment.order("12");
    deployment.wait_state("running", Duration::from_secs(3)).await;
    // The nodes read the list of backend servers twice a second.
    sleep(Duration::from_millis(800)).await;
    deployment.fixture.store.set_down(true);
    let load = deployment.load();
    sleep(Duration::from_secs(4)).await;
    let new = deployment.new_requests();
    assert!(new > 0 && new < 60, "{new} requests until all stopped");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(deployment.new_requests(), new, "stopped before it is written");
    assert_eq!(deployment.states(), ["running"]);
    deployment.fixture.store.set_down(false);
    deployment.wait_state("rolled_back", Duration::from_secs(5)).await;
    load.end().await;
}
