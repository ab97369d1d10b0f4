//! Answers of backend servers that stop at any byte of their head.

use super::node_fixture::{Fixture, OwnServer, config, fixture_with};
use limpetmux_standins::raw::{CutAnswer, serve_cut};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

const PLAIN: &str = "HTTP/1.1 200 OK\r\nx-limpetmux-request-id: 1f\r\n\
    x-limpetmux-response-signature: s\r\ncontent-length: 5\r\n\r\nwhole";
const STREAM: &str = "HTTP/1.1 200 OK\r\nx-limpetmux-request-id: 1f\r\n\
    x-limpetmux-response-signature: s\r\ntransfer-encoding: chunked\r\n\r\n\
    13\r\nid: 1\ndata: whole\n\n\r\n0\r\n\r\n";
const PIECES: &str = "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n\
    {\"items\":[{\"handle\":\"127.0.0.1:9/h\"}]}  ";

/// A deployment in which one service has a backend server that breaks its answers off.
struct Cutting {
    fixture: Fixture,
    answer: Arc<Mutex<CutAnswer>>,
}

async fn cutting(service: &'static str) -> Cutting {
    let answer = Arc::new(Mutex::new(CutAnswer { bytes: Vec::new(), resets: false }));
    let next = Arc::clone(&answer);
    let addr = serve_cut(move || next.lock().unwrap_or_else(PoisonError::into_inner).clone());
    let addr = addr.await.expect("a port");
    let fixture = fixture_with(&[OwnServer { id: "own", service, addr }]).await;
    // A backend server whose connections break counts as cold, and would get few requests.
    let warm = config(2, "k1").replace("\"cold-start-s\":3.0", "\"cold-start-s\":0.0");
    fixture.store.put("keyed.op", "config", &warm);
    sleep(Duration::from_secs(1)).await;
    Cutting { fixture, answer }
}

impl Cutting {
    fn cut(&self, answer: &str, bytes: usize, resets: bool) {
        let bytes = answer.as_bytes()[..bytes].to_vec();
        *self.answer.lock().unwrap_or_else(PoisonError::into_inner) = CutAnswer { bytes, resets };
    }

    /// Returns whether the caller gets a success that looks complete.
    async fn looks_complete(&self, path: &str) -> bool {
        let answer = self.fixture.post(path, "1f").send().await;
        match answer {
            Ok(answer) => answer.status().is_success() && answer.text().await.is_ok(),
            Err(_) => false,
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_stops_at_any_byte_is_not_passed_on_as_complete() {
    // Guards against a 200 with an empty or short body, framed as whole, of a backend server that
    // stopped in the middle of its answer's head (rules MIXED and ORDER).
    for (service, path, answer) in [("plain", "/once/x", PLAIN), ("engine", "/stream/x", STREAM)] {
        let cutting = cutting(service).await;
        for cut in 0..answer.len() {
            for resets in [false, true] {
                cutting.cut(answer, cut, resets);
                let complete = cutting.looks_complete(path).await;
                assert!(!complete, "{path} cut at {cut} of {}, {resets}", answer.len());
            }
        }
        cutting.cut(answer, answer.len(), false);
        assert!(cutting.looks_complete(path).await, "{path} whole");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn pieces_whose_answer_stops_are_not_taken_for_completed() {
    // Guards against results that are read from half an answer to a call for pieces.
    let cutting = cutting("first").await;
    let head = PIECES.find("\r\n\r\n").expect("an end of the head");
    let cuts = [(0, true), (17, false), (head - 1, true), (head + 4, false), (head + 4, true)];
    for (cut, resets) in cuts {
        cutting.cut(PIECES, cut, resets);
        let answer = cutting.fixture.post_chain("1f", "1,1").send().await.expect("an answer");
        assert_eq!(answer.status(), 503, "cut at {cut}, {resets}");
    }
    assert!(cutting.fixture.engine.requests().is_empty());
}
