//! Measures the seconds from the acceptance of a change until it is in force on every node.
//!
//! Entry and sidecar processes run over loopback with stand-ins. Each change is submitted like an
//! operator's command, and its time starts when the client has read the change back as accepted.
//! All nodes are then polled over the admin interface until each reports the new revision.

use argh::FromArgs;
use futures::future::join_all;
use limpetmux::adapters::channel::Channels;
use limpetmux::adapters::log::LogClient;
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::config::{Change, ChangeId};
use limpetmux::core::revision::Revision;
use limpetmux::ops::admin_client::{AdminError, connect};
use limpetmux::ops::config_client::{ClientError, ConfigClient, Outcome};
use limpetmux::wire::admin::StatusRequest;
use limpetmux_test_support::changes::{change, weight_edit};
use limpetmux_test_support::processes::Processes;
use limpetmux_test_support::{Size, sized_config};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Interval between two status requests to one node.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time between the start and the first change.
const START_DELAY: Duration = Duration::from_secs(5);
/// Time after which every log read that began before an outage has ended.
const READ_EXPIRY: Duration = Duration::from_secs(12);
/// Time after which a node that does not answer fails the measurement.
const NODE_TIMEOUT: Duration = Duration::from_secs(120);
/// Time for which the slow node stays frozen after the acceptance.
const FREEZE_TIME: Duration = Duration::from_secs(5);

/// Measure the seconds from accepted to in force on running processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "inforce")]
pub struct InforceArgs {
    /// the limpetmux program
    #[argh(option)]
    binary: PathBuf,
    /// changes of each case
    #[argh(option, default = "10")]
    changes: u32,
    /// numbers of hosts, separated by commas
    #[argh(option, default = "String::from(\"10,20,40\")")]
    hosts: String,
    /// the number of entries
    #[argh(option, default = "4")]
    entries: usize,
}

/// A failure of the measurement.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum InforceError {
    /// The HTTP client cannot be set up.
    #[error("cannot set up the HTTP client")]
    Http(#[from] reqwest::Error),
    /// A number of hosts cannot be parsed.
    #[error("`{0}` is not a number of hosts")]
    Hosts(String),
    /// The runtime cannot start, or settings cannot be read.
    #[error("cannot measure")]
    Io(#[from] std::io::Error),
    /// The settings of an entry contain no valid address.
    #[error("cannot find the address of entry {0}")]
    Address(usize),
    /// The connection to a node failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
    /// A status request to a node failed.
    #[error("a status request to a node failed")]
    Status(#[from] Box<tonic::Status>),
    /// The log cannot be read or appended to.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Client(#[from] ClientError),
    /// A change was not accepted.
    #[error("a change was not accepted: {0}")]
    Outcome(Outcome),
    /// A task that polls a node was cancelled or panicked.
    #[error("a task that polls a node was cancelled or panicked")]
    Task(#[from] tokio::task::JoinError),
}

/// The fault that is present while changes are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    /// No fault.
    LogUp,
    /// One sidecar is frozen from before the change until [`FREEZE_TIME`] after its acceptance.
    NodeSlow,
    /// The log fails once one node has read the change; the others are frozen until then.
    LogDown,
}

impl Case {
    const ALL: [Self; 3] = [Self::LogUp, Self::NodeSlow, Self::LogDown];

    fn label(self) -> &'static str {
        match self {
            Self::LogUp => "log up",
            Self::NodeSlow => "one node stands still for 5 s",
            Self::LogDown => "log down once one node has read it",
        }
    }
}

/// Prints one row per number of hosts and case.
pub fn exec(args: InforceArgs) -> Result<(), InforceError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    println!("| hosts | entries | case | changes | p50 s | p95 s | max s | appends | bytes |");
    println!("|---|---|---|---|---|---|---|---|---|");
    for text in args.hosts.split(',') {
        let hosts = text.trim().parse().map_err(|_| InforceError::Hosts(text.to_owned()))?;
        runtime.block_on(measure(&args, hosts))?;
    }
    Ok(())
}

async fn measure(args: &InforceArgs, hosts: u32) -> Result<(), InforceError> {
    let dir = std::env::temp_dir().join(format!("limpetmux-inforce-{}", std::process::id()));
    let mut deployment = Deployment::start(args, hosts, &dir).await?;
    for case in Case::ALL {
        let (appends, bytes) = deployment.appended();
        let mut seconds = Vec::new();
        for _ in 0..args.changes {
            seconds.push(deployment.run(case).await?.as_secs_f64());
        }
        let (appends_end, bytes_end) = deployment.appended();
        let each = |from: usize, to: usize| (to - from) as f64 / f64::from(args.changes);
        seconds.sort_by(f64::total_cmp);
        println!(
            "| {hosts} | {} | {} | {} | {:.2} | {:.2} | {:.2} | {:.1} | {:.0} |",
            args.entries,
            case.label(),
            args.changes,
            percentile(&seconds, 0.5),
            percentile(&seconds, 0.95),
            percentile(&seconds, 1.0),
            each(appends, appends_end),
            each(bytes, bytes_end)
        );
    }
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}

/// Returns the smallest value that at least `share` of the sorted values do not exceed.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

struct Deployment {
    fleet: Processes,
    nodes: Vec<SocketAddr>,
    client: ConfigClient,
    weight: u32,
}

impl Deployment {
    async fn start(args: &InforceArgs, hosts: u32, dir: &Path) -> Result<Self, InforceError> {
        let size = Size { hosts, services: 5, pipelines: 6, workspaces: 30, zones: 2 };
        let fleet = Processes::start(&args.binary, dir, sized_config(size), args.entries).await;
        let mut nodes = Vec::new();
        for host in fleet.config.hosts.values() {
            nodes.push(host.sidecar);
        }
        for index in 0..args.entries {
            nodes.push(entry_address(dir, index)?);
        }
        let log = LogClient::http(OneCallClient::new()?, &fleet.log.url());
        let client = ConfigClient::connect(log).await?;
        tokio::time::sleep(START_DELAY).await;
        Ok(Self { fleet, nodes, client, weight: 1 })
    }

    /// Makes one change and returns the time from its acceptance until it is in force everywhere.
    async fn run(&mut self, case: Case) -> Result<Duration, InforceError> {
        self.prepare(case).await;
        let revision = self.submit().await?;
        let accepted = Instant::now();
        match case {
            Case::LogUp => {}
            Case::NodeSlow => tokio::time::sleep(FREEZE_TIME).await,
            Case::LogDown => {
                await_revision(self.nodes[0], revision).await?;
                self.fleet.log.faults.set_outage(true);
            }
        }
        self.set_frozen(case, false);
        let polls = self.nodes.iter().map(|node| tokio::spawn(await_revision(*node, revision)));
        let mut last = accepted;
        for reported in join_all(polls).await {
            last = last.max(reported??);
        }
        Ok(last.duration_since(accepted))
    }

    /// Injects the fault of a case.
    async fn prepare(&self, case: Case) {
        if case == Case::LogDown {
            // A pending long-poll read would still return the change after the log has failed.
            self.fleet.log.faults.set_outage(true);
            tokio::time::sleep(READ_EXPIRY).await;
        }
        self.set_frozen(case, true);
        self.fleet.log.faults.set_outage(false);
    }

    /// Freezes or resumes the nodes that must not read the log in a case.
    fn set_frozen(&self, case: Case, frozen: bool) {
        let (sidecars, entries) = (self.fleet.sidecars.values(), self.fleet.entries.iter());
        match case {
            Case::LogUp => {}
            Case::NodeSlow => sidecars.take(1).for_each(|node| node.set_suspended(frozen)),
            Case::LogDown => {
                sidecars.skip(1).chain(entries).for_each(|node| node.set_suspended(frozen));
            }
        }
    }

    /// Submits a change of one workspace and returns its revision.
    async fn submit(&mut self) -> Result<Revision, InforceError> {
        self.weight += 1;
        let fold = self.client.fold();
        let config = fold.config();
        let workspace = config.workspaces.keys().next().map_or("", |name| name.as_str());
        let edits = vec![weight_edit(config, workspace, self.weight)];
        let change = change(0, fold.revision(), fold.next(), edits);
        let change = Change { id: ChangeId(Uuid::new_v4()), ..change };
        match self.client.submit(change).await? {
            Outcome::Accepted { offset, .. } => Ok(Revision::at(offset)),
            outcome => Err(InforceError::Outcome(outcome)),
        }
    }

    /// Returns the number of configuration records in the log and their total bytes.
    fn appended(&self) -> (usize, usize) {
        let records = self.fleet.log.records("config");
        (records.len(), records.iter().map(|(_, data)| data.len()).sum())
    }
}

/// Waits until a node reports a revision and returns the time of that report.
///
/// A node that was frozen for long may close the connection, so failures are retried on a new one.
async fn await_revision(node: SocketAddr, revision: Revision) -> Result<Instant, InforceError> {
    let start = Instant::now();
    loop {
        match poll_connection(node, revision).await {
            Err(error) if start.elapsed() >= NODE_TIMEOUT => return Err(error),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            reported => return reported,
        }
    }
}

async fn poll_connection(node: SocketAddr, revision: Revision) -> Result<Instant, InforceError> {
    let mut client = connect(&Channels::plain(), node).await?;
    loop {
        let reply = client.status(StatusRequest {}).await.map_err(Box::new)?;
        if reply.into_inner().revision >= revision.0 {
            return Ok(Instant::now());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the gRPC address of an entry from its settings.
fn entry_address(dir: &Path, index: usize) -> Result<SocketAddr, InforceError> {
    let text = std::fs::read_to_string(dir.join(format!("entry-{index}.jsonc")))?;
    let settings: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let address = settings["listen"].as_str().and_then(|text| text.parse().ok());
    address.ok_or(InforceError::Address(index))
}
