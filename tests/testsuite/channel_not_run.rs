//! A call counts as unsent only if its connection carried nothing of it to the host.

use limpetmux::adapters::channel::Channels;
use limpetmux::core::config::Config;
use limpetmux::core::revision::Revision;
use limpetmux::core::view::View;
use limpetmux::entry::{Entry, EntryOptions, Limits, Members};
use limpetmux::kernel::Publisher;
use limpetmux::util::metrics::Metrics;
use limpetmux::wire::stage::stage_server::{Stage, StageServer};
use limpetmux::wire::{convert, stage};
use limpetmux_test_support::config::{name, summary_config};
use limpetmux_test_support::http::{Answer, Caller};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::task::JoinSet;
use tokio_stream::Pending;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

/// The requests that are sent, more than the connection to the host carries.
const REQUESTS: usize = 12;
/// The calls that one connection to a host carries at once.
const MAX_CALLS: usize = 2;
/// The deadline of the requests, beyond the end of the test.
const DEADLINE_MS: u64 = 60_000;
/// The time in which a connection learns its settings, and calls begin to wait for it.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// The longest that a machine under load may take for a few calls.
const MAX_WAIT: Duration = Duration::from_secs(20);

type Arrived = Arc<Mutex<BTreeSet<String>>>;

fn lock(arrived: &Arrived) -> MutexGuard<'_, BTreeSet<String>> {
    arrived.lock().unwrap_or_else(PoisonError::into_inner)
}

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
        lock(&self.0).insert(key.request.to_string());
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
        let server = Server::builder()
            .max_concurrent_streams(u32::try_from(MAX_CALLS).unwrap())
            .add_service(host);
        server.serve_with_incoming(incoming).await
    });
    addr
}

/// Returns a configuration whose first stage has one host only.
fn one_host(addr: SocketAddr) -> Config {
    let mut config = summary_config();
    let encode = name("encode");
    let ids: Vec<_> = config.hosts.iter().filter(|(_, h)| h.service == encode).collect();
    let others: Vec<_> = ids.into_iter().skip(1).map(|(id, _)| id.clone()).collect();
    config.hosts.retain(|id, _| !others.contains(id));
    for host in config.hosts.values_mut().filter(|h| h.service == encode) {
        host.sidecar = addr;
    }
    config
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
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
    let view = Publisher::new(View::compile(Revision(1), &one_host(serve(&runtime, &arrived))));
    let caller = start_entry(&view).await;
    let mut requests = JoinSet::new();
    let send = |requests: &mut JoinSet<Answer>| {
        let caller = caller.clone();
        let body = json!({ "input": 1, "deadline_ms": DEADLINE_MS });
        requests.spawn(async move { caller.run("exchange", "call-summary", &body).await });
    };

    // The first call makes the connection, which then knows how many calls it carries at once.
    send(&mut requests);
    wait_until("the first call arrives", || !lock(&arrived).is_empty()).await;
    tokio::time::sleep(SETTLE_TIME).await;
    (1..REQUESTS).for_each(|_| send(&mut requests));
    wait_until("the connection is full", || lock(&arrived).len() == MAX_CALLS).await;
    tokio::time::sleep(SETTLE_TIME).await;
    runtime.shutdown_background();
    let answers = requests.join_all().await;

    let arrived = lock(&arrived);
    let is_not_run = |a: &serde_json::Value| a["execution"] == "not_run";
    let has_arrived = |a: &serde_json::Value| arrived.contains(a["request"].as_str().unwrap());
    let bodies: Vec<_> = answers.iter().map(|a| &a.body).collect();
    let wrong: Vec<_> = bodies.iter().filter(|a| is_not_run(a) && has_arrived(a)).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    assert_eq!(bodies.iter().filter(|a| has_arrived(a)).count(), MAX_CALLS, "{bodies:?}");
    assert!(bodies.iter().any(|a| is_not_run(a)), "no request waited: {bodies:?}");
}
