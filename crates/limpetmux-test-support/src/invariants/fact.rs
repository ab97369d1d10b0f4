//! The facts of a session, and the journal that keeps them in chronological order.

use limpetmux::core::refusal::Execution;
use limpetmux::core::time::Moment;

/// The number of a request in a journal.
pub type RequestNo = u64;

/// An event that was observed in a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A caller sent a request; one with a key may run at most once.
    Sent {
        /// The request.
        request: RequestNo,
        /// The idempotency key, if any.
        key: Option<String>,
    },
    /// A backend server started a stage of a request.
    Started {
        /// The request.
        request: RequestNo,
        /// The position of the stage.
        stage: u8,
        /// The host.
        host: String,
        /// The availability zone.
        zone: String,
        /// Whether the stage is idempotent.
        idempotent: bool,
        /// The idempotency key that the backend server received, if it receives one.
        key: Option<String>,
    },
    /// A backend server refused a stage and did not run it.
    Declined {
        /// The request.
        request: RequestNo,
        /// The position of the stage.
        stage: u8,
        /// The host.
        host: String,
    },
    /// A backend server completed a stage.
    Completed {
        /// The request.
        request: RequestNo,
        /// The position of the stage.
        stage: u8,
        /// The host.
        host: String,
    },
    /// A backend server stopped a stage before its end.
    Stopped {
        /// The request.
        request: RequestNo,
        /// The position of the stage.
        stage: u8,
        /// The host.
        host: String,
    },
    /// The caller got an answer that is marked as complete.
    Answered {
        /// The request.
        request: RequestNo,
        /// The answer that the caller got.
        text: String,
        /// The answer that the caller should have got.
        expected: String,
    },
    /// The caller got a refusal.
    Refused {
        /// The request.
        request: RequestNo,
        /// How much ran according to the refusal.
        execution: Execution,
    },
    /// A process that was asked to shut down broke the caller's connection.
    Cut {
        /// The request.
        request: RequestNo,
    },
    /// The caller disconnected before its answer, or its entry crashed.
    Abandoned {
        /// The request.
        request: RequestNo,
    },
    /// A backend server became cold and has a lower limit of concurrent calls.
    Cold {
        /// The host.
        host: String,
        /// The limit of concurrent calls while cold.
        bound: usize,
    },
    /// A backend server is warm again.
    Warm {
        /// The host.
        host: String,
    },
    /// Operators put a zone in or out of service.
    Zone {
        /// The availability zone.
        zone: String,
        /// Whether the zone is in service.
        serving: bool,
    },
    /// A host began to drain or serves again.
    Draining {
        /// The host.
        host: String,
        /// Whether the host is draining.
        is_draining: bool,
    },
    /// A configuration revision was accepted.
    Accepted {
        /// The revision.
        revision: u64,
    },
    /// A node put a revision in force.
    InForce {
        /// The node.
        node: String,
        /// The revision.
        revision: u64,
    },
    /// A node's process ended.
    NodeEnded {
        /// The node.
        node: String,
    },
}

impl Fact {
    /// Returns the request that the fact belongs to, if any.
    pub fn request(&self) -> Option<RequestNo> {
        self.clone().request_mut().copied()
    }

    fn request_mut(&mut self) -> Option<&mut RequestNo> {
        match self {
            Self::Sent { request, .. }
            | Self::Started { request, .. }
            | Self::Declined { request, .. }
            | Self::Completed { request, .. }
            | Self::Stopped { request, .. }
            | Self::Answered { request, .. }
            | Self::Refused { request, .. }
            | Self::Cut { request }
            | Self::Abandoned { request } => Some(request),
            _ => None,
        }
    }
}

impl std::fmt::Display for Fact {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Sent { request, key: Some(key) } => {
                write!(f, "request {request} sent, key {key}")
            }
            Self::Sent { request, key: None } => write!(f, "request {request} sent"),
            Self::Started { request, stage, host, zone, .. } => {
                write!(f, "request {request} stage {stage} started on {host} in {zone}")
            }
            Self::Declined { request, stage, host } => {
                write!(f, "request {request} stage {stage} declined by {host}")
            }
            Self::Completed { request, stage, host } => {
                write!(f, "request {request} stage {stage} completed on {host}")
            }
            Self::Stopped { request, stage, host } => {
                write!(f, "request {request} stage {stage} stopped on {host}")
            }
            Self::Answered { request, text, .. } => write!(f, "request {request} answered: {text}"),
            Self::Refused { request, execution } => {
                write!(f, "request {request} refused: {execution}")
            }
            Self::Cut { request } => write!(f, "request {request} cut by a shutdown"),
            Self::Abandoned { request } => write!(f, "request {request} abandoned by its caller"),
            Self::Cold { host, bound } => write!(f, "{host} is cold, limit {bound} calls"),
            Self::Warm { host } => write!(f, "{host} is warm"),
            Self::Zone { zone, serving: true } => write!(f, "zone {zone} in service"),
            Self::Zone { zone, serving: false } => write!(f, "zone {zone} out of service"),
            Self::Draining { host, is_draining: true } => write!(f, "{host} is draining"),
            Self::Draining { host, is_draining: false } => write!(f, "{host} serves again"),
            Self::Accepted { revision } => write!(f, "r{revision} accepted"),
            Self::InForce { node, revision } => write!(f, "{node} has r{revision} in force"),
            Self::NodeEnded { node } => write!(f, "{node} ended"),
        }
    }
}

/// Facts in chronological order.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    facts: Vec<(Moment, Fact)>,
}

impl Journal {
    /// Records a fact.
    pub fn record(&mut self, at: Moment, fact: Fact) {
        self.facts.push((at, fact));
    }

    /// Changes the number of a request in all its facts.
    pub fn renumber(&mut self, from: RequestNo, to: RequestNo) {
        for (_, fact) in &mut self.facts {
            if let Some(request) = fact.request_mut().filter(|r| **r == from) {
                *request = to;
            }
        }
    }

    /// Returns the facts as text, one per line with its time in seconds.
    pub fn transcript(&self) -> String {
        let line =
            |(at, fact): &(Moment, Fact)| format!("{:>9.3} {fact}\n", at.as_micros() as f64 / 1e6);
        self.facts.iter().map(line).collect()
    }

    /// Returns the recorded facts.
    pub fn facts(&self) -> &[(Moment, Fact)] {
        &self.facts
    }
}
