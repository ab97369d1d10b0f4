//! The command line: dispatches each subcommand to the `exec` function of its module.

use crate::commands;
use argh::FromArgs;

/// Serves multi-stage model pipelines.
#[derive(FromArgs)]
pub struct Cli {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Audit(commands::audit::AuditArgs),
    Config(commands::config::ConfigArgs),
    Drain(commands::drain::DrainArgs),
    Entry(commands::entry::EntryArgs),
    Explain(commands::explain::ExplainArgs),
    Local(commands::local::LocalArgs),
    Node(commands::node::NodeArgs),
    Quarantine(commands::quarantine::QuarantineArgs),
    Settings(commands::settings::SettingsArgs),
    Sidecar(commands::sidecar::SidecarArgs),
    Sheet(commands::sheet::SheetArgs),
    Status(commands::status::StatusArgs),
    Version(commands::version::VersionArgs),
}

/// Runs the subcommand of the command line.
pub fn exec(cli: Cli) -> miette::Result<()> {
    match cli.command {
        Command::Audit(args) => commands::audit::exec(args),
        Command::Config(args) => commands::config::exec(args),
        Command::Drain(args) => commands::drain::exec(args),
        Command::Entry(args) => commands::entry::exec(args),
        Command::Explain(args) => commands::explain::exec(args),
        Command::Local(args) => commands::local::exec(args),
        Command::Node(args) => commands::node::exec(args),
        Command::Quarantine(args) => commands::quarantine::exec(args),
        Command::Settings(args) => commands::settings::exec(args),
        Command::Sidecar(args) => commands::sidecar::exec(args),
        Command::Sheet(args) => commands::sheet::exec(args),
        Command::Status(args) => commands::status::exec(args),
        Command::Version(args) => commands::version::exec(args),
    }
}
