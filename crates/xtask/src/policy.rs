//! Measures the policy under load and faults against plain baselines, in virtual time.

use argh::FromArgs;
use limpetmux_model::{Fault, Policy, Scenario, Summary, run};

/// Loads as shares of capacity.
const LOADS: [f64; 5] = [0.5, 0.8, 1.0, 1.5, 2.0];
/// The usual seed.
const SEED: u64 = 7;
/// Millionths of the accounting unit in a thousandth.
const MILLIONTHS_PER_THOUSANDTH: f64 = 1_000.0;

/// Measure the policy in virtual time and print tables in Markdown.
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyArgs {
    /// measure only the real policy, with refusals by code
    #[argh(switch)]
    real: bool,

    /// show where the writers' capacity went, in place of the usual columns
    #[argh(switch)]
    usage: bool,

    /// show only steady load, as mean and range of the goodput over this many seeds from 1 on
    #[argh(option)]
    seeds: Option<u64>,

    /// the seed of all random draws (default: 7)
    #[argh(option, default = "SEED")]
    seed: u64,
}

/// Runs all scenarios and prints one table for each.
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
}

fn burst() -> Scenario {
    Scenario { burst: Some((20, 25, 3.0)), ..Scenario::steady(0.8) }
}

fn faults() -> Scenario {
    let faults = vec![
        Fault::Restart(15, 0),
        Fault::Restart(20, 4),
        Fault::TurnCold(25, 7),
        Fault::TurnCold(30, 2),
        Fault::ZoneOut(35, 1),
        Fault::ZoneBack(45, 1),
    ];
    Scenario { faults, ..Scenario::steady(0.6) }
}

fn returning_zone() -> Scenario {
    let faults = vec![Fault::ZoneOut(15, 1), Fault::ZoneBack(25, 1)];
    Scenario { faults, entries: 72, ..Scenario::steady(0.8) }
}

fn print_table(policies: &[Policy], scenarios: &[Scenario], seed: u64) {
    println!(
        "| policy | load | attainment | goodput/s | p99 ms | cost | prefix hits | attempts \
         | cold load | falls | blind |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in scenarios {
        let scenario = Scenario { seed, ..scenario.clone() };
        for policy in policies {
            let summary = run(&scenario, *policy);
            print_row(&summary);
            if policies.len() == 1 {
                let late = summary.arrived - summary.completed - summary.refused;
                println!("{:?} of {}, {late} late", summary.refusals, summary.arrived);
            }
        }
    }
}

fn print_seeds(policies: &[Policy], seeds: u64) {
    println!("| policy | load | mean goodput/s | least | most |");
    println!("|---|---|---|---|---|");
    for load in LOADS {
        for policy in policies {
            let goodput =
                |seed| run(&Scenario { seed, ..Scenario::steady(load) }, *policy).goodput();
            let rates: Vec<f64> = (1..=seeds).map(goodput).collect();
            let mean = rates.iter().sum::<f64>() / seeds.max(1) as f64;
            let least = rates.iter().copied().fold(f64::INFINITY, f64::min);
            let most = rates.iter().copied().fold(0.0, f64::max);
            println!("| {} | {load:.1} | {mean:.1} | {least:.1} | {most:.1} |", policy.name);
        }
    }
}

fn print_usage(policies: &[Policy], scenarios: &[Scenario], seed: u64) {
    println!("| policy | load | goodput/s | idle | slowed | wasted | useful | prefix hits |");
    println!("|---|---|---|---|---|---|---|---|");
    for scenario in scenarios {
        let scenario = Scenario { seed, ..scenario.clone() };
        for policy in policies {
            let s = run(&scenario, *policy);
            let share = |seconds: f64| seconds / s.usage.capacity;
            let useful = share(s.usage.done - s.usage.wasted);
            let (idle, slowed) = (share(s.usage.idle), share(s.usage.slowed));
            let wasted = share(s.usage.wasted).max(0.0);
            println!(
                "| {} | {:.1} | {:.1} | {idle:.3} | {slowed:.3} | {wasted:.3} | {useful:.3} | {:.3} |",
                s.policy,
                s.load,
                s.goodput(),
                s.hit_share(),
            );
        }
    }
}

fn print_row(s: &Summary) {
    println!(
        "| {} | {:.1} | {:.3} | {:.1} | {} | {:.1} | {:.3} | {:.3} | {}/{} | {} | {} |",
        s.policy,
        s.load,
        s.attainment(),
        s.goodput(),
        s.p99().as_millis(),
        s.unit_cost() / MILLIONTHS_PER_THOUSANDTH,
        s.hit_share(),
        s.amplification(),
        s.cold_load.0,
        s.cold_load.1,
        s.falls,
        s.blind_starts,
    );
}
