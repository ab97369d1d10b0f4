//! Runs seeds of the soak and prints the result of each.

use argh::FromArgs;
use futures::StreamExt;
use limpetmux_soak::{Options, Report, network, run};
use miette::IntoDiagnostic;
use std::path::PathBuf;
use std::time::Duration;

/// Run nodes as separate processes under random faults and check what callers and backend servers
/// observe. Exits with 1 if a guarantee was violated.
#[derive(FromArgs)]
struct Args {
    /// the program that the processes run
    #[argh(option, default = "PathBuf::from(\"target/release/limpetmux\")")]
    binary: PathBuf,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// the number of consecutive seeds to run
    #[argh(option, default = "1")]
    seeds: u64,
    /// the number of seeds to run in parallel
    #[argh(option, default = "2")]
    jobs: usize,
    /// the number of seconds during which faults are injected
    #[argh(option, default = "20")]
    seconds: u64,
    /// the directory for settings and logs
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    dir: PathBuf,
}

/// The number of violations that are printed per seed.
const MAX_PRINTED: usize = 8;

/// A guarantee was violated.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{0} seeds violated a guarantee; their logs are in {1}")]
struct FailedSeeds(usize, String);

#[tokio::main]
async fn main() -> miette::Result<()> {
    let args: Args = argh::from_env();
    let runs = (args.seed..args.seed + args.seeds).enumerate().map(|(slot, seed)| {
        let options = Options {
            binary: args.binary.clone(),
            dir: args.dir.join(format!("seed-{seed}")),
            seed,
            length: Duration::from_secs(args.seconds),
            net: network(96, slot),
        };
        async move { (seed, run(&options).await) }
    });
    let mut runs = futures::stream::iter(runs).buffer_unordered(args.jobs.max(1));
    let mut failed = 0;
    while let Some((seed, report)) = runs.next().await {
        let report = report.into_diagnostic()?;
        print(seed, &report);
        failed += usize::from(!report.violations.is_empty());
    }
    println!("{} passed, {failed} failed", args.seeds as usize - failed);
    let dir = args.dir.display().to_string();
    if failed > 0 { Err(FailedSeeds(failed, dir).into()) } else { Ok(()) }
}

fn print(seed: u64, report: &Report) {
    let (sent, served) = report.requests;
    let (faults, stall) = (report.faults, report.longest_stall.as_millis());
    println!("seed {seed}: {faults} faults, {served} of {sent} requests served, stall {stall} ms");
    for violation in report.violations.iter().take(MAX_PRINTED) {
        println!("  {violation}");
    }
    let more = report.violations.len().saturating_sub(MAX_PRINTED);
    if more > 0 {
        println!("  and {more} more");
    }
}
