//! Answers of backend servers that do not end: reading them stops at a bound, and the entry passes on
//! none of them as complete. See `docs/design/reads.md`.

use super::endless_server::{Asked, EndlessServers, Part, chunk, endless_servers, once};
use http_body_util::Full;
use hyper::Request;
use limpetmux::core::read_limits::{MAX_HEADERS, MAX_STREAM_BYTES};
use limpetmux::serve::connections::{ConnectionError, ConnectionPool, Reuse};
use limpetmux_standins::raw::serve_requests;
use reqwest::Response;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The deadline of requests that end by another bound, in milliseconds.
pub(super) const LONG_MS: u64 = 30_000;
/// The longest time that a test waits for an end that its bound should cause.
pub(super) const END_LIMIT: Duration = Duration::from_secs(40);
/// More bytes than any bound lets through.
const TOO_MANY_BYTES: usize = 400 << 20;
/// More bytes of a plain answer than the entry holds back.
const LONG_BODY_BYTES: usize = 1 << 20;

/// Reads a body to its end or to an error; returns its length and whether it came to a proper end.
pub(super) async fn drain(mut answer: Response, pause: Duration) -> (usize, bool) {
    let mut length = 0;
    let reading = async {
        loop {
            match answer.chunk().await {
                Ok(Some(bytes)) => length += bytes.len(),
                Ok(None) => return true,
                Err(_) => return false,
            }
            assert!(length < TOO_MANY_BYTES, "passed on without a bound");
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    };
    let complete = timeout(END_LIMIT, reading).await.expect("the answer has no end");
    (length, complete)
}

/// Serves the requests with which a test waits for its configuration, and others by `script`.
pub(super) async fn servers_with_long_timeouts(
    script: impl Fn(&Asked) -> Vec<Part> + Send + Sync + 'static,
) -> EndlessServers {
    let servers = endless_servers(move |asked| match asked.id.starts_with('f') {
        true => asked.served(),
        false => script(asked),
    })
    .await;
    servers.raise_timeouts().await;
    servers
}

#[tokio::test(flavor = "multi_thread")]
async fn long_plain_answer_is_passed_on_while_it_arrives() {
    // Guards against an answer of any size that is held in memory until its end.
    let rest = Arc::new(Notify::new());
    let signal = Arc::clone(&rest);
    let servers = servers_with_long_timeouts(move |asked| {
        let mut bytes = asked.with_length(200, &vec![b'a'; LONG_BODY_BYTES]);
        let last = bytes.split_off(bytes.len() - 10);
        vec![once(bytes), Part::Wait(Arc::clone(&signal)), once(last)]
    })
    .await;

    let head = timeout(END_LIMIT, servers.post("/once/x", "1f", 8_000).send()).await.unwrap();
    rest.notify_one();
    let answer = head.unwrap();

    assert_eq!(answer.status(), 200);
    assert_eq!(answer.content_length(), Some(LONG_BODY_BYTES as u64));
    assert_eq!(drain(answer, Duration::ZERO).await, (LONG_BODY_BYTES, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_plain_answer_is_cut_at_its_limit() {
    // Guards against an answer whose chunks never end and that is held in memory meanwhile.
    let servers = servers_with_long_timeouts(|asked| {
        vec![asked.chunked_head(), Part::Endless(chunk(&[b'a'; 32 * 1024]))]
    })
    .await;

    let answer = servers.post("/once/x", "1f", LONG_MS).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let (length, complete) = drain(answer, Duration::ZERO).await;

    assert!(!complete && length <= 16 << 20, "{length} bytes, complete: {complete}");
    assert_eq!(servers.stops("body").await, 1);
    assert_eq!(servers.arrivals("1f"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_with_a_stated_length_beyond_the_limit_fails_at_once() {
    // Guards against a caller that waits for a body of which nothing can be used.
    let servers = servers_with_long_timeouts(|asked| {
        let head = format!("HTTP/1.1 200 OK\r\n{}content-length: 99999999999\r\n", asked.signed());
        vec![once(head + "\r\nbody"), Part::Silence]
    })
    .await;

    let answer = servers.post("/once/x", "1f", LONG_MS).send().await.unwrap();

    assert_eq!(answer.status(), 502);
    assert_eq!(servers.stops("body").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn failed_run_is_sent_again_whatever_the_length_of_its_answer() {
    // Guards against a long answer of a failed run that is passed on although the request may be sent
    // again, and against one that is lost where it may not.
    for length in [10, LONG_BODY_BYTES] {
        let servers = servers_with_long_timeouts(move |asked| {
            vec![once(
                asked.with_length(if asked.id == "2f" { 201 } else { 500 }, &vec![b'a'; length]),
            )]
        })
        .await;

        let answer = servers.post("/safe/x", "1f", LONG_MS).send().await.unwrap();
        let status = answer.status();
        let (passed_on, complete) = drain(answer, Duration::ZERO).await;

        assert_eq!((status.as_u16(), passed_on, complete), (500, length, true));
        assert_eq!(servers.arrivals("1f"), 2, "{length}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn many_long_answers_at_once_take_little_memory() {
    // Guards against a backend server whose answers fill the memory of the entry.
    const ANSWERS: usize = 200;
    const BODY_BYTES: usize = 3 << 20;
    const MAX_GROWTH_KB: u64 = 260 << 10;
    let body: &'static [u8] = vec![b'a'; BODY_BYTES].leak();
    let servers = Arc::new(
        servers_with_long_timeouts(move |asked| {
            let head = format!("HTTP/1.1 200 OK\r\n{}content-length: 4000000\r\n", asked.signed());
            vec![once(head + "\r\n"), once(body), Part::Silence]
        })
        .await,
    );
    let before = resident_kb();

    let mut sent = tokio::task::JoinSet::new();
    for n in 0..ANSWERS {
        let request = servers.post("/once/x", &format!("a{n}"), 8_000);
        sent.spawn(async move { request.send().await.unwrap() });
    }
    let answers = sent.join_all().await;
    let growth = resident_kb().saturating_sub(before);

    println!("memory of the process grew by {growth} KB");
    assert!(growth < MAX_GROWTH_KB, "{growth} KB for {} answers", answers.len());
    assert!(answers.iter().all(|a| a.status() == 200), "{:?}", answers.first());
}

/// Returns the memory of this process in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn event_without_end_ends_its_stream() {
    // Guards against a line of a stream that never ends.
    let event = chunk(b"id: 1\ndata: x\n\n");
    let servers = servers_with_long_timeouts(move |asked| {
        let line = Part::Endless(chunk(&[b'a'; 32 * 1024]));
        vec![asked.chunked_head(), once(event.clone()), line]
    })
    .await;

    let answer = servers.post("/stream/x", "1f", LONG_MS).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let (length, complete) = drain(answer, Duration::ZERO).await;

    assert!(!complete && length <= 300 << 10, "{length} bytes, complete: {complete}");
    assert_eq!(servers.stops("event").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_bytes_never_pause_ends_at_its_deadline() {
    // Guards against a deadline that is only looked at while a stream has no bytes.
    let events = b"id: 1\ndata: x\n\n".repeat(2_000);
    let servers = servers_with_long_timeouts(move |asked| {
        vec![asked.chunked_head(), Part::Endless(chunk(&events))]
    })
    .await;

    // The pause of the caller keeps bytes ready at all times.
    let answer = servers.post("/stream/x", "1f", 3_000).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let (length, complete) = drain(answer, Duration::from_millis(1)).await;

    assert!(!complete && length > 0, "{length} bytes, complete: {complete}");
    assert_eq!(servers.stops("time").await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn head_with_as_many_headers_as_allowed_is_read() {
    // Guards against a bound on headers that differs from the documented one.
    for (count, is_read) in [(MAX_HEADERS, true), (MAX_HEADERS + 1, false)] {
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", "a: b\r\n".repeat(count));
        let addr = serve_requests(move |_| head.clone().into()).await.unwrap();
        let request = Request::get("/x").body(Full::default()).unwrap();

        let result = ConnectionPool::default().send(addr, request, Reuse::Allowed).await;

        match result {
            Ok(_) => assert!(is_read, "{count}"),
            Err(ConnectionError::Unreadable(_)) => assert!(!is_read, "{count}"),
            Err(error) => panic!("{count}: {error}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_an_answer_belong_to_no_other_request() {
    // Guards against bytes on an idle connection that are read without a bound or taken for the head
    // of the next answer.
    for junk in [&b"HTTP/1.1 200 OK\r\n"[..], b"junk", b"\r\n"] {
        let servers = servers_with_long_timeouts(move |asked| {
            [asked.served(), vec![Part::Endless(junk.repeat(1_000))]].concat()
        })
        .await;

        for n in 0..8 {
            let id = format!("a{n}");
            let answer = servers.post("/once/x", &id, LONG_MS).send().await.unwrap();
            let status = answer.status().as_u16();
            let text = answer.text().await.unwrap();
            assert!(status == 502 || text == "id: 1\ndata: x\n\n", "{status} {text}");
            assert!(servers.arrivals(&id) <= 1, "{id}");
        }
        let asked = servers.asked();
        let answered = asked.iter().filter(|a| a.id.starts_with('a'));
        let peers: Vec<_> = answered.map(|a| a.peer).collect();
        let distinct = peers.iter().collect::<BTreeSet<_>>().len();
        assert_eq!(peers.len(), distinct, "reused: {asked:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_an_end_stays_a_refusal() {
    // Guards against the body of a refusal that is read without a bound.
    for (part, bound) in [
        (Part::Endless(chunk(&[b'a'; 4_096])), "body"),
        (Part::Drip(chunk(b"a"), Duration::from_millis(20)), "time"),
    ] {
        let servers = servers_with_long_timeouts(move |asked| {
            let id = format!("x-limpetmux-request-id: {}\r\n", asked.id);
            let head = format!("HTTP/1.1 503 Full\r\n{id}x-limpetmux-not-executed: 1\r\n");
            vec![once(head + "transfer-encoding: chunked\r\n\r\n"), part.clone()]
        })
        .await;

        let answer = servers.post("/once/x", "1f", LONG_MS).send().await.unwrap();

        assert_eq!(answer.status(), 503, "{bound}");
        assert!(servers.stops(bound).await >= 1, "{bound}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn informational_answer_that_ends_an_exchange_is_not_passed_on() {
    // Guards against a caller that gets a status after which it waits for the answer.
    let servers = servers_with_long_timeouts(|asked| {
        let head = "HTTP/1.1 101 Switching Protocols\r\n".to_owned();
        vec![once(head + &asked.signed() + "\r\n"), Part::Silence]
    })
    .await;

    let sent = servers.post("/once/x", "1f", 4_000).send();
    let answer = timeout(END_LIMIT, sent).await.unwrap().unwrap();

    assert_eq!(answer.status(), 502);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_whose_caller_does_not_read_ends() {
    // Guards against a backend server whose place and connection stay taken while a caller reads
    // nothing of an answer.
    for (path, bytes) in [("/once/x", vec![b'a'; 4_096]), ("/stream/x", b"data: x\n\n".repeat(500))]
    {
        let part = Part::Endless(chunk(&bytes));
        let servers =
            servers_with_long_timeouts(move |asked| vec![asked.chunked_head(), part.clone()]).await;
        let before = servers.closed();

        let answer = servers.post(path, "1f", 1_000).send().await.unwrap();
        let closing = async {
            while servers.closed() == before {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let closed = timeout(END_LIMIT, closing).await;

        assert!(closed.is_ok(), "{path}: {}", answer.status());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_is_not_at_fault_for_bytes_that_waited_for_a_caller() {
    // Guards against a caller that makes a sound backend server count as failing by reading late.
    let events = chunk(&b"data: x\n\n".repeat(2_000));
    let servers = servers_with_long_timeouts(move |asked| {
        vec![asked.chunked_head(), Part::Endless(events.clone())]
    })
    .await;

    // The caller reads on shortly after the deadline; much later, the end would be no evidence anyway.
    let answer = servers.post("/stream/x", "1f", 1_800).send().await.unwrap();
    tokio::time::sleep(Duration::from_millis(1_850)).await;
    let (length, complete) = drain(answer, Duration::ZERO).await;

    assert!(!complete, "complete after {length} bytes");
    assert_eq!(servers.stops("time").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_stream_of_whole_events_is_cut_at_its_limit() {
    // Guards against a stream whose events are short and whose number has no bound.
    let events = chunk(&b"data: x\n\n".repeat(3_000));
    let servers = servers_with_long_timeouts(move |asked| {
        vec![asked.chunked_head(), Part::Endless(events.clone())]
    })
    .await;

    let answer = servers.post("/stream/x", "1f", 55_000).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    let (length, complete) = drain(answer, Duration::ZERO).await;

    assert!(!complete && length <= MAX_STREAM_BYTES, "{length} bytes, complete: {complete}");
    assert_eq!(servers.stops("body").await, 1);
}
