//! What a caller is told when a request was not answered.
//!
//! A refusal always states how much of the request can have run. See
//! `docs/design/refusals.md` for the rules that make each statement true.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// How much of a refused request can have run.
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
    /// The remaining time does not suffice.
    Deadline,
    /// The backend server or its queue is full.
    Overloaded,
    /// The backend server is cold and bears no more work.
    Cold,
    /// The workspace has spent its share or its retry budget.
    Limited,
    /// The host or process is leaving.
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
    /// The caller went away or cancelled.
    Cancelled,
    /// The home cannot vouch for the idempotency key.
    Unvouched,
}

/// A typed refusal of a request or a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the work was refused.
    pub code: RefusalCode,
    /// How much can have run.
    pub execution: Execution,
    /// When it is worth asking again, if known.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that is proven to have run nothing.
    pub const fn not_run(code: RefusalCode) -> Self {
        Self { code, execution: Execution::NotRun, retry_after: None }
    }

    /// Creates a refusal whose outcome cannot be determined.
    pub const fn unknown(code: RefusalCode) -> Self {
        Self { code, execution: Execution::Unknown, retry_after: None }
    }

    /// Sets the time after which asking again is worthwhile.
    pub const fn retry_in(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}
