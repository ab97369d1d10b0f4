//! The production planner and its baselines behind one type.

use super::day::{CONCURRENCY, WARMUP};
use limpetmux::core::planner::{Demand, HostPower, PlanInput, Planner, PlannerLimits, PoolPlan};
use limpetmux::prelude::*;

/// Used share of the awake hosts' capacity above which the threshold policy wakes a host.
const WAKE_UTILISATION: f64 = 0.8;
/// Used share of the awake hosts' capacity below which the threshold policy puts a host
/// to sleep.
const SLEEP_UTILISATION: f64 = 0.5;
/// Minimum number of awake hosts.
const MIN_AWAKE: usize = 2;

type DecideFn = dyn FnMut(Moment, &[HostPower], Demand) -> PoolPlan;

/// A policy that decides which hosts to wake and to put to sleep.
pub struct Policy {
    decide: Box<DecideFn>,
}

impl Policy {
    /// Keeps every host awake.
    pub fn always_on() -> Self {
        Self { decide: Box::new(|_, _, _| PoolPlan::default()) }
    }

    /// Wakes one host if more than 80% of the capacity is in use; puts one to sleep below 50%.
    pub fn threshold() -> Self {
        Self { decide: Box::new(|_, hosts, demand| threshold(hosts, demand)) }
    }

    /// Uses the production planner.
    pub fn planner() -> Self {
        let mut planner = Planner::new(PlannerLimits::default());
        let decide = move |now, hosts: &[HostPower], demand| {
            let (concurrency, warmup) = (CONCURRENCY, WARMUP);
            planner.plan(now, &PlanInput { hosts, demand, concurrency, warmup, floor: MIN_AWAKE })
        };
        Self { decide: Box::new(decide) }
    }

    /// Makes the next decision.
    pub fn decide(&mut self, now: Moment, hosts: &[HostPower], demand: Demand) -> PoolPlan {
        (self.decide)(now, hosts, demand)
    }
}

fn threshold(hosts: &[HostPower], demand: Demand) -> PoolPlan {
    let awake: Vec<&HostPower> = hosts.iter().filter(|h| h.awake && h.usable).collect();
    let capacity = awake.len() as f64 * f64::from(CONCURRENCY);
    let mut pool = PoolPlan::default();
    if demand.level > capacity * WAKE_UTILISATION {
        pool.wake.extend(hosts.iter().find(|h| !h.awake && h.usable).map(|h| h.host));
    } else if demand.level < capacity * SLEEP_UTILISATION && awake.len() > MIN_AWAKE {
        pool.sleep.extend(awake.last().map(|h| h.host));
    }
    pool
}
