//! Callers, the balancer and scrapers that send without end, or a byte at a time, are cut off.

use super::endless_server::chunk;
use super::endless_store::{stopped, wait_stopped};
use super::node_fixture::{Fixture, config, fixture, settings};
use limpetmux::core::read_limits::MAX_PROBE_CONNECTIONS;
use limpetmux::serve::run::start;
use limpetmux::serve::settings::NodeSettings;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The time within which each step ends, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(40);
/// The descriptors that a node keeps for all else than connections of callers.
const RESERVED_DESCRIPTORS: usize = 1_000;
/// The time for a head in [`short_heads`].
const HEAD_TIME: Duration = Duration::from_millis(600);

/// The begin of a request, without the end of its head.
fn head(path: &str, id: &str, key: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-limpetmux-request-id: {id}\r\n\
         x-limpetmux-deadline-ms: 2000\r\nauthorization: Bearer {key}\r\n"
    )
}

/// Sends `begin` and repeats `unit` until the other side closes; returns what that has sent.
async fn send(addr: SocketAddr, begin: &str, unit: &[u8], pause: Duration) -> String {
    let stream = TcpStream::connect(addr).await.unwrap();
    let (mut read, mut write) = stream.into_split();
    let begin = begin.to_owned();
    let unit = unit.to_owned();
    let sending = tokio::spawn(async move {
        let mut sent = write.write_all(begin.as_bytes()).await;
        while sent.is_ok() {
            sleep(pause).await;
            sent = write.write_all(&unit).await;
        }
    });
    let mut answer = Vec::new();
    let mut buffer = [0; 1024];
    // The other side may also close by a reset, with or without an answer before it.
    while let Ok(count @ 1..) = timeout(PATIENCE, read.read(&mut buffer)).await.expect("stays open")
    {
        answer.extend_from_slice(&buffer[..count]);
    }
    timeout(PATIENCE, sending).await.expect("stays open").unwrap();
    String::from_utf8(answer).unwrap()
}

/// A fixture whose limits leave much more time between two requests than for one head.
async fn short_heads() -> Fixture {
    let fixture = fixture().await;
    let limits = config(2, "k2")
        .replace(r#""header-timeout-ms":3000"#, r#""header-timeout-ms":600"#)
        .replace(r#""idle-timeout-ms":15000"#, r#""idle-timeout-ms":600000"#);
    fixture.store.put("keyed.op", "config", &limits);
    wait_in_force(&fixture).await;
    fixture
}

/// Waits until a configuration without the key of the fixture is in force.
async fn wait_in_force(fixture: &Fixture) {
    let in_force = async {
        let caller = || fixture.post("/safe/x", "1f").header("connection", "close");
        while caller().send().await.unwrap().status() != 401 {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(PATIENCE, in_force).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connection_closes_and_counts_as_no_fault() {
    // Guards against connections that callers keep for ever.
    let fixture = fixture().await;
    let short = config(2, "k2").replace(r#""idle-timeout-ms":15000"#, r#""idle-timeout-ms":300"#);
    fixture.store.put("keyed.op", "config", &short);
    wait_in_force(&fixture).await;
    let addr = fixture.entry.caller_addr.unwrap();
    let served = head("/safe/x", "2f", "k2") + "content-length: 4\r\n\r\nbody";

    for sent in ["", &served] {
        let mut caller = TcpStream::connect(addr).await.unwrap();
        caller.write_all(sent.as_bytes()).await.unwrap();
        let mut answer = String::new();
        let read = timeout(PATIENCE, caller.read_to_string(&mut answer));
        read.await.expect("stays open").unwrap();
        assert_eq!(answer.starts_with("HTTP/1.1 200"), !sent.is_empty(), "{answer}");
    }

    assert_eq!(stopped(&fixture.entry, "caller", "time").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn body_of_a_request_that_its_head_refuses_is_not_read() {
    // Guards against a refused request whose body is read on, without end or a byte at a time.
    let fixture = fixture().await;
    let addr = fixture.entry.caller_addr.unwrap();
    let begin = head("/once/x", "1f", "unknown");
    for (framing, unit, pause) in [
        ("transfer-encoding: chunked\r\n\r\n", chunk(&[b'x'; 4_096]), Duration::ZERO),
        ("content-length: 90000000\r\n\r\n", vec![b'x'; 4_096], Duration::ZERO),
        ("content-length: 900\r\n\r\n", b"x".to_vec(), Duration::from_millis(100)),
    ] {
        let answer = send(addr, &(begin.clone() + framing), &unit, pause).await;

        // A reset may overtake the answer.
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 401"), "{answer}");
    }
    assert_eq!(fixture.runs("1f"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn dripped_head_ends_at_the_time_for_heads() {
    // Guards against a head that may take as long as a connection may be idle.
    let fixture = short_heads().await;
    let addr = fixture.entry.caller_addr.unwrap();

    let answer = send(addr, &head("/safe/x", "2f", "k2"), b"x", Duration::from_millis(50)).await;

    assert_eq!(answer, "");
    wait_stopped(&fixture.entry, "caller", "time", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn time_between_two_requests_is_not_that_for_a_head() {
    // Guards against callers that are cut off because they keep a connection for a later request.
    let fixture = short_heads().await;
    let mut caller = TcpStream::connect(fixture.entry.caller_addr.unwrap()).await.unwrap();
    for id in ["2f", "3f", "4f"] {
        sleep(2 * HEAD_TIME).await;
        let request = head("/safe/x", id, "k2") + "content-length: 4\r\n\r\nbody";
        caller.write_all(request.as_bytes()).await.unwrap();
        let mut buffer = [0; 4096];
        let count = caller.read(&mut buffer).await.unwrap();
        let answer = String::from_utf8_lossy(&buffer[..count]);
        assert!(answer.starts_with("HTTP/1.1 200"), "{id}: {answer}");
    }
    assert_eq!(stopped(&fixture.entry, "caller", "time").await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn head_without_end_is_read_to_its_bound_only() {
    // Guards against a head that takes up memory without end.
    let fixture = fixture().await;
    let addr = fixture.entry.caller_addr.unwrap();

    for unit in [&b"x"[..], b"x: y\r\n"] {
        let begin = head("/safe/x", "1f", "k1");
        let answer = send(addr, &begin, &unit.repeat(1_000), Duration::ZERO).await;
        println!("{answer}");
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
    }

    wait_stopped(&fixture.entry, "caller", "head", 1).await;
    assert_eq!(fixture.runs("1f"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn dripped_body_ends_at_the_deadline_and_runs_nowhere() {
    // Guards against a request that is read without end although its deadline has passed.
    let fixture = fixture().await;
    let addr = fixture.entry.caller_addr.unwrap();
    for framing in ["content-length: 900\r\n\r\n", "transfer-encoding: chunked\r\n\r\n384\r\n"] {
        let begin = head("/once/x", "1f", "k1") + framing;

        let answer = send(addr, &begin, b"x", Duration::from_millis(100)).await;

        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(fixture.runs("1f"), 0);
    wait_stopped(&fixture.entry, "caller", "time", 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn body_without_end_is_read_to_its_bound_only() {
    // Guards against a body without a length that takes up memory without end.
    let fixture = fixture().await;
    let addr = fixture.entry.caller_addr.unwrap();
    let begin = head("/once/x", "1f", "k1") + "transfer-encoding: chunked\r\n\r\n";

    let answer = send(addr, &begin, b"5\r\nxxxxx\r\n", Duration::ZERO).await;

    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 413"), "{answer}");
    wait_stopped(&fixture.entry, "caller", "body", 1).await;
    assert_eq!(fixture.runs("1f"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_at_the_listeners_for_readiness_and_metrics_are_bounded() {
    // Guards against a head that grows, or that drips, at a listener without any limits.
    let fixture = fixture().await;
    let addrs = [fixture.entry.readiness_addr.unwrap(), fixture.entry.metrics_addr];
    let begin = "GET / HTTP/1.1\r\nhost: a\r\nx: ";
    for addr in addrs {
        send(addr, begin, &[b'x'; 4_096], Duration::ZERO).await;
    }
    wait_stopped(&fixture.entry, "operator", "head", 2).await;

    let drips = addrs.map(|addr| send(addr, begin, b"x", Duration::from_millis(200)));
    let answers = futures::future::join_all(drips).await;

    assert_eq!(answers, ["", ""]);
    wait_stopped(&fixture.entry, "operator", "time", 2).await;
}

/// Opens twice as many connections as a listener keeps; returns how many it closes of those beyond.
async fn closed_beyond(addr: SocketAddr, limit: usize) -> usize {
    let mut open = Vec::new();
    for _ in 0..2 * limit {
        open.push(TcpStream::connect(addr).await.unwrap());
    }
    let closed = open[limit..].iter_mut().map(|stream| async {
        // A connection that is refused ends without any byte.
        !matches!(stream.read(&mut [0]).await, Ok(1..))
    });
    let closed = timeout(PATIENCE, futures::future::join_all(closed)).await.expect("stay open");
    closed.into_iter().filter(|c| *c).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_to_the_listener_for_readiness_are_bounded_in_number() {
    // Guards against connections without a request that take up all descriptors of the process.
    let fixture = fixture().await;
    let addr = fixture.entry.readiness_addr.unwrap();

    let closed = closed_beyond(addr, MAX_PROBE_CONNECTIONS).await;

    assert_eq!(closed, MAX_PROBE_CONNECTIONS);
    let answers = async {
        while !reqwest::get(format!("http://{addr}/")).await.is_ok_and(|a| a.status() == 200) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, answers).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_of_callers_are_bounded_in_number() {
    // Guards against callers that take up all descriptors of the process.
    const MAX_CALLERS: usize = 70;
    let fixture = fixture().await;
    let store = fixture.store.addr;
    let limits = NodeSettings {
        max_descriptors: RESERVED_DESCRIPTORS + MAX_CALLERS,
        ..settings("small", store, true, Vec::new())
    };
    let small = start(limits).await.unwrap();

    let closed = closed_beyond(small.caller_addr.unwrap(), MAX_CALLERS).await;

    assert_eq!(closed, MAX_CALLERS);
}
