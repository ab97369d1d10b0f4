//! `limpetmux drain`

use argh::FromArgs;
use limpetmux::ops::drain::{DrainUnclean, drain};
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::time::Duration;

/// Drain one process and wait until it is about to exit. Exit status 1 if a request was cut or a
/// record was not flushed.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the gRPC address of the process
    #[argh(positional)]
    node: SocketAddr,
    /// seconds for running requests; the process's own time if not given
    #[argh(option)]
    deadline: Option<u64>,
}

/// Orders the drain and prints its report.
pub fn exec(args: DrainArgs) -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let deadline = args.deadline.map(Duration::from_secs);
    let report = runtime.block_on(drain(args.node, deadline))?;
    if !report.is_clean() {
        return Err(DrainUnclean { addr: args.node, report }.into());
    }
    println!("{} drained in {} ms; nothing was cut", args.node, report.took_us / 1_000);
    Ok(())
}
