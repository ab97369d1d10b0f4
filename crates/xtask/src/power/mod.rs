//! Compares policies for host power on one seeded day.
//!
//! Every policy gets the same demand: a daily curve with noise and bursts, and one availability
//! zone out of service for an hour at the peak. One policy is the production planner; the others
//! are baselines. Cost counts each host that is awake or waking; attainment is the share of the
//! demanded call-seconds that warm hosts could run.

mod day;
mod policy;

use argh::FromArgs;
use day::{Day, DayResult};
use policy::Policy;

/// Compare the power planner with baselines on a seeded day.
#[derive(FromArgs)]
#[argh(subcommand, name = "power")]
pub struct PowerArgs {
    /// seed of the day's demand
    #[argh(option, default = "1")]
    seed: u64,
    /// hosts in the pool
    #[argh(option, default = "40")]
    hosts: u32,
}

/// Prints one row per policy.
pub fn exec(args: PowerArgs) {
    let day = Day::new(args.seed, args.hosts);
    let rows: Vec<(&str, DayResult)> = vec![
        ("always on", day.run(Policy::always_on())),
        ("threshold", day.run(Policy::threshold())),
        ("planner", day.run(Policy::planner())),
    ];
    let full_cost = rows[0].1.cost.max(1.0);
    println!("| policy | attainment | worst 5 min | cost | host wakes |");
    println!("|---|---|---|---|---|");
    for (name, result) in rows {
        println!(
            "| {name} | {:.4} | {:.4} | {:.3} | {} |",
            result.attainment(),
            result.worst,
            result.cost / full_cost,
            result.wakes
        );
    }
}
