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
    Drain(commands::drain::DrainArgs),
    Local(commands::local::LocalArgs),
    Status(commands::status::StatusArgs),
    Version(commands::version::VersionArgs),
}

/// Runs the chosen verb.
pub fn exec(cli: Cli) -> miette::Result<()> {
    match cli.verb {
        Verb::Drain(args) => commands::drain::exec(args),
        Verb::Local(args) => commands::local::exec(args),
        Verb::Status(args) => commands::status::exec(args),
        Verb::Version(args) => commands::version::exec(args),
    }
}
