//! Generates random requests.

use super::backend::Work;
use super::{DEADLINE, Scenario, WRITER};
use limpetmux::core::time::Moment;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Number of distinct prompt prefixes.
const PREFIX_COUNT: u64 = 200;
/// Share of requests and fair-share weight of each workspace.
pub(super) const WORKSPACES: [(f64, u32); 5] = [(0.5, 2), (0.2, 2), (0.15, 1), (0.1, 1), (0.05, 1)];
/// Share of requests with high priority.
const HIGH_PRIORITY_SHARE: f64 = 0.1;
/// Work of a `write` call until the first output, in seconds, without and with a cached prefix.
const PREFILL_S: (f64, f64) = (0.060, 0.010);
/// Range of the work of a `write` call after the first output, in seconds.
const DECODE_S: (f64, f64) = (0.100, 0.500);

/// The random properties of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) entry: usize,
    pub(super) workspace: usize,
    pub(super) priority: u8,
    pub(super) deadline: Moment,
    /// Work of each stage.
    pub(super) works: [Work; 2],
}

/// Returns the requests per second at load 1, without cache hits.
pub(super) fn capacity(scenario: &Scenario) -> f64 {
    let writers = (scenario.hosts.0 * super::route::ZONES.len()) as f64;
    let mean_work_s = PREFILL_S.0 + (DECODE_S.0 + DECODE_S.1) / 2.0;
    writers * f64::from(WRITER.capacity) / mean_work_s
}

/// Draws the time until the next arrival.
pub(super) fn interarrival_time(scenario: &Scenario, now: Moment, rng: &mut Pcg64Mcg) -> Duration {
    let second = now.as_millis() / 1_000;
    let burst = scenario.burst.filter(|(from, to, _)| (*from..*to).contains(&second));
    let rate = capacity(scenario) * scenario.load * burst.map_or(1.0, |(.., factor)| factor);
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

/// Draws a request.
pub(super) fn draw_request(scenario: &Scenario, now: Moment, rng: &mut Pcg64Mcg) -> Arrival {
    // The square makes some prefixes far more popular than others.
    let popularity: f64 = rng.random();
    let prefix = (popularity * popularity * PREFIX_COUNT as f64) as u64;
    let write = Work {
        prefill: PREFILL_S.0,
        cached: PREFILL_S.1,
        decode: rng.random_range(DECODE_S.0..DECODE_S.1),
        prefix,
    };
    let encode = rng.random_range(scenario.encode_s.0..scenario.encode_s.1);
    Arrival {
        entry: rng.random_range(0..scenario.entries),
        workspace: draw_workspace(rng),
        priority: u8::from(rng.random_bool(HIGH_PRIORITY_SHARE)),
        deadline: now + DEADLINE,
        works: [Work { prefill: encode, cached: encode, decode: 0.0, prefix }, write],
    }
}

fn draw_workspace(rng: &mut Pcg64Mcg) -> usize {
    let mut remaining: f64 = rng.random();
    for (index, (share, _)) in WORKSPACES.iter().enumerate() {
        remaining -= share;
        if remaining < 0.0 {
            return index;
        }
    }
    0
}
