//! The values that go into and come out of admission.

use crate::core::config::{Name, ServiceSpec};
use crate::core::time::Moment;
use crate::core::verdict::Refusal;
use crate::util::hash::hash_bytes;
use std::time::Duration;

/// The most calls that one sidecar keeps queued, a bound on memory only.
const QUEUE_CALLS: usize = 1024;

/// A call that admission has taken in; never used twice by one [`Admission`](super::Admission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The workspace of a call, as a number that outlives one configuration view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(pub u64);

impl FlowId {
    /// Returns the flow of a workspace.
    pub fn of(workspace: &Name) -> Self {
        Self(hash_bytes(workspace.as_str().as_bytes()))
    }
}

/// What a backend server is declared to bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Calls at once when warm.
    pub concurrency: u32,
    /// Calls at once when cold.
    pub cold: u32,
    /// The time from cold to warm.
    pub warmup: Duration,
    /// The most calls that wait, a bound on memory; the wait itself is bounded by time.
    pub queue: usize,
}

impl Limits {
    /// Takes the limits from a service's declaration.
    pub fn of(spec: &ServiceSpec) -> Self {
        Self {
            concurrency: spec.concurrency.max(1),
            cold: spec.cold.clamp(1, spec.concurrency.max(1)),
            warmup: spec.warmup,
            queue: QUEUE_CALLS,
        }
    }
}

/// A call that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The workspace.
    pub flow: FlowId,
    /// The workspace's weight in the fair share; zero counts as one.
    pub weight: u32,
    /// Higher runs first, before fair share.
    pub priority: u8,
    /// The size of the call in any unit that one service uses throughout, such as the most tokens
    /// to generate; zero counts as one.
    pub work: u32,
    /// The moment after which the result is of no use to the pipeline.
    pub deadline: Moment,
}

/// The decision on an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// Start the call now.
    Start(Ticket),
    /// Keep the call until a [`Step`] starts or refuses it.
    Queued(Ticket),
    /// Tell the caller at once; nothing ran.
    Refused(Refusal),
}

/// How a started call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server completed the call.
    Done,
    /// The backend server failed or the connection broke.
    Failed,
    /// The backend server refused the call because it was full.
    Saturated,
    /// The caller went away or its deadline passed.
    Cancelled,
}

/// What cancelling a call achieved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The call was queued and will never start.
    NeverStarts,
    /// The call runs and must be stopped at the backend server, then finished.
    Running,
    /// The call has ended or was never taken in.
    Unknown,
}

/// What a backend server says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Changes whenever the backend server restarts.
    pub incarnation: u64,
    /// Whether it calls itself cold.
    pub cold: bool,
    /// The age of the report when it was received.
    pub age: Duration,
}

/// What the caller of admission has to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Calls to start.
    pub start: Vec<Ticket>,
    /// Queued calls to refuse at once; none of them ran.
    pub refused: Vec<(Ticket, Refusal)>,
    /// When to call [`next`](super::Admission::next) again if nothing happens before.
    pub wake: Option<Moment>,
}

/// The load of a backend server, as entries learn it from replies and probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls on the backend server.
    pub inflight: u32,
    /// Calls in the sidecar's queue.
    pub queued: u32,
    /// Calls that may run at once now.
    pub limit: u32,
    /// Whether the backend server is cold or still in slow start.
    pub cold: bool,
    /// Whether the host is leaving.
    pub draining: bool,
    /// Identifies the backend server's incarnation.
    pub incarnation: u64,
    /// The smoothed time from dispatch to first output.
    pub first: Duration,
}
