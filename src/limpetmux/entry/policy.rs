//! The decisions of one entry on hosts, retries, deadlines and workspace limits, and its costs.
//!
//! The decision logic is in `core`; this module keeps its state under one lock that is held for a
//! few microseconds at a time and never across I/O.

use super::answer::StageTrailer;
use super::{EntryOptions, Fleet};
use crate::core::admission::{FlowId, Load};
use crate::core::budget::{Retry, RetryBudget, StageId, StageTimes, TimesError};
use crate::core::config::Name;
use crate::core::cost::Ledger;
use crate::core::keys::{HostKey, ServiceKey};
use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::routing::{CallOutcome, EntryPlace, Query, Router, RouterSettings, SlotKey};
use crate::core::time::Moment;
use crate::core::view::WorkspaceRow;
use crate::util::clock;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The `Retry-After` time for a workspace that reached its limit of requests in progress.
const LIMITED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// How long an unreachable host is avoided if its refusal has no retry time.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);
/// The assumed age of the load reported in a reply.
const REPLY_LOAD_AGE: Duration = Duration::ZERO;

struct State {
    router: Router,
    budget: RetryBudget,
    times: StageTimes,
    ledger: Ledger,
    flows: BTreeMap<FlowId, u32>,
    rng: Pcg64Mcg,
}

/// The decision state of one entry, shared by its requests.
pub(crate) struct Policy {
    state: Mutex<State>,
}

/// The host chosen for an attempt; the call counts as in flight there until this is dropped.
pub(super) struct PickedHost<'a> {
    pub(super) host: HostKey,
    slot: SlotKey,
    policy: &'a Policy,
    outcome: CallOutcome,
}

/// Counts a request against its workspace's limit of requests in progress until dropped.
pub(super) struct InflightPermit<'a> {
    flow: FlowId,
    policy: &'a Policy,
}

impl Policy {
    pub(super) fn new(options: &EntryOptions) -> Result<Self, TimesError> {
        let place = EntryPlace { zone: options.zone.clone(), ordinal: options.ordinal };
        let state = State {
            router: Router::new(RouterSettings::new(place)),
            budget: RetryBudget::new(),
            times: StageTimes::new()?,
            ledger: Ledger::new(),
            flows: BTreeMap::new(),
            rng: Pcg64Mcg::from_os_rng(),
        };
        Ok(Self { state: Mutex::new(state) })
    }

    /// Admits a request unless its workspace has reached its limit of requests in progress.
    pub(super) fn admit(&self, workspace: &WorkspaceRow) -> Result<InflightPermit<'_>, Refusal> {
        let flow = FlowId::of(workspace.name.as_str());
        let mut state = self.lock();
        let running = state.flows.entry(flow).or_insert(0);
        if *running >= workspace.inflight {
            return Err(Refusal::not_run(RefusalCode::Limited).retry_in(LIMITED_RETRY_AFTER));
        }
        *running += 1;
        drop(state);
        Ok(InflightPermit { flow, policy: self })
    }

    /// Refuses a request whose stages are not expected to finish by its deadline.
    pub(super) fn check_deadline(
        &self,
        deadline: Moment,
        stages: &[StageId],
    ) -> Result<(), Refusal> {
        let mut state = self.lock();
        let now = clock::now();
        state.times.check(now, deadline, stages).map_err(|refusal| {
            let need = state.times.estimate(now, stages);
            Refusal { retry_after: refusal.retry_after.or(Some(need)), ..refusal }
        })
    }

    /// Returns the moment by which a stage must finish to leave enough time for the later ones.
    pub(super) fn stage_deadline(&self, deadline: Moment, later: &[StageId]) -> Moment {
        self.lock().times.stage_deadline(clock::now(), deadline, later)
    }

    /// Returns how long to wait before a hedge, or `None` if the stage should not be hedged.
    pub(super) fn hedge_after(&self, stage: StageId) -> Option<Duration> {
        self.lock().times.hedge_after(clock::now(), stage)
    }

    /// Records the first attempt at a stage in the retry budget.
    pub(super) fn record_first_attempt(&self, flow: FlowId, service: &Name) {
        self.lock().budget.count_first(flow, service);
    }

    /// Takes a token for another attempt from the retry budget; returns whether there was one.
    pub(super) fn may_retry(&self, flow: FlowId, service: &Name) -> bool {
        self.lock().budget.spend(flow, service) == Retry::Allowed
    }

    /// Chooses the host of an attempt.
    pub(super) fn pick(
        &self,
        fleet: &Fleet,
        query: Query<'_>,
        usable: impl Fn(HostKey) -> bool,
    ) -> Option<PickedHost<'_>> {
        let mut state = self.lock();
        let State { router, rng, .. } = &mut *state;
        let pick = router.pick(clock::now(), &fleet.view, query, usable, rng)?;
        Some(PickedHost {
            host: pick.host,
            slot: pick.slot,
            policy: self,
            outcome: CallOutcome::Neutral,
        })
    }

    /// Chooses up to `count` hosts to probe, whose known load is missing or old.
    pub(super) fn probes(&self, service: ServiceKey, count: usize) -> Vec<HostKey> {
        self.lock().router.probes(clock::now(), service, count)
    }

    /// Records the load that a probed host reported.
    pub(super) fn record_load(&self, host: &Name, load: Load) {
        let mut state = self.lock();
        if let Some(slot) = state.router.slot(host) {
            state.router.report(clock::now(), slot, load, REPLY_LOAD_AGE);
        }
    }

    /// Records the time and cost of a completed stage.
    pub(super) fn record_stage(&self, names: [&Name; 3], id: StageId, stage: &StageTrailer) {
        let mut state = self.lock();
        state.times.add(clock::now(), id, stage.elapsed.saturating_sub(stage.queued));
        state.ledger.add(names, stage.busy, stage.cost);
    }

    /// Records a request whose deadline passed in a stage.
    pub(super) fn record_late(&self, names: [&Name; 3]) {
        self.lock().ledger.add_late(names);
    }

    /// Reads the cost so far by workspace, pipeline and stage.
    pub(super) fn with_ledger<R>(&self, read: impl FnOnce(&Ledger) -> R) -> R {
        read(&self.lock().ledger)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PickedHost<'_> {
    /// Records the load in the host's reply.
    pub(super) fn record_load(&self, load: Load) {
        self.policy.lock().router.report(clock::now(), self.slot, load, REPLY_LOAD_AGE);
    }

    /// Records that the stage completed.
    pub(super) fn mark_completed(&mut self) {
        self.outcome = CallOutcome::Done;
    }

    /// Records why the attempt returned no complete answer.
    ///
    /// An unreachable host counts as failed and is avoided for a while.
    pub(super) fn mark_refused(&mut self, refusal: Refusal) {
        // A retry time means that the sidecar answered and that its backend server is paused.
        let unreachable = refusal.code == RefusalCode::Unavailable && refusal.retry_after.is_none();
        if refusal.code == RefusalCode::Failed || unreachable {
            self.outcome = CallOutcome::Failed;
        }
        let after = match refusal.code {
            RefusalCode::Unavailable => refusal.retry_after.or(Some(UNREACHABLE_PAUSE)),
            _ => refusal.retry_after,
        };
        let mut state = self.policy.lock();
        state.router.refused(clock::now(), self.slot, refusal.code, after);
    }
}

impl Drop for PickedHost<'_> {
    fn drop(&mut self) {
        self.policy.lock().router.finished(clock::now(), self.slot, self.outcome);
    }
}

impl Drop for InflightPermit<'_> {
    fn drop(&mut self) {
        let mut state = self.policy.lock();
        if let Some(running) = state.flows.get_mut(&self.flow) {
            *running -= 1;
            if *running == 0 {
                state.flows.remove(&self.flow);
            }
        }
    }
}
