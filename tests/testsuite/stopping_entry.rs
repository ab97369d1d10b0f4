//! An entry that stops on the product's own interface answers every request that it has accepted.

use super::channel_not_run::{one_host, silent_host};
use limpetmux::core::shutdown::ShutdownOptions;
use limpetmux::wire::stage::stage_server::StageServer;
use limpetmux_test_support::lone_entry;
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::sleep;
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
