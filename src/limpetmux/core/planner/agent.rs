//! The planner duty of one node: log records, ticks and load samples in, actions out.
//!
//! Every node runs an agent. It folds the duties stream, competes for the lease, and while it holds
//! the lease turns load samples into plans. An agent never acts on a plan that it has not read back
//! from the log, so a plan that lost its lease on the way wakes nothing.

use super::demand::DemandTracker;
use super::duty::{DutyFold, DutyRecord, DutyVerdict, PlanDelta};
use super::lease::{LeaseClock, LeaseState};
use super::plan::{HostPower, PlanInput, Planner, PlannerLimits};
use crate::core::config::Name;
use crate::core::keys::{HostKey, ServiceKey};
use crate::core::revision::Offset;
use crate::core::time::Moment;
use crate::core::view::View;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Fixed parameters of an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// The name of this node's incarnation, unique across restarts.
    pub node: String,
    /// How long a lease lasts after its grant.
    pub term: Duration,
    /// The drift between two nodes' monotonic clocks over one term, at most.
    pub margin: Duration,
    /// The longest random wait before a node competes for a lapsed lease.
    pub jitter: Duration,
    /// The window over which demand is smoothed.
    pub window: Duration,
    /// The bounds of each pool's plan.
    pub limits: PlannerLimits,
    /// The number of records after which the state is repeated in a snapshot.
    pub snapshot: u64,
}

impl AgentOptions {
    /// Returns the defaults for one node incarnation.
    pub fn new(node: String) -> Self {
        Self {
            node,
            term: Duration::from_secs(30),
            margin: Duration::from_secs(2),
            jitter: Duration::from_secs(10),
            window: Duration::from_secs(30),
            limits: PlannerLimits::default(),
            snapshot: 1_000,
        }
    }
}

/// The load of one backend server as its sidecar reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Calls that run.
    pub inflight: u32,
    /// Calls that wait.
    pub queued: u32,
}

/// Something that the surrounding service has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// Append a record to the duties stream.
    Append(DutyRecord),
    /// Collect load samples and pass them to [`Agent::on_loads`].
    Sample,
    /// Switch a host on under a fencing number.
    Wake(String, Offset),
}

#[derive(Clone, Debug)]
struct PoolState {
    demand: DemandTracker,
    planner: Planner,
}

/// The planner duty of one node.
#[derive(Clone, Debug)]
pub struct Agent {
    options: AgentOptions,
    fold: DutyFold,
    clock: LeaseClock,
    pools: BTreeMap<Name, PoolState>,
    attempt: Option<Moment>,
    snapshot: Offset,
}

impl Agent {
    /// Creates an agent; `first` is the first offset that the duties stream keeps.
    pub fn new(options: AgentOptions, first: Offset) -> Self {
        let clock = LeaseClock::new(options.term, options.margin);
        Self {
            options,
            fold: DutyFold::new(first),
            clock,
            pools: BTreeMap::new(),
            attempt: None,
            snapshot: first,
        }
    }

    /// Returns the folded state of the duties stream.
    pub fn fold(&self) -> &DutyFold {
        &self.fold
    }

    /// Returns what this node may do about the lease.
    pub fn lease(&self, now: Moment) -> LeaseState {
        self.clock.state(now, self.fold.lease(), &self.options.node)
    }

    /// Folds one record that was read from the log; `None` stands for a record of another version.
    pub fn on_record(
        &mut self,
        now: Moment,
        offset: Offset,
        record: Option<&DutyRecord>,
    ) -> (DutyVerdict, Vec<AgentAction>) {
        let Some(record) = record else {
            self.fold.skip(offset);
            return (DutyVerdict::Known, Vec::new());
        };
        let verdict = self.fold.fold(offset, record);
        self.clock.observed(now, self.fold.lease(), &self.options.node);
        match record {
            DutyRecord::Snapshot { .. } => self.snapshot = self.snapshot.max(offset),
            DutyRecord::Plan { delta, .. } if verdict == DutyVerdict::Accepted => {
                return (verdict, self.wakes(now, delta));
            }
            _ => {}
        }
        (verdict, Vec::new())
    }

    fn wakes(&self, now: Moment, delta: &PlanDelta) -> Vec<AgentAction> {
        let LeaseState::Held(fence) = self.lease(now) else { return Vec::new() };
        delta.wake.iter().map(|host| AgentAction::Wake(host.clone(), fence)).collect()
    }

    /// Decides what to do at a regular tick; `draw` is a random number from 0 to 1.
    pub fn on_tick(&mut self, now: Moment, draw: f64) -> Vec<AgentAction> {
        if !self.fold.is_complete() {
            return Vec::new();
        }
        match self.lease(now) {
            LeaseState::Other => {
                self.attempt = None;
                Vec::new()
            }
            LeaseState::Lapsed => self.compete(now, draw),
            LeaseState::Held(_) => self.hold(now),
        }
    }

    fn compete(&mut self, now: Moment, draw: f64) -> Vec<AgentAction> {
        let wait = self.options.jitter.mul_f64(draw.clamp(0.0, 1.0));
        let at = *self.attempt.get_or_insert(now + wait);
        if now < at {
            return Vec::new();
        }
        self.attempt = None;
        vec![self.grant(now)]
    }

    fn hold(&mut self, now: Moment) -> Vec<AgentAction> {
        self.attempt = None;
        let mut actions = Vec::new();
        if self.clock.is_due(now) {
            actions.push(self.grant(now));
        }
        if self.fold.next().0 >= self.snapshot.0 + self.options.snapshot {
            actions.extend(self.fold.snapshot().map(AgentAction::Append));
        }
        actions.push(AgentAction::Sample);
        actions
    }

    fn grant(&mut self, now: Moment) -> AgentAction {
        self.clock.sending(now);
        let previous = self.fold.lease().map(|l| l.last);
        AgentAction::Append(DutyRecord::Grant { holder: self.options.node.clone(), previous })
    }

    /// Turns load samples into the next plan, if this node holds the lease.
    ///
    /// A usable host that the plan has awake but that gave no sample is woken again: the order may
    /// have been lost, or the host may have been replaced.
    pub fn on_loads(
        &mut self,
        now: Moment,
        view: &View,
        loads: &BTreeMap<HostKey, LoadSample>,
        usable: &BTreeSet<HostKey>,
    ) -> Vec<AgentAction> {
        let LeaseState::Held(fence) = self.lease(now) else { return Vec::new() };
        let mut delta = PlanDelta::default();
        for service in view.services.keys() {
            self.plan_service(now, view, service, loads, usable, &mut delta);
        }
        let silent = |h: &&HostKey| !loads.contains_key(h) && !self.is_asleep(view, **h);
        let name = |h: &HostKey| view.hosts[*h].name.to_string();
        let mut actions: Vec<AgentAction> = usable
            .iter()
            .filter(silent)
            .take(self.options.limits.waking)
            .map(|h| AgentAction::Wake(name(h), fence))
            .collect();
        if !delta.is_empty() {
            actions.push(AgentAction::Append(DutyRecord::Plan { fence, delta }));
        }
        actions
    }

    fn is_asleep(&self, view: &View, host: HostKey) -> bool {
        self.fold.asleep().contains(view.hosts[host].name.as_str())
    }

    fn plan_service(
        &mut self,
        now: Moment,
        view: &View,
        service: ServiceKey,
        loads: &BTreeMap<HostKey, LoadSample>,
        usable: &BTreeSet<HostKey>,
        delta: &mut PlanDelta,
    ) {
        let row = &view.services[service];
        let hosts: Vec<HostPower> = row
            .hosts
            .iter()
            .map(|&host| HostPower {
                host,
                zone: view.hosts[host].zone,
                awake: !self.is_asleep(view, host),
                usable: usable.contains(&host),
            })
            .collect();
        let calls: u32 =
            row.hosts.iter().filter_map(|h| loads.get(h)).map(|l| l.inflight + l.queued).sum();
        let options = &self.options;
        let pool = self.pools.entry(row.name.clone()).or_insert_with(|| PoolState {
            demand: DemandTracker::new(options.window),
            planner: Planner::new(options.limits),
        });
        pool.demand.observe(now, f64::from(calls));
        let plan = pool.planner.plan(
            now,
            &PlanInput {
                hosts: &hosts,
                demand: pool.demand.demand(),
                concurrency: row.spec.concurrency,
                warmup: row.spec.warmup,
                floor: row.spec.floor as usize,
            },
        );
        let name = |h: HostKey| view.hosts[h].name.to_string();
        delta.wake.extend(plan.wake.into_iter().map(name));
        delta.sleep.extend(plan.sleep.into_iter().map(name));
    }
}
