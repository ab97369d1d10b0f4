//! A call counts as unsent only if its connection carried nothing of it to the host.

use limpetmux::core::config::Config;
use limpetmux::wire::stage::stage_server::StageServer;
use limpetmux_test_support::config::{name, summary_config};
use limpetmux_test_support::http::Answer;
use limpetmux_test_support::lone_entry::{self, FakeStage};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

/// The requests that are sent, more than the connection to the host carries.
const REQUESTS: usize = 12;
/// The calls that one connection to a host carries at once.
const MAX_CALLS: usize = 2;
/// The deadline of the requests, beyond the end of the test.
const DEADLINE_MS: u64 = 60_000;
/// The time in which a connection learns its settings, and calls begin to wait for it.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// The longest that a machine under load may take for a few calls.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// The ids of the requests that arrived at a host.
pub(super) type Arrived = Arc<Mutex<BTreeSet<String>>>;

fn lock(arrived: &Arrived) -> MutexGuard<'_, BTreeSet<String>> {
    arrived.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A host that records the requests that arrive and answers none.
pub(super) fn silent_host(arrived: &Arrived) -> FakeStage {
    let arrived = Arc::clone(arrived);
    FakeStage::new(move |key| {
        lock(&arrived).insert(key.request.to_string());
        None
    })
}

/// Serves a host on a runtime, whose end closes all connections at once.
fn serve(runtime: &Runtime, arrived: &Arrived) -> SocketAddr {
    let host = StageServer::new(silent_host(arrived));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    runtime.spawn(async move {
        let incoming = TcpIncoming::from(TcpListener::from_std(listener).unwrap());
        let server = Server::builder()
            .max_concurrent_streams(u32::try_from(MAX_CALLS).unwrap())
            .add_service(host);
        server.serve_with_incoming(incoming).await
    });
    addr
}

/// Returns a configuration whose first stage has one host only.
pub(super) fn one_host(addr: SocketAddr) -> Config {
    let mut config = summary_config();
    let encode = name("encode");
    let ids: Vec<_> = config.hosts.iter().filter(|(_, h)| h.service == encode).collect();
    let others: Vec<_> = ids.into_iter().skip(1).map(|(id, _)| id.clone()).collect();
    config.hosts.retain(|id, _| !others.contains(id));
    for host in config.hosts.values_mut().filter(|h| h.service == encode) {
        host.sidecar = addr;
    }
    config
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_reached_a_host_is_not_unsent_when_its_connection_closes() {
    // Guards against a call that counts as never sent although it arrived, because its connection
    // closed while other calls still waited to be sent on it.
    let arrived = Arrived::default();
    let runtime = Runtime::new().unwrap();
    let caller = lone_entry::start(&one_host(serve(&runtime, &arrived))).await;
    let mut requests = JoinSet::new();
    let send = |requests: &mut JoinSet<Answer>| {
        let caller = caller.clone();
        let body = json!({ "input": 1, "deadline_ms": DEADLINE_MS });
        requests.spawn(async move { caller.run("exchange", "call-summary", &body).await });
    };

    // The first call makes the connection, which then knows how many calls it carries at once.
    send(&mut requests);
    wait_until("the first call arrives", || !lock(&arrived).is_empty()).await;
    tokio::time::sleep(SETTLE_TIME).await;
    (1..REQUESTS).for_each(|_| send(&mut requests));
    wait_until("the connection is full", || lock(&arrived).len() == MAX_CALLS).await;
    tokio::time::sleep(SETTLE_TIME).await;
    runtime.shutdown_background();
    let answers = requests.join_all().await;

    let arrived = lock(&arrived);
    let is_not_run = |a: &serde_json::Value| a["execution"] == "not_run";
    let has_arrived = |a: &serde_json::Value| arrived.contains(a["request"].as_str().unwrap());
    let bodies: Vec<_> = answers.iter().map(|a| &a.body).collect();
    let wrong: Vec<_> = bodies.iter().filter(|a| is_not_run(a) && has_arrived(a)).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    assert_eq!(bodies.iter().filter(|a| has_arrived(a)).count(), MAX_CALLS, "{bodies:?}");
    assert!(bodies.iter().any(|a| is_not_run(a)), "no request waited: {bodies:?}");
}
