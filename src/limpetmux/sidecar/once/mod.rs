//! Executes stages that may run at most once.
//!
//! [`OnceGate::decide`] passes each request with an idempotency key to the host's [`Node`], waits
//! until the claim is read back from the log or another request's run has ended, and returns
//! whether to run the stage, return the stored answer, or refuse. The tasks in [`tasks`] read the
//! claims stream and renew promises, those in [`moves`] move keys between hosts, and [`service`]
//! handles calls from other hosts and entries. `docs/design/at-most-once.md` describes the
//! protocol.

mod convert;
mod moves;
mod peers;
mod run;
mod service;
mod tasks;

pub use convert::{hand_over as encode_table, handover as decode_table};
pub use run::run_once;
pub use service::OnceService;

use crate::adapters::channel::Channels;
use crate::adapters::log::LogClient;
use crate::claims::AppendOptions;
use crate::core::config::Name;
use crate::core::once::{
    Action, Answer, Guards, HostId, Incarnation, KeyId, KeyStatus, KeyTime, KeyedRequest, Node,
    Outcome, Role, Rules, RunDecision, Time,
};
use crate::core::refusal::{Refusal, RefusalCode};
use crate::core::revision::Offset;
use crate::core::time::Moment;
use crate::core::view::View;
use crate::kernel::Published;
use crate::util::clock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The dependencies of a gate.
#[derive(Clone)]
pub struct OnceOptions {
    /// The name under which the configuration declares the host.
    pub host: Name,
    /// The configuration in force.
    pub view: Published<View>,
    /// The platform log.
    pub log: LogClient,
    /// Connects to other hosts.
    pub channels: Channels,
    /// Durations and limits of the protocol.
    pub rules: Rules,
    /// The limits on appends of claims.
    pub append_options: AppendOptions,
    /// Whether the process is draining, so that its keys should move to other hosts.
    pub draining: Arc<AtomicBool>,
}

/// What to do with a request that has an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the stage with this fencing number, then call [`OnceGate::finish`] in every case.
    Run(Offset),
    /// Return the stored answer.
    Replay(Answer),
    /// Refuse the request.
    Refuse(Refusal),
}

/// An idempotency key with its scope.
#[derive(Clone, Copy, Debug)]
pub struct ScopedKey<'a> {
    /// The workspace.
    pub workspace: &'a str,
    /// The pipeline.
    pub pipeline: &'a str,
    /// The stage's position in the pipeline.
    pub stage: u8,
    /// The caller's key.
    pub key: &'a str,
}

impl ScopedKey<'_> {
    /// Returns the id of the key.
    pub fn id(self) -> KeyId {
        KeyId::new(self.workspace, self.pipeline, self.stage, self.key)
    }
}

struct Inner {
    node: Node,
    /// Whether the process has appended a record to the log, or is about to.
    announced: bool,
    /// Whether the record fetched last may still be missing from the log.
    appending: bool,
    /// Decisions read from the log that their requests have not fetched yet.
    decided: BTreeMap<KeyId, Decision>,
    /// Hosts whose promises this host needs while the log cannot be reached.
    successors: BTreeSet<HostId>,
    /// The number of promises requested.
    promise_requests: u64,
    /// Homes for whose keys requests arrived at this host.
    missing_homes: BTreeSet<HostId>,
}

/// Decides which requests with idempotency keys one host runs, so that each key runs at most once.
pub struct OnceGate {
    host: Name,
    view: Published<View>,
    started: (Moment, KeyTime),
    draining: Arc<AtomicBool>,
    inner: Mutex<Inner>,
    claims_pending: Arc<Notify>,
    /// Incremented with each decision and outcome, to wake the waiting requests.
    version: watch::Sender<u64>,
    peers: peers::Peers,
}

impl OnceGate {
    /// Creates the gate and starts its tasks, which end when the gate is dropped.
    pub fn start(options: OnceOptions) -> Arc<Self> {
        let started = (clock::now(), wall_now());
        let time = Time { now: started.0, wall: started.1 };
        let id = HostId::of(options.host.as_str());
        let incarnation = Incarnation(rand::random());
        let node = Node::new(id, incarnation, options.rules, Guards::default(), time);
        let inner = Inner {
            node,
            announced: false,
            appending: false,
            decided: BTreeMap::new(),
            successors: BTreeSet::new(),
            promise_requests: 0,
            missing_homes: BTreeSet::new(),
        };
        let gate = Arc::new(Self {
            host: options.host,
            view: options.view,
            started,
            draining: options.draining,
            inner: Mutex::new(inner),
            claims_pending: Arc::default(),
            version: watch::Sender::new(0),
            peers: peers::Peers::new(options.channels),
        });
        tasks::spawn(&gate, options.log, options.append_options);
        gate
    }

    /// Decides on a request, waiting up to the deadline for the log or for another request's run.
    pub async fn decide(
        &self,
        scoped_key: ScopedKey<'_>,
        body: u64,
        deadline: Instant,
    ) -> Decision {
        let key = scoped_key.id();
        let Some(role) = self.role(scoped_key) else {
            return Decision::Refuse(Refusal::not_run(RefusalCode::NotHome));
        };
        let request = KeyedRequest { key, body, role };
        let mut version = self.version.subscribe();
        let mut owner = false;
        loop {
            version.borrow_and_update();
            if let Some(decision) = self.try_decide(request, &mut owner) {
                return decision;
            }
            if tokio::time::timeout_at(deadline, version.changed()).await.is_err() {
                return self.refuse_late(key, owner);
            }
        }
    }

    /// Stores how a run ended and wakes the requests that wait for its outcome.
    pub fn finish(&self, key: KeyId, outcome: Outcome) {
        self.lock().node.finish(key, outcome);
        self.wake();
    }

    /// Looks up how a key's run ended, waiting up to the deadline for its end.
    ///
    /// Returns `None` if the host is neither the key's home nor its successor.
    pub async fn look_up(&self, scoped_key: ScopedKey<'_>, deadline: Instant) -> Option<KeyStatus> {
        let mut version = self.version.subscribe();
        loop {
            version.borrow_and_update();
            let role = self.role(scoped_key)?;
            let status = self.lock().node.look_up(scoped_key.id(), role, self.time());
            if status != KeyStatus::Running {
                return Some(status);
            }
            if tokio::time::timeout_at(deadline, version.changed()).await.is_err() {
                return Some(status);
            }
        }
    }

    /// Returns the number of keys in the table and the bytes of stored answers.
    pub fn size(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.node.table().len(), inner.node.table().bytes())
    }

    /// Returns the number of promises that this process has requested.
    pub fn promise_requests(&self) -> u64 {
        self.lock().promise_requests
    }

    /// Returns whether this host is draining or not serving, so that others should run its keys.
    fn is_out_of_service(&self) -> bool {
        let view = self.view.load();
        let serving = view.host(self.host.as_str()).is_some_and(|h| view.is_serving(h));
        !serving || self.draining.load(Ordering::Acquire)
    }

    /// Returns the role of this host for a key, according to the hosts that it has declared.
    fn role(&self, scoped_key: ScopedKey<'_>) -> Option<Role> {
        let view = self.view.load();
        let workspace = view.workspace(scoped_key.workspace)?;
        let host = view.host(self.host.as_str())?;
        let region = view.zones[view.hosts[host].zone].region;
        let is_here = view.workspaces[workspace].region == region;
        self.lock().node.role(scoped_key.id()).filter(|_| is_here)
    }

    /// Tries to decide; `owner` records whether this request has claimed the key.
    fn try_decide(&self, request: KeyedRequest, owner: &mut bool) -> Option<Decision> {
        let mut inner = self.lock();
        if *owner && let Some(decision) = inner.decided.remove(&request.key) {
            return Some(decision);
        }
        match inner.node.begin(request, self.time()) {
            RunDecision::Run => Some(Decision::Run(inner.node.fence())),
            RunDecision::Replay(answer) => Some(Decision::Replay(answer)),
            RunDecision::Refuse(refusal) => {
                inner.record_refusal(request.role);
                Some(Decision::Refuse(refusal))
            }
            RunDecision::Wait => None,
            RunDecision::Claim => {
                *owner = true;
                self.claims_pending.notify_one();
                None
            }
        }
    }

    /// Refuses a request whose deadline passed before a decision.
    fn refuse_late(&self, key: KeyId, owner: bool) -> Decision {
        let mut inner = self.lock();
        if !owner {
            return Decision::Refuse(Refusal::unknown(RefusalCode::Deadline));
        }
        let is_unrun = match inner.decided.remove(&key) {
            Some(Decision::Run(_)) => {
                inner.node.finish(key, Outcome::NotRun);
                true
            }
            Some(decision) => return decision,
            // Another request with the key may run it by now, after a claim of its own.
            None => inner.node.abandon(key),
        };
        drop(inner);
        self.wake();
        Decision::Refuse(match is_unrun {
            true => Refusal::not_run(RefusalCode::Deadline),
            false => Refusal::unknown(RefusalCode::Deadline),
        })
    }

    /// Stores the decisions that follow from the log for their waiting requests.
    fn apply(&self, inner: &mut Inner, actions: Vec<Action>) {
        let fence = inner.node.fence();
        for action in actions {
            match action {
                Action::Run(key) => inner.decided.insert(key, Decision::Run(fence)),
                Action::Refuse(key, r) => inner.decided.insert(key, Decision::Refuse(r)),
            };
        }
    }

    fn time(&self) -> Time {
        let now = clock::now();
        Time { now, wall: self.started.1 + now.since(self.started.0) }
    }

    fn wake(&self) {
        self.version.send_modify(|v| *v += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Records which host's promise or takeover is needed to accept a later request.
    fn record_refusal(&mut self, role: Role) {
        match role {
            Role::Home { successor: Some(successor) } => drop(self.successors.insert(successor)),
            Role::Home { successor: None } => {}
            Role::Successor { home } => drop(self.missing_homes.insert(home)),
        }
    }
}

/// Returns the wall clock time, or the epoch if the clock is set before it.
fn wall_now() -> KeyTime {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    KeyTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
