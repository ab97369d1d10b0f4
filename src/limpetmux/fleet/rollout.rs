//! Converts what nodes know of roll-outs to messages and back.

use crate::core::log_position::{LogPosition, StoreEra};
use crate::core::rollout::book::{Book, KnownOrder, Status};
use crate::core::rollout::evidence::{Arm, Counts, RANGES, Tally, Told};
use crate::core::rollout::{Order, OrderKey, State, Step};
use crate::core::time::Moment;
use crate::wire::fleet as wire;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Encodes the orders.
pub fn encode_orders(now: Moment, book: &Book) -> Vec<wire::RolloutOrder> {
    let encode = |(service, known): (&Arc<str>, &KnownOrder)| wire::RolloutOrder {
        key: Some(encode_key(service, &known.order.key)),
        duration_ms: millis(known.order.duration),
        age_ms: millis(now.since(known.learned_at)),
    };
    book.orders().map(encode).collect()
}

/// Decodes orders that were stated at a moment.
pub fn decode_orders(
    stated_at: Moment,
    orders: &[wire::RolloutOrder],
) -> BTreeMap<Arc<str>, KnownOrder> {
    let decode = |order: &wire::RolloutOrder| {
        let (service, key) = decode_key(order.key.as_ref())?;
        let order_time = Duration::from_millis(order.duration_ms);
        let learned_at = stated_at - Duration::from_millis(order.age_ms);
        Some((service, KnownOrder { order: Order { key, duration: order_time }, learned_at }))
    };
    orders.iter().filter_map(decode).collect()
}

/// Encodes what a node knows of roll-outs, with what it has counted; `None` if there are none.
pub fn encode(book: &Book, told: &[Told]) -> Option<wire::RolloutNotice> {
    if book.is_empty() {
        return None;
    }
    let step = |(service, (key, step)): (&Arc<str>, &(OrderKey, Step))| wire::RolloutStep {
        key: Some(encode_key(service, key)),
        step: u32::from(*step as u8),
    };
    Some(wire::RolloutNotice {
        digest: book.digest(),
        statuses: book.statuses().map(|(service, s)| encode_status(service, s)).collect(),
        steps: book.current_steps().map(step).collect(),
        counts: told.iter().map(encode_told).collect(),
    })
}

/// Decodes the statuses and steps that another node knows.
pub fn decode(notice: &wire::RolloutNotice) -> (Vec<(Arc<str>, Status)>, Vec<KeyedStep>) {
    let step = |step: &wire::RolloutStep| {
        let (service, key) = decode_key(step.key.as_ref())?;
        let number = u8::try_from(step.step).ok()?;
        Some(KeyedStep { service, key, step: Step::from_repr(number)? })
    };
    let statuses = notice.statuses.iter().filter_map(decode_status).collect();
    (statuses, notice.steps.iter().filter_map(step).collect())
}

/// A step of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedStep {
    /// The service.
    pub service: Arc<str>,
    /// The order.
    pub key: OrderKey,
    /// The step.
    pub step: Step,
}

/// Merges the statuses and steps of a notice into a book; returns whether that changes anything.
pub fn merge(book: &mut Book, notice: &wire::RolloutNotice) -> bool {
    let (statuses, steps) = decode(notice);
    let mut changed = false;
    for (service, status) in statuses {
        changed |= book.put_status(service, status);
    }
    for KeyedStep { service, key, step } in steps {
        changed |= book.raise_step(&service, &key, step);
    }
    changed
}

/// Decodes what a node has counted.
pub fn decode_told(notice: &wire::RolloutNotice) -> Vec<Told> {
    let decode = |counts: &wire::RolloutCounts| {
        let (service, key) = decode_key(counts.key.as_ref())?;
        let mut known = Counts::default();
        for arm in &counts.arms {
            let mut times = [0; RANGES];
            times.iter_mut().zip(&arm.times).for_each(|(count, told)| *count = *told);
            let tally = Tally { failed: arm.failed, times };
            known.set(Arm { route: arm.route.as_str().into(), is_new: arm.is_new }, tally);
        }
        Some(Told { service, key, counts: known, left: counts.left })
    };
    notice.counts.iter().filter_map(decode).collect()
}

fn encode_told(told: &Told) -> wire::RolloutCounts {
    let arm = |(arm, tally): (&Arm, &Tally)| wire::RolloutArm {
        route: arm.route.to_string(),
        is_new: arm.is_new,
        failed: tally.failed,
        times: tally.times.to_vec(),
    };
    wire::RolloutCounts {
        key: Some(encode_key(&told.service, &told.key)),
        arms: told.counts.arms().map(arm).collect(),
        left: told.left,
    }
}

fn encode_status(service: &str, status: &Status) -> wire::RolloutStatus {
    let state: &str = status.state.into();
    wire::RolloutStatus {
        key: Some(encode_key(service, &status.key)),
        state: state.to_owned(),
        refused: status.refused.iter().map(ToString::to_string).collect(),
        since: status.since,
        offset: status.position.offset,
        era: status.position.era.0,
    }
}

fn decode_status(status: &wire::RolloutStatus) -> Option<(Arc<str>, Status)> {
    let (service, key) = decode_key(status.key.as_ref())?;
    let state: State = status.state.parse().ok()?;
    let position = LogPosition::new(StoreEra(status.era), status.offset);
    let refused = status.refused.iter().map(|v| Arc::from(v.as_str())).collect();
    Some((service, Status { key, state, refused, since: status.since, position }))
}

fn encode_key(service: &str, key: &OrderKey) -> wire::RolloutKey {
    let (offset, target) = (key.offset, key.target.to_string());
    wire::RolloutKey { service: service.to_owned(), offset, target }
}

fn decode_key(key: Option<&wire::RolloutKey>) -> Option<(Arc<str>, OrderKey)> {
    let key = key?;
    let order = OrderKey { offset: key.offset, target: key.target.as_str().into() };
    Some((key.service.as_str().into(), order))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
