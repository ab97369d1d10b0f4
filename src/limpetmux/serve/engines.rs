//! Asks the node that keeps the board of a pool of model engines which one should read a prompt.
//!
//! Without an answer the entry chooses by itself, from its own requests only.

use super::node::Shared;
use super::request::Plan;
use crate::core::engines::EngineReport;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::{EnginePlaced, EngineTime, Part, PlaceEngine};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The time allowed for an answer.
const PLACE_TIMEOUT: Duration = Duration::from_millis(250);

/// Where the inputs of a request lie.
#[derive(Clone, Debug, Default)]
pub struct InputsAt {
    /// The availability zone of most of them; empty if there are none.
    pub zone: String,
    /// Their bytes.
    pub bytes: u64,
}

/// An engine that was chosen with the work of all entries in view.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Its id.
    pub server: Arc<str>,
    /// The time until the first event.
    pub expected: Duration,
    /// The engine that it is to fetch shared parts of the prompt from.
    pub source: Option<Arc<str>>,
}

/// Chooses an engine for a request that is sent after `ahead`.
pub async fn plan(shared: &Shared, plan: &Plan, ahead: Duration) -> Option<Placed> {
    let message = PlaceEngine { planned: true, ahead_ms: millis(ahead), ..message(plan, ahead) };
    ask(shared, plan, message).await
}

/// Chooses an engine for a request that is sent at once, leaving some out.
pub async fn place(
    shared: &Shared,
    plan: &Plan,
    inputs: &InputsAt,
    except: &[Arc<str>],
) -> Option<Placed> {
    let message = PlaceEngine {
        zone: inputs.zone.clone(),
        bytes: inputs.bytes,
        except: except.iter().map(ToString::to_string).collect(),
        ..message(plan, Duration::ZERO)
    };
    ask(shared, plan, message).await
}

fn message(plan: &Plan, ahead: Duration) -> PlaceEngine {
    let parts = plan.ask.parts.iter().map(|p| Part { key: p.key, tokens: p.tokens });
    PlaceEngine {
        service: plan.service.to_string(),
        request: plan.ask.id.clone(),
        parts: parts.collect(),
        tokens: plan.ask.tokens,
        slack_ms: millis(clock::boot().until(plan.aim()).saturating_sub(ahead)),
        ..PlaceEngine::default()
    }
}

async fn ask(shared: &Shared, plan: &Plan, mut message: PlaceEngine) -> Option<Placed> {
    if !shared.is_settled() {
        return None;
    }
    let now = clock::boot();
    let addr = shared.nodes().gate(now, &plan.service, &[]).map(|n| n.addr)?;
    message.times = shared.take_engine_times().iter().map(time).collect();
    let call = async { shared.peers.client(addr)?.place(message).await };
    let reason = match timeout(PLACE_TIMEOUT, call).await {
        Ok(Ok(reply)) => return placed(reply.into_inner()),
        Ok(Err(status)) => status.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    event!(EventCode::NodeSilent, node = addr, reason = reason);
    shared.peers.close(addr);
    shared.nodes().suspect(addr, clock::boot());
    None
}

fn placed(reply: EnginePlaced) -> Option<Placed> {
    let expected = Duration::from_millis(reply.wait_ms + reply.work_ms);
    let source = Some(reply.source).filter(|s| !s.is_empty()).map(Arc::from);
    (!reply.server.is_empty()).then(|| Placed { server: reply.server.into(), expected, source })
}

fn time(report: &EngineReport) -> EngineTime {
    EngineTime {
        server: report.server.to_string(),
        expected_ms: millis(report.expected),
        took_ms: millis(report.took),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
