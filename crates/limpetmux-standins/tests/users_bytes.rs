//! Answers of the users' stand-ins that do not end, arrive byte by byte or contain other bytes.

use limpetmux_standins::users::{BadBytes, Played, UsersFault, UsersServer, UsersStore};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The bytes after which an answer counts as endless.
const MANY_BYTES: usize = 300_000;
/// The time that an answer that arrives byte by byte is read.
const DRIP_TIME: Duration = Duration::from_millis(2_500);
/// The longest that a machine under load may take for bytes that have to arrive.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// The time in which bytes that must not follow an answer would arrive.
const SILENCE: Duration = Duration::from_millis(300);
/// The time within which a stand-in notices that its caller has closed.
const CLOSE_BOUND: Duration = Duration::from_secs(2);
/// The most memory in kB that callers who do not read may cost the stand-in.
const MAX_UNREAD_KB: u64 = 60_000;

const STAGE_CALL: &str = r#"{"items":[{"id":"1f","stage":0,"piece":1,"key":"k"}]}"#;

async fn request(addr: SocketAddr, target: &str, body: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr).await?;
    let head = format!("POST {target} HTTP/1.1\r\nhost: s\r\nx-limpetmux-request-id: 1f\r\n");
    let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Reads up to a number of bytes, until the connection ends or for some time.
async fn read(stream: &mut TcpStream, most: usize, time: Duration) -> String {
    let mut received = Vec::new();
    let reading = async {
        while received.len() < most && stream.read_buf(&mut received).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    // An answer that is not complete in time is compared as far as it arrived.
    if let Ok(Err(error)) = timeout(time, reading).await {
        panic!("cannot read: {error}");
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Reads until some text has arrived and no more bytes follow.
async fn read_past(stream: &mut TcpStream, text: &str) -> String {
    let began = Instant::now();
    let mut received = String::new();
    while !received.contains(text) && began.elapsed() < MAX_WAIT {
        received += &read(stream, 1, SILENCE).await;
    }
    received + &read(stream, MANY_BYTES, SILENCE).await
}

async fn wait_until_none_is_active(played: impl Fn() -> Played) {
    let began = Instant::now();
    while played().active > 0 {
        assert!(began.elapsed() < CLOSE_BOUND, "{:?}", played());
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns what the bytes of an endless answer begin with and what they repeat.
fn shape(bytes: BadBytes) -> Option<(&'static str, &'static str)> {
    let ok = "HTTP/1.1 200 OK\r\n";
    Some(match bytes {
        BadBytes::EndlessLine => ("HTTP/1.1 200 OK\r\nx-line: x", "xxxxxxxx"),
        BadBytes::EndlessHeaders => (ok, "x-more: x\r\nx-more: x\r\n"),
        BadBytes::EndlessInterim => {
            ("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103", "HTTP/1.1 103")
        }
        BadBytes::EndlessBody => (ok, "connection: close\r\n\r\n"),
        BadBytes::EndlessChunks => (ok, "data: more\n\ndata: more\n\n"),
        BadBytes::EndlessLength => (ok, "content-length: 9223372036854775807\r\n\r\n"),
        BadBytes::EndlessEvent => (ok, "data: \r\n"),
        _ => return None,
    })
}

#[tokio::test]
async fn endless_answers_go_on_until_the_caller_closes_and_count_as_runs() {
    for bytes in BadBytes::ALL {
        let Some((beginning, repeated)) = shape(bytes) else { continue };
        for path in ["/once/x", "/stream/x", "/stage-run"] {
            let server = UsersServer::start("s").await.expect("a server");
            server.set_fault(UsersFault::Bytes(bytes));

            let mut stream = request(server.addr, path, STAGE_CALL).await.expect("a connection");
            let received = read(&mut stream, MANY_BYTES, MAX_WAIT).await;
            let active = server.played().active;
            drop(stream);
            wait_until_none_is_active(|| server.played()).await;

            assert!(received.len() >= MANY_BYTES, "{bytes:?} {path}: {}", received.len());
            assert!(received.starts_with(beginning), "{bytes:?}: {:?}", &received[..80]);
            assert!(received.contains(repeated), "{bytes:?}: {:?}", &received[..400]);
            assert_eq!(active, 1, "{bytes:?} {path}");
            assert_eq!(server.ended_answers()[0].id, "1f", "{bytes:?} {path}");
            let runs = server.requests().len() + server.stage_results().len();
            assert_eq!(runs, 1, "{bytes:?} {path}");
        }
    }
}

#[tokio::test]
async fn dripped_answers_bring_one_byte_a_second_and_end_with_their_caller() {
    for (bytes, whole) in [(BadBytes::DrippedHead, ""), (BadBytes::DrippedBody, "\r\n\r\n")] {
        let server = UsersServer::start("s").await.expect("a server");
        server.set_fault(UsersFault::Bytes(bytes));

        let mut stream = request(server.addr, "/once/x", "body").await.expect("a connection");
        let received = read(&mut stream, MANY_BYTES, DRIP_TIME).await;
        drop(stream);
        wait_until_none_is_active(|| server.played()).await;

        let dripped = received.split_once("\r\n\r\n").map_or(&received[..], |(_, body)| body);
        assert!((2..=3).contains(&dripped.len()), "{bytes:?}: {received:?}");
        assert!(received.contains(whole), "{bytes:?}: {received:?}");
        assert_eq!(server.requests().len(), 1, "{bytes:?}");
    }
}

#[tokio::test]
async fn junk_comes_before_the_status_line_or_after_a_complete_answer() {
    for path in ["/once/x", "/stream/x", "/stage-run"] {
        let server = UsersServer::start("s").await.expect("a server");
        let mut answers = Vec::new();
        for (bytes, end) in [(BadBytes::JunkBefore, "HTTP/1.1 200 "), (BadBytes::JunkAfter, "junk")]
        {
            server.set_fault(UsersFault::Bytes(bytes));
            let mut stream = request(server.addr, path, STAGE_CALL).await.expect("a connection");
            answers.push(read_past(&mut stream, end).await);
        }

        let (before, after) = (&answers[0], &answers[1]);
        assert!(before.starts_with("\0\u{fffd} junk \u{7f}\r\n\r\nHTTP/1.1 200 "), "{before:?}");
        assert!(!before.trim_end().ends_with('\u{7f}'), "{before:?}");
        assert!(after.starts_with("HTTP/1.1 200 "), "{after:?}");
        assert!(after.ends_with("\0\u{fffd} junk \u{7f}\r\n\r\n"), "{after:?}");
    }
}

#[tokio::test]
async fn store_plays_them_and_serves_again() {
    let store = UsersStore::start().await.expect("a store");
    store.put("t", "k", "v");
    let newest = || async {
        let mut stream = TcpStream::connect(store.addr).await.expect("a connection");
        let sent = stream.write_all(b"GET /log-newest?topic=t HTTP/1.1\r\nhost: s\r\n\r\n").await;
        sent.expect("a sent request");
        stream
    };
    for bytes in BadBytes::ALL {
        store.set_bytes(Some(bytes));
        let mut stream = newest().await;
        let time = if shape(bytes).is_some() { MAX_WAIT } else { Duration::from_millis(500) };
        let received = read(&mut stream, MANY_BYTES, time).await;
        drop(stream);
        wait_until_none_is_active(|| store.played()).await;
        assert_eq!(received.len() >= MANY_BYTES, shape(bytes).is_some(), "{bytes:?}: {received}");
    }
    store.set_bytes(None);

    let received = read_past(&mut newest().await, r#""key":"k""#).await;

    assert!(received.starts_with("HTTP/1.1 200 "), "{received}");
    assert!(received.contains(r#""key":"k""#), "{received}");
    assert_eq!(store.played().total, BadBytes::ALL.len());
}

#[tokio::test]
async fn callers_that_do_not_read_cost_the_stand_in_little_memory() {
    let server = UsersServer::start("s").await.expect("a server");
    server.set_fault(UsersFault::Bytes(BadBytes::EndlessChunks));
    let before = resident_kb().expect("the memory");

    let streams = (0..200).map(|_| request(server.addr, "/once/x", "body"));
    let streams = futures::future::try_join_all(streams).await.expect("connections");
    sleep(Duration::from_secs(1)).await;

    let played = server.played();
    let grown = resident_kb().expect("the memory").saturating_sub(before);
    assert_eq!((played.active, played.most), (200, 200));
    assert!(grown < MAX_UNREAD_KB, "{grown} kB");
    drop(streams);
    wait_until_none_is_active(|| server.played()).await;
}

fn resident_kb() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
