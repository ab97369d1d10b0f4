//! Inputs and outputs of admission.

use crate::core::config::ServiceSpec;
use crate::core::refusal::Refusal;
use crate::core::share::FlowId;
use crate::core::time::Moment;
use std::time::Duration;

/// The maximum number of queued calls of one sidecar, which only limits memory.
const QUEUE_CALLS: usize = 1024;

/// Identifies a call that was started or queued; unique within one
/// [`Admission`](super::Admission).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The declared limits of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Concurrent calls when warm.
    pub concurrency: u32,
    /// Concurrent calls when cold.
    pub cold_concurrency: u32,
    /// The time from cold to warm.
    pub warmup: Duration,
    /// The maximum number of queued calls, which only limits memory; the wait itself is limited by
    /// deadlines.
    pub max_queued: usize,
}

impl Limits {
    /// Returns the limits that a service declares.
    pub fn of(spec: &ServiceSpec) -> Self {
        Self {
            concurrency: spec.concurrency.max(1),
            cold_concurrency: spec.cold.clamp(1, spec.concurrency.max(1)),
            warmup: spec.warmup,
            max_queued: QUEUE_CALLS,
        }
    }
}

/// A call offered for admission.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// The workspace.
    pub flow: FlowId,
    /// The workspace's weight in the fair share; zero counts as one.
    pub weight: u32,
    /// Calls of higher priority run first; fair share applies within a priority.
    pub priority: u8,
    /// The size of the call, in a unit that the service uses for all its calls, such as the maximum
    /// number of tokens to generate; zero counts as one.
    pub work: u32,
    /// The moment after which the pipeline no longer needs the result.
    pub deadline: Moment,
}

/// The decision on an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start the call now.
    Start(Ticket),
    /// Keep the call until [`Actions`] start or refuse it.
    Queued(Ticket),
    /// Refuse the call at once; it has not run.
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
    /// The caller disconnected or its deadline passed.
    Cancelled,
}

/// The result of cancelling a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// The call was queued and will never start.
    NeverStarts,
    /// The call is running and must be stopped at the backend server and then reported with
    /// [`finish`](super::Admission::finish).
    Running,
    /// The call has ended or was never admitted.
    Unknown,
}

/// A report of a backend server about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Changes whenever the backend server restarts.
    pub incarnation: u64,
    /// Whether the backend server reports itself cold.
    pub cold: bool,
    /// The age of the report when it was received.
    pub age: Duration,
}

/// What the caller of admission has to do next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Actions {
    /// Calls to start.
    pub start: Vec<Ticket>,
    /// Queued calls to refuse at once; none of them has run.
    pub refused: Vec<(Ticket, Refusal)>,
    /// When to call [`poll`](super::Admission::poll) again if no event occurs earlier.
    pub wake: Option<Moment>,
}

/// The load of a backend server, which replies and probes report to entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls in flight at the backend server.
    pub inflight: u32,
    /// Calls in the sidecar's queue.
    pub queued: u32,
    /// Calls that may currently run at once.
    pub limit: u32,
    /// Whether the backend server is cold or still in slow start.
    pub cold: bool,
    /// Whether the host is draining.
    pub draining: bool,
    /// Identifies the backend server's incarnation.
    pub incarnation: u64,
    /// The smoothed time from dispatch to first output.
    pub first_output: Duration,
}
