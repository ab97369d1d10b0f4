//! The event loop of the planner's agent.

use crate::adapters::log::{LogClient, LogError, LogPage, Stream};
use crate::adapters::power::{PowerClient, PowerError, PowerOrder};
use crate::core::keys::HostKey;
use crate::core::planner::{
    Agent, AgentAction, AgentOptions, DutyError, DutyRecord, DutyVerdict, LeaseState, LoadSample,
};
use crate::core::revision::Offset;
use crate::core::view::View;
use crate::event;
use crate::kernel::{Published, Publisher};
use crate::util::clock;
use crate::util::event::EventCode;
use futures::StreamExt;
use futures::future::BoxFuture;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The time between two ticks of the agent.
const TICK: Duration = Duration::from_secs(5);
/// The long-poll time of a read of the log.
const POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// The wait after a failed read of the log.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// The maximum number of concurrent load probes.
const MAX_PROBES: usize = 16;

/// An error in a step of the planner duty, which the next tick retries.
#[derive(Debug, thiserror::Error)]
pub enum PlannerError {
    /// The append to the log failed.
    #[error("cannot append to the duties stream")]
    Append(#[from] LogError),
    /// A record cannot be serialized.
    #[error("cannot serialize a duty record")]
    Record(#[from] DutyError),
    /// A power order failed.
    #[error("cannot wake a host")]
    Power(#[from] PowerError),
}

/// The accepted plan, as published to the rest of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PowerView {
    /// The hosts that sleep; empty until the plan is known.
    pub asleep: BTreeSet<String>,
    /// The fencing number of the planner's lease, if a node holds it.
    pub fence: Option<Offset>,
    /// The node that holds the planner's lease.
    pub holder: Option<String>,
}

/// Fetches the load of the backend server behind one sidecar; `None` if it does not answer.
pub type LoadFn = dyn Fn(SocketAddr) -> BoxFuture<'static, Option<LoadSample>> + Send + Sync;

/// The dependencies of the planner duty.
#[derive(Clone)]
pub struct PlannerParts {
    /// The parameters of the agent.
    pub options: AgentOptions,
    /// The platform log.
    pub log: LogClient,
    /// The client of the platform's power interface.
    pub power: PowerClient,
    /// The configuration in force.
    pub views: Published<View>,
    /// Fetches the load of one backend server.
    pub load: Arc<LoadFn>,
    /// Whether this node may acquire the lease; other nodes only read the plan.
    pub candidate: bool,
}

/// Runs the duty until the future is dropped.
pub async fn run(parts: PlannerParts, publisher: Publisher<PowerView>) {
    let mut duty = Duty::start(parts, publisher).await;
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut read = duty.read();
    loop {
        tokio::select! {
            page = &mut read => {
                duty.on_page(page).await;
                read = duty.read();
            }
            _ = tick.tick() => duty.on_tick().await,
        }
    }
}

struct Duty {
    parts: PlannerParts,
    agent: Agent,
    publisher: Publisher<PowerView>,
}

impl Duty {
    async fn start(parts: PlannerParts, publisher: Publisher<PowerView>) -> Self {
        let first = loop {
            match (parts.log.read)(Stream::Duties, Offset(0), Duration::ZERO).await {
                Ok(page) => break page.first,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        };
        let agent = Agent::new(parts.options.clone(), first);
        Self { parts, agent, publisher }
    }

    fn read(&self) -> BoxFuture<'static, Result<LogPage, LogError>> {
        let read = (self.parts.log.read)(Stream::Duties, self.agent.fold().next(), POLL_TIMEOUT);
        Box::pin(async move {
            let page = read.await;
            if page.is_err() {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            page
        })
    }

    async fn on_page(&mut self, page: Result<LogPage, LogError>) {
        let Ok(page) = page else { return };
        if page.end < self.agent.fold().next() {
            event!(EventCode::DutyLogReset, end = page.end, seen = self.agent.fold().next());
            return;
        }
        let mut actions = Vec::new();
        for record in &page.records {
            let decoded = DutyRecord::decode(&record.data).ok();
            let now = clock::now();
            let (verdict, follow_up) = self.agent.on_record(now, record.offset, decoded.as_ref());
            log_verdict(record.offset, decoded.as_ref(), verdict);
            actions.extend(follow_up);
        }
        if !page.records.is_empty() {
            self.publish();
        }
        self.act(actions).await;
    }

    fn publish(&self) {
        let fold = self.agent.fold();
        let view = PowerView {
            asleep: fold.asleep().clone(),
            fence: fold.lease().map(|l| l.fence),
            holder: fold.lease().map(|l| l.holder.clone()),
        };
        if *self.publisher.load() != view {
            self.publisher.publish(view);
        }
    }

    async fn on_tick(&mut self) {
        if !self.parts.candidate {
            return;
        }
        let draw = rand::rng().random::<f64>();
        let mut actions = self.agent.on_tick(clock::now(), draw);
        if actions.contains(&AgentAction::Sample) {
            let view = self.parts.views.load();
            let usable = usable_hosts(&view);
            let loads = self.sample(&view, &usable).await;
            actions.extend(self.agent.on_loads(clock::now(), &view, &loads, &usable));
        }
        self.act(actions).await;
    }

    /// Fetches the load of the hosts that the agent wants to sample.
    async fn sample(
        &self,
        view: &View,
        usable: &BTreeSet<HostKey>,
    ) -> BTreeMap<HostKey, Option<LoadSample>> {
        let hosts = self.agent.probe_targets(view, usable).into_iter();
        let probes: Vec<_> = hosts
            .map(|host| {
                let load = (self.parts.load)(view.hosts[host].sidecar);
                async move { (host, load.await) }
            })
            .collect();
        futures::stream::iter(probes).buffer_unordered(MAX_PROBES).collect().await
    }

    async fn act(&self, actions: Vec<AgentAction>) {
        for action in actions {
            if let Err(error) = self.perform(action).await {
                event!(EventCode::DutyStepFailed, error = error);
            }
        }
    }

    async fn perform(&self, action: AgentAction) -> Result<(), PlannerError> {
        match action {
            AgentAction::Append(record) => {
                (self.parts.log.append)(Stream::Duties, record.encode()?).await?;
            }
            AgentAction::Wake(host, fence) => {
                // The lease may have expired during the earlier actions, so it is checked again.
                if self.agent.lease(clock::now()) == LeaseState::Held(fence) {
                    event!(EventCode::HostWaking, host = host, fence = fence);
                    (self.parts.power.set)(PowerOrder { host, on: true, fence }).await?;
                }
            }
            AgentAction::Sample => {}
        }
        Ok(())
    }
}

/// Returns the hosts that the configuration declares as serving, in zones in service.
fn usable_hosts(view: &View) -> BTreeSet<HostKey> {
    view.hosts.keys().filter(|h| view.is_serving(*h)).collect()
}

fn log_verdict(offset: Offset, record: Option<&DutyRecord>, verdict: DutyVerdict) {
    match (record, verdict) {
        (Some(DutyRecord::Plan { fence, .. }), DutyVerdict::StaleFence) => {
            event!(EventCode::PlanRejected, offset = offset, fence = fence);
        }
        (Some(DutyRecord::Plan { delta, .. }), DutyVerdict::Accepted) => {
            let (wake, sleep) = (delta.wake.len(), delta.sleep.len());
            event!(EventCode::PlanAccepted, offset = offset, wake = wake, sleep = sleep);
        }
        (None, _) => event!(EventCode::DutySkipped, offset = offset),
        _ => {}
    }
}

/// Waits until the accepted plan puts a host to sleep; returns the plan's fencing number.
///
/// Returns `None` once the planner duty has ended.
pub async fn wait_for_sleep(mut power: Published<PowerView>, host: &str) -> Option<Offset> {
    loop {
        let view = power.load();
        if view.asleep.contains(host) {
            return view.fence;
        }
        if !power.changed().await {
            return None;
        }
    }
}
