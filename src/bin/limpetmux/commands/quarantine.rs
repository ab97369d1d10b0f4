//! `limpetmux quarantine`

use super::operator::channels;
use argh::FromArgs;
use limpetmux::core::prompt_part::PartId;
use limpetmux::ops::quarantine::{run, table};
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::path::PathBuf;

/// List the parts of prompts that are quarantined because they crash backend servers, after ending
/// the quarantine of some.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineArgs {
    /// the address where a node of the users' platform accepts calls of other nodes
    #[argh(positional)]
    node: SocketAddr,
    /// a part whose quarantine ends, as requests name it; may be repeated
    #[argh(option)]
    lift: Vec<String>,
    /// a file with the `tls` part of the settings, if the node requires certificates
    #[argh(option)]
    tls: Option<PathBuf>,
}

/// Calls the node and prints the table.
pub fn exec(args: QuarantineArgs) -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let channels = channels(args.tls.as_deref())?;
    let lift: Vec<PartId> = args.lift.iter().map(|text| PartId::named(text)).collect();
    let left = runtime.block_on(run(&channels, args.node, &lift))?;
    print!("{}", table(&left));
    Ok(())
}
