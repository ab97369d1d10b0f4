//! Other processes and callers that send without end, one byte at a time, or do not answer at all.

use limpetmux::adapters::backend::Backend;
use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::Name;
use limpetmux::core::frames::AttemptKey;
use limpetmux::core::read_limits::MAX_TABLE_BYTES;
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux::entry::{Entry, EntryOptions, Limits, Members};
use limpetmux::kernel::Publisher;
use limpetmux::node::serve_sidecar;
use limpetmux::sidecar::{OnceSettings, Sidecar, SidecarOptions};
use limpetmux::util::exposition::Exposition;
use limpetmux::util::hash::StreamHash;
use limpetmux::util::metrics::Metrics;
use limpetmux::wire::once::once_client::OnceClient;
use limpetmux::wire::once::once_server::OnceServer;
use limpetmux::wire::stage::frame::Kind;
use limpetmux::wire::stage::stage_server::{Stage, StageServer};
use limpetmux::wire::{convert, once, stage};
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::http::{Answer, Caller};
use limpetmux_test_support::{FakeLog, FakeOnce};
use prost::Message;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::Iter;
use tonic::service::Routes;
use tonic::{Request, Response, Status};
use uuid::Uuid;

const WORKSPACE: &str = "exchange";
/// A pipeline whose only stage may run at most once, on one of two hosts.
const ONCE: &str = "port";
/// A pipeline whose first stage is idempotent.
const IDEMPOTENT: &str = "call-summary";
/// The path that runs a pipeline.
pub(super) const RUN: &str =
    "POST /v1/workspaces/exchange/pipelines/port/runs HTTP/1.1\r\nhost: a\r\n";
/// The most time that a call may take, far above its own bound.
const PATIENCE: Duration = Duration::from_secs(90);
/// The time between two bytes that drip.
const DRIP: Duration = Duration::from_millis(50);

/// The pieces that a host answers each attempt with, complete and with their checksum.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pieces {
    pub(super) count: u64,
    pub(super) bytes: usize,
}

/// An answer without pieces.
pub(super) const NO_PIECES: Pieces = Pieces { count: 0, bytes: 0 };

/// A host that answers attempts with pieces after a wait.
struct FakeHost {
    pieces: Pieces,
    wait: Duration,
}

#[tonic::async_trait]
impl Stage for FakeHost {
    type RunStream = Iter<Box<dyn Iterator<Item = Result<stage::Frame, Status>> + Send>>;

    async fn run(
        &self,
        request: Request<stage::RunRequest>,
    ) -> Result<Response<Self::RunStream>, Status> {
        let key = convert::attempt(request.into_inner().id.as_ref()).unwrap();
        tokio::time::sleep(self.wait).await;
        let frames: Box<dyn Iterator<Item = _> + Send> = Box::new(frames(key, self.pieces).map(Ok));
        Ok(Response::new(tokio_stream::iter(frames)))
    }

    async fn cancel(
        &self,
        _: Request<stage::CancelRequest>,
    ) -> Result<Response<stage::CancelReply>, Status> {
        Err(Status::unimplemented("no cancellation"))
    }

    async fn probe(
        &self,
        _: Request<stage::ProbeRequest>,
    ) -> Result<Response<stage::Load>, Status> {
        Err(Status::unimplemented("no probe"))
    }
}

/// Returns the frames of a complete answer: blanks, then the JSON value 1.
fn frames(key: AttemptKey, pieces: Pieces) -> impl Iterator<Item = stage::Frame> + Send {
    let blank = " ".repeat(pieces.bytes);
    let mut hash = StreamHash::default();
    (0..=pieces.count + 1).map(move |sequence| {
        let kind = if sequence > pieces.count {
            let checksum = hash.value();
            Kind::Done(stage::Done { count: sequence, checksum, ..stage::Done::default() })
        } else {
            let text = if sequence == pieces.count { "1" } else { &blank };
            hash.update(text.as_bytes());
            Kind::Data(stage::Data { payload: text.to_owned().into(), tokens: 0 })
        };
        stage::Frame { id: Some(key.into()), sequence, kind: Some(kind) }
    })
}

/// An entry in front of hosts that answer as given.
pub(super) struct Fixture {
    caller: Caller,
    pub(super) addr: SocketAddr,
    counters: Exposition,
    _view: Publisher<View>,
}

impl Fixture {
    pub(super) async fn start(pieces: Pieces) -> Self {
        Self::start_slow(pieces, Duration::ZERO).await
    }

    /// Starts hosts that wait before they answer an attempt.
    async fn start_slow(pieces: Pieces, wait: Duration) -> Self {
        let mut config = summary_config();
        let is_faked = |service: &Name| ["provisioning", "encode"].contains(&service.as_str());
        for host in config.hosts.values_mut().filter(|h| is_faked(&h.service)) {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            host.sidecar = listener.local_addr().unwrap();
            let silent = FakeOnce::default().look_up(std::future::pending);
            let routes = Routes::new(StageServer::new(FakeHost { pieces, wait }));
            let routes = routes.add_service(OnceServer::new(silent));
            tokio::spawn(async move {
                Channels::plain().serve(routes, listener, std::future::pending()).await
            });
        }
        let view = Publisher::new(View::compile(Revision(1), &config));
        let counters = Exposition::default();
        let entry = Entry::start(EntryOptions {
            zone: config.zones.keys().next().unwrap().clone(),
            ordinal: 0,
            view: view.reader(),
            members: Members(None),
            channels: Channels::plain(),
            limits: Limits::default(),
            metrics: counters.metrics(),
        });
        let (entry, listener) = (entry.unwrap(), TcpListener::bind("127.0.0.1:0").await.unwrap());
        let addr = listener.local_addr().unwrap();
        let caller = Caller::new(&limpetmux::entry::base_url(addr));
        let stop = std::future::pending();
        tokio::spawn(async move { entry.serve(listener, stop, Duration::ZERO).await });
        Self { caller, addr, counters, _view: view }
    }

    async fn run_once(&self) -> Answer {
        let key = Uuid::now_v7().to_string();
        let body = json!({ "input": 1, "deadline_ms": 20_000 });
        self.caller.run_once(WORKSPACE, ONCE, &key, &body).await
    }
}

/// Sends `head` and then one byte at a time until the entry closes; returns what it answered.
async fn drip(addr: SocketAddr, head: &str) -> String {
    let (mut reader, mut writer) = TcpStream::connect(addr).await.unwrap().into_split();
    let head = head.to_owned();
    let sender = tokio::spawn(async move {
        let mut sent = writer.write_all(head.as_bytes()).await;
        while sent.is_ok() {
            tokio::time::sleep(DRIP).await;
            sent = writer.write_all(b" ").await;
        }
    });
    let mut answer = Vec::new();
    let mut part = [0; 4_096];
    while let Ok(len @ 1..) = reader.read(&mut part).await {
        answer.extend_from_slice(&part[..len]);
    }
    sender.abort();
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_another_process_beyond_its_bounds_is_not_kept() {
    // Guards against a sidecar that sends frames without end, which the entry keeps.
    let rows = [Pieces { count: 40, bytes: 1 << 20 }, Pieces { count: 100_000, bytes: 1 }];
    for pieces in rows {
        let fixture = Fixture::start(pieces).await;
        let body = json!({ "input": 1, "deadline_ms": 60_000 });

        let once = fixture.run_once().await;
        let repeatable = fixture.caller.run(WORKSPACE, IDEMPOTENT, &body).await;

        assert_eq!(once.body["execution"], "unknown", "{pieces:?} {}", once.body);
        assert_eq!(repeatable.body["execution"], "partly_run", "{pieces:?} {}", repeatable.body);
        assert_eq!(repeatable.body["code"], "failed", "{pieces:?} {}", repeatable.body);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_another_process_within_its_bounds_is_whole() {
    let fixture = Fixture::start(Pieces { count: 4, bytes: 1 << 20 }).await;

    let answer = fixture.run_once().await;

    assert_eq!((answer.status, &answer.body["output"]), (200, &json!(1)), "{}", answer.body);
}

/// A table of keys with an answer of some bytes each.
fn full_table(rows: u128, bytes: usize) -> once::HandOverRequest {
    let row = |n: u128| once::Row {
        digest: n.to_be_bytes().to_vec(),
        created_ms: 1_700_000_000_000,
        body_hash: Some(u64::MAX),
        expires_ms: 1_700_000_000_000,
        answer: Some(once::Stored { payload: vec![b' '; bytes], cost: u64::MAX }),
        ..once::Row::default()
    };
    once::HandOverRequest {
        from: Some(once::Process { host: 1, incarnation: 1 }),
        rows: (0..rows).map(row).collect(),
        ..once::HandOverRequest::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_of_keys_with_many_answers_is_received() {
    // Guards against a bound on messages that the table of a leaving host meets: its keys would not
    // be handed over.
    let config = summary_config();
    let mut hosts = config.hosts.iter();
    let (host, _) = hosts.find(|(_, h)| h.service.as_str() == "provisioning").unwrap();
    let views = Publisher::new(View::compile(Revision(1), &config));
    let backend = Backend::http(OneCallClient::new().unwrap(), "http://127.0.0.1:9");
    let sidecar = Sidecar::start(SidecarOptions {
        host: host.clone(),
        view: views.reader(),
        backend,
        once: Some(OnceSettings::new(FakeLog::new().client())),
        metrics: Metrics::none(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(serve_sidecar(sidecar, listener, std::future::pending()));
    let mut client =
        OnceClient::connect(url).await.unwrap().max_encoding_message_size(MAX_TABLE_BYTES);
    // Tables with the most bytes of answers, in large answers and with the most keys.
    for (rows, bytes) in [(256, 64 << 10), (65_536, 256)] {
        let request = full_table(rows, bytes);
        let size = request.encoded_len();

        let began = Instant::now();
        let reply = client.hand_over(request).await;

        println!("{rows} keys in {size} bytes: {} ms", began.elapsed().as_millis());
        assert!(reply.is_ok(), "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_of_a_key_is_told_although_no_host_answers() {
    // Guards against an outcomes page that waits for ever for a process that stands still.
    let fixture = Fixture::start(NO_PIECES).await;
    let key = Uuid::now_v7().to_string();

    let answer = fixture.caller.outcome(WORKSPACE, ONCE, &key);
    let answer = tokio::time::timeout(PATIENCE, answer).await.unwrap();

    assert_eq!(answer.body["stages"][0]["state"], "unknown", "{}", answer.body);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_send_one_byte_at_a_time_lose_their_connection() {
    // Guards against callers that hold connections, and places of requests, for ever.
    let fixture = Fixture::start(NO_PIECES).await;
    let body = format!("{RUN}content-length: 100000\r\n\r\n");
    let chunked = format!("{RUN}transfer-encoding: chunked\r\n\r\n3;");
    let head = format!("{RUN}x-field: ");

    let addr = fixture.addr;
    let drips = async { tokio::join!(drip(addr, &body), drip(addr, &chunked), drip(addr, &head)) };
    let (body, chunked, head) = tokio::time::timeout(PATIENCE, drips).await.unwrap();

    assert!(body.starts_with("HTTP/1.1 408"), "{body}");
    assert!(chunked.starts_with("HTTP/1.1 408"), "{chunked}");
    assert_eq!(head, "");
    let stopped = "limpetmux_reads_stopped{peer=\"caller\",bound=\"time\"}";
    let counters = fixture.counters.render();
    let count = counters.lines().find_map(|line| line.strip_prefix(stopped));
    let count = count.and_then(|c| c.trim().parse().ok()).unwrap_or(0);
    assert!(count >= 3, "{counters}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_may_run_longer_than_its_head_may_take() {
    // Guards against a bound on heads that ends sound requests, whose connection is silent while
    // they run, also where the entry has asked for the body with an interim answer.
    let wait = Duration::from_secs(22);
    let fixture = Fixture::start_slow(NO_PIECES, wait).await;
    let body = json!({ "input": 1, "deadline_ms": 60_000 }).to_string();
    let fields = format!("connection: close\r\ncontent-length: {}\r\n", body.len());
    let keys = [Uuid::now_v7(), Uuid::now_v7()].map(|key| format!("idempotency-key: {key}\r\n"));
    let plain = format!("{RUN}{fields}{}\r\n", keys[0]);
    let expecting = format!("{RUN}{fields}expect: 100-continue\r\n{}\r\n", keys[1]);

    let (plain, expecting) =
        tokio::join!(send(fixture.addr, &plain, &body), send(fixture.addr, &expecting, &body));

    assert!(plain.starts_with("HTTP/1.1 200"), "{plain}");
    assert!(expecting.starts_with("HTTP/1.1 100"), "{expecting}");
    assert!(expecting.contains("HTTP/1.1 200"), "{expecting}");
}

/// Sends a head, then a body after a moment; returns all that the entry answers.
async fn send(addr: SocketAddr, head: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn head_of_a_caller_without_end_is_not_read_whole() {
    let fixture = Fixture::start(NO_PIECES).await;
    for part in ["a".repeat(4_096), "x-field: a\r\n".repeat(400)] {
        let mut stream = TcpStream::connect(fixture.addr).await.unwrap();
        stream.write_all(format!("{RUN}x-field: ").as_bytes()).await.unwrap();

        let mut sent = 0;
        while stream.write_all(part.as_bytes()).await.is_ok() {
            sent += part.len();
            assert!(sent < 64 << 20, "{sent}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_that_do_not_begin_lose_their_connection() {
    // Guards against connections of peers that never send a request and are kept for ever.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let service = StageServer::new(FakeHost { pieces: NO_PIECES, wait: Duration::ZERO });
    let serve = Channels::plain();
    tokio::spawn(async move {
        serve.serve(Routes::new(service), listener, std::future::pending()).await
    });

    for sent in [&b""[..], b"PRI * HTTP"] {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(sent).await.unwrap();
        let mut received = Vec::new();

        let read = tokio::time::timeout(PATIENCE / 3, stream.read_to_end(&mut received)).await;

        assert!(read.is_ok(), "{sent:?}: the connection is still open");
    }
}
