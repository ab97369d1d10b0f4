//! The plans of all pools in one round, and what they share: the weight store.

use super::demand::DemandTracker;
use super::duty::PlanDelta;
use super::plan::{HostPower, PlanInput, Planner, PlannerLimits};
use super::samples::Samples;
use super::weights::WeightStore;
use crate::core::config::Name;
use crate::core::keys::{HostKey, ServiceKey};
use crate::core::time::Moment;
use crate::core::view::View;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[derive(Clone, Debug)]
struct Pool {
    demand: DemandTracker,
    planner: Planner,
}

/// The demand and the planner of every pool.
#[derive(Clone, Debug)]
pub(super) struct Pools {
    window: Duration,
    limits: PlannerLimits,
    rows: BTreeMap<Name, Pool>,
    weights: WeightStore,
}

/// The hosts as one round sees them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Round<'a> {
    pub(super) now: Moment,
    pub(super) view: &'a View,
    /// The hosts that the accepted plan has asleep.
    pub(super) asleep: &'a BTreeSet<String>,
    /// The hosts that may run.
    pub(super) usable: &'a BTreeSet<HostKey>,
    pub(super) samples: &'a Samples,
}

impl Round<'_> {
    pub(super) fn is_awake(&self, host: HostKey) -> bool {
        !self.asleep.contains(self.view.hosts[host].name.as_str())
    }

    fn hosts(&self, service: ServiceKey) -> Vec<HostPower> {
        let hosts = self.view.services[service].hosts.iter();
        let power = |&host: &HostKey| HostPower {
            host,
            zone: self.view.hosts[host].zone,
            awake: self.is_awake(host),
            usable: self.usable.contains(&host),
        };
        hosts.map(power).collect()
    }
}

impl Pools {
    pub(super) fn new(window: Duration, limits: PlannerLimits) -> Self {
        Self { window, limits, rows: BTreeMap::new(), weights: WeightStore::default() }
    }

    /// Plans every pool, those that lack the largest share of their hosts first.
    pub(super) fn plan(&mut self, round: Round<'_>) -> PlanDelta {
        let services = round.view.services.keys();
        let mut turns: Vec<(f64, ServiceKey, Vec<HostPower>)> = services
            .map(|service| {
                let hosts = round.hosts(service);
                (self.observe(round, service, &hosts), service, hosts)
            })
            .collect();
        turns.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut delta = PlanDelta::default();
        for (_, service, hosts) in turns {
            self.plan_pool(round, service, &hosts, &mut delta);
        }
        delta
    }

    /// Takes in the demand for a service and returns the share of the needed hosts that is asleep.
    fn observe(&mut self, round: Round<'_>, service: ServiceKey, hosts: &[HostPower]) -> f64 {
        let row = &round.view.services[service];
        let (window, limits) = (self.window, self.limits);
        let pool = self.rows.entry(row.name.clone()).or_insert_with(|| Pool {
            demand: DemandTracker::new(window),
            planner: Planner::new(limits),
        });
        let awake: Vec<HostKey> =
            hosts.iter().filter(|h| h.awake && h.usable).map(|h| h.host).collect();
        if let Some(calls) = round.samples.calls(round.now, round.view, &awake, window) {
            pool.demand.observe(round.now, calls);
        }
        self.input(round, service, hosts).map_or(0.0, |(pool, input)| pool.planner.shortage(&input))
    }

    fn plan_pool(
        &mut self,
        round: Round<'_>,
        service: ServiceKey,
        hosts: &[HostPower],
        delta: &mut PlanDelta,
    ) {
        let fetches = round.view.services[service].spec.model.is_some();
        let room = if fetches { self.weights.room(round.now) } else { usize::MAX };
        let Some((pool, input)) = self.input(round, service, hosts) else { return };
        let plan = pool.planner.plan_within(round.now, &input, room);
        if fetches {
            self.weights.take(round.now, plan.wake.len());
        }
        let name = |h: HostKey| round.view.hosts[h].name.to_string();
        delta.wake.extend(plan.wake.into_iter().map(name));
        delta.sleep.extend(plan.sleep.into_iter().map(name));
    }

    /// Returns a pool and what its planner works with.
    fn input<'a>(
        &mut self,
        round: Round<'_>,
        service: ServiceKey,
        hosts: &'a [HostPower],
    ) -> Option<(&mut Pool, PlanInput<'a>)> {
        let row = &round.view.services[service];
        let queue = self.weights.wait(round.now);
        let fetch = if row.spec.model.is_some() { queue } else { Duration::ZERO };
        let pool = self.rows.get_mut(&row.name)?;
        let input = PlanInput {
            hosts,
            demand: pool.demand.demand(),
            concurrency: row.spec.concurrency,
            warmup: row.spec.warmup + fetch,
            floor: row.spec.floor as usize,
        };
        Some((pool, input))
    }
}
