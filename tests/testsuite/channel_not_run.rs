//! A call counts as unsent only if its connection carried nothing of it to the host.

use limpetmux::adapters::channel::Channels;
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux::entry::{Entry, EntryOptions, Limits, Members};
use limpetmux::kernel::Publisher;
use limpetmux::util::metrics::Metrics;
use limpetmux::wire::stage::stage_server::{Stage, StageServer};
use limpetmux::wire::{convert, stage};
use limpetmux_test_support::config::{name, summary_config};
use limpetmux_test_support::http::Caller;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio_stream::Pending;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

/// The requests that are sent at once, more than the hosts accept.
const REQUESTS: usize = 12;
/// The calls that one connection to a host carries at once.
const MAX_STREAMS: u32 = 2;
/// The time in which the requests reach the hosts or wait for their connections.
const SETTLE_TIME: Duration = Duration::from_millis(300);

type Arrived = Arc<Mutex<BTreeSet<String>>>;

/// A host that records the requests that arrive and answers none.
struct SilentHost(Arrived);

#[tonic::async_trait]
impl Stage for SilentHost {
    type RunStream = Pending<Result<stage::Frame, Status>>;

    async fn run(
        &self,
        request: Request<stage::RunRequest>,
    ) -> Result<Response<Self::RunStream>, Status> {
        let key = convert::attempt(request.into_inner().id.as_ref()).unwrap();
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(key.request.to_string());
        std::future::pending().await
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

/// Serves a host on a runtime, whose end closes all connections at once.
fn serve(runtime: &Runtime, arrived: &Arrived) -> SocketAddr {
    let host = StageServer::new(SilentHost(Arc::clone(arrived)));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    runtime.spawn(async move {
        let incoming = TcpIncoming::from(TcpListener::from_std(listener).unwrap());
        let server = Server::builder().max_concurrent_streams(MAX_STREAMS).add_service(host);
        server.serve_with_incoming(incoming).await
    });
    addr
}

async fn start_entry(view: &Publisher<View>) -> Caller {
    let entry = Entry::start(EntryOptions {
        zone: name("mnl-a"),
        ordinal: 0,
        view: view.reader(),
        members: Members(None),
        channels: Channels::plain(),
        limits: Limits::default(),
        metrics: Metrics::none(),
    });
    let (entry, listener) = (entry.unwrap(), TcpListener::bind("127.0.0.1:0").await.unwrap());
    let caller = Caller::new(&limpetmux::entry::base_url(listener.local_addr().unwrap()));
    let stop = std::future::pending();
    tokio::spawn(async move { entry.serve(listener, stop, Duration::ZERO).await });
    caller
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_reached_a_host_is_not_unsent_when_its_connection_closes() {
    // Guards against a call that counts as never sent although it arrived, because its connection
    // closed while other calls still waited to be sent on it.
    let arrived = Arrived::default();
    let runtime = Runtime::new().unwrap();
    let mut config = summary_config();
    for host in config.hosts.values_mut().filter(|h| h.service == name("encode")) {
        host.sidecar = serve(&runtime, &arrived);
    }
    let view = Publisher::new(View::compile(Revision(1), &config));
    let caller = start_entry(&view).await;
    let body = json!({ "input": 1, "deadline_ms": 3_000 });
    let requests = (0..REQUESTS).map(|_| caller.run("exchange", "call-summary", &body));

    let (answers, ()) = tokio::join!(futures::future::join_all(requests), async {
        tokio::time::sleep(SETTLE_TIME).await;
        runtime.shutdown_background();
    });

    let arrived = arrived.lock().unwrap_or_else(PoisonError::into_inner);
    let is_not_run = |a: &serde_json::Value| a["execution"] == "not_run";
    let has_arrived = |a: &serde_json::Value| arrived.contains(a["request"].as_str().unwrap());
    let bodies: Vec<_> = answers.iter().map(|a| &a.body).collect();
    let wrong: Vec<_> = bodies.iter().filter(|a| is_not_run(a) && has_arrived(a)).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    assert!(bodies.iter().any(|a| has_arrived(a)), "no request arrived");
    assert!(bodies.iter().any(|a| is_not_run(a)), "no request waited: {bodies:?}");
}
