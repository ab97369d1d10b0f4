//! The next plan for one service, from its demand and the state of its hosts.
//!
//! Waking is immediate and looks ahead by the time to become warm. Sleeping goes down to the greatest
//! need within the hold time and takes a bounded share of the pool at once, so neither noise nor a
//! short dip removes capacity that a cold start would be needed to bring back.

use super::demand::Demand;
use crate::core::keys::{HostKey, ZoneKey};
use crate::core::time::Moment;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What the planner knows about one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostPower {
    /// The host.
    pub host: HostKey,
    /// The availability zone of the host.
    pub zone: ZoneKey,
    /// Whether the accepted plan has the host awake.
    pub awake: bool,
    /// Whether the host answers and may take work: declared running, zone serving, not leaving.
    pub usable: bool,
}

/// The bounds within which a pool is planned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerLimits {
    /// The share of the awake concurrency that demand should fill, above 0 and at most 1.
    pub target: f64,
    /// The time over which the greatest need bounds what is put to sleep.
    pub hold: Duration,
    /// The most hosts of one pool that may be waking at once.
    pub waking: usize,
    /// The largest share of a pool's awake hosts that one plan puts to sleep.
    pub shrink: f64,
    /// The number of hosts kept awake beyond the demand.
    pub spare: usize,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self { target: 0.7, hold: Duration::from_secs(300), waking: 4, shrink: 0.2, spare: 1 }
    }
}

/// One service as the planner sees it now.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// The hosts of the service.
    pub hosts: &'a [HostPower],
    /// The demand for the service.
    pub demand: Demand,
    /// The calls that a warm backend server runs at once.
    pub concurrency: u32,
    /// The time from wake to warm.
    pub warmup: Duration,
    /// The least number of hosts kept awake.
    pub floor: usize,
}

/// The planner's decision for one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Hosts to wake now.
    pub wake: Vec<HostKey>,
    /// Hosts to put to sleep now.
    pub sleep: Vec<HostKey>,
}

/// Plans one service over time.
#[derive(Clone, Debug)]
pub struct Planner {
    limits: PlannerLimits,
    recent: VecDeque<(Moment, usize)>,
    watched: Option<Moment>,
    waking: BTreeMap<HostKey, Moment>,
}

impl Planner {
    /// Creates a planner without history.
    pub fn new(limits: PlannerLimits) -> Self {
        Self { limits, recent: VecDeque::new(), watched: None, waking: BTreeMap::new() }
    }

    /// Decides which hosts to wake and to put to sleep.
    pub fn plan(&mut self, now: Moment, input: &PlanInput<'_>) -> Pool {
        self.plan_within(now, input, usize::MAX)
    }

    /// As [`Planner::plan`], but wakes no more hosts than the weight store has room for.
    pub fn plan_within(&mut self, now: Moment, input: &PlanInput<'_>, room: usize) -> Pool {
        self.waking.retain(|_, until| *until > now);
        let awake: Vec<&HostPower> = input.hosts.iter().filter(|h| h.awake && h.usable).collect();
        let needed = self.needed(input);
        let peak = self.peak(now, needed);
        if awake.len() < needed {
            let wake = self.choose_wakes(now, input, (needed - awake.len()).min(room));
            return Pool { wake, sleep: Vec::new() };
        }
        let sleep = self.choose_sleeps(now, &awake, peak);
        Pool { wake: Vec::new(), sleep }
    }

    /// Returns the share of the needed hosts that is not awake.
    pub fn shortage(&self, input: &PlanInput<'_>) -> f64 {
        let awake = input.hosts.iter().filter(|h| h.awake && h.usable).count();
        let needed = self.needed(input);
        needed.saturating_sub(awake) as f64 / needed.max(1) as f64
    }

    /// Returns the greatest need within the hold time, after adding the current one.
    fn peak(&mut self, now: Moment, needed: usize) -> usize {
        let hold = self.limits.hold;
        self.watched.get_or_insert(now);
        while self.recent.back().is_some_and(|(_, n)| *n <= needed) {
            self.recent.pop_back();
        }
        self.recent.push_back((now, needed));
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) > hold) {
            self.recent.pop_front();
        }
        self.recent.front().map_or(needed, |(_, n)| *n)
    }

    fn needed(&self, input: &PlanInput<'_>) -> usize {
        let usable = input.hosts.iter().filter(|h| h.usable).count();
        let each = f64::from(input.concurrency) * self.limits.target;
        let busy = (input.demand.after(input.warmup) / each).ceil();
        let busy = if busy.is_finite() { busy as usize } else { usable };
        busy.saturating_add(self.limits.spare).max(input.floor).min(usable)
    }

    fn choose_wakes(&mut self, now: Moment, input: &PlanInput<'_>, missing: usize) -> Vec<HostKey> {
        let room = self.limits.waking.saturating_sub(self.waking.len());
        let mut per_zone: BTreeMap<ZoneKey, usize> = BTreeMap::new();
        for host in input.hosts.iter().filter(|h| h.awake && h.usable) {
            *per_zone.entry(host.zone).or_default() += 1;
        }
        let mut asleep: Vec<&HostPower> =
            input.hosts.iter().filter(|h| !h.awake && h.usable).collect();
        let mut wake = Vec::new();
        while wake.len() < missing.min(room) {
            let emptiest =
                |h: &&&HostPower| (per_zone.get(&h.zone).copied().unwrap_or_default(), h.host);
            let Some(next) = asleep.iter().min_by_key(emptiest).map(|h| **h) else { break };
            asleep.retain(|h| h.host != next.host);
            *per_zone.entry(next.zone).or_default() += 1;
            self.waking.insert(next.host, now + input.warmup);
            wake.push(next.host);
        }
        wake
    }

    fn choose_sleeps(&mut self, now: Moment, awake: &[&HostPower], peak: usize) -> Vec<HostKey> {
        let held = self.watched.is_some_and(|from| now.since(from) >= self.limits.hold);
        if awake.len() <= peak || !held {
            return Vec::new();
        }
        self.watched = Some(now);
        let step = ((awake.len() as f64 * self.limits.shrink) as usize).max(1);
        fullest_first(awake, step.min(awake.len() - peak))
    }
}

/// Chooses hosts from the zones that have the most hosts awake, so that zones stay even.
fn fullest_first(awake: &[&HostPower], count: usize) -> Vec<HostKey> {
    let mut zones: BTreeMap<ZoneKey, Vec<HostKey>> = BTreeMap::new();
    for host in awake {
        zones.entry(host.zone).or_default().push(host.host);
    }
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let fullest = zones.iter_mut().max_by_key(|(zone, hosts)| (hosts.len(), **zone));
        let Some(host) = fullest.and_then(|(_, hosts)| hosts.pop()) else { break };
        chosen.push(host);
    }
    chosen
}
