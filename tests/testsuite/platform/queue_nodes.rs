//! Which node an entry takes for the queue node of a service.

use super::node_fixture::{Fixture, OwnServer, fixture_with};
use limpetmux::serve::run::RunningNode;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use std::future::pending;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

const DEADLINE: HeaderName = HeaderName::from_static("x-limpetmux-deadline-ms");

async fn metrics(node: &RunningNode) -> String {
    let answer = reqwest::get(format!("http://{}/", node.metrics_addr)).await.unwrap();
    answer.text().await.unwrap()
}

/// A fixture whose first stage never ends.
async fn endless_stage() -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((connection, _)) = listener.accept().await {
            open.push(connection);
        }
        pending::<()>().await;
    });
    fixture_with(&[OwnServer { id: "s1", service: "first", addr }]).await
}

#[tokio::test(flavor = "multi_thread")]
async fn end_of_a_deadline_does_not_move_the_queue() {
    // Guards against two queues for one service under overload: an entry took the end of its
    // request's own deadline for the silence of the queue node, and called another node.
    let fixture = endless_stage().await;
    for id in ["1f", "2f", "3f", "4f", "5f", "6f"] {
        let deadline = HeaderMap::from_iter([(DEADLINE, HeaderValue::from_static("300"))]);
        let answer = fixture.post_chain(id, "1,1").headers(deadline).send().await.unwrap();
        assert_eq!(answer.status(), 503);
    }
    // Calls of the entry itself would end by their own timeout and be counted.
    sleep(Duration::from_millis(1_500)).await;

    let [entry, sidecar] = [&fixture.entry, &fixture.sidecar];
    let [entry, sidecar] = [metrics(entry).await, metrics(sidecar).await];

    assert!(sidecar.contains("sidecar_calls"), "{sidecar}");
    assert!(!entry.contains("sidecar_calls"), "the entry called a stage server: {entry}");
}
