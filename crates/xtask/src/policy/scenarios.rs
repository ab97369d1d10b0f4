//! What happens in the runs.

use limpetmux_model::{Fault, Scenario};

/// Loads as shares of capacity.
pub const LOADS: [f64; 5] = [0.5, 0.8, 1.0, 1.5, 2.0];
/// Work of an encoder that loads eight of them as much as the writers, in seconds.
const LONG_ENCODE_S: (f64, f64) = (0.06, 0.18);
/// How many times slower the slow encoder is.
const SLOW_PARTS: u32 = 10;

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

/// One of eight encoders is slow from the end of the lead-in on.
pub fn slow_host(seed: u64) -> Vec<Scenario> {
    let faults = vec![Fault::Slow(10, 0, SLOW_PARTS)];
    let base = |load| Scenario { seed, encode: LONG_ENCODE_S, ..Scenario::steady(load) };
    [0.5, 0.8].map(|load| Scenario { faults: faults.clone(), ..base(load) }).into()
}

/// A writer restarts five times within the first minute of entries that have just started.
pub fn first_minute(seed: u64) -> Vec<Scenario> {
    let faults: Vec<Fault> = [1, 2, 3, 10, 30].map(|second| Fault::Restart(second, 0)).into();
    let base = Scenario { seed, faults, lead: 0, ..Scenario::steady(0.6) };
    [12, 72].map(|entries| Scenario { entries, ..base.clone() }).into()
}
