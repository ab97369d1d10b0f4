//! The `limpetmux` program: parses the command line and runs one command.

mod cli;
mod commands;
mod signal;

fn main() -> miette::Result<()> {
    let args: cli::Cli = argh::from_env();
    cli::exec(args)
}
