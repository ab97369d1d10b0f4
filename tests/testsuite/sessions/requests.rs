//! Single requests from the caller to the backend servers and back.

use super::{check_outline, start};
use expect_test::expect_file;
use limpetmux::node::local::StandIn;
use limpetmux_test_support::invariants::Reply;
use std::fmt::Write;

/// Returns what the caller got: the pieces in order, and the stages that the trailer names.
fn received(reply: &Reply) -> String {
    let mut text = String::new();
    for (sequence, piece) in reply.pieces.iter().enumerate() {
        writeln!(text, "piece {sequence}: {}", piece.trim_end()).unwrap();
    }
    if !reply.pieces.is_empty() {
        let (count, checksum) = (&reply.body["count"], &reply.body["checksum"]);
        writeln!(text, "close: {count} pieces, checksum {checksum}").unwrap();
    }
    for (stage, attempts) in reply.stages() {
        writeln!(text, "trailer: {stage}, attempts {attempts}").unwrap();
    }
    text
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_request() {
    let (deployment, [caller, _]) = start().await;

    let reply = caller.summary("summarise the night shift").await;

    let file = expect_file!["../golden/ordinary_request.txt"];
    check_outline(deployment, &received(&reply), &[reply.request], file).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streamed_request_broken_and_resumed() {
    let (deployment, [caller, _]) = start().await;
    let first = caller.stream("summarise the day shift").await;
    // The same prompt goes to the same engine again, as its prefix is cached there.
    let StandIn::Engine(engine) = &deployment.standins[first.host(3).as_str()] else {
        panic!("{first:?}")
    };
    engine.break_next(1, 7);

    let reply = caller.stream("summarise the day shift").await;

    let requests = [first.request, reply.request];
    let file = expect_file!["../golden/streamed_request.txt"];
    check_outline(deployment, &received(&reply), &requests, file).await;
}
