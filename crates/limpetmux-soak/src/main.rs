//! Runs seeds of the soak and prints the result of each.

use argh::FromArgs;
use futures::StreamExt;
use limpetmux_soak::callers::Kind;
use limpetmux_soak::measure::{Measurement, measure};
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
    /// measure instead what this many answers without end cost other requests
    #[argh(option)]
    endless: Option<usize>,
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
    if let Some(endless) = args.endless {
        let loads = [(Kind::Once, 0), (Kind::Once, endless), (Kind::Stream, endless)];
        for (slot, load) in loads.into_iter().enumerate() {
            let dir = args.dir.join(format!("endless-{slot}"));
            let measured = measure(&args.binary, &dir, network(96, slot), load).await;
            print_measured(load, &measured.into_diagnostic()?);
        }
        return Ok(());
    }
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
    let (memory, sockets) = report.peaks.most();
    let endless = report.peaks.endless;
    println!("  peaks: {memory} kB, {sockets} sockets, {endless} endless answers at once");
    for violation in report.violations.iter().take(MAX_PRINTED) {
        println!("  {violation}");
    }
    let more = report.violations.len().saturating_sub(MAX_PRINTED);
    if more > 0 {
        println!("  and {more} more");
    }
}

fn print_measured((kind, callers): (Kind, usize), m: &Measurement) {
    let ms = |share| m.latency(share).as_secs_f64() * 1_000.0;
    let kind: &str = kind.into();
    println!("{callers} callers of kind {kind}, {} endless answers at once", m.endless);
    println!("  peak memory: entry {} kB, sidecar {} kB", m.entry.memory_kb, m.sidecar.memory_kb);
    println!("  most sockets: entry {}, sidecar {}", m.entry.sockets, m.sidecar.sockets);
    print!("  sound pool: p50 {:.1} ms, p99 {:.1} ms, ", ms(0.5), ms(0.99));
    println!("{} served, {} failed", m.latencies.len(), m.failed);
}
