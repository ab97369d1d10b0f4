//! Compares the production policy with simple baselines under load and faults, in virtual time.

mod scenarios;
mod tables;

use argh::FromArgs;
use limpetmux_model::{Policy, Scenario};
use scenarios::{LOADS, burst, cold_bursts, faults, first_minute, returning_zone, slow_host};
use tables::{print_cold, print_hedges, print_seeds, print_start, print_table, print_usage};

/// The default seed.
const SEED: u64 = 7;

/// Measure the policy in virtual time and print tables in Markdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyArgs {
    /// measure only the production policy, with refusals by code
    #[argh(switch)]
    real: bool,

    /// show how the writers' capacity was used, in place of the usual columns
    #[argh(switch)]
    usage: bool,

    /// show only steady load, as mean and range of the goodput over this many seeds, from seed 1
    #[argh(option)]
    seeds: Option<u64>,

    /// the seed of all random draws (default: 7)
    #[argh(option, default = "SEED")]
    seed: u64,
}

/// Runs the scenarios and prints a table for each group.
pub fn exec(args: &PolicyArgs) {
    let policies = if args.real { &Policy::ALL[..1] } else { &Policy::ALL[..] };
    if let Some(seeds) = args.seeds {
        print_seeds(policies, seeds);
        return;
    }
    let table = |scenarios: &[Scenario]| {
        if args.usage {
            print_usage(policies, scenarios, args.seed);
        } else {
            print_table(policies, scenarios, args.seed);
        }
    };
    println!("### Steady load\n");
    table(&LOADS.map(Scenario::steady));
    println!("\n### Burst: load 0.8, tripled from second 20 to 25\n");
    table(&[burst()]);
    println!("\n### Faults at load 0.6\n");
    table(&[faults()]);
    println!("\n### Zone returns to 72 entries at load 0.8\n");
    table(&[returning_zone()]);
    if args.real || args.usage {
        return;
    }
    println!("\n### Bursts at cold backend servers\n");
    print_cold(&cold_bursts(args.seed));
    println!("\n### Hedging with one slow host\n");
    print_hedges(&slow_host(args.seed));
    println!("\n### A host that fails in the first minute\n");
    print_start(&first_minute(args.seed));
}
