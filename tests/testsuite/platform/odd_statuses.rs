//! Answers whose status is none, at each place where a process reads one.

use super::node_fixture::{Fixture, OwnServer, config, fixture_with};
use limpetmux_standins::raw::serve_bytes;
use std::time::Duration;
use tokio::time::sleep;

/// Numbers in the place of a status that no answer may have.
const ODD: [&str; 7] = ["000", "001", "099", "0", "1000", "-20", "2 0"];

async fn fixture_of(service: &'static str, status: &str, head: &str, body: &str) -> Fixture {
    let length = body.len();
    let answer = format!("HTTP/1.1 {status} Odd\r\n{head}content-length: {length}\r\n\r\n{body}");
    let addr = serve_bytes(answer).await.expect("a port");
    let fixture = fixture_with(&[OwnServer { id: "own", service, addr }]).await;
    // A backend server whose connections break counts as cold, and would get few requests.
    let warm = config(2, "k1").replace("\"cold-start-s\":3.0", "\"cold-start-s\":0.0");
    fixture.store.put("keyed.op", "config", &warm);
    sleep(Duration::from_secs(1)).await;
    fixture
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_status_that_is_none_reaches_no_caller() {
    // Guards against a caller that gets the answer of a faulty backend server with the status 000 (MIXED,
    // users' report), or is told that its request did not run.
    let head = "x-limpetmux-request-id: 1f\r\nx-limpetmux-response-signature: s\r\n";
    let stated = format!("{head}x-limpetmux-not-executed: 1\r\n");
    let events = "id: 1\ndata: a\n\n";
    for status in ODD {
        for (service, path, head, body) in [
            ("plain", "/once/x", head, "a"),
            ("plain", "/once/x", &stated, "a"),
            ("engine", "/stream/x", head, events),
        ] {
            let fixture = fixture_of(service, status, head, body).await;

            let answer = fixture.post(path, "1f").send().await.expect("an answer");

            assert_eq!(answer.status(), 502, "{status} at {path}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn pieces_are_not_taken_from_an_answer_with_a_status_that_is_none() {
    // Guards against results of a stage that are read from an answer with the status 000.
    for status in ODD {
        let pieces = "{\"items\":[{\"handle\":\"127.0.0.1:9/h\"}]}";
        let fixture = fixture_of("first", status, "", pieces).await;

        let answer = fixture.post_chain("1f", "1,1").send().await.expect("an answer");

        assert_eq!(answer.status(), 503, "{status}");
        assert!(fixture.engine.requests().is_empty(), "{status}");
    }
}
