//! Processes that start from their settings and read the configuration from the log.

use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::log::{LogClient, Stream};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::{
    Config, HostSpec, PipelineSpec, ServiceSpec, StageKind, StageSpec, WorkspaceSpec, ZoneSpec,
};
use limpetmux::core::shutdown::DrainReport;
use limpetmux::node::process::EntryListeners;
use limpetmux::node::{run_entry, run_sidecar};
use limpetmux::ops::drain::drain;
use limpetmux::settings::{Settings, parse};
use limpetmux_standins::{BackendOptions, Log, LogOptions, Plain};
use limpetmux_test_support::changes::{change_record, first_change};
use limpetmux_test_support::http::Caller;
use limpetmux_test_support::name;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

const ZONES: [&str; 2] = ["mnl-a", "mnl-b"];

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

fn settings(node: &str, zone: &str, log: &str, role: &serde_json::Value) -> Settings {
    let mut text = json!({
        "name": node,
        "region": "ph-luzon",
        "zone": zone,
        "listen": "127.0.0.1:0",
        "platform": { "log": log },
    });
    text.as_object_mut().unwrap().extend(role.as_object().unwrap().clone());
    parse("test.jsonc", &text.to_string()).unwrap()
}

fn config(sidecars: &[SocketAddr]) -> Config {
    let mut config = Config::default();
    let region = name("ph-luzon");
    for (i, zone) in ZONES.iter().enumerate() {
        config.zones.insert(name(zone), ZoneSpec { region: region.clone(), serving: true });
        let (zone, service) = (name(zone), name("directory"));
        let spec = HostSpec { zone, service, sidecar: sidecars[i], running: true };
        config.hosts.insert(name(&format!("directory-{i}")), spec);
    }
    let service = ServiceSpec {
        kind: StageKind::Plain,
        model: None,
        idempotent: true,
        fencing: Default::default(),
        concurrency: 8,
        cold: 2,
        warmup: Duration::from_millis(100),
        price: 1_000,
        floor: 1,
    };
    config.services.insert(name("directory"), service);
    let stage = StageSpec { name: name("look-up"), service: name("directory"), tokens: 0 };
    let deadline = Duration::from_secs(10);
    config.pipelines.insert(name("look-up"), PipelineSpec { stages: vec![stage], deadline });
    let pipelines = vec![name("look-up")];
    config
        .workspaces
        .insert(name("desk"), WorkspaceSpec { region, weight: 1, inflight: 64, pipelines });
    config
}

fn start_sidecar(settings: Settings, listener: TcpListener) -> JoinHandle<DrainReport> {
    tokio::spawn(async move {
        let sidecar = settings.sidecar.clone().unwrap();
        run_sidecar(&settings, &sidecar, listener, std::future::pending()).await.unwrap()
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn processes_read_the_configuration_serve_and_drain_without_a_failed_request() {
    let log = Log::start(LogOptions::default()).await.unwrap();
    let (mut plains, mut addresses, mut sidecars) = (Vec::new(), Vec::new(), Vec::new());
    for (i, zone) in ZONES.iter().enumerate() {
        let plain = Plain::start(BackendOptions::default()).await.unwrap();
        let (listener, addr) = listen().await;
        let role = json!({ "sidecar": { "backend": plain.url() } });
        let settings = settings(&format!("directory-{i}"), zone, &log.url(), &role);
        sidecars.push(start_sidecar(settings, listener));
        plains.push(plain);
        addresses.push(addr);
    }
    let client = LogClient::http(OneCallClient::new().unwrap(), &log.url());
    let record = change_record(first_change(&config(&addresses)));
    (client.append)(Stream::Config, record).await.unwrap();
    let ((http, http_addr), (grpc, _)) = (listen().await, listen().await);
    let (stop, signal) = oneshot::channel::<()>();
    let role = json!({ "entry": { "http": "127.0.0.1:0" } });
    let settings = settings("entry-0", ZONES[0], &log.url(), &role);
    let entry = tokio::spawn(async move {
        let entry = settings.entry.unwrap();
        let listeners = EntryListeners { http, grpc };
        let signal = async { drop(signal.await) };
        run_entry(&settings, &entry, listeners, signal).await.unwrap()
    });
    let caller = Caller::new(&format!("http://{http_addr}"));
    let body = json!({ "input": { "extension": 12 } });
    let send = || caller.run("desk", "look-up", &body);
    while send().await.status != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let drained = drain(&Channels::plain(), addresses[0], None).await.unwrap();
    let mut after = Vec::new();
    for _ in 0..8 {
        after.push(send().await.status);
    }
    stop.send(()).unwrap();
    let ended = entry.await.unwrap();

    assert!(drained.is_clean());
    assert_eq!(after, [200; 8]);
    assert!(ended.is_clean());
    assert!(sidecars.remove(0).await.unwrap().is_clean());
}
