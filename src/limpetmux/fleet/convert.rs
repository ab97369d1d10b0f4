//! Converts views and nodes to messages between nodes and back.

use crate::core::listing::ListRecord;
use crate::core::nodes::{Node, Nodes};
use crate::core::operator::DeclaredConfig;
use crate::core::pieces::{HeldResult, JobSpec, Source};
use crate::core::time::Moment;
use crate::platform::{orders, servers, store::Record};
use crate::serve::node::StoreView;
use crate::wire::fleet::{
    self as wire, ListingView, Member, OperatorView, PullReply, PullRequest, ServerRecord,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Encodes a node; `age` is the time since it was last heard of.
pub fn member(node: &Node, age: Duration) -> Member {
    Member {
        node: node.name.to_string(),
        addr: node.addr.to_string(),
        zone: node.zone.to_string(),
        gate: node.queues_pieces,
        started: node.started,
        heard_ms: millis(age),
    }
}

/// Decodes a node; `None` if its address is invalid.
pub fn node(member: &Member) -> Option<Node> {
    Some(Node {
        name: member.node.as_str().into(),
        addr: member.addr.parse().ok()?,
        zone: member.zone.as_str().into(),
        queues_pieces: member.gate,
        started: member.started,
    })
}

/// Decodes results that another node hands over, grouped by service.
pub fn decode_held(results: Vec<wire::HeldResult>) -> BTreeMap<Arc<str>, Vec<HeldResult>> {
    let mut services: BTreeMap<Arc<str>, Vec<HeldResult>> = BTreeMap::new();
    for result in results {
        let held = HeldResult {
            server: result.server.into(),
            name: result.name.into(),
            size: result.size,
            remaining: Duration::from_millis(result.left_ms),
        };
        services.entry(result.service.into()).or_default().push(held);
    }
    services
}

/// Encodes results that are handed over to another node.
pub fn encode_held(service: &str, held: Vec<HeldResult>) -> Vec<wire::HeldResult> {
    let result = |held: HeldResult| wire::HeldResult {
        service: service.to_owned(),
        server: held.server.to_string(),
        name: held.name.to_string(),
        size: held.size,
        left_ms: millis(held.remaining),
    };
    held.into_iter().map(result).collect()
}

/// Decodes a stage that another node sent at `now`, whose number of pieces has been checked.
pub fn job(now: Moment, run: wire::StageRun) -> JobSpec {
    let source = if run.inputs.is_empty() {
        Source::Key(run.key.into())
    } else {
        Source::Inputs(run.inputs.iter().map(|i| Arc::from(i.as_str())).collect())
    };
    let due = Duration::from_millis(run.due_ms.unsigned_abs());
    JobSpec {
        request: run.request.into(),
        stage: run.stage,
        pieces: run.pieces as usize,
        source,
        due: if run.due_ms < 0 { now - due } else { now + due },
        deadline: now + Duration::from_millis(run.left_ms),
        priority: u8::try_from(run.priority).unwrap_or(u8::MAX),
        zone: run.zone.into(),
        size: run.size,
        frees_inputs: run.frees,
        room_short: run.tight,
    }
}

/// Builds a pull for everything that this node's view lacks.
pub fn pull_request(local: &Node, view: &StoreView, wait: Duration) -> PullRequest {
    PullRequest {
        caller: Some(member(local, Duration::ZERO)),
        operator_end: view.orders.end_offset,
        listing_end: view.listing.end_offset,
        config_at: view.orders.config.as_ref().map_or(0, |d| d.offset),
        wait_ms: millis(wait),
        ..PullRequest::default()
    }
}

/// Builds a pull that asks only which nodes are alive.
pub fn members_only(local: &Node) -> PullRequest {
    PullRequest {
        caller: Some(member(local, Duration::ZERO)),
        operator_end: u64::MAX,
        listing_end: u64::MAX,
        config_at: u64::MAX,
        wait_ms: 0,
        evidence_seen: u64::MAX,
        evidence: None,
    }
}

/// Returns whether the view has changes that the caller lacks.
pub fn has_changes(view: &StoreView, request: &PullRequest) -> bool {
    view.orders.end_offset > request.operator_end || view.listing.has_changes(request.listing_end)
}

/// Builds the reply to a pull that came in at `arrived`, with the changes that the caller lacks.
pub fn pull_reply(
    (arrived, now): (Moment, Moment),
    nodes: &Nodes,
    view: &StoreView,
    request: &PullRequest,
) -> PullReply {
    let mut members = vec![member(nodes.local(), Duration::ZERO)];
    members.extend(nodes.live(now).map(|(node, heard)| member(node, now.since(heard))));
    let whole = request.listing_end == 0;
    let from = if whole { 0 } else { request.listing_end };
    let record = |(id, listed): (&Arc<str>, &crate::core::listing::ListedServer)| ServerRecord {
        id: id.to_string(),
        offset: listed.offset,
        value: listed.raw.to_vec(),
    };
    PullReply {
        members,
        operator: Some(operator(now, view, request)),
        listing: Some(ListingView {
            end: view.listing.end_offset,
            age_ms: millis(now.since(view.listing.confirmed_at)),
            whole,
            servers: view.listing.changes(from).map(record).collect(),
        }),
        held_ms: millis(now.since(arrived)),
        ..PullReply::default()
    }
}

fn operator(now: Moment, view: &StoreView, request: &PullRequest) -> OperatorView {
    let config = view.orders.config.as_ref();
    let changed = config.filter(|d| d.offset > request.config_at || request.config_at == 0);
    OperatorView {
        end: view.orders.end_offset,
        age_ms: millis(view.orders.age(now)),
        config_at: config.map_or(0, |d| d.offset),
        config: changed.map(|d| d.raw.to_vec()).unwrap_or_default(),
        evacuated: view.orders.evacuated.iter().map(ToString::to_string).collect(),
    }
}

/// Applies the reply to a pull that began at `asked` to a view; returns whether it was current.
///
/// Ages in the reply are relative to the moment at which it was sent. That moment is at least
/// `asked` plus the time for which the pull was held, so this sum never makes the view look newer
/// than it is.
///
/// # Errors
/// Returns an error if the configuration in the reply cannot be decoded.
pub fn apply_reply(
    asked: Moment,
    view: &mut StoreView,
    reply: &PullReply,
) -> Result<bool, orders::OrderError> {
    let mut current = false;
    let sent = asked + Duration::from_millis(reply.held_ms);
    if let Some(operator) = &reply.operator {
        let config = config(operator)?;
        let evacuated: BTreeSet<Arc<str>> =
            operator.evacuated.iter().map(|z| Arc::from(z.as_str())).collect();
        let confirmed = sent - Duration::from_millis(operator.age_ms);
        current = view.orders.replace(confirmed, operator.end, config, evacuated);
    }
    if let Some(listing) = &reply.listing {
        let confirmed = sent - Duration::from_millis(listing.age_ms);
        let entries: Vec<ListRecord> = listing.servers.iter().map(entry).collect();
        current &= view.listing.apply(confirmed, listing.end, entries);
        view.listing.expire(asked);
    }
    Ok(current)
}

fn config(operator: &OperatorView) -> Result<Option<DeclaredConfig>, orders::OrderError> {
    if operator.config.is_empty() {
        return Ok(None);
    }
    orders::decode_config(&operator.config, operator.config_at).map(Some)
}

fn entry(record: &ServerRecord) -> ListRecord {
    let value = record.value.clone().into();
    servers::decode(Record { offset: record.offset, key: record.id.clone(), value }).0
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Encodes the record through which nodes that know no other node discover this one.
pub fn encode_node_record(local: &Node) -> Vec<u8> {
    prost::Message::encode_to_vec(&member(local, Duration::ZERO))
}

/// Decodes a record written by [`encode_node_record`].
pub fn decode_node_record(value: &[u8]) -> Option<Node> {
    let member: Member = prost::Message::decode(value).ok()?;
    node(&member)
}
