//! `limpetmux status`: the state of the fleet as its processes report it.
//!
//! The given processes are queried first. Entries return the addresses of all sidecars, which are
//! queried next. A process that does not answer is listed as unreachable and does not prevent the
//! others from being listed.

use super::admin_client::{AdminError, connect, no_answer};
use crate::adapters::channel::Channels;
use crate::wire::admin::{StatusReply, StatusRequest};
use futures::StreamExt;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// The role shown for a process that did not answer.
const UNREACHABLE: &str = "unreachable";
/// The number of processes queried at the same time.
const CONCURRENCY: usize = 16;
/// The time limit for one reply.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The status of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct NodeStatus {
    /// The address that was queried.
    pub address: SocketAddr,
    /// The node's name; empty if it did not answer.
    pub node: String,
    /// `entry`, `sidecar`, or `unreachable`.
    pub role: String,
    /// The availability zone.
    pub zone: String,
    /// The phase of its shutdown.
    pub phase: String,
    /// The configuration revision in force.
    pub revision: u64,
    /// The number of revisions behind the highest one that any process knows; `None` if the
    /// process did not answer.
    pub lag: Option<u64>,
    /// Running requests.
    pub running: u32,
    /// Calls that wait for the backend server.
    pub queued: u32,
    /// Calls that the backend server may run at once.
    pub limit: u32,
    /// Whether the backend server is cold.
    pub cold: bool,
    /// The newest format of configuration records that the process knows; 0 if it did not answer.
    pub format: u32,
}

impl NodeStatus {
    /// Returns whether the process did not answer.
    pub fn is_unreachable(&self) -> bool {
        self.role == UNREACHABLE
    }
}

/// The state of one host in the view of the first entry that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// The service of its backend server.
    pub service: String,
    /// `live`, `leaving` or `gone`.
    pub state: String,
    /// The cause, if the host is not live.
    pub cause: String,
    /// Time in this state, in milliseconds.
    pub since_ms: u64,
}

/// The state of one availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Whether operators have the zone in service.
    pub serving: bool,
    /// The number of its hosts.
    pub hosts: u32,
    /// The number of its hosts that accept new work.
    pub usable: u32,
}

/// The cost of one stage, summed over all entries since their start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StageStatus {
    /// The pipeline.
    pub pipeline: String,
    /// The stage.
    pub stage: String,
    /// The number of attempts.
    pub attempts: u64,
    /// Time on backend servers, in microseconds.
    pub busy_us: u64,
    /// Cost in millionths of the accounting unit.
    pub cost: u64,
    /// Requests whose deadline passed while they were in this stage.
    pub late: u64,
}

/// Request counts, summed over all entries since their start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AttainmentStatus {
    /// Answered completely within the deadline.
    pub attained: u64,
    /// Started, but not answered completely when the deadline passed.
    pub late: u64,
    /// Refused or failed before the deadline.
    pub refused: u64,
}

/// The status of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FleetStatus {
    /// The processes that were queried.
    pub nodes: Vec<NodeStatus>,
    /// All hosts.
    pub hosts: Vec<HostStatus>,
    /// All availability zones.
    pub zones: Vec<ZoneStatus>,
    /// All stages.
    pub stages: Vec<StageStatus>,
    /// All requests.
    pub attainment: AttainmentStatus,
}

type Answer = (SocketAddr, Option<StatusReply>);

/// Queries the given processes and the sidecars that they list.
pub async fn status(channels: &Channels, nodes: &[SocketAddr]) -> FleetStatus {
    let mut answers = query_all(channels, nodes.iter().copied().collect()).await;
    let queried: BTreeSet<SocketAddr> = answers.iter().map(|(addr, _)| *addr).collect();
    let replies = answers.iter().filter_map(|(_, reply)| reply.as_ref());
    let hosts = replies.flat_map(|reply| &reply.hosts);
    let sidecars: BTreeSet<SocketAddr> = hosts.filter_map(|h| h.address.parse().ok()).collect();
    let unqueried = sidecars.difference(&queried).copied().collect();
    answers.extend(query_all(channels, unqueried).await);
    combine(&answers)
}

async fn query_all(channels: &Channels, nodes: BTreeSet<SocketAddr>) -> Vec<Answer> {
    let queries = nodes.into_iter().map(|addr| async move {
        let reply = tokio::time::timeout(TIMEOUT, query(channels, addr)).await;
        (addr, reply.ok().and_then(Result::ok))
    });
    futures::stream::iter(queries).buffered(CONCURRENCY).collect().await
}

async fn query(channels: &Channels, addr: SocketAddr) -> Result<StatusReply, AdminError> {
    let mut client = connect(channels, addr).await?;
    Ok(client.status(StatusRequest {}).await.map_err(no_answer(addr))?.into_inner())
}

/// Merges the replies; hosts and zones are taken from the first reply that lists hosts.
pub fn combine(answers: &[Answer]) -> FleetStatus {
    let replies = || answers.iter().filter_map(|(_, reply)| reply.as_ref());
    let newest = replies().map(|r| r.revision.max(r.newest)).max().unwrap_or(0);
    let mut fleet = FleetStatus {
        nodes: answers.iter().map(|(addr, reply)| node(*addr, reply.as_ref(), newest)).collect(),
        ..FleetStatus::default()
    };
    if let Some(entry) = replies().find(|r| !r.hosts.is_empty()) {
        fleet.hosts = hosts(entry);
        fleet.zones = zones(entry);
    }
    let mut stages: BTreeMap<(&str, &str), StageStatus> = BTreeMap::new();
    for row in replies().flat_map(|r| &r.stages) {
        let sum = stages.entry((&row.pipeline, &row.stage)).or_default();
        sum.pipeline.clone_from(&row.pipeline);
        sum.stage.clone_from(&row.stage);
        sum.attempts += row.attempts;
        sum.busy_us += row.busy_us;
        sum.cost += row.cost;
        sum.late += row.late;
    }
    fleet.stages = stages.into_values().collect();
    for row in replies().filter_map(|r| r.attainment) {
        fleet.attainment.attained += row.attained;
        fleet.attainment.late += row.late;
        fleet.attainment.refused += row.refused;
    }
    fleet
}

fn node(address: SocketAddr, reply: Option<&StatusReply>, newest: u64) -> NodeStatus {
    let lag = reply.map(|r| newest - r.revision);
    let unreachable = StatusReply { role: UNREACHABLE.to_owned(), ..StatusReply::default() };
    let reply = reply.unwrap_or(&unreachable);
    let backend = reply.backend.unwrap_or_default();
    NodeStatus {
        address,
        node: reply.node.clone(),
        role: reply.role.clone(),
        zone: reply.zone.clone(),
        phase: reply.phase.clone(),
        revision: reply.revision,
        lag,
        running: reply.running,
        queued: backend.queued,
        limit: backend.limit,
        cold: backend.cold,
        format: reply.format,
    }
}

fn hosts(entry: &StatusReply) -> Vec<HostStatus> {
    let row = |h: &crate::wire::admin::HostRow| HostStatus {
        host: h.host.clone(),
        zone: h.zone.clone(),
        service: h.service.clone(),
        state: h.state.clone(),
        cause: h.cause.clone(),
        since_ms: h.since_ms,
    };
    entry.hosts.iter().map(row).collect()
}

fn zones(entry: &StatusReply) -> Vec<ZoneStatus> {
    let row = |z: &crate::wire::admin::ZoneRow| ZoneStatus {
        zone: z.zone.clone(),
        region: z.region.clone(),
        serving: z.serving,
        hosts: z.hosts,
        usable: z.usable,
    };
    entry.zones.iter().map(row).collect()
}

/// Renders the fleet as aligned tables.
pub fn table(fleet: &FleetStatus) -> String {
    let mut text = String::new();
    let zones = fleet.zones.iter().map(|z| {
        let serving = if z.serving { "in" } else { "out" };
        vec![
            z.zone.clone(),
            z.region.clone(),
            serving.to_owned(),
            format!("{}/{}", z.usable, z.hosts),
        ]
    });
    section(&mut text, &["ZONE", "REGION", "SERVING", "USABLE"], zones.collect());
    let hosts = fleet.hosts.iter().map(|h| {
        let since = format!("{}s", h.since_ms / 1_000);
        vec![
            h.host.clone(),
            h.zone.clone(),
            h.service.clone(),
            h.state.clone(),
            h.cause.clone(),
            since,
        ]
    });
    section(&mut text, &["HOST", "ZONE", "SERVICE", "STATE", "CAUSE", "SINCE"], hosts.collect());
    let nodes = fleet.nodes.iter().map(node_row);
    let head = [
        "NODE", "ROLE", "ADDRESS", "PHASE", "REVISION", "LAG", "RUNNING", "QUEUED", "LIMIT", "COLD",
    ];
    section(&mut text, &head, nodes.collect());
    let stages = fleet.stages.iter().map(|s| {
        let numbers = [s.attempts, s.late, s.busy_us / 1_000, s.cost].map(|n| n.to_string());
        [vec![s.pipeline.clone(), s.stage.clone()], numbers.to_vec()].concat()
    });
    section(
        &mut text,
        &["PIPELINE", "STAGE", "ATTEMPTS", "LATE", "BUSY_MS", "COST"],
        stages.collect(),
    );
    let a = fleet.attainment;
    let requests = [a.attained, a.late, a.refused].map(|n| n.to_string());
    section(&mut text, &["ATTAINED", "LATE", "REFUSED"], vec![requests.to_vec()]);
    text
}

fn node_row(n: &NodeStatus) -> Vec<String> {
    vec![
        n.node.clone(),
        n.role.clone(),
        n.address.to_string(),
        n.phase.clone(),
        format!("r{}", n.revision),
        n.lag.map_or_else(|| "-".to_owned(), |lag| lag.to_string()),
        n.running.to_string(),
        n.queued.to_string(),
        n.limit.to_string(),
        n.cold.to_string(),
    ]
}

/// Appends one table, with each column as wide as its longest cell, and an empty line.
fn section(text: &mut String, head: &[&str], rows: Vec<Vec<String>>) {
    let head = head.iter().map(|h| (*h).to_owned()).collect();
    let rows: Vec<Vec<String>> = std::iter::once(head).chain(rows).collect();
    let columns = rows.first().map_or(0, Vec::len);
    let width = |c: usize| rows.iter().map(|r| r[c].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    for row in &rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a string cannot fail.
            let _ = write!(line, "{cell:width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text.push('\n');
}
