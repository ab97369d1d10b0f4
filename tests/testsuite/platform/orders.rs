//! The operator's configuration never returns to an older version, and its age counts from the
//! start of the read that last confirmed it.

use super::{arc, at, ms};
use limpetmux::core::operator::{Order, Orders};
use limpetmux::platform::orders::{OrderError, decode, decode_config};
use limpetmux::platform::store::Record;
use std::collections::BTreeSet;

fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[],"services":[],"limits":{{"max-header-bytes":1,
        "max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1}}}}"#
    )
}

fn order(version: u64, offset: u64) -> Order {
    Order::Declare(decode_config(config(version).as_bytes(), offset).expect("a configuration"))
}

fn record(key: &str, value: &str) -> Record {
    Record { offset: 4, key: key.to_owned(), value: value.to_owned().into() }
}

#[test]
fn version_never_decreases() {
    let mut orders = Orders::default();
    orders.apply(at(0), 6, vec![order(7, 5)]);

    let stale = orders.replace(
        at(100),
        4,
        Some(decode_config(config(3).as_bytes(), 3).unwrap()),
        BTreeSet::new(),
    );
    let older = orders.apply(at(200), 8, vec![order(6, 7)]);

    assert!(!stale);
    assert!(older, "the answer itself is current");
    assert_eq!(orders.version(), 7);
}

#[test]
fn stale_answer_confirms_nothing() {
    let mut orders = Orders::default();
    orders.apply(at(0), 6, vec![order(7, 5)]);

    orders.apply(at(4_000), 5, Vec::new());

    assert_eq!(orders.age(at(4_100)), ms(4_100));
}

#[test]
fn zones_are_evacuated_until_they_are_restored() {
    let mut orders = Orders::default();
    let evacuate = decode(&record("evacuate/mnl-a", "{}")).unwrap();
    let restore = decode(&record("evacuate/mnl-a", "")).unwrap();

    orders.apply(at(0), 5, evacuate.into_iter().collect());
    let during = orders.evacuated.clone();
    orders.apply(at(10), 6, restore.into_iter().collect());

    assert_eq!(during, BTreeSet::from([arc("mnl-a")]));
    assert!(orders.evacuated.is_empty());
}

#[test]
fn invalid_values_and_unknown_keys_are_distinguished() {
    let invalid = decode(&record("config", r#"{"version":"seven"}"#));
    let unknown = decode(&record("weather", "{}"));

    assert!(matches!(invalid, Err(OrderError::Config(_))));
    assert!(matches!(unknown, Err(OrderError::Key(key)) if key == "weather"));
}
