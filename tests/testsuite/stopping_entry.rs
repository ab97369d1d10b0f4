//! An entry that stops on the product's own interface answers every request that it has accepted.

use super::channel_not_run::{one_host, silent_host};
use super::endless_entry::RUN;
use super::platform::drain::read_slowly;
use limpetmux::core::config::Config;
use limpetmux::core::frames::AttemptKey;
use limpetmux::core::shutdown::ShutdownOptions;
use limpetmux::util::hash::StreamHash;
use limpetmux::wire::stage::frame::Kind;
use limpetmux::wire::stage::stage_server::StageServer;
use limpetmux::wire::stage::{Data, Done, Frame};
use limpetmux_test_support::config::{name, summary_config};
use limpetmux_test_support::lone_entry::{self, FakeStage};
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

/// A stop whose grace is shorter than the time that callers allow.
const TIMES: ShutdownOptions = ShutdownOptions {
    notice: Duration::from_millis(600),
    deadline: Duration::from_millis(1_500),
    flush: Duration::from_secs(1),
};

#[tokio::test(flavor = "multi_thread")]
async fn request_that_outlasts_a_planned_stop_is_answered_before_the_exit() {
    // Guards against requests that were taken late in the grace of a stop, passed on, and cut at its
    // end without an answer (rule LOST).
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let server = Server::builder().add_service(StageServer::new(silent_host(&Default::default())));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    let (stop, stopped) = oneshot::channel::<()>();
    let signal = async { drop(stopped.await) };
    let (caller, report) = lone_entry::start_process(&one_host(addr), TIMES, signal).await;
    let body = json!({ "input": 1, "deadline_ms": 60_000 });
    let send = || {
        let (caller, body) = (caller.clone(), body.clone());
        tokio::spawn(async move { caller.run("exchange", "call-summary", &body).await })
    };

    let early = send();
    sleep(Duration::from_millis(100)).await;
    stop.send(()).expect("a process");
    sleep(Duration::from_millis(300)).await;
    let late = send();
    sleep(Duration::from_millis(700)).await;
    let refused = send();

    for accepted in [early, late] {
        let answer = accepted.await.expect("an answer");
        assert_eq!((answer.status, &answer.body["code"]), (503, &json!("stopped")));
        assert_ne!(answer.body["execution"], "not_run");
    }
    let answer = refused.await.expect("an answer");
    assert_eq!((answer.status, &answer.body["execution"]), (503, &json!("not_run")));
    let report = report.await.expect("a report");
    assert_eq!(report.unfinished, 2, "{report:?}");
}

/// The bytes of a long answer that is a JSON string.
const LONG_BYTES: usize = 8_000_000;
/// What its caller takes at a time.
const READ_BYTES: usize = 16_000;
/// The time within which the entry's process ends, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(60);

/// Returns the frames of a long answer.
fn long_answer(key: AttemptKey) -> Vec<Frame> {
    let text = json!("x".repeat(LONG_BYTES)).to_string();
    let mut hash = StreamHash::default();
    let mut kinds = Vec::new();
    for part in text.as_bytes().chunks(50_000) {
        hash.update(part);
        kinds.push(Kind::Data(Data { payload: part.to_vec().into(), tokens: 0 }));
    }
    let count = kinds.len() as u64;
    kinds.push(Kind::Done(Done { count, checksum: hash.value(), ..Done::default() }));
    let frame = |(n, kind)| Frame { id: Some(key.into()), sequence: n as u64, kind: Some(kind) };
    kinds.into_iter().enumerate().map(frame).collect()
}

/// Returns a configuration whose stage that may run once has hosts with long answers.
async fn long_answers() -> Config {
    let mut config = summary_config();
    for host in config.hosts.values_mut().filter(|h| h.service == name("provisioning")) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        host.sidecar = listener.local_addr().expect("an address");
        let service = StageServer::new(FakeStage::new(|key| Some(long_answer(key))));
        let server = Server::builder().add_service(service);
        tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener)));
    }
    config
}

#[test]
fn answer_that_its_caller_takes_slowly_is_not_cut_by_a_planned_stop() {
    // Guards against a process that exits while the HTTP server holds the end of an answer, though its
    // grace is not over (rule LOST).
    let (tests, process) = (Runtime::new().expect("threads"), Runtime::new().expect("threads"));
    let times = ShutdownOptions { deadline: PATIENCE, ..TIMES };
    let arrived = tests.block_on(async {
        let config = long_answers().await;
        let (stop, stopped) = oneshot::channel::<()>();
        let signal = async { drop(stopped.await) };
        let started =
            process.spawn(async move { lone_entry::start_process(&config, times, signal).await });
        let (caller, report) = started.await.expect("a process");
        let addr =
            caller.run_url("", "").split('/').nth(2).expect("an address").parse().expect("one");
        let body = json!({ "input": 1, "deadline_ms": 20_000 }).to_string();
        let head = format!(
            "{RUN}idempotency-key: {}\r\ncontent-length: {}\r\n\r\n",
            uuid::Uuid::now_v7(),
            body.len()
        );
        let caller = tokio::spawn(read_slowly(addr, head + &body, READ_BYTES));
        sleep(Duration::from_millis(500)).await;
        stop.send(()).expect("a process");
        let report = timeout(PATIENCE, report).await.expect("no exit").expect("a report");
        // All connections close, as when the process exits.
        process.shutdown_background();
        assert_eq!(report.unfinished, 0);
        timeout(PATIENCE, caller).await.expect("no end").expect("an answer")
    });

    assert!(arrived > LONG_BYTES, "{arrived} bytes");
}
