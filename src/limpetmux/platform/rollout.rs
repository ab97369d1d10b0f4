//! The operator's orders to move services to versions, and the records that state how they stand.

use super::store::Record;
use crate::core::rollout::book::{Book, KnownOrder, Status};
use crate::core::rollout::{Order, OrderKey, State};
use crate::core::time::Moment;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The topic of the statuses.
pub const TOPIC: &str = "keyed.status";
/// The prefix of the keys of orders and of statuses.
const PREFIX: &str = "rollout/";
/// The longest time that an order can state; longer ones are taken for it.
const MAX_TIME: Duration = Duration::from_secs(365 * 24 * 3_600);

/// Why an order cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum RolloutError {
    /// The record cannot be decoded.
    #[error("the record cannot be decoded")]
    Value(#[from] serde_json::Error),
    /// The record names another service than its key.
    #[error("the record is of another service than its key")]
    Service,
    /// The record names no version.
    #[error("the record names no version")]
    Target,
    /// The time is zero, negative or not a number.
    #[error("the time of the order is not above zero")]
    Duration,
    /// The state of a status is unknown.
    #[error("the state is unknown")]
    State,
}

/// A change of the orders.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutChange {
    /// An order is in force.
    Put(Arc<str>, Order),
    /// The order of a service was taken back.
    Remove(Arc<str>),
}

impl RolloutChange {
    /// Changes a book by an order that was read at a moment.
    pub fn apply(self, book: &mut Book, read_at: Moment) {
        match self {
            Self::Put(service, order) => book.put_order(service, order, read_at),
            Self::Remove(service) => book.remove_order(&service),
        }
    }

    /// Returns the orders of a complete list that was read at a moment.
    pub fn orders(changes: Vec<Self>, read_at: Moment) -> BTreeMap<Arc<str>, KnownOrder> {
        let order = |change| match change {
            Self::Put(service, order) => Some((service, KnownOrder { order, learned_at: read_at })),
            Self::Remove(_) => None,
        };
        changes.into_iter().filter_map(order).collect()
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct OrderRecord {
    service: String,
    target: String,
    duration_s: Value,
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
struct StatusRecord {
    service: String,
    target: String,
    state: String,
    /// The offset of the order.
    order: u64,
    #[serde(default)]
    refused: Vec<String>,
    #[serde(default)]
    since_ms: u64,
}

/// Returns whether a key of the operator's topic is that of an order to move a service to a version.
pub fn is_order(key: &str) -> bool {
    key.starts_with(PREFIX)
}

/// Returns the service of a key of an order or a status.
pub fn service(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX)
}

/// Decodes a record of the operator's topic; `None` if it is no order to move a service to a version.
///
/// # Errors
/// Returns [`RolloutError`] for an order that cannot be used.
pub fn decode(record: &Record) -> Result<Option<RolloutChange>, RolloutError> {
    let Some(service) = service(&record.key) else { return Ok(None) };
    if record.value.is_empty() {
        return Ok(Some(RolloutChange::Remove(service.into())));
    }
    let order: OrderRecord = serde_json::from_slice(&record.value)?;
    if order.service != service {
        return Err(RolloutError::Service);
    }
    if order.target.is_empty() {
        return Err(RolloutError::Target);
    }
    let seconds = order.duration_s.as_f64().filter(|s| s.is_finite() && *s > 0.0);
    let seconds = seconds.ok_or(RolloutError::Duration)?.min(MAX_TIME.as_secs_f64());
    let duration = Duration::from_secs_f64(seconds);
    if duration.is_zero() {
        return Err(RolloutError::Duration);
    }
    let key = OrderKey { offset: record.position.offset, target: order.target.into() };
    Ok(Some(RolloutChange::Put(service.into(), Order { key, duration })))
}

/// Returns the key of the status of a service.
pub fn status_key(service: &str) -> String {
    format!("{PREFIX}{service}")
}

/// Encodes a status.
///
/// # Errors
/// Returns an error if it cannot be encoded.
pub fn encode_status(service: &str, status: &Status) -> Result<Vec<u8>, RolloutError> {
    let state: &str = status.state.into();
    let record = StatusRecord {
        service: service.to_owned(),
        target: status.key.target.to_string(),
        state: state.to_owned(),
        order: status.key.offset,
        refused: status.refused.iter().map(ToString::to_string).collect(),
        since_ms: status.since,
    };
    Ok(serde_json::to_vec(&record)?)
}

/// Decodes a record of the topic of statuses; `None` if it is not that of a roll-out.
///
/// # Errors
/// Returns [`RolloutError`] for a record that cannot be decoded.
pub fn decode_status(record: &Record) -> Result<Option<(Arc<str>, Status)>, RolloutError> {
    let Some(service) = service(&record.key).filter(|_| !record.value.is_empty()) else {
        return Ok(None);
    };
    let status: StatusRecord = serde_json::from_slice(&record.value)?;
    let refused: BTreeSet<Arc<str>> = status.refused.into_iter().map(Arc::from).collect();
    let status = Status {
        key: OrderKey { offset: status.order, target: status.target.into() },
        state: status.state.parse::<State>().map_err(|_| RolloutError::State)?,
        refused,
        since: status.since_ms,
        position: record.position,
    };
    Ok(Some((service.into(), status)))
}
