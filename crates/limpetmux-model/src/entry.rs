//! An entry: routing, budgets and the state of its requests.

use super::arrivals::{Arrival, WORKSPACES};
use super::route::Finder;
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

/// Further attempts at one stage of one request.
const MAX_FURTHER: u32 = 3;

/// What the entries know of the pipeline.
#[derive(Clone, Debug)]
pub(super) struct Pipeline {
    pub(super) services: [(ServiceKey, Name); 2],
    pub(super) stages: [StageId; 2],
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) arrived: Moment,
    pub(super) stage: usize,
    further: u32,
    exclude: Vec<HostKey>,
    pub(super) attempt: Option<usize>,
    /// The second attempt beside a late first one.
    pub(super) hedge: Option<usize>,
    pub(super) open: bool,
}

impl Request {
    pub(super) fn new(now: Moment, arrival: Arrival) -> Self {
        Self {
            arrival,
            arrived: now,
            stage: 0,
            further: 0,
            exclude: Vec::new(),
            attempt: None,
            hedge: None,
            open: true,
        }
    }

    pub(super) fn flow(&self) -> FlowId {
        FlowId(self.arrival.workspace as u64)
    }

    /// Leaves a host out of further attempts at this stage.
    pub(super) fn leave_out(&mut self, host: HostKey) {
        self.exclude.push(host);
    }

    /// Moves to the next stage; returns `false` after the last one.
    pub(super) fn advance(&mut self) -> bool {
        self.stage += 1;
        self.further = 0;
        self.exclude.clear();
        self.stage < self.arrival.works.len()
    }
}

/// An entry.
pub(super) struct Entry {
    policy: Policy,
    pub(super) finder: Finder,
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
            finder: Finder::new(policy, index, view.hosts.len()),
            view,
            times: StageTimes::new()?,
            retries: RetryBudget::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        })
    }

    /// Checks whether a request can finish in time.
    pub(super) fn check(
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

    /// Counts the first attempt at a stage.
    pub(super) fn fresh(&mut self, request: &Request, pipeline: &Pipeline) {
        self.retries.fresh(request.flow(), &pipeline.services[request.stage].1);
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
        self.finder.pick(now, &view, query, &mut self.rng)
    }

    /// Returns the offer that is sent to the sidecar.
    pub(super) fn offer(&mut self, now: Moment, request: &Request, pipeline: &Pipeline) -> Offer {
        let deadline = request.arrival.deadline;
        let later = &pipeline.stages[request.stage + 1..];
        let deadline = if self.policy.budget {
            self.times.stage_deadline(now, deadline, later)
        } else {
            deadline
        };
        let (flow, weight) = (request.flow(), WORKSPACES[request.arrival.workspace].1);
        Offer { flow, weight, priority: request.arrival.priority, work: 1, deadline }
    }

    /// Returns how long to wait before a second attempt beside the first.
    pub(super) fn hedge_after(
        &mut self,
        now: Moment,
        request: &Request,
        pipeline: &Pipeline,
    ) -> Option<Duration> {
        let hedged = self.policy.hedge && request.stage == 0;
        hedged.then(|| self.times.hedge_after(now, pipeline.stages[0])).flatten()
    }

    /// Pays for a second attempt beside the first.
    pub(super) fn may_hedge(&mut self, request: &Request, pipeline: &Pipeline) -> bool {
        let service = &pipeline.services[request.stage].1;
        self.retries.spend(request.flow(), service) == Retry::Allowed
    }

    /// Returns whether a refused or failed stage may be tried again, elsewhere.
    pub(super) fn may_retry(
        &mut self,
        request: &mut Request,
        pipeline: &Pipeline,
        host: HostKey,
        code: RefusalCode,
    ) -> bool {
        request.leave_out(host);
        request.further += 1;
        if request.further > MAX_FURTHER {
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

/// Returns the pipeline of a run's configuration.
pub(super) fn pipeline(view: &View) -> Option<Pipeline> {
    let row = &view.pipelines[view.pipeline("summary")?];
    let stage = |i: usize| {
        let service = row.stages[i].service;
        (service, view.services[service].name.clone())
    };
    let id = |i: usize| StageId::of(&name("summary"), &row.stages[i].name);
    Some(Pipeline { services: [stage(0), stage(1)], stages: [id(0), id(1)] })
}
