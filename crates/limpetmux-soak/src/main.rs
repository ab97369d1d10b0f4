//! Runs seeds of the soak and prints what each has shown.

use argh::FromArgs;
use futures::StreamExt;
use limpetmux_soak::{Options, Report, run};
use miette::IntoDiagnostic;
use std::path::PathBuf;
use std::time::Duration;

/// Run nodes as separate processes under random faults and check what callers and backend servers
/// see. Exits with 1 if a promise was broken.
#[derive(FromArgs)]
struct Args {
    /// the program that the processes run
    #[argh(option, default = "PathBuf::from(\"target/release/limpetmux\")")]
    binary: PathBuf,
    /// the first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds, one after the other
    #[argh(option, default = "1")]
    seeds: u64,
    /// how many at a time
    #[argh(option, default = "2")]
    jobs: usize,
    /// the seconds in which faults strike
    #[argh(option, default = "20")]
    seconds: u64,
    /// where logs are written
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    dir: PathBuf,
}

/// The broken promises of a seed that are printed.
const PRINTED: usize = 8;

/// A promise was broken.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("{0} seeds broke a promise; their logs are in {1}")]
struct Failed(usize, String);

#[tokio::main]
async fn main() -> miette::Result<()> {
    let args: Args = argh::from_env();
    let runs = (args.seed..args.seed + args.seeds).enumerate().map(|(slot, seed)| {
        let options = Options {
            binary: args.binary.clone(),
            dir: args.dir.join(format!("seed-{seed}")),
            seed,
            length: Duration::from_secs(args.seconds),
            net: [96, u8::try_from(slot % 250).unwrap_or_default()],
        };
        async move { (seed, run(&options).await) }
    });
    let mut runs = futures::stream::iter(runs).buffer_unordered(args.jobs.max(1));
    let mut failed = 0;
    while let Some((seed, report)) = runs.next().await {
        let report = report.into_diagnostic()?;
        print(seed, &report);
        failed += usize::from(!report.broken.is_empty());
    }
    println!("{} passed, {failed} failed", args.seeds as usize - failed);
    let dir = args.dir.display().to_string();
    if failed > 0 { Err(Failed(failed, dir).into()) } else { Ok(()) }
}

fn print(seed: u64, report: &Report) {
    let (sent, served) = report.requests;
    println!("seed {seed}: {} faults, {served} of {sent} requests served", report.faults);
    for broken in report.broken.iter().take(PRINTED) {
        println!("  {broken}");
    }
    let more = report.broken.len().saturating_sub(PRINTED);
    if more > 0 {
        println!("  and {more} more");
    }
}
