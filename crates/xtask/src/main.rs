//! Developer tasks that the build itself does not need.
//!
//! `cargo run -p xtask -- codegen` compiles `proto/*.proto` into `src/limpetmux/wire/gen/`, whose
//! files are committed so that neither the build nor CI runs a generator. `cargo run --release -p
//! xtask -- policy` prints the tables of `docs/MEASUREMENTS.md`.

mod codegen;
mod policy;

use argh::FromArgs;

/// Developer tasks for limpetmux.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    task: Task,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Task {
    Codegen(codegen::CodegenArgs),
    Policy(policy::PolicyArgs),
}

fn main() -> miette::Result<()> {
    let args: Args = argh::from_env();
    match args.task {
        Task::Codegen(args) => Ok(codegen::exec(args)?),
        Task::Policy(args) => {
            policy::exec(&args);
            Ok(())
        }
    }
}
