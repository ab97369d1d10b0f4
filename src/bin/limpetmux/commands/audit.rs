//! `limpetmux audit`

use super::operator::run;
use argh::FromArgs;
use limpetmux::core::config::{ChangeId, Name};
use limpetmux::core::revision::Offset;
use limpetmux::ops::audit::{self, AuditFilter};
use limpetmux::ops::config_client::ConfigClient;
use miette::IntoDiagnostic;

/// List who changed what, from which base, at which offset of the log, and with which verdict.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditArgs {
    /// base URL of the platform log
    #[argh(option)]
    log: String,
    /// only records of this author
    #[argh(option)]
    author: Option<Name>,
    /// only records that touch an object of this name
    #[argh(option)]
    object: Option<Name>,
    /// only the record with this change id
    #[argh(option)]
    change: Option<ChangeId>,
    /// only rejected records
    #[argh(switch)]
    rejected: bool,
    /// only records from this offset on
    #[argh(option, default = "0")]
    since: u64,
    /// print JSON lines
    #[argh(switch)]
    json: bool,
}

/// Prints the audit trail.
pub fn exec(args: AuditArgs) -> miette::Result<()> {
    run(&args.log.clone(), async |client| print(&client, args))
}

fn print(client: &ConfigClient, args: AuditArgs) -> miette::Result<()> {
    let filter = AuditFilter {
        author: args.author,
        object: args.object,
        id: args.change,
        rejected: args.rejected,
        since: Offset(args.since),
    };
    let text = if args.json {
        audit::json_lines(client.trail(), &filter).into_diagnostic()?
    } else {
        audit::table(client.trail(), &filter)
    };
    print!("{text}");
    Ok(())
}
