//! The planner and its baselines behind one closure.

use super::day::{CONCURRENCY, WARMUP};
use limpetmux::core::planner::{Demand, HostPower, PlanInput, Planner, PlannerLimits, PoolPlan};
use limpetmux::prelude::*;

const WAKE_ABOVE: f64 = 0.8;
const SLEEP_BELOW: f64 = 0.5;
const FLOOR: usize = 2;

type DecideFn = dyn FnMut(Moment, &[HostPower], Demand) -> PoolPlan;

/// Decides which hosts to wake and to put to sleep.
pub struct Policy {
    decide: Box<DecideFn>,
}

impl Policy {
    /// Keeps every host awake.
    pub fn always_on() -> Self {
        Self { decide: Box::new(|_, _, _| PoolPlan::default()) }
    }

    /// Wakes one host above a use of 80% and puts one to sleep below 50%.
    pub fn threshold() -> Self {
        Self { decide: Box::new(|_, hosts, demand| threshold(hosts, demand)) }
    }

    /// Uses the system's planner.
    pub fn planner() -> Self {
        let mut planner = Planner::new(PlannerLimits::default());
        let decide = move |now, hosts: &[HostPower], demand| {
            let (concurrency, warmup) = (CONCURRENCY, WARMUP);
            planner.plan(now, &PlanInput { hosts, demand, concurrency, warmup, floor: FLOOR })
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
    if demand.level > capacity * WAKE_ABOVE {
        pool.wake.extend(hosts.iter().find(|h| !h.awake && h.usable).map(|h| h.host));
    } else if demand.level < capacity * SLEEP_BELOW && awake.len() > FLOOR {
        pool.sleep.extend(awake.last().map(|h| h.host));
    }
    pool
}
