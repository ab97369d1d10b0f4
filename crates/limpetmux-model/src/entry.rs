//! Simulates an entry: its routing and budgets, and the state of requests.

use super::arrivals::{Arrival, WORKSPACES};
use super::route::HostSelector;
use super::{Policy, Scenario};
use limpetmux::core::admission::{FlowId, Offer};
use limpetmux::core::budget::{Retry, RetryBudget, StageId, StageTimes, TimesError};
use limpetmux::core::config::Name;
use limpetmux::core::keys::{HostKey, ServiceKey};
use limpetmux::core::refusal::{Refusal, RefusalCode};
use limpetmux::core::routing::{Pick, Query};
use limpetmux::core::time::Moment;
use limpetmux::core::view::View;
use limpetmux_test_support::config::name;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of retries of one stage of one request.
const MAX_RETRIES: u32 = 3;

/// The services and stage ids of the pipeline, by stage.
#[derive(Clone, Debug)]
pub(super) struct Pipeline {
    pub(super) services: [(ServiceKey, Name); 2],
    pub(super) stages: [StageId; 2],
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) arrived_at: Moment,
    pub(super) stage: usize,
    retries: u32,
    exclude: Vec<HostKey>,
    pub(super) attempt: Option<usize>,
    /// The hedge: a second attempt at the stage, sent while the first one is running.
    pub(super) hedge: Option<usize>,
    pub(super) open: bool,
}

impl Request {
    pub(super) fn new(now: Moment, arrival: Arrival) -> Self {
        Self {
            arrival,
            arrived_at: now,
            stage: 0,
            retries: 0,
            exclude: Vec::new(),
            attempt: None,
            hedge: None,
            open: true,
        }
    }

    pub(super) fn flow(&self) -> FlowId {
        FlowId(self.arrival.workspace as u64)
    }

    /// Excludes a host from further attempts at this stage.
    pub(super) fn exclude_host(&mut self, host: HostKey) {
        self.exclude.push(host);
    }

    /// Moves to the next stage; returns `false` after the last one.
    pub(super) fn advance(&mut self) -> bool {
        self.stage += 1;
        self.retries = 0;
        self.exclude.clear();
        self.stage < self.arrival.works.len()
    }
}

/// A simulated entry.
pub(super) struct Entry {
    policy: Policy,
    pub(super) selector: HostSelector,
    pub(super) view: Rc<View>,
    pub(super) times: StageTimes,
    retries: RetryBudget,
    pub(super) rng: Pcg64Mcg,
}

impl Entry {
    pub(super) fn new(
        scenario: &Scenario,
        policy: Policy,
        index: usize,
        view: Rc<View>,
    ) -> Result<Self, TimesError> {
        let seed = scenario.seed.wrapping_mul(1_000).wrapping_add(index as u64 + 1);
        Ok(Self {
            policy,
            selector: HostSelector::new(policy, index, view.hosts.len()),
            view,
            times: StageTimes::new()?,
            retries: RetryBudget::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        })
    }

    /// Refuses a request that cannot finish within its deadline.
    pub(super) fn check_deadline(
        &mut self,
        now: Moment,
        request: &Request,
        pipeline: &Pipeline,
    ) -> Result<(), Refusal> {
        if !self.policy.budget {
            return Ok(());
        }
        self.times.check(now, request.arrival.deadline, &pipeline.stages)
    }

    /// Records the first attempt at a stage in the retry budget.
    pub(super) fn record_first_attempt(&mut self, request: &Request, pipeline: &Pipeline) {
        self.retries.count_first(request.flow(), &pipeline.services[request.stage].1);
    }

    /// Chooses a host for the request's stage.
    pub(super) fn pick(
        &mut self,
        now: Moment,
        request: &Request,
        pipeline: &Pipeline,
    ) -> Option<Pick> {
        let service = pipeline.services[request.stage].0;
        let affinity = (request.stage == 1).then(|| request.arrival.works[1].prefix);
        let query = Query { service, affinity, exclude: &request.exclude };
        let view = Rc::clone(&self.view);
        self.selector.pick(now, &view, query, &mut self.rng)
    }

    /// Returns the offer to send to the sidecar.
    pub(super) fn offer(&mut self, now: Moment, request: &Request, pipeline: &Pipeline) -> Offer {
        let deadline = request.arrival.deadline;
        let later_stages = &pipeline.stages[request.stage + 1..];
        let deadline = if self.policy.budget {
            self.times.stage_deadline(now, deadline, later_stages)
        } else {
            deadline
        };
        let (flow, weight) = (request.flow(), WORKSPACES[request.arrival.workspace].1);
        Offer { flow, weight, priority: request.arrival.priority, work: 1, deadline }
    }

    /// Returns the delay after which to hedge the first attempt, if the stage is hedged.
    pub(super) fn hedge_after(
        &mut self,
        now: Moment,
        request: &Request,
        pipeline: &Pipeline,
    ) -> Option<Duration> {
        let hedged = self.policy.hedge && request.stage == 0;
        hedged.then(|| self.times.hedge_after(now, pipeline.stages[0])).flatten()
    }

    /// Spends the retry budget on a hedge; returns whether the budget allows it.
    pub(super) fn may_hedge(&mut self, request: &Request, pipeline: &Pipeline) -> bool {
        let service = &pipeline.services[request.stage].1;
        self.retries.spend(request.flow(), service) == Retry::Allowed
    }

    /// Excludes the host of a refused or failed attempt; returns whether the stage may be retried.
    pub(super) fn may_retry(
        &mut self,
        request: &mut Request,
        pipeline: &Pipeline,
        host: HostKey,
        code: RefusalCode,
    ) -> bool {
        request.exclude_host(host);
        request.retries += 1;
        if request.retries > MAX_RETRIES {
            return false;
        }
        if !self.policy.budget {
            return true;
        }
        let service = &pipeline.services[request.stage].1;
        code != RefusalCode::Deadline
            && self.retries.spend(request.flow(), service) == Retry::Allowed
    }
}

/// Returns the services and stage ids of the pipeline in a view.
pub(super) fn pipeline(view: &View) -> Option<Pipeline> {
    let row = &view.pipelines[view.pipeline("summary")?];
    let service = |i: usize| {
        let key = row.stages[i].service;
        (key, view.services[key].name.clone())
    };
    let stage_id = |i: usize| StageId::of(&name("summary"), &row.stages[i].name);
    Some(Pipeline { services: [service(0), service(1)], stages: [stage_id(0), stage_id(1)] })
}
