//! The decisions of one entry: hosts, retries, deadlines, shares and cost.
//!
//! The decisions themselves are in `core`; this module keeps their state under one lock that is
//! held for a few microseconds at a time and never across I/O.

use super::answer::StageTrailer;
use super::{EntryOptions, Fleet};
use crate::core::admission::{FlowId, Load};
use crate::core::budget::{Retry, RetryBudget, StageId, StageTimes, TimesError};
use crate::core::config::Name;
use crate::core::cost::Ledger;
use crate::core::keys::{HostKey, ServiceKey};
use crate::core::routing::{Ending, EntryPlace, Query, Router, RouterSettings, SlotKey};
use crate::core::time::Moment;
use crate::core::verdict::{Refusal, RefusalCode};
use crate::core::view::WorkspaceRow;
use crate::util::clock;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// When a workspace beyond its limit should come back.
const SHARE_RETRY: Duration = Duration::from_millis(200);
/// How long a host that cannot be reached is avoided if it does not say.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);
/// Reports in replies are taken to be this old.
const REPLY_AGE: Duration = Duration::ZERO;

struct State {
    router: Router,
    budget: RetryBudget,
    times: StageTimes,
    ledger: Ledger,
    flows: BTreeMap<FlowId, u32>,
    rng: Pcg64Mcg,
}

/// The decisions of one entry, shared by its requests.
pub(crate) struct Policy {
    state: Mutex<State>,
}

/// The host of an attempt; the call counts as in flight there until this is dropped.
pub(super) struct Picked<'a> {
    pub(super) host: HostKey,
    slot: SlotKey,
    policy: &'a Policy,
    ending: Ending,
}

/// A workspace's place among the requests in progress, given back when dropped.
pub(super) struct Share<'a> {
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

    /// Takes a place among the workspace's requests in progress.
    pub(super) fn enter(&self, workspace: &WorkspaceRow) -> Result<Share<'_>, Refusal> {
        let flow = FlowId::of(&workspace.name);
        let mut state = self.lock();
        let running = state.flows.entry(flow).or_insert(0);
        if *running >= workspace.inflight {
            return Err(Refusal::not_run(RefusalCode::Limited).retry_in(SHARE_RETRY));
        }
        *running += 1;
        drop(state);
        Ok(Share { flow, policy: self })
    }

    /// Refuses a request whose stages do not fit into its time.
    pub(super) fn check(&self, deadline: Moment, stages: &[StageId]) -> Result<(), Refusal> {
        let mut state = self.lock();
        let now = clock::now();
        state.times.check(now, deadline, stages).map_err(|refusal| {
            let need = state.times.need(now, stages);
            Refusal { retry_after: refusal.retry_after.or(Some(need)), ..refusal }
        })
    }

    /// Returns the moment by which a stage must be done so that the later ones still fit.
    pub(super) fn stage_deadline(&self, deadline: Moment, later: &[StageId]) -> Moment {
        self.lock().times.stage_deadline(clock::now(), deadline, later)
    }

    /// Returns how long to wait before a hedge, if the stage is worth one.
    pub(super) fn hedge_after(&self, stage: StageId) -> Option<Duration> {
        self.lock().times.hedge_after(clock::now(), stage)
    }

    /// Counts the first attempt at a stage.
    pub(super) fn fresh(&self, flow: FlowId, service: &Name) {
        self.lock().budget.fresh(flow, service);
    }

    /// Pays for a further attempt.
    pub(super) fn may_retry(&self, flow: FlowId, service: &Name) -> bool {
        self.lock().budget.spend(flow, service) == Retry::Allowed
    }

    /// Chooses the host of an attempt.
    pub(super) fn pick(
        &self,
        fleet: &Fleet,
        query: Query<'_>,
        usable: impl Fn(HostKey) -> bool,
    ) -> Option<Picked<'_>> {
        let mut state = self.lock();
        let State { router, rng, .. } = &mut *state;
        let pick = router.pick(clock::now(), &fleet.view, query, usable, rng)?;
        Some(Picked { host: pick.host, slot: pick.slot, policy: self, ending: Ending::Neutral })
    }

    /// Chooses a few hosts whose load is not known well.
    pub(super) fn probes(&self, service: ServiceKey, count: usize) -> Vec<HostKey> {
        self.lock().router.probes(clock::now(), service, count)
    }

    /// Takes in the load that a probed host reported.
    pub(super) fn observe(&self, host: &Name, load: Load) {
        let mut state = self.lock();
        if let Some(slot) = state.router.slot(host) {
            state.router.report(clock::now(), slot, load, REPLY_AGE);
        }
    }

    /// Takes in a completed stage.
    pub(super) fn completed(&self, names: [&Name; 3], id: StageId, stage: &StageTrailer) {
        let mut state = self.lock();
        state.times.add(clock::now(), id, stage.elapsed.saturating_sub(stage.queued));
        state.ledger.add(names, stage.busy, stage.cost);
    }

    /// Records a request whose deadline passed in a stage.
    pub(super) fn late(&self, names: [&Name; 3]) {
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

impl Picked<'_> {
    /// Takes in the load of the host's reply.
    pub(super) fn observe(&self, load: Load) {
        self.policy.lock().router.report(clock::now(), self.slot, load, REPLY_AGE);
    }

    /// Records that the stage completed.
    pub(super) fn completed(&mut self) {
        self.ending = Ending::Done;
    }

    /// Records why the attempt gave no whole answer.
    ///
    /// A host that cannot be reached counts as failed and is avoided for a moment.
    pub(super) fn refused(&mut self, refusal: Refusal) {
        // With a time to come back, the sidecar itself says that its backend server is paused.
        let unreachable = refusal.code == RefusalCode::Unavailable && refusal.retry_after.is_none();
        if refusal.code == RefusalCode::Failed || unreachable {
            self.ending = Ending::Failed;
        }
        let after = match refusal.code {
            RefusalCode::Unavailable => refusal.retry_after.or(Some(UNREACHABLE_PAUSE)),
            _ => refusal.retry_after,
        };
        let mut state = self.policy.lock();
        state.router.refused(clock::now(), self.slot, refusal.code, after);
    }
}

impl Drop for Picked<'_> {
    fn drop(&mut self) {
        self.policy.lock().router.finished(clock::now(), self.slot, self.ending);
    }
}

impl Drop for Share<'_> {
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
