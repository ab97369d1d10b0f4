//! Simulates one day of demand on one pool of hosts.

use super::policy::Policy;
use limpetmux::core::planner::{Demand, DemandTracker, HostPower};
use limpetmux::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Interval between two decisions.
pub const STEP: Duration = Duration::from_secs(15);
/// Concurrent calls of a warm host.
pub const CONCURRENCY: u32 = 16;
/// Time from waking a host until it is warm.
pub const WARMUP: Duration = Duration::from_secs(90);
const ZONES: u32 = 4;
/// Steps in a day.
const STEPS_PER_DAY: u64 = 24 * 3600 / 15;
/// Steps in the five-minute window of the worst attainment.
const WINDOW_STEPS: u64 = 300 / 15;
/// Peak of the daily curve, as a share of the pool's capacity.
const PEAK_SHARE: f64 = 0.6;
/// Time constant of the demand tracker.
const SMOOTHING: Duration = Duration::from_secs(60);

/// The demand on a pool over one day.
pub struct Day {
    hosts: u32,
    calls: Vec<f64>,
}

/// The result of a policy over one day.
#[derive(Clone, Debug, Default)]
pub struct DayResult {
    demanded: f64,
    served: f64,
    /// Seconds in which hosts were awake or waking, summed over hosts.
    pub cost: f64,
    /// The number of host wakes.
    pub wakes: u64,
    /// The lowest attainment of any five-minute window.
    pub worst: f64,
}

impl DayResult {
    /// Returns the share of demanded call-seconds that warm hosts could run.
    pub fn attainment(&self) -> f64 {
        self.served / self.demanded.max(1.0)
    }
}

#[derive(Clone, Copy)]
struct HostState {
    awake: bool,
    warm_at: Moment,
}

impl Day {
    /// Generates a random day for a pool of hosts.
    pub fn new(seed: u64, hosts: u32) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let peak = f64::from(hosts * CONCURRENCY) * PEAK_SHARE;
        let mut burst = 0.0_f64;
        let calls = (0..STEPS_PER_DAY)
            .map(|step| {
                let phase = step as f64 / STEPS_PER_DAY as f64 * std::f64::consts::TAU;
                let base = peak * (0.15 + 0.85 * (0.5 - 0.5 * phase.cos()).powi(2));
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
    pub fn run(&self, mut policy: Policy) -> DayResult {
        let awake = HostState { awake: true, warm_at: Moment::ZERO };
        let mut hosts = vec![awake; self.hosts as usize];
        let mut tracker = DemandTracker::new(SMOOTHING);
        let mut result = DayResult { worst: 1.0, ..DayResult::default() };
        let mut recent = Vec::new();
        for (step, &calls) in self.calls.iter().enumerate() {
            let now = Moment::ZERO + STEP * step as u32;
            tracker.observe(now, calls);
            let powers = host_powers(&hosts, step as u64);
            decide(&mut policy, now, &powers, tracker.demand(), &mut hosts, &mut result);
            account(&powers, &hosts, now, calls, &mut result, &mut recent);
        }
        result
    }
}

/// Returns whether zone 0 is out of service: for one hour from the peak.
fn zone_out(step: u64) -> bool {
    (STEPS_PER_DAY / 2..STEPS_PER_DAY / 2 + 240).contains(&step)
}

fn host_powers(hosts: &[HostState], step: u64) -> Vec<HostPower> {
    let power = |(i, h): (usize, &HostState)| HostPower {
        host: HostKey(i as u32),
        zone: ZoneKey((i as u32 % ZONES) as u16),
        awake: h.awake,
        usable: !(zone_out(step) && (i as u32).is_multiple_of(ZONES)),
    };
    hosts.iter().enumerate().map(power).collect()
}

fn decide(
    policy: &mut Policy,
    now: Moment,
    powers: &[HostPower],
    demand: Demand,
    hosts: &mut [HostState],
    result: &mut DayResult,
) {
    let plan = policy.decide(now, powers, demand);
    for host in plan.sleep {
        hosts[host.0 as usize].awake = false;
    }
    for host in plan.wake {
        hosts[host.0 as usize] = HostState { awake: true, warm_at: now + WARMUP };
        result.wakes += 1;
    }
}

fn account(
    powers: &[HostPower],
    hosts: &[HostState],
    now: Moment,
    calls: f64,
    result: &mut DayResult,
    recent: &mut Vec<(f64, f64)>,
) {
    let warm = powers.iter().zip(hosts).filter(|(p, h)| p.usable && h.awake && h.warm_at <= now);
    let capacity = f64::from(warm.count() as u32 * CONCURRENCY);
    let served = calls.min(capacity);
    result.demanded += calls;
    result.served += served;
    result.cost += hosts.iter().filter(|h| h.awake).count() as f64 * STEP.as_secs_f64();
    recent.push((served, calls));
    if recent.len() as u64 == WINDOW_STEPS {
        let (served, calls) = recent.iter().fold((0.0, 0.0), |a, r| (a.0 + r.0, a.1 + r.1));
        result.worst = result.worst.min(served / calls.max(1.0));
        recent.clear();
    }
}
