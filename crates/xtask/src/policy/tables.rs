//! Prints the policy tables in Markdown.

use super::scenarios::LOADS;
use limpetmux_model::{GateKind, Policy, Scenario, Summary, run};

/// Millionths of the accounting unit in a thousandth.
const MILLIONTHS_PER_THOUSANDTH: f64 = 1_000.0;

pub fn print_table(policies: &[Policy], scenarios: &[Scenario], seed: u64) {
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

pub fn print_seeds(policies: &[Policy], seeds: u64) {
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

pub fn print_usage(policies: &[Policy], scenarios: &[Scenario], seed: u64) {
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
                "| {} | {:.1} | {:.1} | {idle:.3} | {slowed:.3} | {wasted:.3} | {useful:.3} \
                 | {:.3} |",
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
        s.crashes,
        s.blind_starts,
    );
}

/// Prints the calls on cold writers, with the production admission control and the fixed limit.
pub fn print_cold(scenarios: &[Scenario]) {
    let fixed = Policy { name: "fixed limit", gate: GateKind::Fixed, ..Policy::PRODUCTION };
    println!("| policy | entries | cold load | falls | blind | attainment |");
    println!("|---|---|---|---|---|---|");
    for policy in [Policy::PRODUCTION, fixed] {
        for scenario in scenarios {
            let s = run(scenario, policy);
            let (load, bound) = s.cold_load;
            let (crashes, blind, share) = (s.crashes, s.blind_starts, s.attainment());
            let entries = scenario.entries;
            println!(
                "| {} | {entries} | {load}/{bound} | {crashes} | {blind} | {share:.3} |",
                s.policy
            );
        }
    }
}

/// Prints request durations and the encoders' work with and without hedges.
pub fn print_hedges(scenarios: &[Scenario]) {
    println!("| hedges | load | attainment | p50 ms | p99 ms | hedges sent | encoders' work s |");
    println!("|---|---|---|---|---|---|---|");
    for scenario in scenarios {
        for hedge in [true, false] {
            let s = run(scenario, Policy { hedge, ..Policy::PRODUCTION });
            let ms = |percent| s.percentile(percent).as_millis();
            let (sent, work, share) = (s.hedges, s.encoder_s, s.attainment());
            let (name, load) = (if hedge { "on" } else { "off" }, s.load);
            let (p50, p99) = (ms(50), ms(99));
            println!("| {name} | {load:.1} | {share:.4} | {p50} | {p99} | {sent} | {work:.0} |");
        }
    }
}

/// Prints the failures and retries that a restarting host causes for entries that just started.
pub fn print_start(scenarios: &[Scenario]) {
    println!(
        "| entries | arrived | not completed | further attempts | refused or failed attempts |"
    );
    println!("|---|---|---|---|---|");
    for scenario in scenarios {
        let s = run(scenario, Policy::PRODUCTION);
        let incomplete = s.arrived - s.completed;
        let (entries, arrived, retries) = (scenario.entries, s.arrived, s.attempts.1);
        println!("| {entries} | {arrived} | {incomplete} | {retries} | {:?} |", s.refusals);
    }
}
