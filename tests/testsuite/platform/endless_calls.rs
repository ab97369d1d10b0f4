//! Answers to calls for pieces without end, or a byte at a time, end at a bound and count as lost.

use super::endless_store::{Done, Endless, serve_endless, wait_stopped};
use super::node_fixture::fixture as node_fixture;
use super::node_fixture::{Fixture, OwnServer, config, fixture_with};
use super::stage_calls::{Fault, answer, lock, stage_servers};
use bytes::Bytes;
use http_body_util::StreamBody;
use hyper::body::Frame;
use limpetmux::core::pieces::CallEnd;
use limpetmux::core::read_limits::MAX_CALL_ANSWER_BYTES;
use limpetmux::platform::stage;
use limpetmux_standins::raw::serve_requests;
use reqwest::StatusCode;
use serde_json::{Value, json};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;
use tokio::time::timeout;
use tonic::body::Body;
use tonic::codegen::{Service, http};
use tonic::transport::Endpoint;

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
/// A head that states that the call did not run.
const REFUSAL: &str =
    "HTTP/1.1 503 Full\r\nx-limpetmux-not-executed: 1\r\ntransfer-encoding: chunked\r\n\r\n";
/// The bytes that one connection holds at most, and a margin.
const SOCKET_BYTES: usize = 8 * 1024 * 1024;

/// A sound server of the first stage beside one whose answers have no end.
async fn fixture(endless: Endless) -> (Fixture, Arc<Done>) {
    let (broken, done) = serve_endless(move |_| endless.clone()).await;
    let sound = serve_requests(|request| {
        let call: Value = serde_json::from_slice(&request.body).unwrap();
        let host = request.header("host").unwrap();
        let items = call["items"].as_array().map_or(0, Vec::len);
        let results: Vec<Value> =
            (0..items).map(|i| json!({"handle": format!("{host}/{i}-{}", call["items"][i]["id"].as_str().unwrap())})).collect();
        answer(200, "", &json!({"items": results}).to_string())
    });
    let own = [
        OwnServer { id: "s1", service: "first", addr: broken },
        OwnServer { id: "s9", service: "first", addr: sound.await.unwrap() },
    ];
    (fixture_with(&own).await, done)
}

async fn status(fixture: &Fixture, id: &str) -> u16 {
    let request = fixture.post("/chain/x", id).header("x-limpetmux-pieces", "8,1");
    let answer = request.header("x-limpetmux-piece-key", "k").send().await.unwrap();
    answer.status().as_u16()
}

async fn statuses(fixture: &Fixture) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..6 {
        statuses.push(status(fixture, &format!("{number}f")).await);
    }
    statuses
}

fn endless(begin: &str, unit: &[u8]) -> Endless {
    Endless { begin: begin.into(), unit: unit.into(), pause: Duration::ZERO }
}

/// Checks that requests succeed beside a server whose answers have no end, which are cut.
async fn check(endless: Endless, bound: &str) {
    let (fixture, done) = fixture(endless).await;

    let statuses = statuses(&fixture).await;
    wait_stopped(&fixture.sidecar, "stage_server", bound, 1).await;
    done.closed().await;
    let (calls, bytes) = (done.calls(), done.bytes.load(Ordering::Relaxed));
    println!("{bound}: {statuses:?}, {calls} calls, {bytes} bytes");
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(bytes <= calls * SOCKET_BYTES, "{bytes} bytes in {calls} calls");
}

#[tokio::test(flavor = "multi_thread")]
async fn body_without_end_is_read_to_its_bound_only() {
    // Guards against an answer that is collected until the call times out, whatever its size.
    check(endless(HEAD, &[b' '; 64 * 1024]), "body").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_end_is_not_taken_for_a_refusal() {
    // Guards against a call that counts as not run although its answer is no proper one.
    let chunk = [b"8000\r\n", &[b' '; 0x8000][..], b"\r\n"].concat();
    check(endless(REFUSAL, &chunk), "body").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn head_without_end_is_read_to_its_bound_only() {
    // Guards against a head that grows until the call times out.
    check(endless("HTTP/1.1 200 OK\r\n", &b"x: y\r\n".repeat(1_000)), "head").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn informational_answers_without_end_are_not_read_whole() {
    // Guards against answers that are skipped one after another until the call times out.
    check(endless("", b"HTTP/1.1 103 Early\r\nx: y\r\n\r\n"), "count").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn dripped_answer_ends_with_the_time_of_its_call_and_frees_its_place() {
    // Guards against a call that holds its pieces and its place because a byte arrives now and then.
    let pause = Duration::from_millis(100);
    check(Endless { begin: HEAD.into(), unit: b" ".into(), pause }, "time").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn results_are_not_used_if_their_answer_exceeds_its_bound() {
    // Guards against an answer that goes on after its results and is used nevertheless.
    let servers = stage_servers(|request, right, _| match request.earlier {
        0 if request.head.starts_with("post /stage-run ") => {
            let body = String::from_utf8(right).unwrap();
            let body = body.rsplit("\r\n\r\n").next().unwrap().to_owned();
            answer(200, "", &format!("{body}{}", " ".repeat(100 * MAX_CALL_ANSWER_BYTES)))
        }
        _ => right,
    })
    .await;

    let status = servers.status("1f", "8,1").await;

    assert_eq!(status, 503);
    wait_stopped(&servers.fixture.sidecar, "stage_server", "body", 1).await;
}

/// Checks that room for results is not used again while the calls that free it end at a bound.
async fn check_room(fault: Fault, bound: &str) {
    let servers = stage_servers(fault).await;
    // Results of 100 kB take up a room of 1 MB, of which a fourteenth stays free.
    let large = config(2, "k1").replace(r#""size-bytes":1000"#, r#""size-bytes":100000"#);
    // On a busy machine the requests take longer than results are held otherwise.
    let large = large.replace(r#""handle-s":4.0"#, r#""handle-s":600.0"#);
    servers.fixture.store.put("keyed.op", "config", &large);
    sleep(Duration::from_millis(1_000)).await;

    for id in ["1f", "2f", "3f", "4f", "5f"] {
        servers.status(id, "2,2").await;
    }

    let most_held = lock(&servers.made).most_held;
    assert!(most_held <= 9, "{most_held} results in the room for 9");
    wait_stopped(&servers.fixture.sidecar, "stage_server", bound, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn results_are_not_freed_by_an_answer_that_exceeds_its_bound() {
    // Guards against room that counts as free although the answer that confirms it is no proper one.
    let fault: Fault = |request, right, _| match request.head.starts_with("post /stage-free ") {
        true => answer(200, "", &" ".repeat(100 * MAX_CALL_ANSWER_BYTES)),
        false => right,
    };
    check_room(fault, "body").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn results_are_not_freed_by_an_answer_that_does_not_end_in_time() {
    // Guards against calls that free results and wait for the rest of their answers for ever.
    let fault: Fault = |request, right, _| match request.head.starts_with("post /stage-free ") {
        true => {
            let whole = answer(200, "", "x");
            whole[..whole.len() - 1].into()
        }
        false => right,
    };
    check_room(fault, "time").await;
}

#[test]
fn nested_answers_are_lost_whatever_their_depth() {
    // Guards against nested values that use up the stack.
    for begin in [r#"{"items":"#, r#"{"items":[{"handle":"#, r#"{"x":"#] {
        for nested in ["[", r#"{"a":"#] {
            let body = format!("{begin}{}", nested.repeat(200_000));
            assert_eq!(stage::decode(StatusCode::OK, false, body.as_bytes()), CallEnd::Lost);
        }
    }
}

/// The begin of a message of 64 KiB between nodes, and of one of 32 MiB.
const MESSAGES: [[u8; 5]; 2] = [[0, 0, 1, 0, 0], [0, 2, 0, 0, 0]];

/// The path of a call between nodes.
const PULL: &str = "/limpetmux.fleet.v1.Fleet/Pull";

/// Sends a process the begin of a message and then a byte at a time; returns the status of the answer.
pub(crate) async fn dripped_message(node: SocketAddr, path: &str, begin: [u8; 5]) -> String {
    let endpoint = Endpoint::from_shared(format!("http://{node}")).unwrap();
    let mut channel = endpoint.connect().await.unwrap();
    let bytes = futures::stream::unfold(Bytes::copy_from_slice(&begin), |bytes| async {
        sleep(Duration::from_millis(100)).await;
        Some((Ok::<_, tonic::Status>(Frame::data(bytes)), Bytes::from_static(&[0])))
    });
    let request = http::Request::builder()
        .method("POST")
        .uri(format!("http://{node}{path}"))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(Body::new(StreamBody::new(bytes)))
        .unwrap();
    poll_fn(|cx| channel.poll_ready(cx)).await.unwrap();
    let answer = timeout(Duration::from_secs(40), channel.call(request)).await.expect("no answer");
    answer.unwrap().headers()["grpc-status"].to_str().unwrap().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn dripped_message_of_another_node_ends_in_time() {
    // Guards against messages that hold their streams and bytes until their connections end.
    let fixture = node_fixture().await;

    let statuses = MESSAGES.map(|begin| dripped_message(fixture.entry.node_addr, PULL, begin));
    let statuses = futures::future::join_all(statuses).await;

    // The time exceeded, and a message that is too large by its stated length.
    assert_eq!(statuses, ["4", "11"]);
    wait_stopped(&fixture.entry, "node", "time", 1).await;
}
