//! Random requests.

use super::backend::Work;
use super::{DEADLINE, Scenario, WRITER};
use limpetmux::core::time::Moment;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The number of prompt prefixes in use.
const PREFIXES: u64 = 200;
/// Share of requests and fair-share weight of each workspace.
pub(super) const WORKSPACES: [(f64, u32); 5] = [(0.5, 2), (0.2, 2), (0.15, 1), (0.1, 1), (0.05, 1)];
/// The share of requests of high priority.
const URGENT: f64 = 0.1;
/// Work of a writer until the first output, in seconds, without and with the prefix in its cache.
const PREFILL_S: (f64, f64) = (0.060, 0.010);
/// The bounds of the further work of a writer, in seconds.
const REST_S: (f64, f64) = (0.100, 0.500);
/// The bounds of the work of an encoder, in seconds.
const ENCODE_S: (f64, f64) = (0.005, 0.015);

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub(super) entry: usize,
    pub(super) workspace: usize,
    pub(super) priority: u8,
    pub(super) deadline: Moment,
    /// The work of each stage.
    pub(super) works: [Work; 2],
}

/// Returns requests per second at load 1.
pub(super) fn capacity(scenario: &Scenario) -> f64 {
    let writers = (scenario.hosts.0 * super::route::ZONES.len()) as f64;
    let work = PREFILL_S.0 + (REST_S.0 + REST_S.1) / 2.0;
    writers * f64::from(WRITER.capacity) / work
}

/// Returns the time to the next arrival.
pub(super) fn gap(scenario: &Scenario, now: Moment, rng: &mut Pcg64Mcg) -> Duration {
    let second = now.as_millis() / 1_000;
    let burst = scenario.burst.filter(|(from, to, _)| (*from..*to).contains(&second));
    let rate = capacity(scenario) * scenario.load * burst.map_or(1.0, |(.., factor)| factor);
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - uniform).ln() / rate)
}

/// Draws a request.
pub(super) fn draw(scenario: &Scenario, now: Moment, rng: &mut Pcg64Mcg) -> Arrival {
    // The square makes some prefixes far more popular than others.
    let popularity: f64 = rng.random();
    let prefix = (popularity * popularity * PREFIXES as f64) as u64;
    let write = Work {
        prefill: PREFILL_S.0,
        cached: PREFILL_S.1,
        rest: rng.random_range(REST_S.0..REST_S.1),
        prefix,
    };
    let encode = rng.random_range(ENCODE_S.0..ENCODE_S.1);
    Arrival {
        entry: rng.random_range(0..scenario.entries),
        workspace: draw_workspace(rng),
        priority: u8::from(rng.random_bool(URGENT)),
        deadline: now + DEADLINE,
        works: [Work { prefill: encode, cached: encode, rest: 0.0, prefix }, write],
    }
}

fn draw_workspace(rng: &mut Pcg64Mcg) -> usize {
    let mut left: f64 = rng.random();
    for (index, (share, _)) in WORKSPACES.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return index;
        }
    }
    0
}
