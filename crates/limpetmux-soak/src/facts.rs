//! What callers, backend servers and the operator observed during one run of the soak.

use crate::callers::SentRequest;
use crate::usage::Usage;
use crate::world::{Backend, ENGINE_SERVICE, OperatorActions, World, lock};
use limpetmux_standins::users::{Arrival, BadBytes, EndedAnswer, ReceivedRequest, StageResult};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The time that a process needs without disturbances before time bounds apply to it.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// One run of a request at a backend server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The service of the backend server.
    pub service: &'static str,
    /// The zone of the backend server.
    pub zone: usize,
    /// The server id that the request was addressed to.
    pub server: String,
    /// When the store recorded that this id is draining, if it did.
    pub drained_at: Option<Instant>,
    /// When the run began.
    pub at: Instant,
    /// The workspace that the request named.
    pub workspace: Option<String>,
    /// Whether the caller's key was passed on.
    pub keyed: bool,
    /// The body of the request.
    pub body: Vec<u8>,
    /// Whether the backend server cut its stream, or sent a body that was not whole in time.
    pub cut: bool,
    /// Whether its answer stated that the backend server leaves.
    pub leaving: bool,
    /// The handles of the results that it ran with.
    pub inputs: Vec<String>,
}

/// What callers, backend servers and the operator observed during one run of the soak.
#[derive(Clone, Debug)]
pub struct Facts {
    /// The runs of each request, by its id.
    pub runs: BTreeMap<String, Vec<Run>>,
    /// The results of pieces of stages, by their handles.
    pub results: BTreeMap<String, StageResult>,
    /// The requests of callers.
    pub sent: Vec<SentRequest>,
    /// The operator's actions.
    pub actions: OperatorActions,
    /// The spans in which a process or its links were disturbed: process, start and end.
    pub disturbances: Vec<(usize, Instant, Instant)>,
    /// The spans in which a process was killed, stopped, paused or cut from a backend server: process,
    /// start and end.
    pub interruptions: Vec<(usize, Instant, Instant)>,
    /// The requests that arrived at each backend server, with its name.
    pub arrivals: BTreeMap<String, Vec<Arrival>>,
    /// What each process used.
    pub usage: Vec<Usage>,
    /// The endless answers that ended.
    pub ended: Vec<EndedAnswer>,
    /// The endless answers that are still read, with the name of the server that sends them.
    pub endless: Vec<(String, usize)>,
    /// The time from which requests of all kinds have to be served.
    pub recovered: Instant,
}

impl Facts {
    /// Collects the observations of a world.
    pub fn collect(
        world: &World,
        sent: Vec<SentRequest>,
        usage: Vec<Usage>,
        recovered: Instant,
    ) -> Self {
        let (actions, disturbances) =
            (lock(&world.actions).clone(), lock(&world.disturbances).clone());
        let mut runs: BTreeMap<String, Vec<Run>> = BTreeMap::new();
        let mut results = BTreeMap::new();
        for backend in &world.backends {
            results.extend(backend.server.stage_results());
            for request in backend.server.requests() {
                let id = request.headers.get("x-limpetmux-request-id").cloned().unwrap_or_default();
                runs.entry(id).or_default().push(run(backend, request));
            }
        }
        let name = |(number, b): (usize, &Arc<Backend>)| {
            (format!("{} {number}", b.service), b.server.arrivals())
        };
        let arrivals = world.backends.iter().enumerate().map(name).collect();
        let ended = world.backends.iter().flat_map(|b| b.server.ended_answers()).collect();
        let endless = world.played().into_iter().map(|(name, played)| (name, played.active));
        let endless = endless.collect();
        Self {
            runs,
            results,
            sent,
            actions,
            disturbances,
            interruptions: lock(&world.interruptions).clone(),
            arrivals,
            usage,
            ended,
            endless,
            recovered,
        }
    }

    /// Returns whether a process ran throughout a span and was not cut from a backend server.
    ///
    /// Nothing else excuses requests to a server that has said that it leaves or wants none, not the
    /// state of the store either.
    pub(crate) fn is_uninterrupted(&self, node: usize, (from, to): (Instant, Instant)) -> bool {
        !self.interruptions.iter().any(|(n, a, b)| *n == node && *a <= to && *b >= from)
    }

    /// Returns whether a process was undisturbed from [`SETTLE_TIME`] before a span to its end.
    pub(crate) fn is_undisturbed(&self, node: usize, (from, to): (Instant, Instant)) -> bool {
        !self
            .disturbances
            .iter()
            .any(|(n, a, b)| *n == node && *a <= to && *b + SETTLE_TIME >= from)
    }
}

fn run(backend: &Backend, request: ReceivedRequest) -> Run {
    let server = request.headers.get("x-limpetmux-expected-instance").cloned().unwrap_or_default();
    let drained_at = lock(&backend.drained).iter().find(|(_, id)| *id == server).map(|(at, _)| *at);
    let inputs = request.headers.get("x-limpetmux-inputs").map_or("", String::as_str);
    Run {
        service: backend.service,
        zone: backend.zone,
        server,
        drained_at,
        at: request.at,
        workspace: request.headers.get("x-limpetmux-tenant-id").cloned(),
        keyed: request.headers.contains_key("authorization"),
        body: request.body,
        cut: request.fault.bytes().is_some_and(BadBytes::breaks_body)
            || backend.service == ENGINE_SERVICE && request.fault.cuts_streams(),
        leaving: request.leaving,
        inputs: inputs.split(',').filter(|i| !i.is_empty()).map(str::to_owned).collect(),
    }
}
