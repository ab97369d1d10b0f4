//! Refusals, which callers get in place of an answer.
//!
//! A refusal always states how much of the request may have run. See
//! `docs/design/refusals.md` for the rules that ensure that each statement is true.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// How much of a refused request may have run.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Execution {
    /// Nothing non-idempotent ran; the request may be sent again.
    NotRun,
    /// Some stages completed and a later one was refused before it ran.
    PartlyRun,
    /// The outcome of a non-idempotent stage cannot be determined now.
    Unknown,
}

/// The stable code of a refusal, part of the public interface.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed or names something that does not exist.
    BadRequest,
    /// An idempotency key was used again with another body.
    KeyReused,
    /// The remaining time is too short.
    Deadline,
    /// The backend server or its queue is full.
    Overloaded,
    /// The backend server is cold and accepts no more work.
    Cold,
    /// The workspace has used up its share or its retry budget.
    Limited,
    /// The host or process is draining.
    Draining,
    /// The availability zone is out of service.
    ZoneOut,
    /// The sender acted on an outdated revision or fencing number.
    Stale,
    /// No configuration is known yet.
    Unconfigured,
    /// No backend server of the service is available.
    Unavailable,
    /// The backend server failed while running the stage.
    Failed,
    /// The receiving host is not the home of the idempotency key.
    NotHome,
    /// The caller disconnected or cancelled the request.
    Cancelled,
    /// The home cannot guarantee that it knows every claim of the idempotency key.
    Unvouched,
    /// The process exits before the request has ended.
    Stopped,
}

/// A typed refusal of a request or a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the work was refused.
    pub code: RefusalCode,
    /// How much of it may have run.
    pub execution: Execution,
    /// The time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of work that has certainly not run.
    pub const fn not_run(code: RefusalCode) -> Self {
        Self { code, execution: Execution::NotRun, retry_after: None }
    }

    /// Creates a refusal of work whose outcome cannot be determined.
    pub const fn unknown(code: RefusalCode) -> Self {
        Self { code, execution: Execution::Unknown, retry_after: None }
    }

    /// Sets the time after which a retry may succeed.
    pub const fn retry_in(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
