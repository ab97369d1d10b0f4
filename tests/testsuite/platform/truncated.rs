//! Answers that end early are not passed on as complete.

use super::node_fixture::{config, fixture};
use limpetmux_standins::users::{STREAM_EVENTS, UsersFault, UsersServer};
use reqwest::Version;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Sends a request that is answered by a stream, from an engine with a fault, and reads its answer.
async fn read_stream(fault: UsersFault) -> Result<String, reqwest::Error> {
    let fixture = fixture().await;
    fixture.engine.set_fault(fault);

    fixture.post("/stream/x", "1f").send().await?.text().await
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_inside_an_event_by_its_connection_is_not_passed_on_as_complete() {
    // Guards against a stream of a crashed run that its caller gets with a proper end (inc1).
    let answer = read_stream(UsersFault::CutStream).await;

    assert!(answer.is_err(), "passed on as complete: {answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_without_length_and_events_is_not_passed_on_as_complete() {
    // Guards against an empty stream of a crashed run that its caller gets with a proper end (inc1).
    let answer = read_stream(UsersFault::CutHead).await;

    assert!(answer.is_err(), "passed on as complete: {answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_cut_inside_an_event_is_not_passed_on_as_complete_if_its_end_is_stated() {
    // Guards against a stream that ends inside an event and is trusted because of its last chunk.
    let answer = read_stream(UsersFault::CutChunks).await;

    assert!(answer.is_err(), "passed on as complete: {answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_stream_that_ends_with_its_connection_is_passed_on_whole() {
    // Guards against whole streams that are cut only because they have no length.
    let answer = read_stream(UsersFault::Unframed).await.unwrap();

    assert_eq!(answer.matches("\n\n").count(), STREAM_EVENTS as usize, "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_an_older_version_is_framed_again_for_its_caller() {
    // Guards against an answer whose caller cannot see its end because the backend server has an
    // older version of HTTP (found while inc1 was traced).
    let fixture = fixture().await;
    fixture.engine.set_fault(UsersFault::Unframed);
    fixture.set_fault(UsersFault::Unframed);

    let stream = fixture.send("/stream/x", "1f").await;
    let plain = fixture.send("/once/x", "2f").await;

    assert_eq!((stream.version(), plain.version()), (Version::HTTP_11, Version::HTTP_11));
    assert_eq!(stream.headers()["transfer-encoding"], "chunked");
    assert!(plain.content_length().is_some());
}

/// Reads the answer to a caller that speaks HTTP/1.0 and so knows its end only by the connection.
async fn read_stream_of_old_caller(fault: UsersFault) -> std::io::Result<String> {
    let fixture = fixture().await;
    fixture.engine.set_fault(fault);
    let mut caller = TcpStream::connect(fixture.entry.caller_addr.unwrap()).await?;
    let head = "POST /stream/x HTTP/1.0\r\nhost: a.example\r\nx-limpetmux-request-id: 1f\r\n\
        x-limpetmux-deadline-ms: 2000\r\nauthorization: Bearer k1\r\ncontent-length: 4\r\n\r\nbody";
    caller.write_all(head.as_bytes()).await?;
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await?;
    Ok(answer)
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_stream_is_reset_for_a_caller_that_knows_its_end_only_by_the_connection() {
    // Guards against a cut stream that a caller without chunks takes for complete (found while inc1
    // was traced).
    let whole = read_stream_of_old_caller(UsersFault::None).await.unwrap();
    let cut = read_stream_of_old_caller(UsersFault::CutStream).await;

    assert!(whole.ends_with("id: 5\ndata: from e1 for 1f\n\n"), "{whole}");
    let error = cut.expect_err("the connection was closed in order");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

/// A configuration in which streams may be resumed at other engines.
fn resumable_config() -> String {
    let route = r#""path-prefix":"/stream/","kind":"streaming""#;
    let resumable = r#""path-prefix":"/stream/","kind":"streaming","resumable":true"#;
    let config = config(2, "k1").replace(route, resumable);
    assert!(config.contains("resumable"), "the route of streams is not found");
    config.replace(r#""max-attempts":1}],"#, r#""max-attempts":2}],"#)
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_another_engine_is_not_found_in_a_stream_that_broke_off() {
    // Guards against a stream that broke off, and whose caller finds the error of the next engine in
    // it, or an end as if it were complete.
    let fixture = fixture().await;
    let other = UsersServer::start("e2").await.expect("a server");
    fixture.store.put("keyed.op", "config", &resumable_config());
    fixture.store.put("keyed.servers", "e2", &other.entry("engine", "mnl-a", "ready"));
    sleep(Duration::from_secs(1)).await;
    for fault in [UsersFault::Error, UsersFault::Refused, UsersFault::Failed(503)] {
        for [broken, failing] in [[&fixture.engine, &other], [&other, &fixture.engine]] {
            broken.set_fault(UsersFault::CutStream);
            failing.set_fault(fault);
            for number in 0..4 {
                let mut answer = fixture.send("/stream/x", &format!("{fault:?}-{number}")).await;
                let is_stream = answer.status().is_success();
                let mut body = Vec::new();
                let end = loop {
                    match answer.chunk().await {
                        Ok(Some(chunk)) => body.extend(chunk),
                        end => break end,
                    }
                };
                let text = String::from_utf8(body).expect("events");
                let lines = text.lines().filter(|l| !l.is_empty());
                let is_event = |l: &str| l.starts_with("id: ") || l.starts_with("data: from ");
                let has_other =
                    lines.clone().any(|l| !is_event(l) && !"data: from ".starts_with(l));
                assert!(!is_stream || !has_other, "{text}");
                assert!(!is_stream || end.is_err(), "ended as if complete: {text}");
            }
        }
    }
}
