//! Model engines that end when they begin to answer a prompt with a certain part, and come back.

use super::node_fixture::{config, settings};
use limpetmux::serve::run::{RunningNode, start};
use limpetmux_standins::users::{UsersServer, UsersStore};
use reqwest::{Client, RequestBuilder};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// The part that ends engines.
pub(super) const POISON: &str = "bad0bad0";
/// The number of engines.
const ENGINES: usize = 8;
/// The time after which an engine that has ended is back.
const RESTART_TIME: Duration = Duration::from_millis(400);

/// A store, engines that come back after each end, a sidecar and entries.
pub(super) struct CrashFixture {
    pub(super) store: UsersStore,
    pub(super) engines: Vec<UsersServer>,
    pub(super) entries: Vec<RunningNode>,
    pub(super) sidecar: Option<RunningNode>,
    /// When an engine has ended.
    pub(super) crashes: Arc<Mutex<Vec<Instant>>>,
    restarts: Vec<JoinHandle<()>>,
}

impl Drop for CrashFixture {
    fn drop(&mut self) {
        self.restarts.iter().for_each(JoinHandle::abort);
    }
}

/// Starts a deployment with some entries, all of which are ready.
pub(super) async fn crash_fixture(entries: usize) -> CrashFixture {
    let store = UsersStore::start().await.unwrap();
    store.put(
        "keyed.op",
        "config",
        &config(1, "k1").replace("\"cold-start-s\":3.0", "\"cold-start-s\":0.0"),
    );
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (mut engines, mut restarts) = (Vec::new(), Vec::new());
    for number in 0..ENGINES {
        let engine = UsersServer::start(&format!("e{number}.0")).await.unwrap();
        engine.set_crash_part(POISON);
        engine.set_work_time(Duration::from_millis(5));
        store.put(
            "keyed.servers",
            &format!("e{number}.0"),
            &engine.entry("engine", "mnl-a", "ready"),
        );
        let kept = keep_running(store.clone(), engine.clone(), number, Arc::clone(&crashes));
        restarts.push(tokio::spawn(kept));
        engines.push(engine);
    }
    let sidecar = start(settings("side", store.addr, false, Vec::new())).await.unwrap();
    let mut fixture = CrashFixture {
        store,
        engines,
        entries: Vec::new(),
        sidecar: Some(sidecar),
        crashes,
        restarts,
    };
    for number in 0..entries {
        let entry = fixture.start_entry(&format!("entry{number}")).await;
        fixture.entries.push(entry);
    }
    fixture
}

/// Starts an engine again whenever it has ended, each time under a new id.
async fn keep_running(
    store: UsersStore,
    engine: UsersServer,
    number: usize,
    crashes: Arc<Mutex<Vec<Instant>>>,
) {
    for start in 1.. {
        while !engine.has_ended() {
            sleep(Duration::from_millis(2)).await;
        }
        crashes.lock().unwrap().push(Instant::now());
        sleep(RESTART_TIME).await;
        let id = format!("e{number}.{start}");
        store.put("keyed.servers", &format!("e{number}.{}", start - 1), "");
        engine.restart(&id).await.unwrap();
        store.put("keyed.servers", &id, &engine.entry("engine", "mnl-a", "ready"));
    }
}

impl CrashFixture {
    /// Starts one more entry and waits until it is ready.
    pub(super) async fn start_entry(&self, name: &str) -> RunningNode {
        let seeds = self.sidecar.iter().map(|s| s.node_addr).collect();
        self.start_entry_with(name, seeds).await
    }

    /// Starts one more entry, which knows a node at the start.
    pub(super) async fn start_entry_near(&self, name: &str, node: SocketAddr) -> RunningNode {
        self.start_entry_with(name, vec![node]).await
    }

    async fn start_entry_with(&self, name: &str, seeds: Vec<SocketAddr>) -> RunningNode {
        let entry = start(settings(name, self.store.addr, true, seeds)).await.unwrap();
        while !entry.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
        entry
    }

    /// A request for a stream whose prompt has some shared parts and one of its own.
    pub(super) fn prompt(&self, entry: &RunningNode, id: &str, shared: &str) -> RequestBuilder {
        let addr = entry.caller_addr.unwrap();
        Client::new()
            .post(format!("http://{addr}/stream/x"))
            .header("host", "a.example")
            .header("x-limpetmux-request-id", id)
            .header("x-limpetmux-deadline-ms", "2000")
            .header("x-limpetmux-token-usage", "300,20")
            .header("x-limpetmux-prompt-prefix", format!("{shared},{id}:100"))
            .header("authorization", "Bearer k1")
            .body("body")
    }

    /// Returns when each request reached an engine whose id begins with a letter.
    pub(super) fn arrivals(&self, letter: char) -> Vec<Instant> {
        let requests = self.engines.iter().flat_map(UsersServer::requests);
        let named = |id: &str| id.starts_with(letter);
        let sent = requests.filter(|r| named(&r.headers["x-limpetmux-request-id"]));
        let mut times: Vec<Instant> = sent.map(|r| r.at).collect();
        times.sort();
        times
    }
}

/// Sends a request, reads its answer to the end and returns whether it was served.
pub(super) async fn is_served(request: RequestBuilder) -> bool {
    let Ok(answer) = request.send().await else { return false };
    let is_success = answer.status().is_success();
    is_success && answer.text().await.is_ok()
}
