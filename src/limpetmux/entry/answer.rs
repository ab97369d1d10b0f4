//! The trailer of an answer: the time and cost of each stage.

use crate::core::frames::RequestId;
use serde::Serialize;
use serde_with::{DisplayFromStr, DurationMicroSeconds, serde_as};
use std::time::Duration;

/// The time and cost of one stage.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct StageTrailer {
    /// The stage's name.
    pub stage: String,
    /// The host that completed the stage.
    pub host: String,
    /// The availability zone of that host.
    pub zone: String,
    /// The number of attempts.
    pub attempts: u32,
    /// The time in the sidecar's queue.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "queued_us")]
    pub queued: Duration,
    /// The time on the backend server.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "busy_us")]
    pub busy: Duration,
    /// The time measured by the entry, over all attempts.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "elapsed_us")]
    pub elapsed: Duration,
    /// The cost in millionths of the accounting unit.
    #[serde(rename = "cost_micros")]
    pub cost: u64,
}

/// The time and cost of a whole request.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct Trailer {
    /// The id of the request.
    #[serde_as(as = "DisplayFromStr")]
    pub request: RequestId,
    /// The time from the arrival of the request to the end of its last stage.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "elapsed_us")]
    pub elapsed: Duration,
    /// The cost in millionths of the accounting unit.
    #[serde(rename = "cost_micros")]
    pub cost: u64,
    /// The completed stages, in order.
    pub stages: Vec<StageTrailer>,
}
