//! Sends requests at a fixed rate and reports how they were answered.
//!
//! The generator is an open loop: request `n` is due at `n / rate` whether or not earlier ones were
//! answered, and its latency counts from that time, so the latencies include the queueing in a
//! stalled system. A report is a JSON summary, a table and an SVG plot of latency over time.

mod plot;
mod report;
mod runner;
mod zone;

use argh::FromArgs;
use std::path::PathBuf;
use std::time::Duration;

pub use report::Report;
pub use runner::{Load, LoadError, Outcome, Sample, run};

/// Send requests to an entry at a fixed rate and write a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// URL of the entry, for example http://127.0.0.1:8080
    #[argh(option)]
    url: Option<String>,
    /// zone to take out of service and put back, in a deployment that this process starts; not
    /// allowed with a URL
    #[argh(option)]
    zone_out: Option<String>,
    /// workspace to send as
    #[argh(option)]
    workspace: String,
    /// pipeline to run
    #[argh(option)]
    pipeline: String,
    /// requests a second
    #[argh(option, default = "100.0")]
    rate: f64,
    /// seconds to send for
    #[argh(option, default = "10")]
    seconds: u64,
    /// deadline of each request in milliseconds
    #[argh(option, default = "5000")]
    deadline_ms: u64,
    /// send an idempotency key with each request
    #[argh(switch)]
    keyed: bool,
    /// directory for report.json, latency.svg and, with a zone, zone.svg
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Runs the load and writes the report.
pub fn exec(args: LoadArgs) -> Result<(), LoadError> {
    let load = Load {
        url: args.url.unwrap_or_default(),
        workspace: args.workspace,
        pipeline: args.pipeline,
        rate: args.rate,
        duration: Duration::from_secs(args.seconds),
        deadline: Duration::from_millis(args.deadline_ms),
        keyed: args.keyed,
    };
    load.check()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let (samples, zone_events) = match (&args.zone_out, load.url.is_empty()) {
        (Some(zone), true) => runtime.block_on(zone::run_zone(&load, zone))?,
        (None, false) => (runtime.block_on(run(&load))?, Vec::new()),
        _ => return Err(LoadError::Target),
    };
    let report = Report::new(&load, &samples)?;
    println!("{report}");
    for (at, change) in &zone_events {
        println!("{:.2} s: {change:?}", at.as_secs_f64());
    }
    if let Some(dir) = args.out {
        std::fs::create_dir_all(&dir)?;
        std::fs::write(dir.join("report.json"), serde_json::to_vec_pretty(&report)?)?;
        plot::latency(&dir.join("latency.svg"), &samples)?;
        if !zone_events.is_empty() {
            plot::zone(&dir.join("zone.svg"), &load, &samples, &zone_events)?;
        }
    }
    Ok(())
}
