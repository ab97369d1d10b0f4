//! Entries, sidecars and budgets together keep their bounds under load and faults.
//!
//! Each bound is also checked against a baseline policy that breaks it, to show that it can fail.

use limpetmux_model::{Fault, GateKind, Policy, Scenario, Summary, run};

const FIXED: Policy = Policy { name: "fixed limit", gate: GateKind::Fixed, ..Policy::PRODUCTION };
const UNHEDGED: Policy = Policy { name: "no hedges", hedge: false, ..Policy::PRODUCTION };
const UNBUDGETED: Policy = Policy { name: "no budget", budget: false, ..Policy::PRODUCTION };

fn steady(load: f64, policy: Policy) -> Summary {
    run(&Scenario { seconds: 30, ..Scenario::steady(load) }, policy)
}

fn returning_zone() -> Scenario {
    let faults = vec![Fault::ZoneOut(11, 1), Fault::ZoneBack(15, 1)];
    Scenario { faults, entries: 72, seconds: 24, ..Scenario::steady(0.8) }
}

#[test]
fn same_seed_gives_the_same_figures() {
    let scenario = Scenario { seconds: 14, ..Scenario::steady(1.0) };

    let (first, second) = (run(&scenario, Policy::PRODUCTION), run(&scenario, Policy::PRODUCTION));

    assert_eq!(first, second);
}

#[test]
fn goodput_stays_flat_past_saturation() {
    let share = |policy| steady(2.0, policy).goodput() / steady(1.0, policy).goodput();

    let (production, fixed) = (share(Policy::PRODUCTION), share(FIXED));

    assert!(production >= 0.95, "{production}");
    assert!(fixed < 0.95, "the check passes without the adaptive gate: {fixed}");
}

#[test]
fn limits_converge_near_the_capacity_of_writers() {
    let slowed = |seed, policy| {
        let usage = run(&Scenario { seed, ..Scenario::steady(2.0) }, policy).usage;
        usage.slowed / usage.capacity
    };

    let unhedged = [1, 2, 7].map(|seed| slowed(seed, UNHEDGED));
    let fixed = slowed(7, FIXED);

    let mean = unhedged.iter().sum::<f64>() / unhedged.len() as f64;
    assert!(mean <= 0.035, "{unhedged:?}");
    assert!(fixed > 0.15, "{fixed}");
}

#[test]
fn attempts_stay_within_a_tenth_more_than_fresh_requests() {
    let (production, unbudgeted) = (steady(2.0, Policy::PRODUCTION), steady(2.0, UNBUDGETED));

    assert!(production.amplification() <= 1.1, "{}", production.amplification());
    assert!(unbudgeted.amplification() > 1.5, "{}", unbudgeted.amplification());
}

#[test]
fn overload_ends_with_the_burst_that_caused_it() {
    let scenario = Scenario { burst: Some((12, 16, 3.0)), seconds: 26, ..Scenario::steady(0.8) };
    let baseline = Policy::ALL[7];

    let (production, baseline) = (run(&scenario, Policy::PRODUCTION), run(&scenario, baseline));

    assert!(production.attainment_in(12..16) < 0.9, "the burst causes no overload");
    assert!(production.attainment_in(18..26) > 0.99, "{}", production.attainment_in(18..26));
    assert!(baseline.attainment_in(18..26) < 0.5, "{}", baseline.attainment_in(18..26));
}

#[test]
fn many_entries_do_not_overload_a_returning_zone() {
    let (production, fixed) =
        (run(&returning_zone(), Policy::PRODUCTION), run(&returning_zone(), FIXED));

    let (load, bound) = production.cold_load;
    assert!(load > 0, "no cold backend server was used");
    assert!(load <= bound, "{load} calls on a cold backend server with a bound of {bound}");
    assert_eq!(production.crashes, 0);
    assert!(fixed.cold_load.0 > bound && fixed.crashes > 0, "{:?}", fixed.cold_load);
}

#[test]
fn restarts_and_cold_starts_cost_few_requests() {
    let faults = vec![Fault::Restart(11, 0), Fault::TurnCold(13, 7), Fault::Restart(15, 4)];
    let scenario = Scenario { faults, seconds: 24, ..Scenario::steady(0.6) };

    let (production, fixed) = (run(&scenario, Policy::PRODUCTION), run(&scenario, FIXED));

    assert!(production.attainment() >= 0.995, "{}", production.attainment());
    assert!(production.cold_load.0 <= production.cold_load.1, "{:?}", production.cold_load);
    assert!(fixed.cold_load.0 > fixed.cold_load.1, "{:?}", fixed.cold_load);
}
