//! The operator's orders of versions and the records of how they stand, as bytes.

use super::pos;
use bytes::Bytes;
use limpetmux::core::rollout::book::Status;
use limpetmux::core::rollout::{OrderKey, State};
use limpetmux::platform::orders;
use limpetmux::platform::rollout::{self, RolloutChange, RolloutError};
use limpetmux::platform::store::Record;
use std::collections::BTreeSet;
use std::time::Duration;

fn record(key: &str, value: &str) -> Record {
    Record { position: pos(7), key: key.into(), value: Bytes::copy_from_slice(value.as_bytes()) }
}

fn decode(value: &str) -> Result<Option<RolloutChange>, RolloutError> {
    rollout::decode(&record("rollout/desk", value))
}

#[test]
fn order_names_a_version_and_a_time() {
    let order = decode(r#"{"service":"desk","target":"v2","duration-s":12.5,"more":1}"#).unwrap();
    let Some(RolloutChange::Put(service, order)) = order else { panic!("{order:?}") };
    assert_eq!((&*service, order.key.offset, &*order.key.target), ("desk", 7, "v2"));
    assert_eq!(order.duration, Duration::from_millis(12_500));
}

#[test]
fn order_that_is_deleted_is_taken_back() {
    assert_eq!(decode("").unwrap(), Some(RolloutChange::Remove("desk".into())));
}

#[test]
fn odd_orders_are_rejected_with_a_reason() {
    let order = |duration| format!(r#"{{"service":"desk","target":"v2","duration-s":{duration}}}"#);
    for duration in ["0", "-1", "0.0", "-1e400", "\"12\"", "null", "[]", "1e-12", "NaN"] {
        assert!(decode(&order(duration)).is_err(), "{duration}");
    }
    for value in [
        "{",
        "[]",
        r#"{"service":"other","target":"v2","duration-s":12}"#,
        r#"{"service":"desk","target":"","duration-s":12}"#,
        r#"{"service":"desk","duration-s":12}"#,
        r#"{"service":"desk","target":2,"duration-s":12}"#,
    ] {
        assert!(decode(value).is_err(), "{value}");
    }
    assert!(decode(&order("1e300")).is_ok(), "a time without end is a long one");
}

#[test]
fn orders_of_versions_are_no_unreadable_configurations() {
    let order = record("rollout/desk", "{");
    assert!(orders::decode(&order).unwrap().is_none());
    assert!(rollout::decode(&record("config", "{}")).unwrap().is_none());
}

#[test]
fn status_is_read_as_it_was_written() {
    let key = OrderKey { offset: 7, target: "v2".into() };
    let refused = BTreeSet::from(["v1".into()]);
    let status = Status { key, state: State::RolledBack, refused, since: 1_234, position: pos(7) };
    let value = rollout::encode_status("desk", &status).unwrap();
    let text = std::str::from_utf8(&value).unwrap();
    assert!(
        text.contains(r#""state":"rolled_back""#) && text.contains(r#""target":"v2""#),
        "{text}"
    );
    let read = rollout::decode_status(&record(&rollout::status_key("desk"), text)).unwrap();
    assert_eq!(read, Some(("desk".into(), status)));
    assert!(rollout::decode_status(&record("rollout/desk", "{}")).is_err());
}
