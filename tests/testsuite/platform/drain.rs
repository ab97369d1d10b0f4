//! A node that stops waits for the requests that it runs.

use super::ms;
use super::node_fixture::{Fixture, OwnServer, config, fixture_with, settings};
use limpetmux::core::node_stop::NodeStop;
use limpetmux::core::time::Moment;
use limpetmux::serve::run::{start, wait_idle};
use limpetmux_standins::raw::serve_bytes;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// The time within which each step ends, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(40);

#[tokio::test(start_paused = true)]
async fn request_that_begins_while_an_idle_node_stops_is_not_cut() {
    // Guards against a stream that begins right after the last check for running requests and is
    // cut when the process ends (soak, seed 5038).
    let running = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let counted = Arc::clone(&running);
    tokio::spawn(async move {
        sleep(ms(10)).await;
        counted.store(1, Ordering::Relaxed);
        sleep(ms(95)).await;
        counted.store(0, Ordering::Relaxed);
    });

    let left = wait_idle(&running, began + ms(4_000)).await;

    assert_eq!(left, 0, "after {:?}", began.elapsed());
    assert!(began.elapsed() < ms(200));
}

#[tokio::test(start_paused = true)]
async fn node_with_a_request_that_does_not_end_stops_in_time() {
    let running = AtomicUsize::new(1);
    let began = Instant::now();

    let left = wait_idle(&running, began + ms(500)).await;

    assert_eq!(left, 1);
    assert!(began.elapsed() <= ms(540), "{:?}", began.elapsed());
}

#[test]
fn request_that_comes_late_in_a_stop_is_accepted_only_if_it_ends_in_time() {
    // Guards against a request that is taken over 3 s after SIGTERM and cut when the process exits
    // (rule LOST, a day of aear-rayos-grown with full engines and rolling restarts).
    let at = Moment::from_millis;
    let stop = NodeStop::new(at(10_000), ms(8_000));

    assert_eq!((stop.exit, stop.answer_at()), (at(17_300), at(17_100)));
    for (now, deadline, accepts) in [
        (10_000, 60_000, true),
        (12_799, 60_000, true),
        (12_800, 60_000, false),
        (13_200, 60_000, false),
        (13_200, 17_101, false),
        (13_200, 17_100, true),
    ] {
        assert_eq!(stop.accepts(at(now), at(deadline)), accepts, "{now} {deadline}");
    }
}

#[test]
fn node_with_a_short_grace_period_accepts_nothing_that_it_cannot_answer() {
    // Guards against a node that still accepts requests when its grace period ends.
    let at = Moment::from_millis;
    for grace in [500, 1_000, 2_000, 4_000, 8_000, 60_000] {
        let stop = NodeStop::new(at(10_000), ms(grace));

        assert!(stop.accept_until() <= stop.exit, "{grace}");
        assert!(!stop.accepts(stop.exit, at(1_000_000)), "{grace}");
    }
}

/// A server that answers nothing and reports each connection on which bytes arrive.
async fn silent_server() -> (SocketAddr, mpsc::Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (asked, seen) = mpsc::channel(100);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let asked = asked.clone();
            tokio::spawn(async move {
                if stream.read_u8().await.is_ok() {
                    asked.send(()).await.unwrap();
                    tokio::io::copy(&mut stream, &mut tokio::io::sink()).await.unwrap();
                }
            });
        }
    });
    (addr, seen)
}

/// A fixture whose routes allow a minute and in which one service has a silent server only.
async fn slow_fixture(own: OwnServer) -> Fixture {
    let fixture = fixture_with(&[own]).await;
    let text = config(2, "k2").replace("\"timeout-ms\":2000", "\"timeout-ms\":60000");
    let text = text.replace("\"timeout-ms\":4000", "\"timeout-ms\":60000");
    fixture.store.put("keyed.op", "config", &text);
    let in_force = async {
        while fixture.post("/stream/x", "f").send().await.unwrap().status() != 401 {
            sleep(ms(20)).await;
        }
    };
    timeout(PATIENCE, in_force).await.unwrap();
    fixture
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_still_waits_is_answered_before_the_node_exits() {
    // Guards against a connection that closes without an answer when a stopping node exits.
    let (addr, mut asked) = silent_server().await;
    let fixture = slow_fixture(OwnServer { id: "silent", service: "plain", addr }).await;
    let request = with_deadline(fixture.post("/once/x", "1f").build().unwrap());
    let sent = tokio::spawn(reqwest::Client::new().execute(request));
    timeout(PATIENCE, asked.recv()).await.expect("nothing was sent");

    let left = timeout(PATIENCE, fixture.entry.drain()).await.unwrap();

    let answer = timeout(PATIENCE, sent).await.unwrap().unwrap().unwrap();
    assert_eq!((left, answer.status().as_u16()), (0, 502));
}

/// Replaces key and deadline of a request by those of [`slow_fixture`].
fn with_deadline(mut request: reqwest::Request) -> reqwest::Request {
    let headers = request.headers_mut();
    headers.insert("x-limpetmux-deadline-ms", 60_000.into());
    headers.insert("authorization", "Bearer k2".parse().unwrap());
    request
}

/// Sends requests to an entry one after the other on an open connection until it closes; returns the id
/// and the status of each, if it was answered.
async fn send_until_closed(
    fixture: &Fixture,
    addr: SocketAddr,
    client: usize,
) -> Vec<(String, Option<u16>)> {
    let connection = reqwest::Client::new();
    let mut sent = Vec::new();
    for number in 0.. {
        let id = format!("{client}-{number}");
        let mut request = with_deadline(fixture.post("/once/x", &id).build().unwrap());
        *request.url_mut() = format!("http://{addr}/once/x").parse().unwrap();
        let answer = connection.execute(request).await.ok();
        let status = answer.as_ref().map(|answer| answer.status().as_u16());
        sent.push((id, status));
        match answer {
            Some(answer) => drop(answer.bytes().await),
            None => break,
        }
        sleep(ms(20)).await;
    }
    sent
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_keep_coming_until_a_node_exits_are_answered_or_not_run() {
    // Guards against requests that are taken late in the grace of a planned stop, passed on, and cut at
    // its end without an answer (rule LOST), by a service that takes longer than what is left.
    let own = OwnServer { id: "unused", service: "none", addr: ([127, 0, 0, 1], 9).into() };
    let fixture = slow_fixture(own).await;
    fixture.plain.iter().for_each(|server| server.set_work_time(ms(2_500)));
    let seeds = vec![fixture.sidecar.node_addr];
    let node = start(settings("other", fixture.store.addr, true, seeds)).await.unwrap();
    let addr = node.caller_addr.unwrap();
    let ready = async {
        while !node.is_ready() {
            sleep(ms(10)).await;
        }
    };
    timeout(PATIENCE, ready).await.expect("not ready");
    let stopping = async {
        sleep(ms(500)).await;
        node.drain().await
    };

    let clients = (0..6).map(|client| send_until_closed(&fixture, addr, client));
    let clients = futures::future::join_all(clients);
    let (left, sent) = timeout(PATIENCE, async { tokio::join!(stopping, clients) }).await.unwrap();

    assert_eq!(left, 0);
    assert!(sent.iter().flatten().any(|(_, status)| *status == Some(200)), "{sent:?}");
    for (id, status) in sent.into_iter().flatten() {
        let runs = fixture.runs(&id);
        let is_true = match status {
            Some(200) => runs == 1,
            Some(503) | None => runs == 0,
            Some(502) => runs <= 1,
            Some(_) => false,
        };
        assert!(is_true, "request {id} was answered with {status:?} and ran {runs} times");
    }
}

/// The bytes of a long answer, and what its slow caller takes at a time and its pause after that: more than
/// the time until the node closes idle connections, and less than its grace period.
const LONG_BYTES: usize = 1_000_000;
const READ_BYTES: usize = 2_000;
const READ_PAUSE: Duration = Duration::from_millis(7);

/// Connects with the segments of an Ethernet link and a small receive buffer.
fn connect_slow(addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_tcp_mss(1_460).unwrap();
    socket.set_recv_buffer_size(16_384).unwrap();
    socket.connect(&addr.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpStream::from_std(socket.into()).unwrap()
}

/// Sends a request and reads a long answer slowly, `most` bytes at a time; returns how many bytes of its body arrive.
pub(crate) async fn read_slowly(addr: SocketAddr, request: String, most: usize) -> usize {
    let mut stream = connect_slow(addr);
    stream.write_all(request.as_bytes()).await.unwrap();
    let (mut part, mut read) = (vec![0; most], Vec::new());
    while let Ok(count @ 1..) = stream.read(&mut part).await {
        read.extend_from_slice(&part[..count]);
        sleep(READ_PAUSE).await;
    }
    let end = read.windows(4).position(|w| w == b"\r\n\r\n").expect("an answer");
    read.len() - end - 4
}

#[test]
fn answer_that_its_caller_takes_slowly_is_not_cut_by_the_exit() {
    // Guards against a process that exits while the HTTP server holds the end of an answer (rule LOST).
    let (tests, process) = (Runtime::new().unwrap(), Runtime::new().unwrap());
    let (arrived, left) = tests.block_on(async {
        let head = "HTTP/1.1 200 OK\r\nx-limpetmux-request-id: 1f\r\nx-limpetmux-response-signature: s\r\n";
        let answer = format!("{head}content-length: {LONG_BYTES}\r\n\r\n{}", "x".repeat(LONG_BYTES));
        let addr = serve_bytes(answer).await.unwrap();
        let fixture = slow_fixture(OwnServer { id: "own", service: "plain", addr }).await;
        let seeds = vec![fixture.sidecar.node_addr];
        let mut settings = settings("other", fixture.store.addr, true, seeds);
        settings.bounds.grace_period = Duration::from_secs(10);
        let node = process.spawn(start(settings)).await.unwrap().unwrap();
        while !node.is_ready() {
            sleep(ms(10)).await;
        }
        let head = "host: a.example\r\nx-limpetmux-request-id: 1f\r\nauthorization: Bearer k2\r\n";
        let request = format!("POST /once/x HTTP/1.1\r\n{head}content-length: 0\r\n\r\n");
        let caller = tokio::spawn(read_slowly(node.caller_addr.unwrap(), request, READ_BYTES));
        sleep(ms(200)).await;

        let left = timeout(PATIENCE, process.spawn(node.drain())).await.unwrap().unwrap();
        // All connections close, as when the process exits.
        process.shutdown_background();

        (timeout(PATIENCE, caller).await.unwrap().unwrap(), left)
    });

    assert_eq!((arrived, left), (LONG_BYTES, 0));
}
