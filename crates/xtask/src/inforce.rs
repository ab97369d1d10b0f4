//! Seconds from the acceptance of a change until it is in force on every process.
//!
//! Real processes run before stand-ins over loopback. Each change is submitted as an operator's
//! command does it, and counts from the moment at which it was read back. All nodes are then asked
//! for their revision over the admin interface until each reports the new one.

use argh::FromArgs;
use futures::future::join_all;
use limpetmux::adapters::log::LogClient;
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

/// The time between two questions to one node.
const LOOK: Duration = Duration::from_millis(50);
/// The time after the start before the first change.
const SETTLE: Duration = Duration::from_secs(5);
/// The time after which no read is left that began before an outage of the log.
const READS_END: Duration = Duration::from_secs(12);
/// The time after which a node that does not answer ends the measurement.
const GIVE_UP: Duration = Duration::from_secs(120);
/// The time for which the slow node stands still from the acceptance on.
const FREEZE: Duration = Duration::from_secs(5);

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

/// A measurement that cannot be made.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum InforceError {
    /// A number of hosts cannot be read.
    #[error("`{0}` is not a number of hosts")]
    Hosts(String),
    /// The runtime cannot start, or settings cannot be read.
    #[error("cannot measure")]
    Io(#[from] std::io::Error),
    /// The settings of an entry name no address.
    #[error("cannot find the address of entry {0}")]
    Address(usize),
    /// A node cannot be connected to.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] AdminError),
    /// A node did not answer.
    #[error("a node gave no answer")]
    Status(#[from] Box<tonic::Status>),
    /// The log cannot be worked on.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Client(#[from] ClientError),
    /// A change was not accepted.
    #[error("a change was not accepted: {0}")]
    Outcome(Outcome),
    /// A question to a node was given up.
    #[error("a question to a node was given up")]
    Task(#[from] tokio::task::JoinError),
}

/// What is wrong while changes are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    /// Nothing.
    LogUp,
    /// One sidecar stands still from the acceptance on.
    NodeSlow,
    /// The log fails once one node has read the change; the others stand still until then.
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
    let mut bench = Bench::start(args, hosts, &dir).await?;
    for case in Case::ALL {
        let (appends, bytes) = bench.appended();
        let mut seconds = Vec::new();
        for _ in 0..args.changes {
            seconds.push(bench.run(case).await?.as_secs_f64());
        }
        let (appends_end, bytes_end) = bench.appended();
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

/// Returns the smallest value that a share of the sorted values does not exceed.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(f64::NAN)
}

struct Bench {
    fleet: Processes,
    nodes: Vec<SocketAddr>,
    client: ConfigClient,
    weight: u32,
}

impl Bench {
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
        let http = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        let log = LogClient::http(http, &fleet.log.url());
        let client = ConfigClient::connect(log).await?;
        tokio::time::sleep(SETTLE).await;
        Ok(Self { fleet, nodes, client, weight: 1 })
    }

    /// Makes one change and returns the time from its acceptance until it is in force everywhere.
    async fn run(&mut self, case: Case) -> Result<Duration, InforceError> {
        self.prepare(case).await;
        let revision = self.submit().await?;
        let accepted = Instant::now();
        match case {
            Case::LogUp => {}
            Case::NodeSlow => tokio::time::sleep(FREEZE).await,
            Case::LogDown => {
                reports(self.nodes[0], revision).await?;
                self.fleet.log.faults.set_outage(true);
            }
        }
        self.set_frozen(case, false);
        let asks = self.nodes.iter().map(|node| tokio::spawn(reports(*node, revision)));
        let mut last = accepted;
        for end in join_all(asks).await {
            last = last.max(end??);
        }
        Ok(last.duration_since(accepted))
    }

    /// Brings about what is wrong in a case.
    async fn prepare(&self, case: Case) {
        if case == Case::LogDown {
            // A read that is held back would still bring the change after the log has failed.
            self.fleet.log.faults.set_outage(true);
            tokio::time::sleep(READS_END).await;
        }
        self.set_frozen(case, true);
        self.fleet.log.faults.set_outage(false);
    }

    /// Stops or continues the nodes that cannot read the log in a case.
    fn set_frozen(&self, case: Case, frozen: bool) {
        let (sidecars, entries) = (self.fleet.sidecars.values(), self.fleet.entries.iter());
        match case {
            Case::LogUp => {}
            Case::NodeSlow => sidecars.take(1).for_each(|node| node.set_frozen(frozen)),
            Case::LogDown => {
                sidecars.skip(1).chain(entries).for_each(|node| node.set_frozen(frozen));
            }
        }
    }

    /// Submits a change of one workspace and returns the revision that it makes.
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

    /// Returns how many records of the configuration were appended, and their bytes.
    fn appended(&self) -> (usize, usize) {
        let records = self.fleet.log.records("config");
        (records.len(), records.iter().map(|(_, data)| data.len()).sum())
    }
}

/// Waits until a node reports a revision and returns when it did.
///
/// A node that stood still for long may close the connection, so it is asked again on a new one.
async fn reports(node: SocketAddr, revision: Revision) -> Result<Instant, InforceError> {
    let begun = Instant::now();
    loop {
        match reports_on_connection(node, revision).await {
            Err(error) if begun.elapsed() >= GIVE_UP => return Err(error),
            Err(_) => tokio::time::sleep(LOOK).await,
            reported => return reported,
        }
    }
}

async fn reports_on_connection(
    node: SocketAddr,
    revision: Revision,
) -> Result<Instant, InforceError> {
    let mut client = connect(node).await?;
    loop {
        let reply = client.status(StatusRequest {}).await.map_err(Box::new)?;
        if reply.into_inner().revision >= revision.0 {
            return Ok(Instant::now());
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Reads the gRPC address of an entry from its settings.
fn entry_address(dir: &Path, index: usize) -> Result<SocketAddr, InforceError> {
    let text = std::fs::read_to_string(dir.join(format!("entry-{index}.jsonc")))?;
    let settings: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    let address = settings["listen"].as_str().and_then(|text| text.parse().ok());
    address.ok_or(InforceError::Address(index))
}
