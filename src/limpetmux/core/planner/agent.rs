//! The planner duty of one node: log records, ticks and load samples in, actions out.
//!
//! Every node runs an agent. It folds the duties stream, competes for the lease, and while it holds
//! the lease turns load samples into plans. An agent never acts on a plan that it has not read back
//! from the log, so a plan that lost its lease on the way wakes nothing.

use super::duty::{DutyFold, DutyRecord, DutyVerdict, PlanDelta};
use super::lease::{LeaseClock, LeaseState};
use super::plan::PlannerLimits;
use super::pools::{Pools, Round};
use super::samples::Samples;
use crate::core::keys::HostKey;
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
    /// Ask the hosts of [`Agent::probes`] for their load and pass the answers to
    /// [`Agent::on_loads`].
    Sample,
    /// Switch a host on under a fencing number.
    Wake(String, Offset),
}

/// The planner duty of one node.
#[derive(Clone, Debug)]
pub struct Agent {
    options: AgentOptions,
    fold: DutyFold,
    clock: LeaseClock,
    pools: Pools,
    samples: Samples,
    attempt: Option<Moment>,
    snapshot: Offset,
}

impl Agent {
    /// Creates an agent; `first` is the first offset that the duties stream keeps.
    pub fn new(options: AgentOptions, first: Offset) -> Self {
        let clock = LeaseClock::new(options.term, options.margin);
        let pools = Pools::new(options.window, options.limits);
        Self {
            options,
            fold: DutyFold::new(first),
            clock,
            pools,
            samples: Samples::default(),
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

    /// Returns the hosts to ask for their load in this round.
    pub fn probes(&self, view: &View, usable: &BTreeSet<HostKey>) -> Vec<HostKey> {
        self.samples.choose(view, &self.awake(view, usable))
    }

    /// Turns the answers of a round into the next plan, if this node holds the lease; `None` stands
    /// for a host that was asked and gave no answer.
    ///
    /// A usable host that the plan has awake but that gave no answer is woken again: the order may
    /// have been lost, or the host may have been replaced.
    pub fn on_loads(
        &mut self,
        now: Moment,
        view: &View,
        answers: &BTreeMap<HostKey, Option<LoadSample>>,
        usable: &BTreeSet<HostKey>,
    ) -> Vec<AgentAction> {
        let LeaseState::Held(fence) = self.lease(now) else { return Vec::new() };
        let awake = self.awake(view, usable);
        self.samples.record(now, view, &awake, answers);
        let samples = &self.samples;
        let delta =
            self.pools.plan(Round { now, view, asleep: self.fold.asleep(), usable, samples });
        let silent = answers.iter().filter(|(host, load)| load.is_none() && awake.contains(host));
        let mut actions: Vec<AgentAction> = silent
            .take(self.options.limits.waking)
            .map(|(host, _)| AgentAction::Wake(view.hosts[*host].name.to_string(), fence))
            .collect();
        if !delta.is_empty() {
            actions.push(AgentAction::Append(DutyRecord::Plan { fence, delta }));
        }
        actions
    }

    /// Returns the usable hosts that the accepted plan has awake.
    fn awake(&self, view: &View, usable: &BTreeSet<HostKey>) -> BTreeSet<HostKey> {
        let asleep = self.fold.asleep();
        let is_awake = |host: &&HostKey| !asleep.contains(view.hosts[**host].name.as_str());
        usable.iter().filter(is_awake).copied().collect()
    }
}
