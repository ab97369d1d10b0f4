//! The operator's configuration never returns to an older version, and its age counts from the
//! start of the read that last confirmed it.

use super::{arc, at, ms, pos};
use limpetmux::core::operator::{Order, Orders, StatedOrders};
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
    Order::Declare(decode_config(config(version).as_bytes(), pos(offset)).expect("a configuration"))
}

fn record(key: &str, value: &str) -> Record {
    Record { position: pos(4), key: key.to_owned(), value: value.to_owned().into() }
}

#[test]
fn version_never_decreases() {
    let mut orders = Orders::default();
    orders.apply(at(0), pos(6), vec![order(7, 5)]);

    let stale = orders.replace(
        at(100),
        StatedOrders {
            confirmed_at: at(100),
            end: pos(4),
            config: Some(decode_config(config(3).as_bytes(), pos(3)).unwrap()),
            evacuated: BTreeSet::new(),
            unlisted: Vec::new(),
        },
    );
    let older = orders.apply(at(200), pos(8), vec![order(6, 7)]);

    assert!(!stale);
    assert!(older, "the answer itself is current");
    assert_eq!(orders.version(), 7);
}

#[test]
fn stale_answer_confirms_nothing() {
    let mut orders = Orders::default();
    orders.apply(at(0), pos(6), vec![order(7, 5)]);

    orders.apply(at(4_000), pos(5), Vec::new());

    assert_eq!(orders.age(at(4_100)), ms(4_100));
}

#[test]
fn zones_are_evacuated_until_they_are_restored() {
    let mut orders = Orders::default();
    let evacuate = decode(&record("evacuate/mnl-a", "{}")).unwrap();
    let restore = decode(&record("evacuate/mnl-a", "")).unwrap();

    orders.apply(at(0), pos(5), evacuate.into_iter().collect());
    let during: Vec<_> = orders.evacuated.zones().cloned().collect();
    orders.apply(at(10), pos(6), restore.into_iter().collect());

    assert_eq!(during, [arc("mnl-a")]);
    assert_eq!(orders.evacuated.zones().next(), None);
}

#[test]
fn invalid_values_and_unknown_keys_are_distinguished() {
    let invalid = decode(&record("config", r#"{"version":"seven"}"#));
    let unknown = decode(&record("weather", "{}"));

    assert!(matches!(invalid, Err(OrderError::Config(_))));
    assert!(matches!(unknown, Err(OrderError::Key(key)) if key == "weather"));
}
