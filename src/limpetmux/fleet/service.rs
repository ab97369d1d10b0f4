//! The gRPC service for other nodes: pulls of the view, stages to run, and results to free.

use super::{convert, evidence, rollout};
use crate::core::pieces::{StageEnd, StageWaits};
use crate::core::prompt_part::PartId;
use crate::core::read_limits::MAX_MESSAGE_BYTES;
use crate::core::rollout::evidence::{Counter, Told};
use crate::event;
use crate::serve::node::{Shared, StoreView};
use crate::stage_queues::StageQueues;
use crate::stage_queues::engines::EnginePools;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::fleet_server::{Fleet, FleetServer};
use crate::wire::fleet::{
    self as wire, EnginePlaced, FreeResults, Freed, GrantReply, GrantRequest, Left, NodeLeaving,
    Outcome, PlaceEngine, PullReply, PullRequest, QuarantineRequest, StageDone, StageRun,
    WorkspaceWait,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use tonic::{Request, Response, Status};

/// The longest time for which a pull is held until there are changes.
const MAX_HOLD: Duration = Duration::from_secs(2);
/// How long a pull is held after new evidence about parts of prompts, for more of it.
const EVIDENCE_PAUSE: Duration = Duration::from_millis(100);
/// The most pieces of one stage.
const MAX_PIECES: u32 = 10_000;

/// The gRPC service of one node.
pub struct FleetService {
    shared: Arc<Shared>,
    queues: Arc<StageQueues>,
    pools: EnginePools,
}

impl FleetService {
    /// Creates the tonic server of the service.
    pub fn server(shared: Arc<Shared>, queues: Arc<StageQueues>) -> FleetServer<Self> {
        let pools = EnginePools::new(Arc::clone(&shared));
        FleetServer::new(Self { shared, queues, pools })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Rejects a call on a stopping node, so that the caller tries the node that replaces it.
    fn refuse_if_stopping(&self) -> Result<(), Status> {
        match self.shared.is_stopping() {
            true => Err(Status::unavailable("the node stops")),
            false => Ok(()),
        }
    }

    fn is_store_lost(&self) -> bool {
        self.shared.nodes().is_store_lost(self.shared.local_node.addr)
    }

    /// Keeps what the caller knows of roll-outs, apart from the digest, which the reply depends on.
    fn hear_rollouts(&self, request: &mut PullRequest) {
        let (Some(caller), Some(notice)) = (&request.caller, &mut request.rollout) else { return };
        let counter = Counter { node: caller.node.as_str().into(), started_ms: caller.started };
        // Counts of another order, which a node that lags may tell, would replace those of this one.
        let view = self.shared.view.load();
        let is_current = |told: &Told| {
            view.rollouts.order(&told.service).is_some_and(|known| known.order.key == told.key)
        };
        let told: Vec<Told> = rollout::decode_told(notice).into_iter().filter(is_current).collect();
        notice.counts.clear();
        self.shared.rollouts.hear(counter, notice.clone(), &told);
    }

    /// Waits until the view has changes that the caller lacks, for at most the time that it allows.
    async fn wait_for_changes(&self, request: &PullRequest) {
        let until = Instant::now() + Duration::from_millis(request.wait_ms).min(MAX_HOLD);
        let mut view = self.shared.view.clone();
        let (confirmed_at, is_lost) = (view.load().orders.confirmed_at, self.is_store_lost());
        let ends_pulls = self.shared.settings().bounds.read_times().ends_pulls;
        let is_as_before = |view: &StoreView| {
            // The caller's view is renewed, or another node reads the store from now on.
            let is_renewed = ends_pulls && view.orders.confirmed_at != confirmed_at;
            !is_renewed && self.is_store_lost() == is_lost
        };
        let mut evidence = self.shared.quarantine.versions();
        let mut leaving = self.shared.notices.versions();
        let has_evidence = |version: u64| version > request.evidence_seen;
        while !convert::has_changes(&view.load(), request)
            && is_as_before(&view.load())
            && !has_evidence(*evidence.borrow_and_update())
            && *leaving.borrow_and_update() <= request.leaving_seen
        {
            let changed = async {
                tokio::select! {
                    changed = view.changed() => changed,
                    changed = evidence.changed() => changed.is_ok(),
                    changed = leaving.changed() => changed.is_ok(),
                }
            };
            if !matches!(timeout_at(until, changed).await, Ok(true)) {
                return;
            }
        }
        if !convert::has_changes(&view.load(), request) && has_evidence(*evidence.borrow()) {
            // More evidence of the same crash follows within moments.
            sleep(EVIDENCE_PAUSE).await;
        }
    }
}

#[tonic::async_trait]
impl Fleet for FleetService {
    async fn pull(&self, request: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        let arrived = clock::boot();
        let mut request = request.into_inner();
        if let Some(evidence) = request.evidence.take() {
            let evidence = evidence::decode(evidence);
            self.shared.quarantine.merge(&self.shared.metrics, evidence, 0);
        }
        if let Some(node) = request.caller.as_ref().and_then(convert::node) {
            let lost = request.caller.as_ref().is_some_and(|caller| caller.store_lost);
            let (mut nodes, now, addr) = (self.shared.nodes(), clock::boot(), node.addr);
            nodes.observe(node, now);
            nodes.record_store_lost(addr, lost, now);
        }
        self.shared.learn_leaving(&convert::decode_leaving(&request.leaving));
        self.shared.learn_limits(&convert::decode_limits(&request.limits));
        self.hear_rollouts(&mut request);
        self.wait_for_changes(&request).await;
        let view = self.shared.view.load();
        let (evidence, version) = self.shared.quarantine.evidence_page(request.evidence_seen);
        let (leaving, leaving_version) = self.shared.notices.leaving();
        let leaving = convert::encode_leaving(leaving);
        let limits = convert::encode_limits(&self.shared.notices.limits());
        let nodes = self.shared.nodes();
        let reply = convert::pull_reply((arrived, clock::boot()), &nodes, &view, &request);
        let evidence = evidence::encode(evidence);
        let evidence_version = version;
        let rollout = rollout::encode(&view.rollouts, &[]);
        let reply = PullReply { rollout, ..reply };
        let reply =
            PullReply { evidence_version, evidence, leaving, leaving_version, limits, ..reply };
        Ok(Response::new(reply))
    }

    async fn run(&self, request: Request<StageRun>) -> Result<Response<StageDone>, Status> {
        let run = request.into_inner();
        if run.pieces == 0 || run.pieces > MAX_PIECES {
            return Err(Status::invalid_argument("the number of pieces cannot be used"));
        }
        self.refuse_if_stopping()?;
        let service: Arc<str> = run.service.as_str().into();
        let spec = convert::job(clock::boot(), run);
        let end = self.queues.run(&service, spec).await;
        let mut done = done(end, self.queues.stage_waits(&service));
        done.rate = self.queues.rate(&service);
        done.tight = self.queues.is_room_short(&service);
        Ok(Response::new(done))
    }

    async fn place(&self, request: Request<PlaceEngine>) -> Result<Response<EnginePlaced>, Status> {
        self.refuse_if_stopping()?;
        Ok(Response::new(self.pools.place(&request.into_inner())))
    }

    async fn grant(&self, request: Request<GrantRequest>) -> Result<Response<GrantReply>, Status> {
        self.refuse_if_stopping()?;
        Ok(Response::new(self.shared.grant_for(&request.into_inner())))
    }

    async fn leave(&self, request: Request<NodeLeaving>) -> Result<Response<Left>, Status> {
        let message = request.into_inner();
        let node = message.node.as_ref().and_then(convert::node);
        let node = node.ok_or(Status::invalid_argument("the node cannot be read"))?;
        event!(EventCode::NodeLeft, node = node.addr, results = message.held.len());
        self.shared.nodes().remove_stopped(node.addr, node.started);
        self.shared.peers.close(node.addr);
        self.queues.adopt_results(convert::decode_held(message.held));
        Ok(Response::new(Left {}))
    }

    async fn quarantine(
        &self,
        request: Request<QuarantineRequest>,
    ) -> Result<Response<wire::Evidence>, Status> {
        let lift: Vec<PartId> = request.into_inner().lift.into_iter().map(PartId::new).collect();
        let left = self.shared.quarantine.lift(&self.shared.metrics, &lift);
        Ok(Response::new(evidence::encode(left).unwrap_or_default()))
    }

    async fn free(&self, request: Request<FreeResults>) -> Result<Response<Freed>, Status> {
        let free = request.into_inner();
        let results = free.results.iter().map(|r| Arc::from(r.as_str())).collect();
        self.queues.free(&free.service, results);
        Ok(Response::new(Freed {}))
    }
}

fn done(end: StageEnd, waits: StageWaits) -> StageDone {
    let millis = |d: Duration| u64::try_from(d.as_millis()).unwrap_or(u64::MAX);
    let workspace_wait = |(workspace, wait): (Arc<str>, Duration)| WorkspaceWait {
        workspace: workspace.to_string(),
        wait_ms: millis(wait),
    };
    let workspace_waits = waits.workspaces.into_iter().map(workspace_wait).collect();
    let mut done =
        StageDone { wait_ms: millis(waits.usual), workspace_waits, ..StageDone::default() };
    let outcome = match end {
        StageEnd::Completed { results, zone } => {
            done.results = results.iter().map(ToString::to_string).collect();
            done.zone = zone.to_string();
            Outcome::Made
        }
        StageEnd::Late { retry_after: retry } => {
            done.retry_ms = millis(retry);
            Outcome::Late
        }
        StageEnd::InputMissing => Outcome::Gone,
        StageEnd::Unavailable => Outcome::Unavailable,
        StageEnd::Failed => Outcome::Failed,
    };
    done.set_outcome(outcome);
    done
}
