//! Answers of backend servers, on the product's own interface, that end early.

use bytes::Bytes;
use futures::TryStreamExt;
use limpetmux::adapters::backend::{Backend, BackendError, Job};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::StageKind;
use limpetmux::core::frames::{AttemptKey, RequestId};
use limpetmux::core::keys::StageIndex;
use limpetmux_standins::raw::{
    CutAnswer, EarlyAnswer, serve_bytes, serve_cut, serve_early, unframed,
};
use std::net::SocketAddr;
use uuid::Uuid;

/// Runs a call at a backend server that answers with `answer`; returns the payloads joined.
async fn run(kind: StageKind, answer: Vec<u8>) -> Result<Bytes, BackendError> {
    run_after(kind, &[], answer).await
}

/// Runs a call that continues after the tokens that have been delivered.
async fn run_after(
    kind: StageKind,
    prefix: &[&str],
    answer: Vec<u8>,
) -> Result<Bytes, BackendError> {
    run_at(serve_bytes(answer).await.unwrap(), kind, prefix).await
}

/// Runs a call at the backend server at an address.
async fn run_at(addr: SocketAddr, kind: StageKind, prefix: &[&str]) -> Result<Bytes, BackendError> {
    run_with(addr, kind, prefix, Bytes::from_static(b"1")).await
}

/// Runs a call with an input at the backend server at an address.
async fn run_with(
    addr: SocketAddr,
    kind: StageKind,
    prefix: &[&str],
    input: Bytes,
) -> Result<Bytes, BackendError> {
    let url = format!("http://{addr}");
    let backend = Backend::http(OneCallClient::new().unwrap(), &url);
    let job = Job {
        key: AttemptKey { request: RequestId(Uuid::nil()), stage: StageIndex(0), attempt: 0 },
        kind,
        model: None,
        input,
        prefix: prefix.iter().map(ToString::to_string).collect(),
        max_tokens: 8,
        priority: 0,
        fence: None,
    };
    let chunks: Vec<_> = (backend.run)(job).await?.try_collect().await?;
    Ok(chunks.into_iter().flat_map(|c| c.payload).collect())
}

fn framed(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into()
}

#[tokio::test]
async fn json_answer_cut_by_its_connection_is_not_passed_on_as_complete() {
    // Guards against half a JSON value that the next stage, or a caller of a streamed answer with a
    // `done` event, gets as complete (found while inc1 was traced).
    for cut in [&b"{\"documents\":[{\"id\":\"a\""[..], b"", b"[1,2", b"\"text", b"tru", b"12"] {
        let answer = run(StageKind::Plain, unframed(cut)).await;

        assert!(matches!(answer, Err(BackendError::Truncated)), "{cut:?}: {answer:?}");
    }
}

#[tokio::test]
async fn whole_json_answers_are_passed_on_however_they_are_framed() {
    // Guards against whole answers that are refused only because they have no length.
    for whole in ["{\"documents\":[]}", "[1,2]", "\"te\\\"xt\"", "true", " {} \n"] {
        assert_eq!(run(StageKind::Retrieve, unframed(whole.as_bytes())).await.unwrap(), whole);
        assert_eq!(run(StageKind::Plain, framed(whole)).await.unwrap(), whole);
    }
    assert_eq!(run(StageKind::Plain, framed("12")).await.unwrap(), "12");
}

#[tokio::test]
async fn answer_that_is_no_json_value_is_malformed() {
    for bad in ["<html></html>", "{} {}", "{\"a\":}"] {
        let answer = run(StageKind::Plain, framed(bad)).await;

        assert!(matches!(answer, Err(BackendError::Malformed(_))), "{bad}: {answer:?}");
    }
}

#[tokio::test]
async fn completion_cut_inside_its_last_event_is_not_passed_on_as_complete() {
    // Guards against a generation whose last event ends with its connection (as in inc1).
    let token = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n";

    let whole = run(StageKind::Generate, unframed(format!("{token}data: [DONE]\n\n").as_bytes()));
    let cut = run(StageKind::Generate, unframed(format!("{token}data: [DONE]").as_bytes())).await;
    let cut_before = run(StageKind::Generate, unframed(token.as_bytes())).await;

    assert_eq!(whole.await.unwrap(), "a");
    assert!(matches!(cut, Err(BackendError::Truncated)), "{cut:?}");
    assert!(matches!(cut_before, Err(BackendError::Truncated)), "{cut_before:?}");
}

#[tokio::test]
async fn error_of_the_next_server_does_not_end_a_resumed_generation_as_complete() {
    // Guards against a generation that broke off, and whose next backend server answers with an error:
    // its caller got the error's text, or an end as if the generation were complete.
    let token = r#"data: {"choices":[{"text":"b","finish_reason":null}]}"#;
    let in_stream = r#"data: {"choices":[],"error":{"message":"no memory"}}"#;
    let ended = r#"data: {"choices":[{"text":"","finish_reason":"error"}]}"#;
    let unknown = r#"data: {"choices":[{"text":"","finish_reason":"no memory"}]}"#;
    let done = "data: [DONE]";
    let events =
        |lines: &[&str]| framed(&lines.iter().map(|l| format!("{l}\n\n")).collect::<String>());

    for (name, answer) in [
        ("an error event", events(&[in_stream, done])),
        ("an error event behind a token", events(&[token, in_stream, done])),
        ("an end by an error", events(&[ended, done])),
        ("an end for an unknown reason", events(&[token, unknown, done])),
        ("a failure", b"HTTP/1.1 500 Failed\r\ncontent-length: 4\r\n\r\noops".to_vec()),
        ("text in place of events", framed("out of memory")),
        ("a JSON error in place of events", framed(r#"{"error":{"message":"no memory"}}"#)),
        ("a whole head in place of events", framed("HTTP/1.1 500 Failed\r\n\r\noops\r\n\r\n")),
    ] {
        let resumed = run_after(StageKind::Generate, &["a"], answer).await;
        assert!(resumed.is_err(), "{name}: {resumed:?}");
    }
}

#[tokio::test]
async fn answer_that_stops_at_any_byte_of_its_head_is_not_passed_on() {
    // Guards against a 200 with an empty or short body, framed as whole, of a backend server that
    // stopped in the middle of its answer's head.
    let event = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n\
        data: [DONE]\n\n";
    for (kind, answer) in
        [(StageKind::Plain, framed("{\"a\":1}")), (StageKind::Generate, framed(event))]
    {
        for (cut, resets) in (0..answer.len()).flat_map(|cut| [(cut, false), (cut, true)]) {
            let bytes = answer[..cut].to_vec();
            let addr = serve_cut(move || CutAnswer { bytes: bytes.clone(), resets }).await;

            let passed_on = run_at(addr.expect("a port"), kind, &[]).await;

            assert!(passed_on.is_err(), "cut at {cut}: {passed_on:?}");
        }
        assert!(run(kind, answer).await.is_ok());
    }
}

#[tokio::test]
async fn part_of_an_answer_to_a_request_that_is_still_being_sent_is_not_passed_on() {
    // Guards against a part of an early answer without a length that the next stage gets as complete because
    // the connection ended while the request was being written (MIXED, users' report).
    let input = Bytes::from(format!("\"{}\"", "x".repeat(3_000_000)));
    let token = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n";
    for (kind, part) in [(StageKind::Plain, "{\"a\":1"), (StageKind::Generate, token)] {
        for (step, resets) in (0..16).flat_map(|step| [(step, true), (step, false)]) {
            let answer =
                EarlyAnswer { bytes: unframed(part.as_bytes()), reads: 20_000 * step, resets };
            let addr = serve_early(move || answer.clone()).await.expect("a port");

            let passed_on = run_with(addr, kind, &[], input.clone()).await;

            assert!(passed_on.is_err(), "step {step}, reset {resets}: {passed_on:?}");
        }
    }
}

#[tokio::test]
async fn answer_with_a_status_that_is_none_is_not_passed_on() {
    // Guards against an answer with the status 000 that the next stage gets (MIXED, users' report).
    for status in ["000", "001", "099", "0", "1000", "-20", "2 0"] {
        for body in ["{\"a\":1}", ""] {
            let length = body.len();
            let answer = format!("HTTP/1.1 {status} Odd\r\ncontent-length: {length}\r\n\r\n{body}");

            let passed_on = run(StageKind::Plain, answer.into_bytes()).await;

            assert!(passed_on.is_err(), "{status}: {passed_on:?}");
        }
    }
}
