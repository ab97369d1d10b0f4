//! Converts views and nodes to messages between nodes and back.

use crate::core::listing::{ListRecord, ListedServer, WriteNumber};
use crate::core::log_position::{LogPosition, StoreEra};
use crate::core::nodes::{Node, Nodes};
use crate::core::operator::{DeclaredConfig, StatedOrders};
use crate::core::pieces::{HeldResult, JobSpec, Source};
use crate::core::server_limits::RequestRate;
use crate::core::server_notices::{Incarnation, LeavingServer, LimitedServer};
use crate::core::time::Moment;
use crate::fleet::rollout;
use crate::platform::{orders, servers, store::Record};
use crate::serve::node::StoreView;
use crate::wire::fleet::{
    self as wire, ListingView, Member, OperatorView, PullReply, PullRequest, ServerRecord,
    UnlistedZone,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The number of a write in a message that says that the record was removed.
const REMOVED: u64 = u64::MAX;

/// Encodes a node; `age` is the time since it was last heard of.
pub fn member(node: &Node, age: Duration) -> Member {
    Member {
        node: node.name.to_string(),
        addr: node.addr.to_string(),
        zone: node.zone.to_string(),
        gate: node.queues_pieces,
        started: node.started,
        heard_ms: millis(age),
        ..Member::default()
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

/// Encodes the backend servers that leave.
pub fn encode_leaving(leaving: Vec<LeavingServer>) -> Vec<wire::LeavingServer> {
    let encode = |server: LeavingServer| wire::LeavingServer {
        server: server.incarnation.id.to_string(),
        started: server.incarnation.started_ms,
        age_ms: millis(server.age),
    };
    leaving.into_iter().map(encode).collect()
}

/// Decodes the backend servers that leave.
pub fn decode_leaving(leaving: &[wire::LeavingServer]) -> Vec<LeavingServer> {
    let decode = |server: &wire::LeavingServer| LeavingServer {
        incarnation: Incarnation { id: server.server.as_str().into(), started_ms: server.started },
        age: Duration::from_millis(server.age_ms),
    };
    leaving.iter().map(decode).collect()
}

/// Encodes a limit of a backend server.
pub fn encode_limit(limit: &LimitedServer) -> wire::LimitedServer {
    wire::LimitedServer {
        server: limit.incarnation.id.to_string(),
        started: limit.incarnation.started_ms,
        micros: limit.rate.map(RequestRate::as_micros),
        asked_ms: millis(limit.asked_age),
        heard_ms: millis(limit.heard_age),
    }
}

/// Decodes a limit of a backend server.
pub fn decode_limit(limit: &wire::LimitedServer) -> LimitedServer {
    LimitedServer {
        incarnation: Incarnation { id: limit.server.as_str().into(), started_ms: limit.started },
        rate: limit.micros.map(RequestRate::from_micros),
        asked_age: Duration::from_millis(limit.asked_ms),
        heard_age: Duration::from_millis(limit.heard_ms),
    }
}

/// Encodes the limits of backend servers.
pub fn encode_limits(limits: &[LimitedServer]) -> Vec<wire::LimitedServer> {
    limits.iter().map(encode_limit).collect()
}

/// Decodes the limits of backend servers.
pub fn decode_limits(limits: &[wire::LimitedServer]) -> Vec<LimitedServer> {
    limits.iter().map(decode_limit).collect()
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
        workspace: Some(run.workspace).filter(|w| !w.is_empty()).map(Arc::from),
        priority: u8::try_from(run.priority).unwrap_or(u8::MAX),
        zone: run.zone.into(),
        size: run.size,
        frees_inputs: run.frees,
        room_short: run.tight,
    }
}

/// Builds a pull for everything that this node's view lacks.
pub fn pull_request(local: &Node, view: &StoreView, wait: Duration) -> PullRequest {
    let config = view.orders.config.as_ref().map_or(LogPosition::START, |d| d.position);
    PullRequest {
        caller: Some(member(local, Duration::ZERO)),
        operator_end: view.orders.end.offset,
        operator_era: view.orders.end.era.0,
        listing_end: view.listing.end.offset,
        listing_era: view.listing.end.era.0,
        config_at: config.offset,
        config_era: config.era.0,
        wait_ms: millis(wait),
        ..PullRequest::default()
    }
}

/// Returns up to where the caller of a pull knows the operator's records and the list.
fn known_ends(request: &PullRequest) -> (LogPosition, LogPosition) {
    let orders = LogPosition::new(StoreEra(request.operator_era), request.operator_end);
    (orders, LogPosition::new(StoreEra(request.listing_era), request.listing_end))
}

/// Builds a pull that asks only which nodes are alive.
pub fn members_only(local: &Node) -> PullRequest {
    PullRequest {
        caller: Some(member(local, Duration::ZERO)),
        operator_end: u64::MAX,
        operator_era: u64::MAX,
        listing_end: u64::MAX,
        listing_era: u64::MAX,
        config_at: u64::MAX,
        config_era: u64::MAX,
        wait_ms: 0,
        evidence_seen: u64::MAX,
        evidence: None,
        leaving: Vec::new(),
        leaving_seen: u64::MAX,
        limits: Vec::new(),
        rollout: None,
    }
}

/// Returns whether the view has changes that the caller lacks.
pub fn has_changes(view: &StoreView, request: &PullRequest) -> bool {
    let (orders, listing) = known_ends(request);
    let rollout = request.rollout.as_ref().map_or(0, |notice| notice.digest);
    let is_waiting = request.wait_ms > 0;
    view.orders.end > orders
        || view.listing.has_changes(listing)
        || is_waiting && view.rollouts.digest() != rollout
}

/// Builds the reply to a pull that came in at `arrived`, with the changes that the caller lacks.
pub fn pull_reply(
    (arrived, now): (Moment, Moment),
    nodes: &Nodes,
    view: &StoreView,
    request: &PullRequest,
) -> PullReply {
    let member = |node: &Node, age| Member {
        store_lost: nodes.is_store_lost(node.addr),
        ..member(node, age)
    };
    let mut members = vec![member(nodes.local(), Duration::ZERO)];
    members.extend(nodes.live(now).map(|(node, heard)| member(node, now.since(heard))));
    let (_, known) = known_ends(request);
    // Otherwise the caller would keep a server whose removal this node does not know.
    let whole =
        known.is_start() || !(view.listing.knows_since(known) || known == LogPosition::LAST);
    let from = if whole { LogPosition::START } else { known };
    PullReply {
        members,
        operator: Some(operator(now, view, request)),
        listing: Some(ListingView {
            end: view.listing.end.offset,
            era: view.listing.end.era.0,
            age_ms: millis(now.since(view.listing.confirmed_at)),
            back_ms: view.listing.recovery_age(now).map_or(0, |age| millis(age).max(1)),
            whole,
            servers: (view.listing.since(from))
                .filter(|(_, listed)| !listed.is_unlisted())
                .map(encode_record)
                .collect(),
        }),
        held_ms: millis(now.since(arrived)),
        ..PullReply::default()
    }
}

fn encode_unlisted(now: Moment, (zone, since): (&Arc<str>, Moment)) -> UnlistedZone {
    UnlistedZone { zone: zone.to_string(), age_ms: millis(now.since(since)) }
}

fn encode_record((id, listed): (&Arc<str>, &ListedServer)) -> ServerRecord {
    ServerRecord {
        id: id.to_string(),
        offset: listed.position.offset,
        era: listed.position.era.0,
        value: listed.raw.to_vec(),
        started: listed.latest.map_or(0, |w| w.started_ms),
        sequence: listed.latest.map_or(0, |w| if w.removed { REMOVED } else { w.sequence }),
        seen: listed.latest.map_or(0, |w| w.sequence),
        write_era: listed.write_era.0,
        believed: listed.believed,
        doubted: listed.doubted().map(|raw| raw.to_vec()).unwrap_or_default(),
        late: listed.is_doubt_late(),
    }
}

/// Decodes the latest write of a record. A node of an earlier version does not say which write was the last
/// one before a removal, so that each later one may be the backend server's return.
fn write_number(record: &ServerRecord) -> Option<WriteNumber> {
    let removed = record.sequence == REMOVED;
    let sequence = if removed { record.seen } else { record.sequence };
    let number = WriteNumber { started_ms: record.started, removed, sequence };
    (record.started > 0).then_some(number)
}

fn operator(now: Moment, view: &StoreView, request: &PullRequest) -> OperatorView {
    let config = view.orders.config.as_ref();
    let position = config.map_or(LogPosition::START, |d| d.position);
    let known = LogPosition::new(StoreEra(request.config_era), request.config_at);
    // A position says nothing of the version: either node may have read an older one from a restored
    // store. The caller decides.
    let is_sent = (position != known || known.is_start()) && known != LogPosition::LAST;
    OperatorView {
        end: view.orders.end.offset,
        era: view.orders.end.era.0,
        age_ms: millis(view.orders.age(now)),
        config_at: position.offset,
        config_era: position.era.0,
        config: config.filter(|_| is_sent).map(|d| d.raw.to_vec()).unwrap_or_default(),
        evacuated: view.orders.evacuated.listed().map(ToString::to_string).collect(),
        unlisted: view.orders.evacuated.unlisted().map(|zone| encode_unlisted(now, zone)).collect(),
        rollouts: rollout::encode_orders(now, &view.rollouts),
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
        let stated = StatedOrders {
            confirmed_at: sent - Duration::from_millis(operator.age_ms),
            end: LogPosition::new(StoreEra(operator.era), operator.end),
            config,
            evacuated,
            unlisted: (operator.unlisted.iter())
                .map(|z| (z.zone.as_str().into(), sent - Duration::from_millis(z.age_ms)))
                .collect(),
        };
        current = view.orders.replace(asked, stated);
        if current {
            let orders = rollout::decode_orders(sent, &operator.rollouts);
            view.rollouts.replace_orders(orders, |_| false);
        }
    }
    if let Some(listing) = &reply.listing {
        let confirmed = sent - Duration::from_millis(listing.age_ms);
        let end = LogPosition::new(StoreEra(listing.era), listing.end);
        if listing.back_ms > 0 {
            view.listing.learn_recovery(sent - Duration::from_millis(listing.back_ms));
        }
        let entries: Vec<ListRecord> = listing.servers.iter().map(entry).collect();
        current &= match listing.whole {
            true => view.listing.replace(confirmed, end, entries),
            false => view.listing.apply(confirmed, end, entries),
        };
        view.listing.expire(asked);
    }
    Ok(current)
}

fn config(operator: &OperatorView) -> Result<Option<DeclaredConfig>, orders::OrderError> {
    if operator.config.is_empty() {
        return Ok(None);
    }
    let position = LogPosition::new(StoreEra(operator.config_era), operator.config_at);
    orders::decode_config(&operator.config, position).map(Some)
}

fn entry(record: &ServerRecord) -> ListRecord {
    let decoded = decode_value(record, &record.value);
    let write = decoded.write.or_else(|| write_number(record));
    let doubted = (!record.doubted.is_empty()).then(|| decode_value(record, &record.doubted));
    let (believed, late) = (record.believed, record.late);
    let (doubted, write_era) = (doubted.map(Box::new), StoreEra(record.write_era));
    ListRecord { write, write_era, believed, doubted, late, ..decoded }
}

fn decode_value(record: &ServerRecord, value: &[u8]) -> ListRecord {
    let position = LogPosition::new(StoreEra(record.era), record.offset);
    let value = value.to_vec().into();
    servers::decode(Record { position, key: record.id.clone(), value }).0
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
