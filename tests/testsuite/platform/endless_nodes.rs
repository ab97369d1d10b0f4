//! Replies of another node that are too long or do not come: each call ends at a bound, and another
//! node is called.

use super::endless_store::wait_stopped;
use super::node_fixture::{Fixture, fixture, settings};
use limpetmux::adapters::channel::Channels;
use limpetmux::core::nodes::{Node, Nodes};
use limpetmux::core::read_limits::MAX_MESSAGE_BYTES;
use limpetmux::core::time::Moment;
use limpetmux::serve::run::{RunningNode, start};
use limpetmux::wire::fleet::fleet_server::{Fleet, FleetServer};
use limpetmux::wire::fleet::{
    EnginePlaced, Evidence, FreeResults, Freed, GrantReply, GrantRequest, Left, Member,
    NodeLeaving, Outcome, PlaceEngine, PullReply, PullRequest, QuarantineRequest, StageDone,
    StageRun,
};
use std::future::pending;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tonic::service::Routes;
use tonic::{Request, Response, Status};

/// The time within which each step ends, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(40);
/// What the node under test asks the node with a fault for.
const PURPOSES: [&str; 4] = ["first", "second", "engine", "store readers"];

/// The call to which a node does not reply in time, or with too many bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Any exchange of members.
    Members,
    /// An exchange that waits for changes.
    Changes,
    /// A stage, whose reply is too long.
    LongRun,
    /// The choice of an engine.
    Place,
    /// A grant of a request to a limited backend server.
    Grant,
    /// Results that are not needed any more.
    Free,
    /// The stop of another node.
    Leave,
}

/// A node with a fault, which makes results up.
struct FaultyNode {
    fault: Fault,
    member: Member,
    holder: SocketAddr,
    calls: Arc<Calls>,
}

/// What a node with a fault was asked for.
#[derive(Default)]
struct Calls {
    /// The calls that met the fault.
    met: AtomicUsize,
    /// The exchanges of members.
    pulls: AtomicUsize,
}

impl FaultyNode {
    /// Does not return if this call has the fault.
    async fn pass(&self, call: Fault) {
        if self.fault == call {
            self.calls.met.fetch_add(1, Ordering::SeqCst);
            pending().await
        }
    }
}

#[tonic::async_trait]
impl Fleet for FaultyNode {
    async fn pull(&self, request: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        self.calls.pulls.fetch_add(1, Ordering::SeqCst);
        self.pass(Fault::Members).await;
        if request.into_inner().wait_ms > 0 {
            self.pass(Fault::Changes).await;
        }
        let members = vec![self.member.clone()];
        Ok(Response::new(PullReply { members, ..PullReply::default() }))
    }

    async fn run(&self, request: Request<StageRun>) -> Result<Response<StageDone>, Status> {
        let run = request.into_inner();
        let mut done = StageDone::default();
        done.set_outcome(Outcome::Made);
        let names = (0..run.pieces).map(|n| format!("{}/{}-{n}", self.holder, run.stage));
        done.results = names.collect();
        if self.fault == Fault::LongRun {
            self.calls.met.fetch_add(1, Ordering::SeqCst);
            done.zone = "z".repeat(MAX_MESSAGE_BYTES + 1);
        }
        Ok(Response::new(done))
    }

    async fn free(&self, _: Request<FreeResults>) -> Result<Response<Freed>, Status> {
        self.pass(Fault::Free).await;
        Ok(Response::new(Freed {}))
    }

    async fn place(&self, _: Request<PlaceEngine>) -> Result<Response<EnginePlaced>, Status> {
        self.pass(Fault::Place).await;
        Ok(Response::new(EnginePlaced::default()))
    }

    async fn grant(&self, _: Request<GrantRequest>) -> Result<Response<GrantReply>, Status> {
        self.pass(Fault::Grant).await;
        Ok(Response::new(GrantReply::default()))
    }

    async fn leave(&self, _: Request<NodeLeaving>) -> Result<Response<Left>, Status> {
        self.pass(Fault::Leave).await;
        Ok(Response::new(Left {}))
    }

    async fn quarantine(
        &self,
        _: Request<QuarantineRequest>,
    ) -> Result<Response<Evidence>, Status> {
        Ok(Response::new(Evidence::default()))
    }
}

/// A node that knows a node with a fault, which it asks first, and a sound one.
struct Faulty {
    fixture: Fixture,
    node: RunningNode,
    calls: Arc<Calls>,
}

async fn faulty(fault: Fault) -> Faulty {
    let fixture = fixture().await;
    let sound = fixture.sidecar.node_addr;
    let listener = listener_before(sound).await;
    let addr = listener.local_addr().unwrap();
    let member = Member {
        node: "faulty".into(),
        addr: addr.to_string(),
        zone: "mnl-a".into(),
        gate: true,
        started: 1,
        heard_ms: 0,
        ..Member::default()
    };
    let calls = Arc::<Calls>::default();
    let holder = fixture.stages[0].addr;
    let node = FaultyNode { fault, member, holder, calls: Arc::clone(&calls) };
    let routes = Routes::new(FleetServer::new(node));
    tokio::spawn(async move { Channels::plain().serve(routes, listener, pending()).await });
    let seeds = vec![addr, sound];
    // Only a node that queues pieces tells others of its stop.
    let is_entry = fault != Fault::Leave;
    let node = start(settings("other", fixture.store.addr, is_entry, seeds)).await.unwrap();
    let ready = async {
        while !node.is_ready() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, ready).await.expect("not ready");
    Faulty { fixture, node, calls }
}

/// Binds an address that comes before that of another node for all purposes.
///
/// Of all ports of one address none may come before a node whose hashes are high, so the loopback
/// addresses are tried one after the other.
async fn listener_before(other: SocketAddr) -> TcpListener {
    let node =
        |addr| Node { name: "n".into(), addr, zone: "z".into(), queues_pieces: true, started: 1 };
    for host in u32::from(Ipv4Addr::LOCALHOST) + 1..u32::from(Ipv4Addr::new(127, 255, 255, 255)) {
        let addr = SocketAddr::from((Ipv4Addr::from(host), other.port()));
        let mut nodes = Nodes::new(node(other));
        nodes.observe(node(addr), Moment::ZERO);
        let first =
            |p: &&str| nodes.queue_node(Moment::ZERO, p, &[]).is_some_and(|n| n.addr == addr);
        if PURPOSES.iter().all(first)
            && let Ok(listener) = TcpListener::bind(addr).await
        {
            return listener;
        }
    }
    panic!("no address comes before {other}");
}

impl Faulty {
    fn met(&self) -> usize {
        self.calls.met.load(Ordering::SeqCst)
    }

    /// Sends requests until one meets the fault and is answered.
    async fn answered(&self, path: &str) {
        let url = format!("http://{}{path}", self.node.caller_addr.unwrap());
        let answered = async {
            for n in 0.. {
                let request = self.fixture.post(path, &format!("{n}f")).build().unwrap();
                let mut request = request;
                *request.url_mut() = url.parse().unwrap();
                let headers = request.headers_mut();
                headers.insert("x-limpetmux-pieces", "2,1".parse().unwrap());
                headers.insert("x-limpetmux-piece-key", "k".parse().unwrap());
                let answer = reqwest::Client::new().execute(request).await.unwrap();
                if answer.status() == 200 && self.met() > 0 {
                    return;
                }
            }
        };
        timeout(PATIENCE, answered).await.expect("no request was answered");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reply_beyond_its_bound_is_not_used() {
    // Guards against a node whose replies fill the memory of others.
    let faulty = faulty(Fault::LongRun).await;

    faulty.answered("/chain/x").await;

    let (made, _) = faulty.fixture.stages[0].results();
    assert!(made >= 2, "{made} results by another node");
}

#[tokio::test(flavor = "multi_thread")]
async fn node_that_tells_no_members_holds_up_no_other() {
    // Guards against a node that waits for ever for the first reply of a seed.
    let faulty = faulty(Fault::Members).await;

    faulty.answered("/chain/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn exchange_whose_reply_does_not_come_is_counted() {
    // Guards against a view that ages because one node is asked for its changes for ever.
    let faulty = faulty(Fault::Changes).await;

    wait_stopped(&faulty.node, "node", "time", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_is_chosen_although_a_node_does_not_reply() {
    // Guards against a request that waits for its deadline while an engine could answer it.
    let faulty = faulty(Fault::Place).await;

    faulty.answered("/stream/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn limited_engine_is_used_although_a_node_does_not_grant() {
    // Guards against a limited engine that gets nothing while the node that grants does not reply.
    let faulty = faulty(Fault::Grant).await;
    faulty.fixture.engine.set_limit(Some("5"));

    faulty.answered("/stream/x").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn results_are_freed_although_a_node_does_not_reply() {
    // Guards against results that take up memory until they expire.
    let faulty = faulty(Fault::Free).await;

    let freed = async {
        faulty.answered("/chain/x").await;
        while faulty.fixture.stages[0].results().1.is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
    };

    timeout(PATIENCE, freed).await.expect("no result was freed");
}

#[tokio::test(flavor = "multi_thread")]
async fn node_stops_although_another_one_does_not_reply() {
    // Guards against a node that is killed while it waits, before its requests have ended.
    let faulty = faulty(Fault::Leave).await;
    let known = async {
        // The second exchange follows the reply to the first one.
        while faulty.calls.pulls.load(Ordering::SeqCst) < 2 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, known).await.expect("not known");

    timeout(PATIENCE, faulty.node.drain()).await.expect("does not stop");

    assert_eq!(faulty.calls.met.load(Ordering::SeqCst), 1);
}
