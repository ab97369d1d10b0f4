//! `limpetmux sheet`

use super::operator::{apply_plan, run, submission};
use argh::FromArgs;
use limpetmux::core::config::Name;
use limpetmux::ops::config_client::ConfigClient;
use limpetmux::ops::sheet_plan;
use std::path::PathBuf;

/// Check, plan and apply the planners' sheet.
///
/// Exit codes: 0 if done, 1 if nothing was applied or the outcome is unknown.
#[derive(FromArgs)]
#[argh(subcommand, name = "sheet")]
pub struct SheetArgs {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Check(CheckArgs),
    Plan(PlanArgs),
    Apply(ApplyArgs),
}

/// Check a sheet against its declarations, or against the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// the sheet
    #[argh(positional)]
    path: PathBuf,
    /// base URL of the platform log, for a sheet that names a revision
    #[argh(option)]
    log: Option<String>,
}

/// Show how a sheet differs from the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
struct PlanArgs {
    /// the sheet
    #[argh(positional)]
    path: PathBuf,
    /// base URL of the platform log
    #[argh(option)]
    log: String,
}

/// Apply a sheet as one change, whole or not at all.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ApplyArgs {
    /// the sheet
    #[argh(positional)]
    path: PathBuf,
    /// base URL of the platform log
    #[argh(option)]
    log: String,
    /// who applies the sheet
    #[argh(option)]
    author: Name,
    /// why the sheet is applied
    #[argh(option, default = "String::from(\"sheet\")")]
    reason: String,
    /// apply although the difference is dangerous
    #[argh(switch)]
    allow_dangerous: bool,
}

/// Runs the subcommand.
pub fn exec(args: SheetArgs) -> miette::Result<()> {
    match args.action {
        Action::Check(args) => check(args),
        Action::Plan(args) => run(&args.log, async |client| plan(&client, &args)),
        Action::Apply(args) => run(&args.log.clone(), |client| apply(client, args)),
    }
}

fn check(args: CheckArgs) -> miette::Result<()> {
    if let Some(log) = args.log {
        return run(&log, async |client| {
            sheet_plan::plan(&client, &args.path)?;
            println!("the sheet is valid");
            Ok(())
        });
    }
    sheet_plan::target(&args.path, None)?;
    println!("the sheet is valid");
    Ok(())
}

fn plan(client: &ConfigClient, args: &PlanArgs) -> miette::Result<()> {
    print!("{}", sheet_plan::plan(client, &args.path)?.report());
    Ok(())
}

async fn apply(mut client: ConfigClient, args: ApplyArgs) -> miette::Result<()> {
    let plan = sheet_plan::plan(&client, &args.path)?;
    print!("{}", plan.report());
    let submission = submission(args.author, args.reason, args.allow_dangerous);
    apply_plan(plan, &mut client, submission).await
}
