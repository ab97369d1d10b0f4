//! An entry without the rest of a deployment, and hosts that answer its attempts as a test decides.

use crate::http::Caller;
use futures::FutureExt;
use limpetmux::adapters::channel::Channels;
use limpetmux::core::config::Config;
use limpetmux::core::frames::AttemptKey;
use limpetmux::core::revision::Revision;
use limpetmux::core::shutdown::{DrainReport, ShutdownOptions};
use limpetmux::core::view::View;
use limpetmux::entry::{Entry, EntryOptions, Limits, Members};
use limpetmux::kernel::{Kernel, Publisher};
use limpetmux::node::process::{EntryListeners, Process, ProcessParts, run_entry};
use limpetmux::util::metrics::Metrics;
use limpetmux::wire::admin::StatusReply;
use limpetmux::wire::stage::stage_server::Stage;
use limpetmux::wire::{convert, stage};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::Iter;
use tonic::{Request, Response, Status};

/// Starts an entry that knows one configuration and no other processes, and returns its caller.
///
/// It runs until the runtime ends.
///
/// # Panics
/// Panics if no port can be bound or the configuration has no availability zone.
pub async fn start(config: &Config) -> Caller {
    let view = Publisher::new(View::compile(Revision(1), config));
    let (entry, listener) = (create(config, &view), bind().await);
    let caller = caller(&listener);
    tokio::spawn(async move {
        let _view = view;
        entry.serve(listener, std::future::pending(), Duration::ZERO).await
    });
    caller
}

/// Starts the process of such an entry, which stops at `signal`, and returns its caller and its report.
///
/// # Panics
/// Panics if no port can be bound or the configuration has no availability zone.
pub async fn start_process(
    config: &Config,
    times: ShutdownOptions,
    signal: impl Future<Output = ()> + Send + 'static,
) -> (Caller, JoinHandle<DrainReport>) {
    let view = Publisher::new(View::compile(Revision(1), config));
    let entry = create(config, &view);
    let kernel = Arc::new(Kernel::new());
    let parts = ProcessParts {
        kernel: Arc::clone(&kernel),
        channels: Channels::plain(),
        times,
        flush: Arc::new(|| async { true }.boxed()),
        status: Arc::new(StatusReply::default),
    };
    let process = Process::entry(&entry, parts).unwrap();
    let listeners = EntryListeners { http: bind().await, grpc: bind().await };
    let caller = caller(&listeners.http);
    let report = tokio::spawn(async move {
        let _running = (view, kernel);
        run_entry(entry, process, listeners, signal).await.unwrap()
    });
    (caller, report)
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

fn caller(listener: &TcpListener) -> Caller {
    Caller::new(&limpetmux::entry::base_url(listener.local_addr().unwrap()))
}

fn create(config: &Config, view: &Publisher<View>) -> Arc<Entry> {
    let entry = Entry::start(EntryOptions {
        zone: config.zones.keys().next().unwrap().clone(),
        ordinal: 0,
        view: view.reader(),
        members: Members(None),
        channels: Channels::plain(),
        limits: Limits::default(),
        metrics: Metrics::none(),
    });
    entry.unwrap()
}

/// Returns the frames that answer an attempt; `None` leaves it without an answer.
type AnswerFn = dyn Fn(AttemptKey) -> Option<Vec<stage::Frame>> + Send + Sync;

/// A host that answers attempts as a test decides, and nothing else.
pub struct FakeStage(Box<AnswerFn>);

impl FakeStage {
    /// Creates a host; `answer` returns the frames for an attempt, or `None` for no answer at all.
    pub fn new(
        answer: impl Fn(AttemptKey) -> Option<Vec<stage::Frame>> + Send + Sync + 'static,
    ) -> Self {
        Self(Box::new(answer))
    }
}

#[tonic::async_trait]
impl Stage for FakeStage {
    type RunStream = Iter<std::vec::IntoIter<Result<stage::Frame, Status>>>;

    async fn run(
        &self,
        request: Request<stage::RunRequest>,
    ) -> Result<Response<Self::RunStream>, Status> {
        let key = convert::attempt(request.into_inner().id.as_ref()).unwrap();
        let Some(frames) = (self.0)(key) else { return std::future::pending().await };
        let frames: Vec<_> = frames.into_iter().map(Ok).collect();
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
