//! The state of the pools of model engines of which this node is the queue node.

use crate::core::engines::{EngineChoice, EnginePool, EngineQuery, EngineReport, PromptPart};
use crate::core::listing::Server;
use crate::core::prompt_part::PartId;
use crate::core::quarantine::Verdict;
use crate::core::share::{FlowId, PoolShare};
use crate::event;
use crate::serve::node::Shared;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::{EnginePlaced, EngineTime, PlaceEngine};
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
        let spec = pool.and_then(|p| p.engine);
        engines.configure(spec.map_or(0, |e| e.memory_tokens));
        engines.set_fetch_time(spec.and_then(|e| e.fetch_time));
        message.times.iter().for_each(|t| engines.report(now, &report(t)));
        let flow = sharing(message);
        if let Some(flow) = flow {
            let wait = engines.shortest_wait(now, &servers, query.send_delay);
            if let Err(room_in) = share.check(now, flow, (servers.len(), wait)) {
                return over_share(message, wait, room_in);
            }
        }
        let choice = match message.planned {
            true => engines.plan(now, &servers, &message.request, query),
            false => engines.place(now, &servers, &message.request, query),
        };
        if let (Some(flow), Some(choice)) = (flow, &choice) {
            share.add(now, flow, choice.work);
        }
        drop(pools);
        if let Some(choice) = &choice {
            log_choice(message, choice);
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

fn report(time: &EngineTime) -> EngineReport {
    EngineReport {
        server: time.server.as_str().into(),
        request: time.request.as_str().into(),
        expected: Duration::from_millis(time.expected_ms),
        took: Duration::from_millis(time.took_ms),
    }
}

/// Returns the workspace that a prompt counts for, unless it was counted before or has none.
fn sharing(message: &PlaceEngine) -> Option<FlowId> {
    let counts = message.fresh && !message.workspace.is_empty();
    counts.then(|| FlowId::of(&message.workspace))
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

/// Logs which engine was chosen for a prompt, and what is expected of it.
fn log_choice(message: &PlaceEngine, choice: &EngineChoice) {
    event!(
        EventCode::EngineChosen,
        request = message.request,
        server = choice.server,
        planned = message.planned,
        tokens = message.tokens,
        read = choice.size.tokens,
        wait_ms = choice.wait.as_millis(),
        work_ms = choice.work.as_millis(),
        budget_ms = message.slack_ms,
        source = choice.source.as_deref().unwrap_or_default()
    );
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
