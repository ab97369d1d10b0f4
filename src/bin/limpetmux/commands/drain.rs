//! `limpetmux drain`

use super::operator::channels;
use argh::FromArgs;
use limpetmux::ops::drain::{IncompleteDrain, drain};
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Drain one process and wait until it is about to exit. Exit status 1 if a request is unfinished
/// or a record is not flushed.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// the gRPC address of the process
    #[argh(positional)]
    node: SocketAddr,
    /// seconds that running requests may take; by default the process's own time limit
    #[argh(option)]
    deadline: Option<u64>,
    /// a file with the `tls` part of the settings, if the process requires certificates
    #[argh(option)]
    tls: Option<PathBuf>,
}

/// Requests the drain and prints its report.
pub fn exec(args: DrainArgs) -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let channels = channels(args.tls.as_deref())?;
    let deadline = args.deadline.map(Duration::from_secs);
    let report = runtime.block_on(drain(&channels, args.node, deadline))?;
    if !report.is_clean() {
        return Err(IncompleteDrain { addr: args.node, report }.into());
    }
    println!(
        "{} drained in {} ms; no request was left unfinished",
        args.node,
        report.took_us / 1_000
    );
    Ok(())
}
