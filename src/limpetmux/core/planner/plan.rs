//! The next plan for one service, from its demand and the state of its hosts.
//!
//! Hosts are woken at once, for the demand expected after the warm-up time. Hosts are put to sleep
//! only down to the greatest need within the hold time and only a bounded share of the pool at
//! once, so neither noise nor a short dip removes capacity that only a cold start could restore.

use super::demand::Demand;
use crate::core::keys::{HostKey, ZoneKey};
use crate::core::time::Moment;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The state of one host for the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostPower {
    /// The host.
    pub host: HostKey,
    /// The availability zone of the host.
    pub zone: ZoneKey,
    /// Whether the host is awake in the accepted plan.
    pub awake: bool,
    /// Whether the host answers and may take work: declared running, zone serving, not leaving.
    pub usable: bool,
}

/// The bounds within which a pool is planned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerLimits {
    /// The share of the awake concurrency that demand should fill, above 0 and at most 1.
    pub target_load: f64,
    /// A pool keeps as many hosts awake as it needed at any time within this period.
    pub hold_time: Duration,
    /// The most hosts of one pool that may be waking at once.
    pub max_waking: usize,
    /// The largest share of a pool's awake hosts that one plan puts to sleep.
    pub max_shrink: f64,
    /// The number of hosts kept awake beyond the demand.
    pub spare_hosts: usize,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self {
            target_load: 0.7,
            hold_time: Duration::from_secs(300),
            max_waking: 4,
            max_shrink: 0.2,
            spare_hosts: 1,
        }
    }
}

/// The current state of one service for the planner.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// The hosts of the service.
    pub hosts: &'a [HostPower],
    /// The demand for the service.
    pub demand: Demand,
    /// The number of calls that a warm backend server runs at once.
    pub concurrency: u32,
    /// The time from wake to warm.
    pub warmup: Duration,
    /// The least number of hosts kept awake.
    pub floor: usize,
}

/// The planner's decision for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolPlan {
    /// Hosts to wake now.
    pub wake: Vec<HostKey>,
    /// Hosts to put to sleep now.
    pub sleep: Vec<HostKey>,
}

/// Plans one service over time.
#[derive(Clone, Debug)]
pub struct Planner {
    limits: PlannerLimits,
    /// Needs within the hold time that no later need exceeds.
    recent_needs: VecDeque<(Moment, usize)>,
    /// When the first plan was made or hosts were last put to sleep.
    hold_start: Option<Moment>,
    /// Hosts that were woken and are not warm yet, with the time at which each will be.
    warm_at: BTreeMap<HostKey, Moment>,
}

impl Planner {
    /// Creates a planner without history.
    pub fn new(limits: PlannerLimits) -> Self {
        Self { limits, recent_needs: VecDeque::new(), hold_start: None, warm_at: BTreeMap::new() }
    }

    /// Returns the hosts to wake and to put to sleep.
    pub fn plan(&mut self, now: Moment, input: &PlanInput<'_>) -> PoolPlan {
        self.plan_within(now, input, usize::MAX)
    }

    /// Like [`Planner::plan`], but wakes at most `max_wakes` hosts.
    pub fn plan_within(
        &mut self,
        now: Moment,
        input: &PlanInput<'_>,
        max_wakes: usize,
    ) -> PoolPlan {
        self.warm_at.retain(|_, warm_at| *warm_at > now);
        let awake: Vec<&HostPower> = input.hosts.iter().filter(|h| h.awake && h.usable).collect();
        let needed = self.needed(input);
        let peak = self.peak(now, needed);
        if awake.len() < needed {
            let wake = self.choose_wakes(now, input, (needed - awake.len()).min(max_wakes));
            return PoolPlan { wake, sleep: Vec::new() };
        }
        let sleep = self.choose_sleeps(now, &awake, peak);
        PoolPlan { wake: Vec::new(), sleep }
    }

    /// Returns the share of the needed hosts that are not awake.
    pub fn shortage(&self, input: &PlanInput<'_>) -> f64 {
        let awake = input.hosts.iter().filter(|h| h.awake && h.usable).count();
        let needed = self.needed(input);
        needed.saturating_sub(awake) as f64 / needed.max(1) as f64
    }

    /// Adds the current need and returns the greatest one within the hold time.
    fn peak(&mut self, now: Moment, needed: usize) -> usize {
        let hold = self.limits.hold_time;
        self.hold_start.get_or_insert(now);
        while self.recent_needs.back().is_some_and(|(_, n)| *n <= needed) {
            self.recent_needs.pop_back();
        }
        self.recent_needs.push_back((now, needed));
        while self.recent_needs.front().is_some_and(|(at, _)| now.since(*at) > hold) {
            self.recent_needs.pop_front();
        }
        self.recent_needs.front().map_or(needed, |(_, n)| *n)
    }

    fn needed(&self, input: &PlanInput<'_>) -> usize {
        let usable = input.hosts.iter().filter(|h| h.usable).count();
        let host_capacity = f64::from(input.concurrency) * self.limits.target_load;
        let busy_hosts = (input.demand.forecast(input.warmup) / host_capacity).ceil();
        let busy_hosts = if busy_hosts.is_finite() { busy_hosts as usize } else { usable };
        busy_hosts.saturating_add(self.limits.spare_hosts).max(input.floor).min(usable)
    }

    fn choose_wakes(&mut self, now: Moment, input: &PlanInput<'_>, missing: usize) -> Vec<HostKey> {
        let max_wakes = self.limits.max_waking.saturating_sub(self.warm_at.len());
        let mut per_zone: BTreeMap<ZoneKey, usize> = BTreeMap::new();
        for host in input.hosts.iter().filter(|h| h.awake && h.usable) {
            *per_zone.entry(host.zone).or_default() += 1;
        }
        let mut asleep: Vec<&HostPower> =
            input.hosts.iter().filter(|h| !h.awake && h.usable).collect();
        let mut wake = Vec::new();
        while wake.len() < missing.min(max_wakes) {
            let hosts_awake =
                |h: &&&HostPower| (per_zone.get(&h.zone).copied().unwrap_or_default(), h.host);
            let Some(host) = asleep.iter().min_by_key(hosts_awake).map(|h| **h) else { break };
            asleep.retain(|h| h.host != host.host);
            *per_zone.entry(host.zone).or_default() += 1;
            self.warm_at.insert(host.host, now + input.warmup);
            wake.push(host.host);
        }
        wake
    }

    fn choose_sleeps(&mut self, now: Moment, awake: &[&HostPower], peak: usize) -> Vec<HostKey> {
        let is_hold_over =
            self.hold_start.is_some_and(|from| now.since(from) >= self.limits.hold_time);
        if awake.len() <= peak || !is_hold_over {
            return Vec::new();
        }
        self.hold_start = Some(now);
        let max_sleeps = ((awake.len() as f64 * self.limits.max_shrink) as usize).max(1);
        choose_evenly(awake, max_sleeps.min(awake.len() - peak))
    }
}

/// Chooses hosts from the zones with the most hosts awake, so that zones stay balanced.
fn choose_evenly(awake: &[&HostPower], count: usize) -> Vec<HostKey> {
    let mut zones: BTreeMap<ZoneKey, Vec<HostKey>> = BTreeMap::new();
    for host in awake {
        zones.entry(host.zone).or_default().push(host.host);
    }
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let largest = zones.iter_mut().max_by_key(|(zone, hosts)| (hosts.len(), **zone));
        let Some(host) = largest.and_then(|(_, hosts)| hosts.pop()) else { break };
        chosen.push(host);
    }
    chosen
}
