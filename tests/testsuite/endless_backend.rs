//! Answers of backend servers that go on without end, or that arrive one byte at a time.

use bytes::Bytes;
use futures::{FutureExt, TryStreamExt};
use limpetmux::adapters::backend::{Backend, BackendError, Job};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::answer_limits::AnswerLimits;
use limpetmux::core::config::StageKind;
use limpetmux::core::frames::{AttemptKey, RequestId};
use limpetmux::core::keys::StageIndex;
use limpetmux::core::refusal::Execution;
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux::kernel::Publisher;
use limpetmux::node::serve_sidecar;
use limpetmux::sidecar::{Sidecar, SidecarOptions};
use limpetmux::util::exposition::Exposition;
use limpetmux::wire::convert;
use limpetmux::wire::stage::RunRequest;
use limpetmux::wire::stage::frame::Kind;
use limpetmux::wire::stage::stage_client::StageClient;
use limpetmux_standins::raw::{serve_bytes, unframed};
use limpetmux_test_support::config::{name, summary_config};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use uuid::Uuid;

/// The bytes of blanks after an answer that states a few values, more than its bound.
const BLANKS: usize = 1 << 20;
/// The most bytes that a reader with a bound takes, including the buffers of the sockets.
const TAKEN: usize = 64 << 20;
/// The most time that a call may take, far above its own bound.
const PATIENCE: Duration = Duration::from_secs(60);
/// The time between two bytes of an answer that drips.
const DRIP: Duration = Duration::from_millis(20);

const KEY: AttemptKey =
    AttemptKey { request: RequestId(Uuid::nil()), stage: StageIndex(0), attempt: 0 };

/// A server that answers with `head`, then with `part` again and again until its peer closes.
struct Endless {
    url: String,
    sent: Arc<AtomicUsize>,
}

impl Endless {
    async fn start(head: &'static str, part: Vec<u8>, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let sent = Arc::<AtomicUsize>::default();
        let (counter, part) = (Arc::clone(&sent), Arc::new(part));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send(stream, head, Arc::clone(&part), pause, Arc::clone(&counter)));
            }
        });
        Self { url, sent }
    }

    fn backend(&self) -> Backend {
        backend(&self.url)
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::SeqCst)
    }
}

async fn send(
    mut stream: TcpStream,
    head: &'static str,
    part: Arc<Vec<u8>>,
    pause: Duration,
    counter: Arc<AtomicUsize>,
) {
    let _ = stream.read(&mut [0; 4096]).await;
    let mut result = stream.write_all(head.as_bytes()).await;
    while result.is_ok() {
        tokio::time::sleep(pause).await;
        result = stream.write_all(&part).await;
        counter.fetch_add(part.len(), Ordering::SeqCst);
    }
}

fn backend(url: &str) -> Backend {
    Backend::http(OneCallClient::new().unwrap(), url)
}

fn job(kind: StageKind) -> Job {
    Job {
        key: KEY,
        kind,
        model: None,
        input: Bytes::from_static(b"1"),
        prefix: Vec::new(),
        max_tokens: 8,
        priority: 0,
        fence: None,
    }
}

/// Runs a call to its end and returns the bytes of its payloads.
async fn run(backend: &Backend, kind: StageKind) -> Result<usize, BackendError> {
    let call = async { (backend.run)(job(kind)).await?.try_collect::<Vec<_>>().await };
    let chunks = tokio::time::timeout(PATIENCE, call).await.unwrap()?;
    Ok(chunks.iter().map(|c| c.payload.len()).sum())
}

/// Runs a call that is answered with a body that ends with its connection.
async fn run_body(kind: StageKind, body: &[u8]) -> Result<usize, BackendError> {
    let url = format!("http://{}", serve_bytes(unframed(body)).await.unwrap());
    run(&backend(&url), kind).await
}

/// Returns an event with one token and blanks up to a length.
fn event(len: usize) -> String {
    let mut event = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}".to_owned();
    event.extend(std::iter::repeat_n(' ', len.saturating_sub(event.len())));
    event + "\n\n"
}

#[tokio::test]
async fn load_report_beyond_its_bound_is_not_read_whole() {
    // Guards against a load report without end that fills the memory of its sidecar.
    let report = "{\"running\":0,\"waiting\":0,\"capacity\":1,\"cold\":false,\
                  \"incarnation\":1,\"age_ms\":0}";
    let mut body = report.as_bytes().to_vec();
    body.resize(body.len() + BLANKS, b' ');
    let url = format!("http://{}", serve_bytes(unframed(&body)).await.unwrap());

    let result = (backend(&url).load)().await;

    // On a busy machine the second that a report may take is over first.
    let is_stopped =
        matches!(result, Err(BackendError::Exceeded(_) | BackendError::ResponseLost(_)));
    assert!(is_stopped, "{result:?}");
}

#[tokio::test]
async fn answer_to_a_cancellation_is_bounded_in_bytes_and_in_time() {
    // Guards against an answer that keeps the cancellation and its memory for ever.
    let mut body = b"{\"cancelled\":true}".to_vec();
    body.resize(body.len() + BLANKS, b' ');
    let url = format!("http://{}", serve_bytes(unframed(&body)).await.unwrap());
    let head = "HTTP/1.1 200 OK\r\n\r\n{";
    let drip = Endless::start(head, b" ".to_vec(), DRIP).await;

    let whole = (backend(&url).cancel)(KEY).await;
    let dripped = tokio::time::timeout(PATIENCE, (drip.backend().cancel)(KEY)).await;

    assert!(whole.is_err(), "{whole:?}");
    assert!(matches!(dripped, Ok(Err(_))), "{dripped:?}");
}

#[tokio::test]
async fn event_beyond_its_bound_ends_the_answer() {
    // Guards against one event, or one line of it, that grows as long as the whole answer may be.
    let end = "data: [DONE]\n\n";
    let comment = format!(":{}\n\n", " ".repeat(1 << 20));

    let sound = run_body(StageKind::Generate, (event(64 << 10) + end).as_bytes()).await;
    let long = run_body(StageKind::Generate, (event(1 << 20) + end).as_bytes()).await;
    let commented = run_body(StageKind::Generate, (comment + &event(0) + end).as_bytes()).await;

    assert_eq!(sound.unwrap(), 1);
    assert!(matches!(long, Err(BackendError::Exceeded(_))), "{long:?}");
    assert!(matches!(commented, Err(BackendError::Exceeded(_))), "{commented:?}");
}

#[tokio::test]
async fn streamed_answer_beyond_its_bound_ends() {
    // Guards against events that each are within their bound, and that are kept together.
    let body = event(200 << 10).replace(",\"finish_reason\":\"stop\"", "").repeat(100);

    let body = body + &event(0) + "data: [DONE]\n\n";
    let result = run_body(StageKind::Generate, body.as_bytes()).await;

    assert!(matches!(result, Err(BackendError::Exceeded(_))), "{result:?}");
}

#[tokio::test]
async fn body_of_a_refusal_is_not_read() {
    // Guards against a refusal that is known and still waits for a body of which it needs nothing.
    for (part, pause) in [(vec![b' '; 4_096], Duration::ZERO), (b" ".to_vec(), DRIP)] {
        let server = Endless::start("HTTP/1.1 503 Text\r\n\r\n", part, pause).await;

        let error = run(&server.backend(), StageKind::Generate).await.unwrap_err();

        assert!(error.is_not_run(), "{error:?}");
        assert!(server.sent() < TAKEN, "{}", server.sent());
    }
}

#[tokio::test]
async fn nested_answers_do_not_end_the_process() {
    // Guards against nested values that use up the stack.
    for nested in ["[".repeat(200_000), "{\"a\":".repeat(40_000)] {
        for begin in ["", "{\"x\":"] {
            let plain = run_body(StageKind::Plain, format!("{begin}{nested}").as_bytes()).await;
            assert!(matches!(plain, Err(BackendError::Truncated)), "{plain:?}");
        }
        for begin in ["{\"choices\":", "{\"x\":"] {
            let body = format!("data: {begin}{nested}\n\n");
            let streamed = run_body(StageKind::Generate, body.as_bytes()).await;
            assert!(matches!(streamed, Err(BackendError::Malformed(_))), "{streamed:?}");
        }
    }
}

#[tokio::test]
async fn answer_of_too_many_tokens_ends() {
    // Guards against millions of small pieces that the sidecar and the entry keep.
    let tokens = ["{\"text\":\"a\"}"; 100].join(",");
    let body = format!("data: {{\"choices\":[{tokens}]}}\n\n").repeat(1_000);

    let body = body + &event(0) + "data: [DONE]\n\n";
    let result = run_body(StageKind::Generate, body.as_bytes()).await;

    assert!(matches!(result, Err(BackendError::Exceeded(_))), "{result:?}");
}

#[tokio::test]
async fn answers_end_at_the_limits_of_the_settings() {
    // Guards against settings that are accepted and have no effect.
    const MAX_BYTES: usize = 70_000;
    let limits = AnswerLimits { plain: MAX_BYTES, stream: MAX_BYTES, ..AnswerLimits::SIDECAR };
    let streamed = |len| event(len) + "data: [DONE]\n\n";
    let framing = streamed(0).len() - event(0).len() + 2;
    let plain = |len: usize| " ".repeat(len - 1) + "1";
    let rows = [
        (StageKind::Plain, plain(MAX_BYTES), plain(MAX_BYTES + 1)),
        (StageKind::Generate, streamed(MAX_BYTES - framing), streamed(MAX_BYTES - framing + 1)),
    ];
    for (kind, within, beyond) in rows {
        for (body, is_read) in [(within, true), (beyond, false)] {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            let url = format!("http://{}", serve_bytes(head + &body).await.unwrap());
            let client = OneCallClient::new().unwrap();

            let result = run(&Backend::http_within(limits, client, &url), kind).await;

            assert_eq!(result.is_ok(), is_read, "{kind:?} {result:?}");
            assert!(is_read || matches!(result, Err(BackendError::Exceeded(_))), "{result:?}");
        }
    }
}

#[tokio::test]
async fn answer_with_a_head_beyond_its_bound_is_not_passed_on() {
    let field = format!("x-field: {}\r\n", "a".repeat(64 << 10));
    for (status, kind) in [(200, StageKind::Plain), (503, StageKind::Generate)] {
        let answer = format!("HTTP/1.1 {status} Text\r\n{field}content-length: 2\r\n\r\n{{}}");
        let url = format!("http://{}", serve_bytes(answer).await.unwrap());

        let error = run(&backend(&url), kind).await.unwrap_err();

        assert!(!error.is_not_run(), "{error:?}");
    }
}

#[tokio::test]
async fn heads_and_bodies_without_end_are_not_read_whole() {
    let fields = b"x-field: a\r\n".repeat(1_000);
    let rows = [
        ("HTTP/1.1 200 OK\r\n", fields),
        ("HTTP/1.1 200 OK\r\nx-field: ", vec![b'a'; 4_096]),
        ("HTTP/1.1 503 Text\r\nx-field: ", vec![b'a'; 4_096]),
        ("", vec![b'a'; 4_096]),
        ("HTTP/1.1 200 OK\r\n\r\n\"a\"", vec![b' '; 4_096]),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3;", vec![b'a'; 4_096]),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx:", vec![b'a'; 4_096]),
    ];
    for (head, part) in rows {
        for kind in [StageKind::Plain, StageKind::Generate] {
            let server = Endless::start(head, part.clone(), Duration::ZERO).await;

            let error = run(&server.backend(), kind).await.unwrap_err();

            assert!(!error.is_not_run(), "{head:?} {error:?}");
            assert!(server.sent() < TAKEN, "{head:?} {}", server.sent());
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_that_drips_ends_at_the_deadline_of_its_attempt_as_unknown() {
    let informational = b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec();
    let rows = [
        ("HTTP/1.1 200 OK\r\nx-field: ", b"a".to_vec()),
        ("HTTP/1.1 200 OK\r\n\r\n\"a\"", b" ".to_vec()),
        ("HTTP/1.1 503 Text\r\nx-field: ", b"a".to_vec()),
        ("", informational),
    ];
    for (head, part) in rows {
        let server = Endless::start(head, part, DRIP).await;

        let attempt = run_attempt(server.backend(), Duration::from_secs(1));
        let (refused, counters) = tokio::time::timeout(PATIENCE, attempt).await.unwrap();

        assert_eq!(refused, Some(Execution::Unknown), "{head:?}");
        assert!(counters.contains(&stopped("time")), "{head:?} {counters}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_beyond_a_bound_ends_its_attempt_as_unknown_and_is_counted() {
    // Guards against stopped reads that operators do not see.
    let field = format!("x-field: {}\r\n", "a".repeat(64 << 10));
    let rows = [
        ("head", format!("HTTP/1.1 503 Text\r\n{field}content-length: 0\r\n\r\n")),
        ("body", "HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n".to_owned()),
    ];
    for (bound, answer) in rows {
        let url = format!("http://{}", serve_bytes(answer).await.unwrap());

        let (refused, counters) = run_attempt(backend(&url), PATIENCE).await;

        assert_eq!(refused, Some(Execution::Unknown), "{bound}");
        assert!(counters.contains(&stopped(bound)), "{counters}");
    }
}

/// Returns the line that counts one stopped read of a backend server.
fn stopped(bound: &str) -> String {
    format!("limpetmux_reads_stopped{{peer=\"backend_server\",bound=\"{bound}\"}} 1\n")
}

/// Runs an attempt with a deadline on a sidecar; returns what its refusal states, if any, and the
/// sidecar's counters.
async fn run_attempt(backend: Backend, deadline: Duration) -> (Option<Execution>, String) {
    let exposition = Exposition::default();
    let config = summary_config();
    let mut hosts = config.hosts.iter();
    let (host, _) = hosts.find(|(_, h)| h.service == name("encode")).unwrap();
    let views = Publisher::new(View::compile(Revision(1), &config));
    let load = Arc::new(|| async { Err(BackendError::Truncated) }.boxed());
    let sidecar = Sidecar::start(SidecarOptions {
        host: host.clone(),
        view: views.reader(),
        backend: Backend { load, ..backend },
        once: None,
        metrics: exposition.metrics(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(serve_sidecar(sidecar, listener, std::future::pending()));
    let (workspace, spec) = config.workspaces.first_key_value().unwrap();
    let request = RunRequest {
        id: Some(KEY.into()),
        workspace: workspace.to_string(),
        pipeline: spec.pipelines[0].to_string(),
        remaining_us: convert::micros(deadline),
        input: "1".into(),
        ..RunRequest::default()
    };
    let mut client = StageClient::connect(url).await.unwrap();
    let mut frames = client.run(request).await.unwrap().into_inner();
    let mut refused = None;
    while let Some(frame) = frames.message().await.unwrap() {
        if let Some(Kind::Refused(message)) = frame.kind {
            refused = Some(convert::refusal(&message).execution);
        }
    }
    (refused, exposition.render())
}
