//! Roll-outs that are interrupted: processes that are killed, a store that comes back from a copy, and a
//! second order. The load is a steady one on two routes.

use super::node_fixture::{config, settings};
use super::rollout_nodes::{ORDER, load, states, wait_state};
use limpetmux::serve::run::{RunningNode, start};
use limpetmux::serve::settings::NodeSettings;
use limpetmux_standins::users::{UsersServer, UsersStore};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::runtime::{Builder, Runtime};
use tokio::time::sleep;

/// A node in a runtime of its own, so that all its tasks end with it, as those of a killed process.
struct Process {
    node: Option<RunningNode>,
    runtime: Option<Runtime>,
}

impl Process {
    async fn start(settings: NodeSettings) -> Self {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let node = runtime.spawn(start(settings)).await.unwrap().unwrap();
        Self { node: Some(node), runtime: Some(runtime) }
    }

    fn node(&self) -> &RunningNode {
        self.node.as_ref().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.node.take();
        self.runtime.take().map(Runtime::shutdown_background).unwrap_or_default();
    }
}

/// A store and two backend servers each of two versions.
struct World {
    store: UsersStore,
    old: [UsersServer; 2],
    new: [UsersServer; 2],
}

impl World {
    async fn start() -> Self {
        let store = UsersStore::start().await.unwrap();
        store.put("keyed.op", "config", &config(1, "k1"));
        let server = |id| async move { UsersServer::start(id).await.unwrap() };
        let old = [server("o1").await, server("o2").await];
        let new = [server("n1").await, server("n2").await];
        let world = Self { store, old, new };
        world.list("v1", &world.old);
        world.list("v2", &world.new);
        world
    }

    fn list(&self, version: &str, servers: &[UsersServer]) {
        for (number, server) in servers.iter().enumerate() {
            let id = format!("{}{}", if version == "v1" { "o" } else { "n" }, number + 1);
            let entry = server.entry_of(version, "plain", "mnl-a", "ready");
            self.store.put("keyed.servers", &id, &entry);
        }
    }

    fn order(&self, target: &str, seconds: u32) {
        let order = format!(r#"{{"service":"plain","target":"{target}","duration-s":{seconds}}}"#);
        self.store.put("keyed.op", ORDER, &order);
    }

    /// Starts a sidecar and two entries.
    async fn nodes(&self) -> [Process; 3] {
        let sidecar = Process::start(settings("side", self.store.addr, false, Vec::new())).await;
        let seeds = vec![sidecar.node().node_addr];
        let entry = |name| settings(name, self.store.addr, true, seeds.clone());
        let entries = [Process::start(entry("e1")).await, Process::start(entry("e2")).await];
        while !entries.iter().all(|e| e.node().is_ready()) {
            sleep(Duration::from_millis(10)).await;
        }
        let [first, second] = entries;
        [sidecar, first, second]
    }

    fn requests(servers: &[UsersServer]) -> usize {
        servers.iter().map(|s| s.requests().len()).sum()
    }
}

fn entries(nodes: &[Process]) -> Vec<SocketAddr> {
    nodes.iter().filter_map(|n| n.node().caller_addr).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_is_completed_by_the_next_judge_when_the_first_is_killed() {
    let world = World::start().await;
    let [judge, nodes @ ..] = world.nodes().await;
    let load = load(&entries(&nodes));
    world.order("v2", 12);
    wait_state(&world.store, "running", Duration::from_secs(3)).await;
    sleep(Duration::from_secs(2)).await;
    drop(judge);
    wait_state(&world.store, "completed", Duration::from_secs(14)).await;
    assert_eq!(states(&world.store), ["running", "completed"]);
    load.end().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_goes_on_when_all_processes_are_killed() {
    let world = World::start().await;
    let nodes = world.nodes().await;
    let before = load(&entries(&nodes));
    world.order("v2", 12);
    wait_state(&world.store, "running", Duration::from_secs(3)).await;
    sleep(Duration::from_secs(1)).await;
    drop(nodes);
    before.end().await;
    let nodes = world.nodes().await;
    let after = load(&entries(&nodes));
    wait_state(&world.store, "completed", Duration::from_secs(14)).await;
    let old = World::requests(&world.old);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(World::requests(&world.old), old);
    assert_eq!(states(&world.store), ["running", "completed"]);
    assert_eq!(after.end().await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verdict_that_a_restored_store_has_lost_is_written_again() {
    let world = World::start().await;
    let nodes = world.nodes().await;
    world.order("v2", 3);
    wait_state(&world.store, "running", Duration::from_secs(3)).await;
    // Without requests nothing shows that the version is good.
    wait_state(&world.store, "rolled_back", Duration::from_secs(6)).await;
    sleep(Duration::from_millis(300)).await;
    world.store.restore(Duration::from_millis(600));
    assert_eq!(states(&world.store), ["running"]);
    wait_state(&world.store, "rolled_back", Duration::from_secs(5)).await;
    let load = load(&entries(&nodes));
    sleep(Duration::from_secs(1)).await;
    assert_eq!(World::requests(&world.new), 0);
    assert_eq!(states(&world.store), ["running", "rolled_back"]);
    assert_eq!(load.end().await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_order_refuses_the_version_of_the_first() {
    let world = World::start().await;
    let nodes = world.nodes().await;
    let load = load(&entries(&nodes));
    world.order("v2", 30);
    wait_state(&world.store, "running", Duration::from_secs(3)).await;
    sleep(Duration::from_secs(1)).await;
    world.order("v3", 6);
    wait_state(&world.store, "rolled_back", Duration::from_secs(9)).await;
    let new = World::requests(&world.new);
    sleep(Duration::from_millis(800)).await;
    assert_eq!(World::requests(&world.new), new, "the first version gets nothing any more");
    assert_eq!(states(&world.store), ["running", "running", "rolled_back"]);
    assert_eq!(load.end().await, 0);
}
