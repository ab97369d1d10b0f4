//! Answers of the store without end, or a byte at a time, end at a bound.

use super::node_fixture::settings;
use super::pos;
use limpetmux::core::read_limits::{Bound, Exceeded, MAX_LIST_BYTES, Peer};
use limpetmux::platform::store::{Page, Store, StoreError};
use limpetmux::serve::run::{RunningNode, start};
use limpetmux_standins::raw::{serve_bytes, serve_requests, unframed};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, yield_now};
use tokio::time::{sleep, timeout};

/// The bytes that the sockets between two processes hold at most, and a margin.
const SOCKET_BYTES: usize = 24 * 1024 * 1024;
/// The time after which an idle connection is not used any more, and a margin.
const IDLE_TIME: Duration = Duration::from_millis(20_100);
/// The time within which each test ends, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(40);

/// An answer whose last part is repeated until the other side closes.
#[derive(Clone)]
pub(super) struct Endless {
    pub(super) begin: Vec<u8>,
    pub(super) unit: Vec<u8>,
    pub(super) pause: Duration,
}

/// What an endless server has done.
#[derive(Default)]
pub(super) struct Done {
    pub(super) calls: AtomicUsize,
    pub(super) bytes: AtomicUsize,
    pub(super) open: AtomicUsize,
}

impl Done {
    pub(super) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Waits until the other side has closed all connections on which an answer has no end.
    pub(super) async fn closed(&self) {
        let closed = async {
            while self.open.load(Ordering::Relaxed) > 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(PATIENCE, closed).await.expect("a connection stays open");
    }
}

/// Answers the first request of each connection without end; `answer` gets its first line.
pub(super) async fn serve_endless(
    answer: impl Fn(&str) -> Endless + Send + Sync + 'static,
) -> (SocketAddr, Arc<Done>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (answer, done) = (Arc::new(answer), Arc::<Done>::default());
    let seen = Arc::clone(&done);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (answer, seen) = (Arc::clone(&answer), Arc::clone(&seen));
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                // A connection that closes without a request has had no answer.
                if !matches!(stream.read_line(&mut line).await, Ok(1..)) {
                    return;
                }
                seen.calls.fetch_add(1, Ordering::Relaxed);
                seen.open.fetch_add(1, Ordering::Relaxed);
                send_endless(stream.into_inner(), &answer(&line), &seen.bytes).await;
                seen.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
    (addr, done)
}

async fn send_endless(mut stream: TcpStream, answer: &Endless, bytes: &AtomicUsize) {
    let mut sent = stream.write_all(&answer.begin).await;
    while sent.is_ok() {
        sent = stream.write_all(&answer.unit).await;
        bytes.fetch_add(answer.unit.len(), Ordering::Relaxed);
        match answer.pause {
            Duration::ZERO => yield_now().await,
            pause => sleep(pause).await,
        }
    }
}

/// Keeps a paused clock, which moves whenever all tasks wait, where it is, so that no bound of time ends a
/// read before its bound of bytes, however slow the machine is.
fn hold_clock() -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(async {
        loop {
            yield_now().await;
        }
    });
    tasks
}

/// An answer that begins with `begin` and repeats `unit` without a pause.
fn endless(begin: &str, unit: &[u8]) -> Endless {
    let unit = unit.repeat(64 * 1024 / unit.len());
    Endless { begin: begin.into(), unit, pause: Duration::ZERO }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn exceeded<T: std::fmt::Debug>(result: Result<T, StoreError>) -> Exceeded {
    match result {
        Err(StoreError::Exceeded(exceeded)) => exceeded,
        result => panic!("ended otherwise: {result:?}"),
    }
}

/// Sends each kind of call to a store and returns how they ended.
async fn stops(answer: Endless) -> [Exceeded; 3] {
    let (addr, done) = serve_endless(move |_| answer.clone()).await;
    let store = Store::new(addr);
    let read = store.read("keyed.op", pos(4), Duration::ZERO).await;
    let newest = store.newest("keyed.op").await;
    let put = store.put("keyed.nodes", "k", b"v").await;
    done.closed().await;
    let (calls, bytes) = (done.calls(), done.bytes.load(Ordering::Relaxed));
    assert_eq!(calls, 3, "a call was repeated");
    assert!(bytes < 3 * SOCKET_BYTES, "{bytes} bytes were taken");
    [exceeded(read), exceeded(newest), exceeded(put)]
}

#[tokio::test(flavor = "multi_thread")]
async fn body_without_end_is_read_to_its_bound_only() {
    // Guards against a body that is collected until the process has no memory left.
    let chunk = [b"8000\r\n", &[b' '; 0x8000][..], b"\r\n"].concat();
    for (begin, unit) in [(HEAD, &b" "[..]), (CHUNKED, &chunk)] {
        for stop in stops(endless(begin, unit)).await {
            assert_eq!((stop.peer, stop.bound), (Peer::Store, Bound::Body), "{begin}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn framing_of_a_body_counts_against_the_bound() {
    // Guards against bytes that are read without end because they are no part of the body.
    let clock = hold_clock();
    let answer = endless(CHUNKED, b"0000000000000001\r\n \r\n");
    let (addr, done) = serve_endless(move |_| answer.clone()).await;

    let ended = Store::new(addr).put("keyed.nodes", "k", b"v").await;

    drop(clock);
    done.closed().await;
    assert_eq!(exceeded(ended).bound, Bound::Body);
}

#[tokio::test(flavor = "multi_thread")]
async fn extensions_and_trailers_without_end_are_not_read_whole() {
    // Guards against bytes of a body that are no content and so count towards no length.
    for begin in ["1;", "0\r\nx: "] {
        let answer = endless(&format!("{CHUNKED}{begin}"), b"x");
        let (addr, done) = serve_endless(move |_| answer.clone()).await;

        let ended = Store::new(addr).read("keyed.op", pos(4), Duration::ZERO).await;

        done.closed().await;
        let is_bounded = match &ended {
            Err(StoreError::Exceeded(stop)) => stop.bound != Bound::Time,
            ended => matches!(ended, Err(StoreError::NoAnswer(_))),
        };
        assert!(is_bounded, "{begin:?}: {ended:?}");
        assert!(done.bytes.load(Ordering::Relaxed) < SOCKET_BYTES, "{begin:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn body_of_an_answer_without_success_is_not_read() {
    // Guards against a failed call that waits for a body of which it needs nothing.
    for pause in [Duration::ZERO, Duration::from_millis(100)] {
        let answer = Endless { pause, ..endless("HTTP/1.1 500 Text\r\n\r\n", b" ") };
        let (addr, done) = serve_endless(move |_| answer.clone()).await;

        let ended = Store::new(addr).read("keyed.op", pos(4), Duration::ZERO).await;

        done.closed().await;
        assert!(matches!(ended, Err(StoreError::Status(_))), "{ended:?}");
        assert!(done.bytes.load(Ordering::Relaxed) < SOCKET_BYTES);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_on_an_idle_connection_close_it() {
    // Guards against bytes that are read without end after an answer, or taken for the next one.
    let answer = endless("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", b"HTTP/1.1 500 Text\r\n");
    let (addr, done) = serve_endless(move |_| answer.clone()).await;
    let store = Store::new(addr);
    let mut ended = Vec::new();
    for _ in 0..2 {
        ended.push(store.put("keyed.nodes", "k", b"v").await);
        done.closed().await;
    }

    assert!(ended.iter().all(Result::is_ok), "{ended:?}");
    assert_eq!(done.calls(), 2);
    assert!(done.bytes.load(Ordering::Relaxed) < 2 * SOCKET_BYTES);
}

#[tokio::test]
async fn connection_that_was_idle_for_long_is_not_used() {
    // Guards against a call on a connection whose other side may be gone without notice.
    let peers = Arc::<Mutex<Vec<SocketAddr>>>::default();
    let seen = Arc::clone(&peers);
    let addr = serve_requests(move |request| {
        seen.lock().unwrap().push(request.peer);
        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into()
    });
    let store = Store::new(addr.await.unwrap());
    for idle in [Duration::ZERO, IDLE_TIME, Duration::ZERO] {
        // The connection can be used again a moment after its answer.
        sleep(Duration::from_millis(20)).await;
        tokio::time::pause();
        tokio::time::advance(idle).await;
        tokio::time::resume();
        store.put("keyed.nodes", "k", b"v").await.unwrap();
    }

    let peers = peers.lock().unwrap();
    assert_ne!(peers[0], peers[1]);
    assert_eq!(peers[1], peers[2]);
}

#[tokio::test(flavor = "multi_thread")]
async fn head_without_end_is_read_to_its_bound_only() {
    // Guards against a head that grows until a time-out, line by line or in one line.
    for unit in [&b"x: y\r\n"[..], b"x"] {
        for stop in stops(endless("HTTP/1.1 200 OK\r\n", unit)).await {
            assert_eq!((stop.peer, stop.bound), (Peer::Store, Bound::Head));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn informational_answers_without_end_count_against_the_bound() {
    // Guards against answers that are skipped one after another without any bound in bytes.
    for stop in stops(endless("", b"HTTP/1.1 103 Early\r\nx: y\r\n\r\n")).await {
        assert_eq!((stop.peer, stop.bound), (Peer::Store, Bound::Head));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn dripped_answers_end_in_time() {
    // Guards against an answer that never ends because a byte arrives now and then.
    for begin in [HEAD, "HTTP/1.1 200 OK\r\nx: "] {
        let pause = Duration::from_millis(100);
        let stops = stops(Endless { begin: begin.into(), unit: b" ".into(), pause });
        for stop in timeout(PATIENCE, stops).await.unwrap() {
            assert_eq!((stop.peer, stop.bound), (Peer::Store, Bound::Time));
        }
    }
}

fn page(items: &str, length_from: usize) -> Vec<u8> {
    let body = format!(r#"{{"items":[{items}],"has-more":true,"end":9}}"#);
    let body = format!("{body}{}", " ".repeat(length_from.saturating_sub(body.len())));
    unframed(body.as_bytes())
}

const ITEM: &str = r#"{"key":"k","value":"dg==","offset":3}"#;

#[tokio::test(flavor = "multi_thread")]
async fn list_of_slow_pages_ends_in_time() {
    // Guards against a list of many pages, each of which arrives just in time: 200 pages took minutes.
    let slow = page(ITEM, 0);
    let end = slow.len() - 1;
    // Each page arrives in two parts with a pause that is shorter than the time for one answer.
    let answer = Endless {
        begin: slow[..end].into(),
        unit: slow[end..].into(),
        pause: Duration::from_millis(500),
    };
    let (addr, calls) = serve_pages(answer).await;

    let ended = timeout(PATIENCE, Store::new(addr).newest("keyed.op")).await.unwrap();

    assert_eq!(exceeded(ended).bound, Bound::Time);
    assert!(calls.load(Ordering::Relaxed) > 1);
}

/// Sends the two parts of an answer with the pause between them, and closes the connection.
async fn serve_pages(answer: Endless) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let calls = Arc::<AtomicUsize>::default();
    let seen = Arc::clone(&calls);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            seen.fetch_add(1, Ordering::Relaxed);
            let answer = answer.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                let mut line = String::new();
                while matches!(stream.read_line(&mut line).await, Ok(3..)) {
                    line.clear();
                }
                // The other side may have closed because its time was over.
                let _ = stream.write_all(&answer.begin).await;
                sleep(answer.pause).await;
                let _ = stream.write_all(&answer.unit).await;
            });
        }
    });
    (addr, calls)
}

#[tokio::test(flavor = "multi_thread")]
async fn pages_of_one_list_are_bounded_together() {
    // Guards against pages that each are within their bound, but are all kept until the last.
    let addr = serve_bytes(page(ITEM, MAX_LIST_BYTES / 10)).await.unwrap();

    let ended = Store::new(addr).newest("keyed.op").await;

    let stop = exceeded(ended);
    assert_eq!((stop.bound, stop.limit), (Bound::Body, MAX_LIST_BYTES as u64));
}

async fn read(records: &[u8], end: u64, first: u64, from: u64) -> Result<Page, StoreError> {
    let body = [&end.to_be_bytes()[..], &first.to_be_bytes(), records].concat();
    let store = Store::new(serve_bytes(unframed(&body)).await.unwrap());
    store.read("keyed.op", pos(from), Duration::ZERO).await
}

#[tokio::test(flavor = "multi_thread")]
async fn records_of_one_answer_are_bounded_in_number() {
    // Guards against small records that take up many times the memory of the answer.
    let items = vec![ITEM; 2_000].join(",");
    let newest = Store::new(serve_bytes(page(&items, 0)).await.unwrap()).newest("keyed.op").await;
    let records = read(&[0, 0, 0, 1, 0].repeat(300_000), 9, 0, 4).await;

    assert_eq!(exceeded(newest).bound, Bound::Count);
    assert_eq!(exceeded(records).bound, Bound::Count);
}

#[tokio::test(flavor = "multi_thread")]
async fn lengths_and_offsets_of_an_answer_allocate_and_overflow_nothing() {
    // Guards against a length without its bytes, and against an offset without a successor, which
    // ended the control thread where overflow is checked and began again at zero elsewhere.
    let length = read(&[255, 255, 255, 255, 1, b'k'], 9, 0, 4).await;
    let key = read(&[0, 0, 0, 2, 255, b'k'], 9, 0, 4).await.unwrap();
    let record = [0, 0, 0, 2, 1, b'k'];
    let offsets = [4, u64::MAX].map(|from| read(&record, u64::MAX, u64::MAX, from));
    let empties = [4, u64::MAX].map(|from| read(&[0, 0, 0, 0], u64::MAX, u64::MAX, from));

    assert!(matches!(length, Err(StoreError::Truncated)), "{length:?}");
    assert_eq!((key.records.len(), key.end, key.has_more), (0, pos(5), true));
    for ended in offsets.into_iter().chain(empties) {
        let ended = ended.await;
        assert!(matches!(ended, Err(StoreError::Offset)), "{ended:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_nested_without_end_is_not_decoded() {
    // Guards against nested values that use up the stack.
    let nested = format!(r#"{{"items":[],"x":{}"#, "[".repeat(1_000_000));
    let addr = serve_bytes(unframed(nested.as_bytes())).await.unwrap();

    let ended = Store::new(addr).newest("keyed.op").await;

    assert!(matches!(ended, Err(StoreError::Decode(_))), "{ended:?}");
}

/// Returns a counter of stopped reads in the metrics of a node.
pub(super) async fn stopped(node: &RunningNode, peer: &str, bound: &str) -> u64 {
    let text = reqwest::get(format!("http://{}/", node.metrics_addr)).await.unwrap();
    let text = text.text().await.unwrap();
    let is_row = |line: &&str| {
        line.starts_with("limpetmux_reads_stopped")
            && line.contains(&format!("peer=\"{peer}\""))
            && line.contains(&format!("bound=\"{bound}\""))
    };
    let row = text.lines().find(is_row);
    row.map_or(0, |row| row.rsplit(' ').next().unwrap().parse().unwrap())
}

/// Waits until a node has counted some stopped reads.
pub(super) async fn wait_stopped(node: &RunningNode, peer: &str, bound: &str, count: u64) {
    let counted = async {
        while stopped(node, peer, bound).await < count {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(PATIENCE, counted).await.expect("no read was stopped");
}

#[tokio::test(flavor = "multi_thread")]
async fn dripped_read_of_the_store_ends_is_logged_and_is_followed_by_another_one() {
    // Guards against a read that holds the loop which follows the store, so that the view ages unseen.
    let pause = Duration::from_millis(100);
    let drip = move |_: &str| Endless { begin: HEAD.into(), unit: b" ".into(), pause };
    let (store, done) = serve_endless(drip).await;
    let node = start(settings("entry", store, true, Vec::new())).await.unwrap();

    // Operator's records, backend servers, nodes, and the append of the own address, twice over.
    wait_stopped(&node, "store", "time", 6).await;

    assert!(done.calls() >= 6, "{} calls", done.calls());
    assert!(!node.is_ready());
}
