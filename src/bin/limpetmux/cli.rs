//! The command line: one subcommand per verb, each defined beside its `exec`.

use crate::commands;
use argh::FromArgs;

/// Serves multi-stage model pipelines.
#[derive(FromArgs)]
pub struct Cli {
    #[argh(subcommand)]
    verb: Verb,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Verb {
    Audit(commands::audit::AuditArgs),
    Config(commands::config::ConfigArgs),
    Drain(commands::drain::DrainArgs),
    Entry(commands::entry::EntryArgs),
    Explain(commands::explain::ExplainArgs),
    Local(commands::local::LocalArgs),
    Node(commands::node::NodeArgs),
    Settings(commands::settings::SettingsArgs),
    Sidecar(commands::sidecar::SidecarArgs),
    Sheet(commands::sheet::SheetArgs),
    Status(commands::status::StatusArgs),
    Version(commands::version::VersionArgs),
}

/// Runs the verb of the command line.
pub fn exec(cli: Cli) -> miette::Result<()> {
    match cli.verb {
        Verb::Audit(args) => commands::audit::exec(args),
        Verb::Config(args) => commands::config::exec(args),
        Verb::Drain(args) => commands::drain::exec(args),
        Verb::Entry(args) => commands::entry::exec(args),
        Verb::Explain(args) => commands::explain::exec(args),
        Verb::Local(args) => commands::local::exec(args),
        Verb::Node(args) => commands::node::exec(args),
        Verb::Settings(args) => commands::settings::exec(args),
        Verb::Sidecar(args) => commands::sidecar::exec(args),
        Verb::Sheet(args) => commands::sheet::exec(args),
        Verb::Status(args) => commands::status::exec(args),
        Verb::Version(args) => commands::version::exec(args),
    }
}
