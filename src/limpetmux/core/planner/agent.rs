//! The planner of one node, which turns log records, ticks and load samples into actions.
//!
//! Every node runs an agent. It folds the duties stream, competes for the lease, and while it holds
//! the lease turns load samples into plans. An agent never acts on a plan that it has not read back
//! from the log, so a plan whose lease ended before the plan was accepted wakes no host.

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
    /// The maximum drift between two nodes' monotonic clocks over one term.
    pub margin: Duration,
    /// The longest random wait before a node competes for an expired lease.
    pub jitter: Duration,
    /// The window over which demand is smoothed.
    pub window: Duration,
    /// The bounds of each pool's plan.
    pub limits: PlannerLimits,
    /// The number of records after which the holder appends a snapshot.
    pub snapshot_interval: u64,
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
            snapshot_interval: 1_000,
        }
    }
}

/// The load of one backend server as its sidecar reported it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The number of calls that run.
    pub inflight: u32,
    /// The number of calls that wait.
    pub queued: u32,
}

/// An action for the surrounding service to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// Append a record to the duties stream.
    Append(DutyRecord),
    /// Ask the hosts of [`Agent::probe_targets`] for their load and pass the answers to
    /// [`Agent::on_loads`].
    Sample,
    /// Switch a host on under a fencing number.
    Wake(String, Offset),
}

/// The planner of one node.
#[derive(Clone, Debug)]
pub struct Agent {
    options: AgentOptions,
    fold: DutyFold,
    clock: LeaseClock,
    pools: Pools,
    samples: Samples,
    attempt_at: Option<Moment>,
    last_snapshot: Offset,
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
            attempt_at: None,
            last_snapshot: first,
        }
    }

    /// Returns the folded state of the duties stream.
    pub fn fold(&self) -> &DutyFold {
        &self.fold
    }

    /// Returns the state of the lease for this node.
    pub fn lease(&self, now: Moment) -> LeaseState {
        self.clock.state(now, self.fold.lease(), &self.options.node)
    }

    /// Folds one record that was read from the log; `None` means that it could not be decoded.
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
        self.clock.record_lease(now, self.fold.lease(), &self.options.node);
        match record {
            DutyRecord::Snapshot { .. } => self.last_snapshot = self.last_snapshot.max(offset),
            DutyRecord::Plan { delta, .. } if verdict == DutyVerdict::Accepted => {
                return (verdict, self.wake_actions(now, delta));
            }
            _ => {}
        }
        (verdict, Vec::new())
    }

    fn wake_actions(&self, now: Moment, delta: &PlanDelta) -> Vec<AgentAction> {
        let LeaseState::Held(fence) = self.lease(now) else { return Vec::new() };
        delta.wake.iter().map(|host| AgentAction::Wake(host.clone(), fence)).collect()
    }

    /// Returns the actions of a regular tick; `random` is a random number from 0 to 1.
    pub fn on_tick(&mut self, now: Moment, random: f64) -> Vec<AgentAction> {
        if !self.fold.is_complete() {
            return Vec::new();
        }
        match self.lease(now) {
            LeaseState::Other => {
                self.attempt_at = None;
                Vec::new()
            }
            LeaseState::Expired => self.compete(now, random),
            LeaseState::Held(_) => self.act_as_holder(now),
        }
    }

    fn compete(&mut self, now: Moment, random: f64) -> Vec<AgentAction> {
        let wait = self.options.jitter.mul_f64(random.clamp(0.0, 1.0));
        let at = *self.attempt_at.get_or_insert(now + wait);
        if now < at {
            return Vec::new();
        }
        self.attempt_at = None;
        vec![self.grant_action(now)]
    }

    fn act_as_holder(&mut self, now: Moment) -> Vec<AgentAction> {
        self.attempt_at = None;
        let mut actions = Vec::new();
        if self.clock.is_renewal_due(now) {
            actions.push(self.grant_action(now));
        }
        if self.fold.next().0 >= self.last_snapshot.0 + self.options.snapshot_interval {
            actions.extend(self.fold.snapshot().map(AgentAction::Append));
        }
        actions.push(AgentAction::Sample);
        actions
    }

    fn grant_action(&mut self, now: Moment) -> AgentAction {
        self.clock.record_sent(now);
        let previous = self.fold.lease().map(|l| l.last);
        AgentAction::Append(DutyRecord::Grant { holder: self.options.node.clone(), previous })
    }

    /// Returns the hosts whose load is sampled in this round.
    pub fn probe_targets(&self, view: &View, usable: &BTreeSet<HostKey>) -> Vec<HostKey> {
        self.samples.choose(view, &self.awake(view, usable))
    }

    /// Derives the next plan from the answers of a round if this node holds the lease; `None` marks
    /// a host that gave no answer.
    ///
    /// A usable host that is awake in the plan but gave no answer is woken again: the order to wake
    /// may have been lost, or the host may have been replaced.
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
        let unanswered =
            answers.iter().filter(|(host, load)| load.is_none() && awake.contains(host));
        let mut actions: Vec<AgentAction> = unanswered
            .take(self.options.limits.max_waking)
            .map(|(host, _)| AgentAction::Wake(view.hosts[*host].name.to_string(), fence))
            .collect();
        if !delta.is_empty() {
            actions.push(AgentAction::Append(DutyRecord::Plan { fence, delta }));
        }
        actions
    }

    /// Returns the usable hosts that are awake in the accepted plan.
    fn awake(&self, view: &View, usable: &BTreeSet<HostKey>) -> BTreeSet<HostKey> {
        let asleep = self.fold.asleep();
        let is_awake = |host: &&HostKey| !asleep.contains(view.hosts[**host].name.as_str());
        usable.iter().filter(is_awake).copied().collect()
    }
}
