//! An attempt counts as not run only if its sidecar's refusal belongs to this very send.

use futures::{FutureExt, StreamExt, stream};
use limpetmux::adapters::backend::{Backend, BackendError, Chunk, LoadReport};
use limpetmux::core::frames::{AttemptKey, RequestId};
use limpetmux::core::keys::StageIndex;
use limpetmux::core::refusal::Execution;
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux::kernel::Publisher;
use limpetmux::node::serve_sidecar;
use limpetmux::sidecar::{Sidecar, SidecarOptions};
use limpetmux::util::metrics::Metrics;
use limpetmux::wire::convert;
use limpetmux::wire::stage::frame::Kind;
use limpetmux::wire::stage::stage_client::StageClient;
use limpetmux::wire::stage::{CancelRequest, RunRequest};
use limpetmux_test_support::config::{name, summary_config};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::TcpListener;
use tonic::transport::Channel;
use uuid::Uuid;

/// A sidecar over TCP whose backend server counts its runs.
struct Node {
    sidecar: Arc<Sidecar>,
    client: StageClient<Channel>,
    runs: Arc<AtomicU32>,
    _views: Publisher<View>,
}

/// The items of the stream that a backend server answers with.
type AnswerFn = fn() -> Vec<Result<Chunk, BackendError>>;

fn chunk() -> Result<Chunk, BackendError> {
    Ok(Chunk { payload: "{}".into(), tokens: 0 })
}

fn counting_backend(runs: Arc<AtomicU32>, answer: AnswerFn) -> Backend {
    Backend {
        run: Arc::new(move |_| {
            runs.fetch_add(1, Ordering::SeqCst);
            async move { Ok(stream::iter(answer()).boxed()) }.boxed()
        }),
        cancel: Arc::new(|_| async { Ok(false) }.boxed()),
        load: Arc::new(|| async { Ok(LoadReport::default()) }.boxed()),
    }
}

impl Node {
    async fn start(answer: AnswerFn) -> Self {
        let config = summary_config();
        let mut hosts = config.hosts.iter();
        let (host, _) = hosts.find(|(_, h)| h.service == name("encode")).unwrap();
        let views = Publisher::new(View::compile(Revision(1), &config));
        let runs = Arc::<AtomicU32>::default();
        let sidecar = Sidecar::start(SidecarOptions {
            host: host.clone(),
            view: views.reader(),
            backend: counting_backend(Arc::clone(&runs), answer),
            once: None,
            metrics: Metrics::none(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        tokio::spawn(serve_sidecar(Arc::clone(&sidecar), listener, std::future::pending()));
        let client = StageClient::connect(url).await.unwrap();
        Self { sidecar, client, runs, _views: views }
    }

    /// Sends an attempt; returns `None` if it was answered, or else what its refusal states.
    async fn run(&self, key: AttemptKey) -> Option<Execution> {
        let config = summary_config();
        let (workspace, spec) = config.workspaces.first_key_value().unwrap();
        let request = RunRequest {
            id: Some(key.into()),
            workspace: workspace.to_string(),
            pipeline: spec.pipelines[0].to_string(),
            remaining_us: 5_000_000,
            input: "1".into(),
            ..RunRequest::default()
        };
        let mut frames = self.client.clone().run(request).await.unwrap().into_inner();
        let mut refused = None;
        while let Some(frame) = frames.message().await.unwrap() {
            if let Some(Kind::Refused(message)) = frame.kind {
                refused = Some(convert::refusal(&message).execution);
            }
        }
        refused
    }
}

const fn key(attempt: u32) -> AttemptKey {
    AttemptKey { request: RequestId(Uuid::from_u128(1)), stage: StageIndex(0), attempt }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attempt_that_ran_is_not_refused_as_not_run_when_it_arrives_again() {
    // Guards against an attempt that ran and whose second arrival is refused as not run, by the
    // table of attempts or by the checks of a host that drains.
    let node = Node::start(|| vec![chunk()]).await;
    assert_eq!(node.run(key(0)).await, None);

    let again = node.run(key(0)).await;
    node.sidecar.gate().set_draining(true);
    let again_while_draining = node.run(key(0)).await;
    let other_while_draining = node.run(key(1)).await;

    assert_eq!(again, Some(Execution::Unknown));
    assert_eq!(again_while_draining, Some(Execution::Unknown));
    assert_eq!(other_while_draining, Some(Execution::NotRun));
    assert_eq!(node.runs.load(Ordering::SeqCst), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attempt_cancelled_before_it_arrived_is_refused_as_not_run() {
    let node = Node::start(|| vec![chunk()]).await;
    let request = CancelRequest { id: Some(key(0).into()) };
    let reply = node.client.clone().cancel(request).await.unwrap().into_inner();

    let refused = node.run(key(0)).await;

    assert_eq!((reply.execution.as_str(), refused), ("not_run", Some(Execution::NotRun)));
    assert_eq!(node.runs.load(Ordering::SeqCst), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_that_began_is_never_refused_as_not_run() {
    // Guards against a call whose answer had begun and that a later error releases for another run.
    let answers: [AnswerFn; 2] = [
        || vec![chunk(), Err(BackendError::Refused { status: 503, retry_after: None })],
        || vec![Err(BackendError::Fenced)],
    ];
    for answer in answers {
        let node = Node::start(answer).await;

        let refused = node.run(key(0)).await;

        assert_eq!(refused, Some(Execution::Unknown));
        assert_eq!(node.runs.load(Ordering::SeqCst), 1);
    }
}
