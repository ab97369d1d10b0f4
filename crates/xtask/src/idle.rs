//! Measures processor time, memory and traffic of idle nodes.
//!
//! Entry and sidecar processes run over loopback with stand-ins and without callers. Traffic is
//! read from the counters of the loopback interface, so it includes framing and the sidecars'
//! requests to their backend servers.

use argh::FromArgs;
use limpetmux_test_support::processes::{NodeProcess, Processes, Usage};
use limpetmux_test_support::{Size, sized_config};
use std::path::PathBuf;
use std::time::Duration;

/// Clock ticks per second in `/proc` processor times.
const TICKS_PER_S: f64 = 100.0;
/// Time after the start that is not measured.
const START_DELAY: Duration = Duration::from_secs(10);

/// Measure idle processes of growing deployments.
#[derive(FromArgs)]
#[argh(subcommand, name = "idle")]
pub struct IdleArgs {
    /// the limpetmux program
    #[argh(option)]
    binary: PathBuf,
    /// seconds to count
    #[argh(option, default = "20")]
    seconds: u64,
    /// numbers of hosts, separated by commas
    #[argh(option, default = "String::from(\"10,20,40,80\")")]
    hosts: String,
    /// the number of entries
    #[argh(option, default = "4")]
    entries: usize,
}

/// A failure of the measurement.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum IdleError {
    /// A number of hosts cannot be parsed.
    #[error("`{0}` is not a number of hosts")]
    Hosts(String),
    /// The runtime cannot start, or the interface's counters cannot be read.
    #[error("cannot measure")]
    Io(#[from] std::io::Error),
}

/// Prints one row per number of hosts.
pub fn exec(args: IdleArgs) -> Result<(), IdleError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    println!(
        "| hosts | entries | entry core % | sidecar core % | entry MB | sidecar MB | B/s a node |"
    );
    println!("|---|---|---|---|---|---|---|");
    for text in args.hosts.split(',') {
        let hosts = text.trim().parse().map_err(|_| IdleError::Hosts(text.to_owned()))?;
        runtime.block_on(measure(&args, hosts))?;
    }
    Ok(())
}

async fn measure(args: &IdleArgs, hosts: u32) -> Result<(), IdleError> {
    let size = Size { hosts, services: 5, pipelines: 6, workspaces: 30, zones: 2 };
    let dir = std::env::temp_dir().join(format!("limpetmux-idle-{}", std::process::id()));
    let fleet = Processes::start(&args.binary, &dir, sized_config(size), args.entries).await;
    tokio::time::sleep(START_DELAY).await;
    let (entries, sidecars, bytes) =
        (usage(&fleet.entries), usage(fleet.sidecars.values()), loopback_bytes()?);
    let span = Duration::from_secs(args.seconds);
    tokio::time::sleep(span).await;
    let (entries_end, sidecars_end) = (usage(&fleet.entries), usage(fleet.sidecars.values()));
    let traffic = loopback_bytes()? - bytes;
    let share = |a: Usage, b: Usage, count: usize| {
        (b.cpu_ticks - a.cpu_ticks) as f64 / TICKS_PER_S / span.as_secs_f64() / count as f64 * 100.0
    };
    let megabytes = |u: Usage, count: usize| u.resident_bytes as f64 / count as f64 / 1e6;
    let nodes = args.entries + hosts as usize;
    println!(
        "| {hosts} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {:.0} |",
        args.entries,
        share(entries, entries_end, args.entries),
        share(sidecars, sidecars_end, hosts as usize),
        megabytes(entries_end, args.entries),
        megabytes(sidecars_end, hosts as usize),
        // Each byte is sent by one node and received by another.
        2.0 * traffic as f64 / span.as_secs_f64() / nodes as f64
    );
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}

fn usage<'a>(nodes: impl IntoIterator<Item = &'a NodeProcess>) -> Usage {
    nodes.into_iter().map(NodeProcess::usage).fold(Usage::default(), |sum, u| Usage {
        cpu_ticks: sum.cpu_ticks + u.cpu_ticks,
        resident_bytes: sum.resident_bytes + u.resident_bytes,
    })
}

/// Returns the number of bytes received on the loopback interface.
fn loopback_bytes() -> Result<u64, std::io::Error> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"));
    let first = line.and_then(|l| l.split_whitespace().next());
    Ok(first.and_then(|f| f.parse().ok()).unwrap_or(0))
}
