//! The scenarios of the policy tables.

use limpetmux_model::{Fault, Scenario};

/// Steady loads, as shares of the writers' capacity.
pub const LOADS: [f64; 5] = [0.5, 0.8, 1.0, 1.5, 2.0];
/// Work per `encode` call, in seconds, at which eight encoders are as loaded as the writers.
const LONG_ENCODE_S: (f64, f64) = (0.06, 0.18);
/// How many times slower the slow encoder is.
const SLOWDOWN: u32 = 10;

pub fn burst() -> Scenario {
    Scenario { burst: Some((20, 25, 3.0)), ..Scenario::steady(0.8) }
}

pub fn faults() -> Scenario {
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

pub fn returning_zone() -> Scenario {
    let faults = vec![Fault::ZoneOut(15, 1), Fault::ZoneBack(25, 1)];
    Scenario { faults, entries: 72, ..Scenario::steady(0.8) }
}

/// Four writers restart, one in each zone, at the beginning of a burst.
pub fn cold_bursts(seed: u64) -> Vec<Scenario> {
    let faults: Vec<Fault> = [0, 3, 6, 9].map(|writer| Fault::Restart(20, writer)).into();
    let base = Scenario { seed, faults, ..burst() };
    [3, 12, 36].map(|entries| Scenario { entries, ..base.clone() }).into()
}

/// One of eight encoders is slow from the end of the lead-in.
pub fn slow_host(seed: u64) -> Vec<Scenario> {
    let faults = vec![Fault::Slow(10, 0, SLOWDOWN)];
    let base = |load| Scenario { seed, encode_s: LONG_ENCODE_S, ..Scenario::steady(load) };
    [0.5, 0.8].map(|load| Scenario { faults: faults.clone(), ..base(load) }).into()
}

/// A writer restarts five times in the first minute after the entries start.
pub fn first_minute(seed: u64) -> Vec<Scenario> {
    let faults: Vec<Fault> = [1, 2, 3, 10, 30].map(|second| Fault::Restart(second, 0)).into();
    let base = Scenario { seed, faults, unmeasured_s: 0, ..Scenario::steady(0.6) };
    [12, 72].map(|entries| Scenario { entries, ..base.clone() }).into()
}
