//! What can happen in a session, and the journal that keeps it in the order of time.

use limpetmux::core::refusal::Execution;
use limpetmux::core::time::Moment;

/// The number of a request in a journal.
pub type RequestNo = u64;

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fact {
    /// A caller sent a request; a key marks one that may run once only.
    Sent {
        /// The request.
        request: RequestNo,
        /// The idempotency key, if any.
        key: Option<String>,
    },
    /// A backend server began a stage of a request; `repeatable` tells whether it is idempotent.
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
        repeatable: bool,
        /// The idempotency key that the backend server saw, if it can see it.
        key: Option<String>,
    },
    /// A backend server refused a stage that it was given, and did not run it.
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
    /// The caller got an answer that claims to be whole, beside the one that it should get.
    Answered {
        /// The request.
        request: RequestNo,
        /// What the caller got.
        text: String,
        /// What the caller should get.
        expected: String,
    },
    /// The caller got a refusal.
    Refused {
        /// The request.
        request: RequestNo,
        /// What the refusal says.
        execution: Execution,
    },
    /// The caller's connection was cut by a process that was asked to shut down.
    Cut {
        /// The request.
        request: RequestNo,
    },
    /// The caller went before its answer came, or its entry died without a warning.
    Left {
        /// The request.
        request: RequestNo,
    },
    /// A backend server turned cold and bears this many calls at once.
    Cold {
        /// The host.
        host: String,
        /// Calls at once.
        bound: usize,
    },
    /// A backend server is warm again.
    Warm {
        /// The host.
        host: String,
    },
    /// Operators took a zone out (`false`) or back in (`true`).
    Zone {
        /// The availability zone.
        zone: String,
        /// Whether the zone serves.
        serving: bool,
    },
    /// A host began to leave (`true`) or is back (`false`).
    Leaves {
        /// The host.
        host: String,
        /// Whether the host leaves.
        leaving: bool,
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
    /// A node ended.
    NodeEnded {
        /// The node.
        node: String,
    },
}

impl Fact {
    /// Returns the request that the fact is about.
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
            | Self::Left { request } => Some(request),
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
            Self::Cut { request } => write!(f, "request {request} cut"),
            Self::Left { request } => write!(f, "request {request} left by its caller"),
            Self::Cold { host, bound } => write!(f, "{host} is cold and bears {bound}"),
            Self::Warm { host } => write!(f, "{host} is warm"),
            Self::Zone { zone, serving: true } => write!(f, "zone {zone} in"),
            Self::Zone { zone, serving: false } => write!(f, "zone {zone} out"),
            Self::Leaves { host, leaving: true } => write!(f, "{host} leaves"),
            Self::Leaves { host, leaving: false } => write!(f, "{host} is back"),
            Self::Accepted { revision } => write!(f, "r{revision} accepted"),
            Self::InForce { node, revision } => write!(f, "{node} has r{revision} in force"),
            Self::NodeEnded { node } => write!(f, "{node} ended"),
        }
    }
}

/// Facts in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    facts: Vec<(Moment, Fact)>,
}

impl Journal {
    /// Records a fact.
    pub fn note(&mut self, at: Moment, fact: Fact) {
        self.facts.push((at, fact));
    }

    /// Gives a request another number.
    pub fn renumber(&mut self, from: RequestNo, to: RequestNo) {
        for (_, fact) in &mut self.facts {
            if let Some(request) = fact.request_mut().filter(|r| **r == from) {
                *request = to;
            }
        }
    }

    /// Returns the facts as text, one line each with its time in seconds.
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
