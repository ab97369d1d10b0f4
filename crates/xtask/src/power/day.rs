//! One day of demand for one pool, and the pool's hosts.

use super::policy::Policy;
use limpetmux::core::planner::{Demand, DemandTracker, HostPower};
use limpetmux::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// The time between two decisions.
pub const STEP: Duration = Duration::from_secs(15);
/// Calls that a warm host runs at once.
pub const CONCURRENCY: u32 = 16;
/// The time from wake to warm.
pub const WARMUP: Duration = Duration::from_secs(90);
const ZONES: u32 = 4;
const STEPS: u64 = 24 * 3600 / 15;
const WINDOW: u64 = 300 / 15;
const PEAK_SHARE: f64 = 0.6;
const SMOOTHING: Duration = Duration::from_secs(60);

/// The demand of one day.
pub struct Day {
    hosts: u32,
    calls: Vec<f64>,
}

/// What a policy achieved.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    demanded: f64,
    served: f64,
    /// Host-seconds paid for.
    pub cost: f64,
    /// The number of times that a host was woken.
    pub wakes: u64,
    /// The least attainment over five minutes.
    pub worst: f64,
}

impl Tally {
    /// Returns the share of demanded call-seconds that warm hosts could run.
    pub fn attainment(&self) -> f64 {
        self.served / self.demanded.max(1.0)
    }
}

#[derive(Clone, Copy)]
struct HostState {
    awake: bool,
    warm: Moment,
}

impl Day {
    /// Draws a day for a pool of hosts.
    pub fn new(seed: u64, hosts: u32) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let peak = f64::from(hosts * CONCURRENCY) * PEAK_SHARE;
        let mut burst = 0.0_f64;
        let calls = (0..STEPS)
            .map(|step| {
                let turn = step as f64 / STEPS as f64 * std::f64::consts::TAU;
                let base = peak * (0.15 + 0.85 * (0.5 - 0.5 * turn.cos()).powi(2));
                if rng.random_bool(0.002) {
                    burst = peak * rng.random_range(0.1..0.4);
                }
                burst *= 0.97;
                (base + burst) * rng.random_range(0.92..1.08)
            })
            .collect();
        Self { hosts, calls }
    }

    /// Runs the day under a policy.
    pub fn run(&self, mut policy: Policy) -> Tally {
        let on = HostState { awake: true, warm: Moment::ZERO };
        let mut hosts = vec![on; self.hosts as usize];
        let mut tracker = DemandTracker::new(SMOOTHING);
        let mut tally = Tally { worst: 1.0, ..Tally::default() };
        let mut recent = Vec::new();
        for (step, &calls) in self.calls.iter().enumerate() {
            let now = Moment::ZERO + STEP * step as u32;
            tracker.observe(now, calls);
            let rows = rows(&hosts, step as u64);
            decide(&mut policy, now, &rows, tracker.demand(), &mut hosts, &mut tally);
            account(&rows, &hosts, now, calls, &mut tally, &mut recent);
        }
        tally
    }
}

/// The zone that leaves at the peak, for an hour.
fn zone_out(step: u64) -> bool {
    (STEPS / 2..STEPS / 2 + 240).contains(&step)
}

fn rows(hosts: &[HostState], step: u64) -> Vec<HostPower> {
    let row = |(i, h): (usize, &HostState)| HostPower {
        host: HostKey(i as u32),
        zone: ZoneKey((i as u32 % ZONES) as u16),
        awake: h.awake,
        usable: !(zone_out(step) && (i as u32).is_multiple_of(ZONES)),
    };
    hosts.iter().enumerate().map(row).collect()
}

fn decide(
    policy: &mut Policy,
    now: Moment,
    rows: &[HostPower],
    demand: Demand,
    hosts: &mut [HostState],
    tally: &mut Tally,
) {
    let plan = policy.decide(now, rows, demand);
    for host in plan.sleep {
        hosts[host.0 as usize].awake = false;
    }
    for host in plan.wake {
        hosts[host.0 as usize] = HostState { awake: true, warm: now + WARMUP };
        tally.wakes += 1;
    }
}

fn account(
    rows: &[HostPower],
    hosts: &[HostState],
    now: Moment,
    calls: f64,
    tally: &mut Tally,
    recent: &mut Vec<(f64, f64)>,
) {
    let warm = rows.iter().zip(hosts).filter(|(r, h)| r.usable && h.awake && h.warm <= now);
    let capacity = f64::from(warm.count() as u32 * CONCURRENCY);
    let served = calls.min(capacity);
    tally.demanded += calls;
    tally.served += served;
    tally.cost += hosts.iter().filter(|h| h.awake).count() as f64 * STEP.as_secs_f64();
    recent.push((served, calls));
    if recent.len() as u64 == WINDOW {
        let (served, calls) = recent.iter().fold((0.0, 0.0), |a, r| (a.0 + r.0, a.1 + r.1));
        tally.worst = tally.worst.min(served / calls.max(1.0));
        recent.clear();
    }
}
