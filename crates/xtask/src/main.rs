//! Developer tasks that the build itself does not need.
//!
//! `cargo run -p xtask -- codegen` compiles `proto/*.proto` into `src/limpetmux/wire/gen/`, whose
//! files are committed so that neither the build nor CI runs a generator.
//! `cargo run -p xtask -- explore` explores more states of the at-most-once protocol than the
//! tests.
//! `cargo run --release -p xtask -- inforce` measures how fast a change is in force on all
//! processes.
//! `cargo run --release -p xtask -- load` sends requests at a fixed rate and writes a report.
//! `cargo run --release -p xtask -- policy` prints the policy tables of `docs/MEASUREMENTS.md`.

mod codegen;
mod explore;
mod idle;
mod inforce;
mod load;
mod policy;
mod power;

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
    Explore(explore::ExploreArgs),
    Idle(idle::IdleArgs),
    Inforce(inforce::InforceArgs),
    Load(load::LoadArgs),
    Policy(policy::PolicyArgs),
    Power(power::PowerArgs),
}

fn main() -> miette::Result<()> {
    let args: Args = argh::from_env();
    match args.task {
        Task::Codegen(args) => Ok(codegen::exec(args)?),
        Task::Explore(args) => Ok(explore::exec(args)?),
        Task::Idle(args) => Ok(idle::exec(args)?),
        Task::Inforce(args) => Ok(inforce::exec(args)?),
        Task::Load(args) => Ok(load::exec(args)?),
        Task::Policy(args) => {
            policy::exec(&args);
            Ok(())
        }
        Task::Power(args) => {
            power::exec(args);
            Ok(())
        }
    }
}
