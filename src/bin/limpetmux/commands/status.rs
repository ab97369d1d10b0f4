//! `limpetmux status`

use super::operator::channels;
use argh::FromArgs;
use limpetmux::ops::status::{status, table};
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Show hosts, zones, revisions and their lag, cold and draining backend servers, attainment and
/// cost by stage.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// the gRPC address of an entry or a sidecar; entries list the sidecars of all hosts
    #[argh(positional)]
    nodes: Vec<SocketAddr>,
    /// a file with the `tls` part of the settings, if the processes require certificates
    #[argh(option)]
    tls: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Queries the processes and prints their status.
pub fn exec(args: StatusArgs) -> miette::Result<()> {
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    let channels = channels(args.tls.as_deref())?;
    let fleet = runtime.block_on(status(&channels, &args.nodes));
    if args.json {
        println!("{}", serde_json::to_string_pretty(&fleet).into_diagnostic()?);
    } else {
        print!("{}", table(&fleet));
    }
    Ok(())
}
