//! Keyed requests whose connection to a host ends before an answer arrives.

use limpetmux_test_support::once_fleet::{OnceFleet, PIPELINE, WORKSPACE};
use serde_json::json;
use tokio::net::TcpListener;
use uuid::Uuid;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_that_vouches_for_a_key_runs_it_after_a_lost_connection() {
    let mut fleet = OnceFleet::start().await;
    let fresh_key = || Uuid::now_v7().to_string();
    let key = std::iter::repeat_with(fresh_key).find(|k| fleet.home(k) == 0).unwrap();
    let addr = fleet.hosts[0].addr;
    fleet.drain(0).await;
    let listener = loop {
        match TcpListener::bind(addr).await {
            Ok(listener) => break listener,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let closing = tokio::spawn(async move { while listener.accept().await.is_ok() {} });
    let key_body = json!({ "input": { "key": key } });

    let answer = fleet.callers[0].run_once(WORKSPACE, PIPELINE, &key, &key_body).await;

    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(fleet.runs(&key), 1);
    closing.abort();
}
