//! The gate in front of stages that may run at most once.
//!
//! A request with an idempotency key asks [`OnceGate::decide`]; the gate feeds the host's
//! [`Node`], waits for the claim to be read back or for another request's run, and says whether to
//! run, to give the stored answer again, or to refuse. The tasks of [`tasks`] read the claims
//! stream, keep promises alive and take over; [`service`] answers other hosts and entries. The
//! protocol is in `docs/design/at-most-once.md`.

mod convert;
mod moves;
mod peers;
mod run;
mod service;
mod tasks;

pub use run::run_once;
pub use service::OnceService;

use crate::adapters::channel::Channels;
use crate::adapters::log::LogClient;
use crate::claims::Pace;
use crate::core::config::Name;
use crate::core::once::{
    Action, Answer, Begin, Guards, HostId, Incarnation, KeyId, KeyTime, Known, Node, Outcome, Role,
    Rules, Time, Work,
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

/// What a gate needs to start.
#[derive(Clone)]
pub struct OnceOptions {
    /// The name under which the configuration declares the host.
    pub host: Name,
    /// The configuration in force.
    pub view: Published<View>,
    /// The platform log.
    pub log: LogClient,
    /// Makes the connections to other hosts.
    pub channels: Channels,
    /// Times and bounds of the protocol.
    pub rules: Rules,
    /// The pace of claims.
    pub pace: Pace,
    /// Whether the host is leaving, so that its keys should move.
    pub draining: Arc<AtomicBool>,
}

/// What to do with a request under a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run the stage under a fencing number, then call [`OnceGate::finish`] whatever happens.
    Run(Offset),
    /// Give the stored answer again.
    Replay(Answer),
    /// Refuse the request.
    Refuse(Refusal),
}

/// A key as a request names it.
#[derive(Clone, Copy, Debug)]
pub struct Naming<'a> {
    /// The workspace.
    pub workspace: &'a str,
    /// The pipeline.
    pub pipeline: &'a str,
    /// The stage's position.
    pub stage: u8,
    /// The caller's key.
    pub key: &'a str,
}

impl Naming<'_> {
    /// Returns the key's identity.
    pub fn id(self) -> KeyId {
        KeyId::new(self.workspace, self.pipeline, self.stage, self.key)
    }
}

struct Inner {
    node: Node,
    /// Whether the process has put a record into the log, or is about to.
    announced: bool,
    /// Whether a record of claims may not be in the log yet.
    appending: bool,
    /// Claims decided by the log and not yet taken up by their request.
    decided: BTreeMap<KeyId, Decision>,
    /// Successors whose promise the host needs while the log cannot be reached.
    wanted: BTreeSet<HostId>,
    /// Counts the promises asked for.
    asked: u64,
    /// Homes that requests were sent here for.
    missing: BTreeSet<HostId>,
}

/// The at-most-once gate of one host.
pub struct OnceGate {
    host: Name,
    view: Published<View>,
    started: (Moment, KeyTime),
    draining: Arc<AtomicBool>,
    inner: Mutex<Inner>,
    due: Arc<Notify>,
    /// Counts decisions and outcomes, to wake the requests that wait.
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
            wanted: BTreeSet::new(),
            asked: 0,
            missing: BTreeSet::new(),
        };
        let gate = Arc::new(Self {
            host: options.host,
            view: options.view,
            started,
            draining: options.draining,
            inner: Mutex::new(inner),
            due: Arc::default(),
            version: watch::Sender::new(0),
            peers: peers::Peers::new(options.channels),
        });
        tasks::spawn(&gate, options.log, options.pace);
        gate
    }

    /// Decides on a request and waits, up to the deadline, for what the decision depends on.
    pub async fn decide(&self, naming: Naming<'_>, body: u64, deadline: Instant) -> Decision {
        let key = naming.id();
        let Some(role) = self.role(naming) else {
            return Decision::Refuse(Refusal::not_run(RefusalCode::NotHome));
        };
        let work = Work { key, body, role };
        let mut version = self.version.subscribe();
        let mut owner = false;
        loop {
            version.borrow_and_update();
            if let Some(decision) = self.step(work, &mut owner) {
                return decision;
            }
            if tokio::time::timeout_at(deadline, version.changed()).await.is_err() {
                return self.give_up(key, owner);
            }
        }
    }

    /// Stores how a run ended and wakes the requests that wait for it.
    pub fn finish(&self, key: KeyId, outcome: Outcome) {
        self.lock().node.finish(key, outcome);
        self.wake();
    }

    /// Looks up how a key's run ended, waiting up to the deadline for one that has not.
    ///
    /// Returns `None` if the host is neither the key's home nor its successor.
    pub async fn look_up(&self, naming: Naming<'_>, deadline: Instant) -> Option<Known> {
        let mut version = self.version.subscribe();
        loop {
            version.borrow_and_update();
            let role = self.role(naming)?;
            let known = self.lock().node.look_up(naming.id(), role, self.time());
            if known != Known::Running {
                return Some(known);
            }
            if tokio::time::timeout_at(deadline, version.changed()).await.is_err() {
                return Some(known);
            }
        }
    }

    /// Returns the number of keys in the table and the bytes of stored answers.
    pub fn size(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.node.table().len(), inner.node.table().bytes())
    }

    /// Returns how often this process has asked for a promise.
    pub fn asked(&self) -> u64 {
        self.lock().asked
    }

    /// Returns whether new work should go to other hosts than this one.
    fn is_away(&self) -> bool {
        let view = self.view.load();
        let serving = view.host(self.host.as_str()).is_some_and(|h| view.is_serving(h));
        !serving || self.draining.load(Ordering::Acquire)
    }

    /// Returns the part that this host plays for a key, by the hosts that it has declared.
    fn role(&self, naming: Naming<'_>) -> Option<Role> {
        let view = self.view.load();
        let workspace = view.workspace(naming.workspace)?;
        let host = view.host(self.host.as_str())?;
        let region = view.zones[view.hosts[host].zone].region;
        let is_here = view.workspaces[workspace].region == region;
        self.lock().node.role(naming.id()).filter(|_| is_here)
    }

    /// Tries to decide; `owner` tells whether this request holds the key's claim.
    fn step(&self, work: Work, owner: &mut bool) -> Option<Decision> {
        let mut inner = self.lock();
        if *owner && let Some(decision) = inner.decided.remove(&work.key) {
            return Some(decision);
        }
        match inner.node.begin(work, self.time()) {
            Begin::Run => Some(Decision::Run(inner.node.fence())),
            Begin::Replay(answer) => Some(Decision::Replay(answer)),
            Begin::Refuse(refusal) => {
                inner.note_refusal(work.role);
                Some(Decision::Refuse(refusal))
            }
            Begin::Wait => None,
            Begin::Claim => {
                *owner = true;
                self.due.notify_one();
                None
            }
        }
    }

    /// Ends a request whose time is over before its key was decided.
    fn give_up(&self, key: KeyId, owner: bool) -> Decision {
        let mut inner = self.lock();
        if !owner {
            return Decision::Refuse(Refusal::unknown(RefusalCode::Deadline));
        }
        let won = matches!(inner.decided.remove(&key), Some(Decision::Run(_)));
        if won {
            inner.node.finish(key, Outcome::NotRun);
        } else {
            inner.node.abandon(key);
        }
        drop(inner);
        self.wake();
        Decision::Refuse(Refusal::not_run(RefusalCode::Deadline))
    }

    /// Hands the log's decisions to the requests that wait.
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
    /// Remembers what would let the host accept the next request of the same kind.
    fn note_refusal(&mut self, role: Role) {
        match role {
            Role::Home { successor: Some(successor) } => drop(self.wanted.insert(successor)),
            Role::Home { successor: None } => {}
            Role::Successor { home } => drop(self.missing.insert(home)),
        }
    }
}

/// Returns the wall clock's time; a clock before the epoch counts as the epoch.
fn wall_now() -> KeyTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    KeyTime(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
