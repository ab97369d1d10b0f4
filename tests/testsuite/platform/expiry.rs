//! A request whose deadline passes is refused only if no backend server can have run it.

use super::endless_answers::{LONG_MS, servers_with_long_timeouts};
use super::endless_server::{Part, once};
use super::node_fixture::{Fixture, OwnServer, fixture_with};
use hyper::StatusCode;
use limpetmux::serve::failure::{Failure, Reason};
use limpetmux_standins::raw::serve_requests;
use limpetmux_test_support::deployment::wait_for;
use reqwest::Response;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// A time after the deadline at which a request that is sent late would have arrived.
const LATER: Duration = Duration::from_millis(700);
/// The time in which an entry notices that a caller is gone, on a busy machine too.
const CLOSE_TIME: Duration = Duration::from_secs(10);
/// How long before the deadline that it is told a backend server begins a late refusal.
const LATE_REFUSAL_LEAD: Duration = Duration::from_millis(15);
/// The late refusals that are tried, of which one has to meet its deadline inside the body.
const MAX_LATE_REFUSALS: u32 = 20;

#[test]
fn statuses_that_guarantee_that_nothing_ran_are_those_of_reasons_that_do() {
    use Reason::{
        AllFull, BadRequest, BodyCut, BodyTooLarge, InputsGone, Lost, NoConfig, NoRoute,
        Overloaded, StagesFailed, StaleOrders, Stopping, Timeout, TooLate, Unavailable, UnknownKey,
    };
    let not_run = [
        AllFull,
        BadRequest,
        BodyCut,
        BodyTooLarge,
        InputsGone,
        NoConfig,
        NoRoute,
        Overloaded,
        StagesFailed,
        StaleOrders,
        Stopping,
        TooLate,
        Unavailable,
        UnknownKey,
    ];
    let guarantees = [408, 421, 429, 503].map(|s| StatusCode::from_u16(s).unwrap());

    for reason in [Lost, Timeout] {
        let failure = Failure::new(reason);
        assert!(!failure.is_not_run() && !guarantees.contains(&failure.status()), "{reason:?}");
    }
    for reason in not_run {
        assert!(Failure::new(reason).is_not_run(), "{reason:?}");
    }
}

/// Sends a request with a deadline.
async fn send_before(fixture: &Fixture, path: &str, deadline_ms: u64) -> Response {
    let request = fixture.post(path, "1f").header("x-limpetmux-pieces", "1,1");
    let request = request.header("x-limpetmux-piece-key", "k");
    let mut request = request.build().unwrap();
    request.headers_mut().insert("x-limpetmux-deadline-ms", deadline_ms.into());
    reqwest::Client::new().execute(request).await.unwrap()
}

/// Sends a request that may run once to backend servers with an address and a deadline.
async fn status(addr: SocketAddr, path: &str, deadline_ms: u64) -> u16 {
    let own = ["p1", "e1"].map(|id| {
        let service = if id == "p1" { "plain" } else { "engine" };
        OwnServer { id, service, addr }
    });
    let fixture = fixture_with(&own).await;
    let answer = send_before(&fixture, path, deadline_ms).await;
    sleep(LATER).await;
    answer.status().as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_while_a_backend_server_holds_the_request_promises_nothing() {
    // Guards against a refusal at the deadline for a request that runs (incident REFUSED and TWICE,
    // hypothesis 5).
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let held = Arc::new(Mutex::new(Vec::new()));
    let connections = Arc::clone(&held);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            connections.lock().unwrap().push(stream);
        }
    });

    for path in ["/once/1f", "/stream/1f", "/chain/1f"] {
        assert_eq!(status(addr, path, 1_500).await, 504, "{path}");
    }
    assert!(held.lock().unwrap().len() >= 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_during_the_stages_refuses_a_request_that_is_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let silent = listener.local_addr().unwrap();
    let sends = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sends);
    let engine = serve_requests(move |_| {
        counter.fetch_add(1, Ordering::Relaxed);
        Vec::new()
    });
    let own = [
        OwnServer { id: "e1", service: "engine", addr: engine.await.unwrap() },
        OwnServer { id: "s1", service: "first", addr: silent },
    ];
    let fixture = fixture_with(&own).await;
    let request = fixture.post("/chain/x", "1f").header("x-limpetmux-pieces", "1,1");
    let request = request.header("x-limpetmux-piece-key", "k");

    let answer = request.send().await.unwrap();
    sleep(LATER).await;

    assert_eq!((answer.status().as_u16(), sends.load(Ordering::Relaxed)), (503, 0));
}

/// The head of a refusal of the request `1f`.
const REFUSAL: &str =
    "HTTP/1.1 503 Full\r\nx-limpetmux-request-id: 1f\r\nx-limpetmux-not-executed: 1\r\n";
/// The head of the refusal of the request `1f` because an input is gone.
const INPUTS_GONE: &str =
    "HTTP/1.1 409 Gone\r\nx-limpetmux-request-id: 1f\r\nx-limpetmux-not-executed: 1\r\n";
/// The head of the answer to a run of the request `1f` that failed.
const FAILURE: &str = "HTTP/1.1 500 Failed\r\nx-limpetmux-request-id: 1f\r\n\
    x-limpetmux-response-signature: s\r\n";

/// Starts a server that answers its first request with given bytes and no other one; also returns
/// how many requests it read.
async fn first_only(first: String) -> (SocketAddr, Arc<AtomicUsize>) {
    let sends = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sends);
    let server = serve_requests(move |_| match counter.fetch_add(1, Ordering::Relaxed) {
        0 => first.clone().into(),
        _ => Vec::new(),
    });
    (server.await.unwrap(), sends)
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_during_the_second_send_promises_nothing() {
    // Guards against a second send that is taken for as little as the first one, which was refused,
    // and against a first run that is forgotten.
    for (first, path) in [(REFUSAL, "/once/1f"), (FAILURE, "/safe/1f")] {
        let (addr, sends) = first_only(format!("{first}content-length: 0\r\n\r\n")).await;
        let own = ["p1", "p2"].map(|id| OwnServer { id, service: "plain", addr });
        let fixture = fixture_with(&own).await;

        let answer = fixture.send(path, "1f").await;

        let seen = (answer.status().as_u16(), sends.load(Ordering::Relaxed));
        assert_eq!(seen, (504, 2), "{path}");
    }
}

/// Starts a server that begins a refusal shortly before the deadline that it is told, and never ends
/// it; also returns how many requests it read.
async fn late_refusals() -> (SocketAddr, Arc<AtomicUsize>) {
    let sends = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sends);
    let server = serve_requests(move |request| {
        counter.fetch_add(1, Ordering::Relaxed);
        let left = request.header("x-limpetmux-deadline-ms").unwrap().parse().unwrap();
        let wait = Duration::from_millis(left).saturating_sub(LATE_REFUSAL_LEAD);
        tokio::task::block_in_place(|| std::thread::sleep(wait));
        format!("{REFUSAL}content-length: 5\r\n\r\n").into()
    });
    (server.await.unwrap(), sends)
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_inside_the_body_of_a_refusal_refuses() {
    // Guards against a refused request that counts as run while the body of its refusal is read.
    // A head that comes too late for its deadline promises nothing, so that several are tried.
    let (addr, sends) = late_refusals().await;
    let own = [OwnServer { id: "p1", service: "plain", addr }];
    let mut answers = Vec::new();
    for _ in 0..MAX_LATE_REFUSALS {
        let fixture = fixture_with(&own).await;
        sends.store(0, Ordering::Relaxed);

        let answer = send_before(&fixture, "/once/1f", 400).await;

        let (status, reason) = (answer.status().as_u16(), answer.text().await.unwrap());
        assert!(matches!(status, 503 | 504), "{status}: {reason}");
        let is_inside = reason == "too_late" && sends.load(Ordering::Relaxed) == 1;
        answers.push(reason);
        if is_inside {
            return;
        }
    }
    panic!("no deadline inside a body: {answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn deadline_while_the_stages_run_again_refuses() {
    let (engine, sends) = first_only(format!("{INPUTS_GONE}content-length: 0\r\n\r\n")).await;
    let made = r#"{"items":[{"handle":"127.0.0.1:1/a"}]}"#;
    let length = made.len();
    let made = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{made}");
    let (stage, _) = first_only(made).await;
    let own = [
        OwnServer { id: "e1", service: "engine", addr: engine },
        OwnServer { id: "s1", service: "first", addr: stage },
    ];
    let fixture = fixture_with(&own).await;
    let request = fixture.post("/chain/x", "1f").header("x-limpetmux-pieces", "1,1");
    let request = request.header("x-limpetmux-piece-key", "k");

    let answer = request.send().await.unwrap();
    sleep(LATER).await;

    assert_eq!((answer.status().as_u16(), sends.load(Ordering::Relaxed)), (503, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_caller_left_is_not_sent_again() {
    // Guards against a second send after the caller is gone, while nobody can get its answer.
    let end = Arc::new(Notify::new());
    let signal = Arc::clone(&end);
    let servers = servers_with_long_timeouts(move |asked| {
        vec![Part::Wait(Arc::clone(&signal)), once(asked.with_length(500, b"failed"))]
    })
    .await;
    let caller = tokio::spawn(servers.post("/safe/x", "1f", LONG_MS).send());
    wait_for(|| servers.arrivals("1f") == 1).await;

    caller.abort();
    // An entry that keeps the connection gets the answer of a failed run.
    let closed = timeout(CLOSE_TIME, wait_for(|| servers.is_closed("1f"))).await;
    end.notify_one();
    sleep(LATER).await;

    assert_eq!(servers.arrivals("1f"), 1, "{closed:?}");
}
