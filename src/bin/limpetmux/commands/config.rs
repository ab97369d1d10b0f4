//! `limpetmux config`

use super::operator::{NotInForce, apply_plan, channels, run, submission, unix_ms};
use argh::FromArgs;
use limpetmux::core::config::record::Activation;
use limpetmux::core::config::{ChangeId, FORMAT, Name, Ownership};
use limpetmux::core::revision::Offset;
use limpetmux::ops::activate;
use limpetmux::ops::audit::{self, AuditFilter};
use limpetmux::ops::config::{Plan, require_valid};
use limpetmux::ops::config_client::{ConfigClient, Outcome};
use limpetmux::ops::config_files;
use limpetmux::ops::sheet::digest_text;
use limpetmux::ops::status::status;
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Plan, apply and show the configuration.
///
/// Exit codes: 0 if done, 1 if nothing was applied or the outcome is unknown.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigArgs {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Check(CheckArgs),
    Plan(PlanArgs),
    Apply(ApplyArgs),
    Show(ShowArgs),
    History(HistoryArgs),
    Settle(SettleArgs),
    Activate(ActivateArgs),
}

/// Check declarations without a log and print their digest.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// a declaration file, or a directory of them
    #[argh(positional)]
    path: PathBuf,
}

/// Show how declarations differ from the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanArgs {
    /// a declaration file, or a directory of them
    #[argh(positional)]
    path: PathBuf,
    /// base URL of the platform log
    #[argh(option)]
    log: String,
    /// let the declarations decide which hosts run and which zones serve
    #[argh(switch)]
    with_state: bool,
}

/// Make declarations the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyArgs {
    /// a declaration file, or a directory of them
    #[argh(positional)]
    path: PathBuf,
    /// base URL of the platform log
    #[argh(option)]
    log: String,
    /// let the declarations decide which hosts run and which zones serve
    #[argh(switch)]
    with_state: bool,
    /// who makes the change
    #[argh(option)]
    author: Name,
    /// why the change is made
    #[argh(option)]
    reason: String,
    /// apply although the difference is dangerous
    #[argh(switch)]
    allow_dangerous: bool,
}

/// Print the configuration in force as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct ShowArgs {
    /// base URL of the platform log
    #[argh(option)]
    log: String,
}

/// List the changes that the log holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct HistoryArgs {
    /// base URL of the platform log
    #[argh(option)]
    log: String,
    /// only the change with this id
    #[argh(option)]
    change: Option<ChangeId>,
    /// only records from this offset on
    #[argh(option, default = "0")]
    since: u64,
}

/// Determine the outcome of a change; one that the log does not hold is voided permanently.
#[derive(FromArgs)]
#[argh(subcommand, name = "settle")]
struct SettleArgs {
    /// the change id
    #[argh(positional)]
    change: ChangeId,
    /// base URL of the platform log
    #[argh(option)]
    log: String,
    /// who settles the change
    #[argh(option)]
    author: Name,
}

/// Activate a format of configuration records once every process knows it.
#[derive(FromArgs)]
#[argh(subcommand, name = "activate")]
struct ActivateArgs {
    /// the format
    #[argh(positional)]
    format: u32,
    /// base URL of the platform log
    #[argh(option)]
    log: String,
    /// who activates it
    #[argh(option)]
    author: Name,
    /// the gRPC address of an entry, once for each entry; entries list the sidecars of all hosts
    #[argh(option)]
    node: Vec<SocketAddr>,
    /// a file with the `tls` part of the settings, if the processes require certificates
    #[argh(option)]
    tls: Option<PathBuf>,
    /// skip processes that do not answer, such as those of hosts that are off
    #[argh(switch)]
    allow_silent: bool,
}

/// Runs the subcommand.
pub fn exec(args: ConfigArgs) -> miette::Result<()> {
    match args.action {
        Action::Check(args) => check(&args),
        Action::Plan(args) => run(&args.log.clone(), |client| plan(client, args)),
        Action::Apply(args) => run(&args.log.clone(), |client| apply(client, args)),
        Action::Show(args) => run(&args.log, show),
        Action::History(args) => run(&args.log.clone(), |client| history(client, args)),
        Action::Settle(args) => run(&args.log.clone(), |client| settle(client, args)),
        Action::Activate(args) => run(&args.log.clone(), |client| activate(client, args)),
    }
}

fn check(args: &CheckArgs) -> miette::Result<()> {
    let config = config_files::load(&args.path)?;
    require_valid(&config)?;
    println!("{}", digest_text(config_files::digest(&config)));
    Ok(())
}

fn ownership(with_state: bool) -> Ownership {
    if with_state { Ownership::Declared } else { Ownership::InForce }
}

async fn plan(client: ConfigClient, args: PlanArgs) -> miette::Result<()> {
    let target = config_files::load(&args.path)?;
    print!("{}", Plan::new(client.fold(), &target, ownership(args.with_state)).report());
    Ok(())
}

async fn apply(mut client: ConfigClient, args: ApplyArgs) -> miette::Result<()> {
    let target = config_files::load(&args.path)?;
    let plan = Plan::new(client.fold(), &target, ownership(args.with_state));
    print!("{}", plan.report());
    let submission = submission(args.author, args.reason, args.allow_dangerous);
    apply_plan(plan, &mut client, submission).await
}

async fn show(client: ConfigClient) -> miette::Result<()> {
    let text = serde_json::to_string_pretty(client.fold().config()).into_diagnostic()?;
    eprintln!("{} is in force", client.fold().revision());
    println!("{text}");
    Ok(())
}

async fn history(client: ConfigClient, args: HistoryArgs) -> miette::Result<()> {
    let filter =
        AuditFilter { id: args.change, since: Offset(args.since), ..AuditFilter::default() };
    print!("{}", audit::table(client.trail(), &filter));
    Ok(())
}

async fn settle(mut client: ConfigClient, args: SettleArgs) -> miette::Result<()> {
    let outcome = client.settle(args.change, args.author, unix_ms()).await?;
    println!("{outcome}");
    Ok(())
}

async fn activate(mut client: ConfigClient, args: ActivateArgs) -> miette::Result<()> {
    let channels = channels(args.tls.as_deref())?;
    let (fleet, active) = (status(&channels, &args.node).await, client.fold().format());
    activate::check(args.format, (active, FORMAT), &fleet, args.allow_silent)?;
    let submission = submission(args.author, String::new(), false);
    let activation = Activation {
        id: submission.id,
        format: args.format,
        author: submission.author,
        submitted_ms: submission.submitted_ms,
    };
    match client.activate(activation).await? {
        Outcome::Accepted { offset, .. } => {
            println!("format {} is active from offset {offset} on", args.format);
            Ok(())
        }
        outcome => Err(NotInForce { outcome }.into()),
    }
}
