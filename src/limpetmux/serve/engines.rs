//! Asks the queue node of a pool of model engines which engine should read a prompt.
//!
//! The queue node knows the load of all entries. Without its answer the entry chooses an engine
//! itself, knowing only its own requests.

use super::failure::Failure;
use super::node::Shared;
use super::request::{RoutedRequest, check_parts, held};
use super::stages;
use crate::core::engines::EngineReport;
use crate::core::prompt_part::PartId;
use crate::event;
use crate::util::clock;
use crate::util::event::EventCode;
use crate::wire::fleet::{EnginePlaced, EngineTime, Part, PlaceEngine};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// The time allowed for the answer of the queue node.
const PLACE_TIMEOUT: Duration = Duration::from_millis(250);

/// Where the inputs of a request are stored.
#[derive(Clone, Debug, Default)]
pub struct InputLocation {
    /// The availability zone of most of them; empty if there are none.
    pub zone: String,
    /// The size of the inputs in bytes.
    pub bytes: u64,
}

/// An engine that the queue node chose with the load of all entries.
#[derive(Clone, Debug)]
pub struct PlacedEngine {
    /// The engine's id.
    pub server: Arc<str>,
    /// The expected time to the first event.
    pub expected: Duration,
    /// The engine from which it fetches shared parts of the prompt.
    pub source: Option<Arc<str>>,
}

/// Plans an engine for a request that is sent after `delay`, when its stages have ended.
///
/// # Errors
/// Returns a refusal if a part of the prompt is quarantined, or its workspace over its share of engines
/// that are all busy.
pub async fn plan(
    shared: &Shared,
    routed: &RoutedRequest,
    delay: Duration,
) -> Result<Option<PlacedEngine>, Failure> {
    let trial = check_parts(shared, &routed.head, &routed.prompt)?.is_some();
    let message = PlaceEngine {
        planned: true,
        fresh: true,
        trial,
        ahead_ms: millis(delay),
        ..message(routed, delay)
    };
    call(shared, routed, message).await
}

/// Chooses an engine for a request that is sent now, excluding some engines.
///
/// # Errors
/// Returns a refusal if a part of the prompt is quarantined, or its workspace over its share of engines
/// that are all busy.
pub async fn place(
    shared: &Shared,
    routed: &RoutedRequest,
    inputs: &InputLocation,
    except: &[Arc<str>],
) -> Result<Option<PlacedEngine>, Failure> {
    let trial = check_parts(shared, &routed.head, &routed.prompt)?.is_some();
    let message = PlaceEngine {
        // A request with stages was checked before them.
        fresh: except.is_empty() && routed.pieces().iter().all(|n| *n == 0),
        trial,
        zone: inputs.zone.clone(),
        bytes: inputs.bytes,
        except: except.iter().map(ToString::to_string).collect(),
        ..message(routed, Duration::ZERO)
    };
    call(shared, routed, message).await
}

fn message(routed: &RoutedRequest, delay: Duration) -> PlaceEngine {
    let parts = routed.prompt.parts.iter().map(|p| Part { key: p.key, tokens: p.tokens });
    PlaceEngine {
        service: routed.service.to_string(),
        request: routed.head.id.clone(),
        parts: parts.collect(),
        shared: routed.prompt.shared.iter().map(|p| p.value()).collect(),
        tokens: routed.head.prompt_tokens,
        workspace: routed.workspace().unwrap_or_default().to_owned(),
        slack_ms: millis(clock::boot().until(routed.latency_deadline()).saturating_sub(delay)),
        ..PlaceEngine::default()
    }
}

async fn call(
    shared: &Shared,
    routed: &RoutedRequest,
    mut message: PlaceEngine,
) -> Result<Option<PlacedEngine>, Failure> {
    if !shared.has_discovered() {
        return Ok(None);
    }
    let now = clock::boot();
    let addr = shared.nodes().queue_node(now, &routed.service, &[]).map(|n| n.addr);
    let Some(addr) = addr else { return Ok(None) };
    message.times = shared.take_engine_times().iter().map(engine_time).collect();
    let call = async { shared.peers.client(addr)?.place(message).await };
    let reason = match timeout(PLACE_TIMEOUT, call).await {
        Ok(Ok(reply)) => return choice(shared, routed, reply.into_inner()),
        Ok(Err(status)) => status.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    event!(EventCode::NodeSilent, node = addr, reason = reason);
    shared.peers.close(addr);
    shared.nodes().record_failure(addr, clock::boot());
    Ok(None)
}

fn choice(
    shared: &Shared,
    routed: &RoutedRequest,
    reply: EnginePlaced,
) -> Result<Option<PlacedEngine>, Failure> {
    if reply.trial_ms > 0 {
        let (part, trial_in) = (reply.quarantined, Duration::from_millis(reply.trial_ms));
        return Err(held(&routed.head, PartId::new(part), trial_in));
    }
    if reply.share_ms > 0 {
        let retry = Duration::from_millis(reply.share_ms);
        return Err(stages::refuse_full(shared, routed, retry));
    }
    let expected = Duration::from_millis(reply.wait_ms.saturating_add(reply.work_ms));
    let source = Some(reply.source).filter(|s| !s.is_empty()).map(Arc::from);
    Ok((!reply.server.is_empty()).then(|| PlacedEngine {
        server: reply.server.into(),
        expected,
        source,
    }))
}

fn engine_time(report: &EngineReport) -> EngineTime {
    EngineTime {
        server: report.server.to_string(),
        request: report.request.to_string(),
        expected_ms: millis(report.expected),
        took_ms: millis(report.took),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
