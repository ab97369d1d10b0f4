//! Processes that do not answer the probes and questions of others and of operators.
//!
//! Their connections are sound and answer pings, so that only the time of a call ends it. They also
//! show what the server of all processes refuses by itself.

use limpetmux::adapters::channel::Channels;
use limpetmux::ops;
use limpetmux::planner::probe_load;
use limpetmux::wire::admin::admin_server::{Admin, AdminServer};
use limpetmux::wire::admin::{DrainReply, DrainRequest, StatusReply, StatusRequest};
use limpetmux::wire::stage;
use limpetmux::wire::stage::stage_client::StageClient;
use limpetmux::wire::stage::stage_server::{Stage, StageServer};
use std::future::pending;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_stream::Empty;
use tonic::service::Routes;
use tonic::{Request, Response, Status};

/// The most time that a call may take, far above its own bound.
const PATIENCE: Duration = Duration::from_secs(40);
/// More bytes than the head of a call may have.
const LONG_HEAD: usize = 20 << 10;

/// A process that answers nothing.
struct Silent;

#[tonic::async_trait]
impl Admin for Silent {
    async fn drain(&self, _: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        pending().await
    }

    async fn status(&self, _: Request<StatusRequest>) -> Result<Response<StatusReply>, Status> {
        pending().await
    }
}

#[tonic::async_trait]
impl Stage for Silent {
    type RunStream = Empty<Result<stage::Frame, Status>>;

    async fn run(
        &self,
        _: Request<stage::RunRequest>,
    ) -> Result<Response<Self::RunStream>, Status> {
        pending().await
    }

    async fn cancel(
        &self,
        _: Request<stage::CancelRequest>,
    ) -> Result<Response<stage::CancelReply>, Status> {
        pending().await
    }

    async fn probe(
        &self,
        _: Request<stage::ProbeRequest>,
    ) -> Result<Response<stage::Load>, Status> {
        pending().await
    }
}

async fn silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let routes = Routes::new(StageServer::new(Silent)).add_service(AdminServer::new(Silent));
    tokio::spawn(async move { Channels::plain().serve(routes, listener, pending()).await });
    addr
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_of_a_process_that_does_not_answer_is_told() {
    // Guards against an operator who learns nothing of the fleet because of one process.
    let addr = silent().await;

    let status = timeout(PATIENCE, ops::status::status(&Channels::plain(), &[addr])).await;

    let nodes = status.expect("no end").nodes;
    assert_eq!((nodes.len(), nodes[0].role.as_str()), (1, "unreachable"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planner_does_not_wait_for_a_load_that_does_not_come() {
    // Guards against a planner that stands still because of one sidecar.
    let addr = silent().await;

    let load = timeout(PATIENCE, probe_load(Channels::plain())(addr)).await;

    assert!(load.expect("no end").is_none());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn head_of_a_call_beyond_its_bound_is_refused() {
    // Guards against heads of calls that fill the memory of a process.
    let url = format!("http://{}", silent().await);
    let mut client = StageClient::connect(url).await.unwrap();
    let mut request = Request::new(stage::ProbeRequest {});
    request.metadata_mut().insert("x-field", "a".repeat(LONG_HEAD).parse().unwrap());

    // A call that is accepted has no answer.
    let ended = timeout(PATIENCE, client.probe(request)).await.expect("accepted");

    assert!(ended.is_err(), "{ended:?}");
}
