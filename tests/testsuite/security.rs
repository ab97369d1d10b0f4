//! Processes of the system authenticate each other with TLS certificates.

use limpetmux::adapters::channel::Channels;
use limpetmux::ops::admin_client::connect;
use limpetmux::ops::status::status;
use limpetmux::wire::admin::StatusRequest;
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::deployment::wait_for;
use limpetmux_test_support::http::Caller;
use limpetmux_test_support::load::{Load, expected_summary};
use limpetmux_test_support::processes::{Processes, wait_until_ready};
use limpetmux_test_support::tls::{Authority, DEPLOYMENT};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use tokio::net::TcpListener;
use tonic::Code;
use tonic::service::Routes;
use uuid::Uuid;

const WORKSPACE: &str = "exchange";
/// Enough random keys to reach both homes.
const FRESH_KEYS: u32 = 16;

/// Serves no gRPC service, so that a client that is accepted gets `Unimplemented`.
async fn serve(channels: &Channels) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (addr, channels) = (listener.local_addr().unwrap(), channels.clone());
    tokio::spawn(async move {
        channels.serve(Routes::default(), listener, std::future::pending()).await.unwrap();
    });
    addr
}

/// Returns whether the server accepts a call.
async fn is_accepted(channels: &Channels, addr: SocketAddr) -> bool {
    let Ok(mut client) = connect(channels, addr).await else { return false };
    let answer = client.status(StatusRequest {}).await;
    answer.is_err_and(|status| status.code() == Code::Unimplemented)
}

async fn wait_refused(channels: &Channels, count: u64) {
    wait_for(|| channels.failed_handshakes() >= count).await;
}

#[tokio::test]
async fn only_certificates_of_the_authority_are_accepted() {
    let (trusted, other) = (Authority::new(), Authority::new());
    let server = trusted.channels();
    let addr = serve(&server).await;

    let member = is_accepted(&trusted.channels(), addr).await;
    let before = server.failed_handshakes();
    let foreign = is_accepted(&other.channels(), addr).await;
    let plain = is_accepted(&Channels::plain(), addr).await;

    assert_eq!((member, before), (true, 0));
    assert_eq!((foreign, plain), (false, false));
    wait_refused(&server, 2).await;
}

#[tokio::test]
async fn client_certificate_of_another_authority_is_refused() {
    let (trusted, other) = (Authority::new(), Authority::new());
    let server = trusted.channels();
    let addr = serve(&server).await;
    let mut forged = other.issue(DEPLOYMENT);
    forged.authority = trusted.issue(DEPLOYMENT).authority;

    let accepted = is_accepted(&Channels::tls(&forged).unwrap(), addr).await;

    assert!(!accepted);
    wait_refused(&server, 1).await;
}

#[tokio::test]
async fn server_of_another_deployment_is_refused_by_its_name() {
    let authority = Authority::new();
    let other = Channels::tls(&authority.issue("sierra-costa")).unwrap();
    let addr = serve(&other).await;

    let accepted = is_accepted(&authority.channels(), addr).await;

    assert!(!accepted);
    assert!(is_accepted(&other, addr).await);
}

#[tokio::test]
async fn both_authorities_are_accepted_during_a_change() {
    let (old, new) = (Authority::new(), Authority::new());
    let mut parts = old.issue(DEPLOYMENT);
    parts.authority += &new.issue(DEPLOYMENT).authority;
    let both = Channels::tls(&parts).unwrap();
    let addr = serve(&both).await;
    let mut replaced = new.issue(DEPLOYMENT);
    replaced.authority.clone_from(&parts.authority);

    let before = is_accepted(&both, addr).await;
    let after = is_accepted(&Channels::tls(&replaced).unwrap(), addr).await;

    assert_eq!((before, after), (true, true));
}

/// Starts separate processes with certificates of an authority.
async fn start(test: &str, authority: Authority) -> Processes {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let binary = Path::new(env!("CARGO_BIN_EXE_limpetmux"));
    Processes::start_with(binary, &dir, summary_config(), 1, Some(authority)).await
}

/// Sends fresh keys until `FRESH_KEYS` in a row have run, so that both homes have run some.
async fn run_keys(url: &str) {
    let caller = Caller::new(url);
    let mut answered = 0;
    while answered < FRESH_KEYS {
        let key = Uuid::now_v7().to_string();
        let body = json!({ "input": { "key": key }, "deadline_ms": 2_000 });
        let answer = caller.run_once(WORKSPACE, "port", &key, &body).await;
        answered = if answer.status == 200 { answered + 1 } else { 0 };
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_and_homes_use_tls_while_the_log_is_down() {
    let processes = start("tls_outage", Authority::new()).await;
    run_keys(&processes.entries[0].url).await;
    processes.log.faults.set_outage(true);

    // A new entry can get the configuration only from peers.
    let entry = processes.start_entry(1);
    wait_until_ready(&entry.url).await;
    // A home runs fresh keys only with a promise of its successor.
    run_keys(&entry.url).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_loads_a_new_certificate_and_interrupts_no_request() {
    let authority = Authority::new();
    let operator = authority.channels();
    let mut processes = start("tls_restart", authority).await;
    let load = Load::start(vec![processes.entries[0].url.clone()], 6, None);
    load.wait_for_answers(6).await;
    let host = processes.config.hosts.keys().find(|h| h.as_str().starts_with("generate")).cloned();
    let host = host.unwrap();
    let file = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("tls_restart")
        .join(format!("{host}.certificate.pem"));
    let before = std::fs::read_to_string(&file).unwrap();

    let ended = processes.sidecars.get_mut(&host).unwrap().terminate().await;
    processes.start_sidecar(&host);
    let sidecar = [processes.config.hosts[&host].sidecar];
    while status(&operator, &sidecar).await.nodes[0].role != "sidecar" {
        tokio::task::yield_now().await;
    }
    load.wait_for_answers(12).await;
    let tally = load.stop().await;

    assert_ne!(before, std::fs::read_to_string(&file).unwrap());
    assert!(ended.success(), "{ended}");
    assert_eq!(tally.faults, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_run_over_tls() {
    let authority = Authority::new();
    let operator = authority.channels();
    let processes = start("tls_path", authority).await;
    let caller = Caller::new(&processes.entries[0].url);
    let sidecar = processes.config.hosts.values().next().unwrap().sidecar;
    let input = json!("summarise the night shift");
    let body = json!({ "input": input, "deadline_ms": 20_000 });

    let answer = caller.run(WORKSPACE, "call-summary", &body).await;
    let shown = status(&operator, &[sidecar]).await;
    let hidden = status(&Channels::plain(), &[sidecar]).await;

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.body["output"], json!(expected_summary(&input)));
    assert_eq!(shown.nodes[0].role, "sidecar");
    assert_eq!(hidden.nodes[0].role, "unreachable");
}
