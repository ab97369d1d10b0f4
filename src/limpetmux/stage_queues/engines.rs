//! The state of the pools of model engines of which this node is the queue node.

use crate::core::engines::{EnginePool, EngineQuery, EngineReport, PromptPart};
use crate::core::listing::Server;
use crate::core::prompt_part::PartId;
use crate::core::quarantine::Verdict;
use crate::core::share::{FlowId, PoolShare};
use crate::event;
use crate::serve::node::Shared;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::{EnginePlaced, PlaceEngine};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// One pool of engines, and the share of each workspace in it.
#[derive(Default)]
struct Pool {
    engines: EnginePool,
    share: PoolShare,
}

/// One [`EnginePool`] for each pool that entries have asked this node about.
pub struct EnginePools {
    shared: Arc<Shared>,
    pools: Mutex<BTreeMap<Arc<str>, Pool>>,
}

impl EnginePools {
    /// Creates the pools of a node; there are none at first.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared, pools: Mutex::default() }
    }

    /// Records the engine times that the entry measured, and chooses an engine for its request.
    pub fn place(&self, message: &PlaceEngine) -> EnginePlaced {
        if let Some(refusal) = self.refusal(message) {
            return refusal;
        }
        let now = clock::boot();
        let view = self.shared.view.load();
        let allowed = |s: &&Server| !message.except.iter().any(|e| **e == *s.id);
        let is_open = |s: &&Server| message.planned || self.shared.opens_in(now, s).is_zero();
        let servers: Vec<&Server> =
            (self.shared.open_or_limited(&view, &message.service).unwrap_or_default().into_iter())
                .filter(|s| allowed(s) && is_open(s))
                .collect();
        let config = view.orders.config.as_ref();
        let pool = config.and_then(|d| d.catalog.pool(&message.service));
        let parts: Vec<PromptPart> =
            message.parts.iter().map(|p| PromptPart { key: p.key, tokens: p.tokens }).collect();
        let query = EngineQuery {
            parts: &parts,
            tokens: message.tokens,
            send_delay: Duration::from_millis(message.ahead_ms),
            latency_budget: Duration::from_millis(message.slack_ms),
            input_zone: &message.zone,
            input_bytes: message.bytes,
        };
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let Pool { engines, share } = pools.entry(message.service.as_str().into()).or_default();
        engines.configure(pool.and_then(|p| p.engine).map_or(0, |e| e.memory_tokens));
        for time in &message.times {
            let report = EngineReport {
                server: time.server.as_str().into(),
                request: time.request.as_str().into(),
                expected: Duration::from_millis(time.expected_ms),
                took: Duration::from_millis(time.took_ms),
            };
            engines.report(now, &report);
        }
        let flow = Some(FlowId::of(&message.workspace)).filter(|_| !message.workspace.is_empty());
        if let Some(flow) = flow.filter(|_| message.fresh) {
            let wait = engines.shortest_wait(now, &servers);
            if let Err(room_in) = share.check(now, flow, (servers.len(), wait)) {
                return over_share(message, wait, room_in);
            }
        }
        let choice = match message.planned {
            true => engines.plan(now, &servers, &message.request, query),
            false => engines.place(now, &servers, &message.request, query),
        };
        if let (Some(flow), Some(choice)) = (flow.filter(|_| message.fresh), &choice) {
            share.add(now, flow, choice.work);
        }
        choice.map_or_else(EnginePlaced::default, |c| EnginePlaced {
            server: c.server.to_string(),
            wait_ms: millis(c.wait),
            work_ms: millis(c.work),
            source: c.source.map(|s| s.to_string()).unwrap_or_default(),
            ..EnginePlaced::default()
        })
    }

    /// Returns the refusal of a prompt with a quarantined part, of which the entry may not know yet.
    fn refusal(&self, message: &PlaceEngine) -> Option<EnginePlaced> {
        if message.trial {
            return None;
        }
        let shared: Vec<PartId> = message.shared.iter().copied().map(PartId::new).collect();
        let Verdict::Held { part, trial_in } = self.shared.verdict(&shared) else { return None };
        let (quarantined, trial_ms) = (part.value(), millis(trial_in).max(1));
        Some(EnginePlaced { quarantined, trial_ms, ..EnginePlaced::default() })
    }
}

/// Logs and returns the refusal of a prompt whose workspace is over its share of a full pool.
fn over_share(message: &PlaceEngine, wait: Duration, room_in: Duration) -> EnginePlaced {
    event!(
        EventCode::ShareRefused,
        request = message.request,
        service = message.service,
        workspace = message.workspace,
        wait_ms = wait.as_millis(),
        room_ms = room_in.as_millis()
    );
    EnginePlaced { share_ms: millis(room_in).max(1), ..EnginePlaced::default() }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
