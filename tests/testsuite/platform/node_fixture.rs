//! A store, backend servers, an entry and a sidecar that run over TCP in one process.

use limpetmux::core::answer_limits::AnswerLimits;
use limpetmux::core::retry_share::RetryLimit;
use limpetmux::serve::run::{RunningNode, start};
use limpetmux::serve::settings::{Bounds, NodeSettings, StoreSettings};
use limpetmux_standins::users::{UsersFault, UsersServer, UsersStore};
use reqwest::header::{HeaderMap, HeaderValue};
use reqwest::{Client, RequestBuilder, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

const CONFIG: &str = r#"{"version":VERSION,
 "routes":[
  {"name":"r1","host":"a.example","path-prefix":"/once/","kind":"non_idempotent","timeout-ms":2000,
   "target-latency-ms":200,"priority":1,"service":"plain","max-attempts":1},
  {"name":"r2","host":"a.example","path-prefix":"/safe/","kind":"idempotent","timeout-ms":2000,
   "target-latency-ms":200,"priority":1,"service":"plain","max-attempts":2},
  {"name":"r3","host":"a.example","path-prefix":"/chain/","kind":"streaming","timeout-ms":4000,
   "target-latency-ms":2000,"priority":1,"service":"engine","max-attempts":1,
   "stages":[{"service":"first","after":[],"size-bytes":1000},
             {"service":"second","after":[0],"size-bytes":1000}]},
  {"name":"r4","host":"a.example","path-prefix":"/stream/","kind":"streaming","timeout-ms":4000,
   "target-latency-ms":2000,"priority":1,"service":"engine","max-attempts":1}],
 "services":[
  {"name":"plain","max-connections":10,"cold-start-s":0.0,"cold-per-s":0.0},
  {"name":"engine","max-connections":10,"cold-start-s":3.0,"cold-per-s":6.3,"engine":{"slots":64}},
  {"name":"first","max-connections":10,"cold-start-s":0.0,"cold-per-s":0.0,"pieces":PIECES},
  {"name":"second","max-connections":10,"cold-start-s":0.0,"cold-per-s":0.0,"pieces":PIECES}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1000,"header-timeout-ms":3000,
  "idle-timeout-ms":15000},
 "tenants":[{"name":"w1","api-keys":["KEY"],"priority":1}]}"#;
const PIECES: &str = r#"{"slots":1,"queue":2,"batch":8,"call-ms":20.0,"item-ms":1.0,
  "headroom-mb":1.0,"handle-s":4.0,"link-mbps":10000}"#;

pub(super) fn config(version: u32, key: &str) -> String {
    let text = CONFIG.replace("VERSION", &version.to_string());
    text.replace("PIECES", PIECES).replace("KEY", key)
}

pub(super) fn settings(
    name: &str,
    store: SocketAddr,
    entry: bool,
    seeds: Vec<SocketAddr>,
) -> NodeSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    NodeSettings {
        name: name.into(),
        zone: "mnl-a".into(),
        caller_addr: entry.then_some(any),
        readiness_addr: entry.then_some(any),
        node_addr: any,
        metrics_addr: any,
        seeds,
        memory_mb: 100,
        caller_bytes: 25_000_000,
        max_descriptors: 2_000,
        bounds: Bounds {
            drain_time: Duration::from_secs(2),
            grace_period: Duration::from_secs(5),
            revoke_bound: Duration::from_secs(5),
            config_bound: Duration::from_secs(2),
            evacuate_bound: Duration::from_secs(5),
            retry_limit: RetryLimit {
                ratio: 0.2,
                allowance: 50.0,
                window: Duration::from_secs(10),
            },
        },
        answers: AnswerLimits::default(),
        store: StoreSettings { address: store },
    }
}

/// A store, two plain backend servers, an engine, a server of each stage, a sidecar and a ready
/// entry.
pub(super) struct Fixture {
    pub(super) store: UsersStore,
    pub(super) plain: [UsersServer; 2],
    pub(super) engine: UsersServer,
    pub(super) stages: [UsersServer; 2],
    pub(super) entry: RunningNode,
    pub(super) sidecar: RunningNode,
}

pub(super) async fn fixture() -> Fixture {
    fixture_with(&[]).await
}

/// A backend server that a test runs itself; it replaces all others of its service.
pub(super) struct OwnServer {
    pub(super) id: &'static str,
    pub(super) service: &'static str,
    pub(super) addr: SocketAddr,
}

impl OwnServer {
    fn entry(&self) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"mnl-a","slots":4,"state":"ready","born":1}}"#,
            self.service, self.addr
        )
    }
}

/// The fixture with backend servers of the test in place of some of its own.
pub(super) async fn fixture_with(own: &[OwnServer]) -> Fixture {
    fixture_within(AnswerLimits::default(), own).await
}

/// The fixture with backend servers of the test, and an entry with other limits on their answers.
pub(super) async fn fixture_within(answers: AnswerLimits, own: &[OwnServer]) -> Fixture {
    let store = UsersStore::start().await.unwrap();
    let server = |id| async move { UsersServer::start(id).await.unwrap() };
    let plain = [server("p1").await, server("p2").await];
    let (engine, stages) = (server("e1").await, [server("s1").await, server("s2").await]);
    store.put("keyed.op", "config", &config(1, "k1"));
    for (server, id, service) in [
        (&plain[0], "p1", "plain"),
        (&plain[1], "p2", "plain"),
        (&engine, "e1", "engine"),
        (&stages[0], "s1", "first"),
        (&stages[1], "s2", "second"),
    ] {
        if own.iter().all(|o| o.service != service) {
            store.put("keyed.servers", id, &server.entry(service, "mnl-a", "ready"));
        }
    }
    for server in own {
        store.put("keyed.servers", server.id, &server.entry());
    }
    let sidecar = start(settings("side", store.addr, false, Vec::new())).await.unwrap();
    let settings = settings("entry", store.addr, true, vec![sidecar.node_addr]);
    let entry = start(NodeSettings { answers, ..settings }).await.unwrap();
    while !entry.is_ready() {
        sleep(Duration::from_millis(10)).await;
    }
    Fixture { store, plain, engine, stages, entry, sidecar }
}

impl Fixture {
    pub(super) fn post(&self, path: &str, id: &str) -> RequestBuilder {
        self.post_at(&self.entry, path, id)
    }

    /// A request through another entry.
    pub(super) fn post_at(&self, entry: &RunningNode, path: &str, id: &str) -> RequestBuilder {
        let addr = entry.caller_addr.unwrap();
        Client::new()
            .post(format!("http://{addr}{path}"))
            .header("host", "a.example")
            .header("x-limpetmux-request-id", id)
            .header("x-limpetmux-deadline-ms", "2000")
            .header("authorization", "Bearer k1")
            .body("body")
    }

    /// A request with stages and the longest deadline of its route, which a busy machine meets.
    pub(super) fn post_chain(&self, id: &str, pieces: &str) -> RequestBuilder {
        let mut headers = HeaderMap::new();
        headers.insert("x-limpetmux-deadline-ms", HeaderValue::from(4_000));
        headers.insert("x-limpetmux-piece-key", HeaderValue::from_static("k"));
        let request = self.post("/chain/x", id).headers(headers);
        request.header("x-limpetmux-pieces", pieces)
    }

    pub(super) async fn send(&self, path: &str, id: &str) -> Response {
        self.post(path, id).send().await.unwrap()
    }

    /// Returns how often a request ran at the plain backend servers.
    pub(super) fn runs(&self, id: &str) -> usize {
        let seen = self.plain.iter().flat_map(UsersServer::requests);
        seen.filter(|s| s.headers["x-limpetmux-request-id"] == id).count()
    }

    pub(super) fn set_fault(&self, fault: UsersFault) {
        self.plain.iter().for_each(|s| s.set_fault(fault));
    }
}
