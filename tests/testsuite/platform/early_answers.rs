//! Answers that arrive while the request is still being sent, and whose connection is then reset.

use super::node_fixture::{OwnServer, config, fixture_with};
use limpetmux_standins::raw::{EarlyAnswer, serve_early};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::sleep;

/// The bytes of an upload, far more than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 3_000_000;
/// The requests for each kind of answer; which side of the connection sees the reset first is not the same
/// each time.
const ROUNDS: usize = 32;
/// The server has read a multiple of this by the end of the connection, a tenth of the upload.
const READ_STEP: usize = 10_000;
const STEPS: usize = 32;

/// Returns an answer without a length, with the beginning of a body.
fn begun(body: &str) -> Vec<u8> {
    let head =
        "HTTP/1.1 200 OK\r\nx-limpetmux-request-id: 1f\r\nx-limpetmux-response-signature: s\r\n";
    format!("{head}\r\n{body}").into_bytes()
}

/// Returns how often a caller takes the beginning of an answer for a whole one.
async fn count_whole(service: &'static str, path: &str, answer: Vec<u8>, resets: bool) -> usize {
    let served = AtomicUsize::new(0);
    let addr = serve_early(move || {
        let round = served.fetch_add(1, Ordering::Relaxed);
        EarlyAnswer { bytes: answer.clone(), reads: READ_STEP * (round % STEPS), resets }
    });
    let addr = addr.await.expect("a port");
    let fixture = fixture_with(&[OwnServer { id: "own", service, addr }]).await;
    let config = config(2, "k1").replace("\"max-body-bytes\":1000", "\"max-body-bytes\":4000000");
    // A backend server whose connections break counts as cold, and would get few requests.
    let config = config.replace("\"cold-start-s\":3.0", "\"cold-start-s\":0.0");
    fixture.store.put("keyed.op", "config", &config);
    sleep(Duration::from_secs(1)).await;
    let mut whole = 0;
    for _ in 0..ROUNDS {
        let answer = fixture.post(path, "1f").body(vec![b'x'; UPLOAD_BYTES]).send().await;
        let Ok(answer) = answer else { continue };
        let is_success = answer.status().is_success();
        whole += usize::from(answer.text().await.is_ok() && is_success);
    }
    whole
}

#[tokio::test(flavor = "multi_thread")]
async fn early_answer_whose_connection_is_reset_is_not_passed_on_as_complete() {
    // Guards against a caller that takes a part of an answer for a whole one because the reset was seen by
    // the upload and not by the answer (MIXED, users' report).
    let long = "x".repeat(200_000);
    let events = "id: 1\ndata: a\n\n";
    let cases = [
        ("plain", "/once/x", "a part"),
        ("plain", "/safe/x", long.as_str()),
        ("engine", "/stream/x", events),
    ];
    for (service, path, body) in cases {
        for resets in [true, false] {
            let whole = count_whole(service, path, begun(body), resets).await;

            let bytes = body.len();
            assert_eq!(whole, 0, "{path}, {bytes} bytes, reset {resets}: parts passed on as whole");
        }
    }
}
