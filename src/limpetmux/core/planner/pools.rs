//! Plans all pools in one round; the pools share the weight store.

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
    pools: BTreeMap<Name, Pool>,
    weights: WeightStore,
}

/// The state of all hosts in one planning round.
#[derive(Clone, Copy, Debug)]
pub(super) struct Round<'a> {
    pub(super) now: Moment,
    pub(super) view: &'a View,
    /// The hosts that are asleep in the accepted plan.
    pub(super) asleep: &'a BTreeSet<String>,
    /// The hosts that are declared to run in a serving zone.
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
        Self { window, limits, pools: BTreeMap::new(), weights: WeightStore::default() }
    }

    /// Plans every pool, first those that lack the largest share of their needed hosts.
    pub(super) fn plan(&mut self, round: Round<'_>) -> PlanDelta {
        let services = round.view.services.keys();
        let mut by_shortage: Vec<(f64, ServiceKey, Vec<HostPower>)> = services
            .map(|service| {
                let hosts = round.hosts(service);
                (self.observe(round, service, &hosts), service, hosts)
            })
            .collect();
        by_shortage.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let mut delta = PlanDelta::default();
        for (_, service, hosts) in by_shortage {
            self.plan_pool(round, service, &hosts, &mut delta);
        }
        delta
    }

    /// Records the demand for a service; returns the share of the needed hosts that are not awake.
    fn observe(&mut self, round: Round<'_>, service: ServiceKey, hosts: &[HostPower]) -> f64 {
        let row = &round.view.services[service];
        let (window, limits) = (self.window, self.limits);
        let pool = self.pools.entry(row.name.clone()).or_insert_with(|| Pool {
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
        let fetches_weights = round.view.services[service].spec.model.is_some();
        let max_wakes =
            if fetches_weights { self.weights.free_slots(round.now) } else { usize::MAX };
        let Some((pool, input)) = self.input(round, service, hosts) else { return };
        let plan = pool.planner.plan_within(round.now, &input, max_wakes);
        if fetches_weights {
            self.weights.reserve(round.now, plan.wake.len());
        }
        let name = |h: HostKey| round.view.hosts[h].name.to_string();
        delta.wake.extend(plan.wake.into_iter().map(name));
        delta.sleep.extend(plan.sleep.into_iter().map(name));
    }

    /// Returns a pool and the input of its planner.
    fn input<'a>(
        &mut self,
        round: Round<'_>,
        service: ServiceKey,
        hosts: &'a [HostPower],
    ) -> Option<(&mut Pool, PlanInput<'a>)> {
        let row = &round.view.services[service];
        let queue_time = self.weights.queue_time(round.now);
        let fetch_delay = if row.spec.model.is_some() { queue_time } else { Duration::ZERO };
        let pool = self.pools.get_mut(&row.name)?;
        let input = PlanInput {
            hosts,
            demand: pool.demand.demand(),
            concurrency: row.spec.concurrency,
            warmup: row.spec.warmup + fetch_delay,
            floor: row.spec.floor as usize,
        };
        Some((pool, input))
    }
}
