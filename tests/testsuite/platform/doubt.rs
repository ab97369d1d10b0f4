//! A copy gives up an offset that the store has refuted, and only then.

use super::{arc, at, server};
use limpetmux::core::doubt::{CONTRADICTIONS, Doubt};
use limpetmux::core::listing::{ListRecord, Listing};
use limpetmux::core::operator::{DeclaredConfig, Order, Orders};
use limpetmux::fleet::convert;
use limpetmux::platform::orders::decode_config;
use limpetmux::serve::node::StoreView;
use limpetmux::wire::fleet::{ListingView, OperatorView, PullReply};
use std::collections::BTreeSet;

/// An offset that no log of these tests reaches.
const FALSE_END: u64 = 1 << 40;

fn doubt(ends: &[u64]) -> Doubt {
    let mut doubt = Doubt::default();
    ends.iter().for_each(|end| doubt.record(FALSE_END, *end));
    doubt
}

fn config(version: u64, offset: u64) -> DeclaredConfig {
    let text = format!(
        r#"{{"version":{version},"routes":[],"services":[],"limits":{{"max-header-bytes":1,
        "max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":1}}}}"#
    );
    decode_config(text.as_bytes(), offset).expect("a configuration")
}

/// Orders with a version, which have reached the false end.
fn orders(version: u64) -> Orders {
    let mut orders = Orders::default();
    orders.apply(at(0), FALSE_END, vec![Order::Declare(config(version, 3))]);
    orders
}

fn record(id: &str, offset: u64) -> ListRecord {
    let raw = id.as_bytes().into();
    ListRecord { id: id.into(), offset, server: Some(server(id, "mnl-a")), raw }
}

#[test]
fn answers_in_a_row_that_do_not_contradict_each_other_refute_an_offset() {
    assert_eq!(CONTRADICTIONS, 3);
    assert!(!doubt(&[5, 5]).is_due());
    assert!(doubt(&[5, 5, 6]).is_due());
    assert!(!doubt(&[5, FALSE_END, 5, 6]).is_due(), "one answer agrees with the copy");
    assert!(!doubt(&[5, 6, 5]).is_due(), "the answers contradict each other");
}

#[test]
fn list_decides_between_the_copy_and_the_answers_that_contradict_it() {
    let settle = |ends: &[u64], end| doubt(ends).settle(FALSE_END, end);
    let mut settled = doubt(&[5, 5, 6]);
    settled.settle(FALSE_END, 4);

    assert!(settle(&[5, 5, 6], 7));
    assert!(!settle(&[5, 5, 6], 5), "the list contradicts the answers");
    assert!(!settle(&[5, 5, 6], FALSE_END), "the list agrees with the copy");
    assert!(!settle(&[5, 5], 7), "too few answers");
    assert!(!settled.is_due(), "the answers are counted anew");
}

#[test]
fn orders_never_return_to_a_lower_version() {
    let restart = |version| orders(7).restart(FALSE_END, 9, version);

    assert!(restart(7));
    assert!(restart(8));
    assert!(!restart(6));
    assert!(!orders(7).restart(FALSE_END - 1, 9, 8), "the copy has changed since");
    assert!(!orders(7).restart(FALSE_END, FALSE_END, 8), "the end is not lower");
}

#[test]
fn configuration_at_the_first_offset_replaces_one_at_a_false_offset() {
    let mut orders = Orders::default();
    orders.apply(at(0), FALSE_END, vec![Order::Declare(config(7, FALSE_END - 1))]);
    orders.restart(FALSE_END, 1, 7);

    let zones = BTreeSet::from([arc("mnl-a")]);
    let current = orders.replace(at(500), 1, Some(config(7, 0)), zones);

    assert!(current);
    assert_eq!(orders.config.as_ref().map(|c| c.offset), Some(0));
    assert_eq!((orders.evacuated.len(), orders.end_offset), (1, 1));
}

#[test]
fn records_at_refuted_offsets_are_replaced_by_the_newest_ones() {
    let mut listing = Listing::default();
    listing.apply(at(0), FALSE_END, vec![record("a", 3), record("b", FALSE_END - 1)]);

    let restarted = listing.restart(FALSE_END, 9);
    listing.replace(at(500), 9, vec![record("a", 3), record("b", 8)]);

    assert!(restarted);
    assert_eq!(listing.end_offset, 9);
    assert_eq!(listing.get("b").map(|l| l.offset), Some(8));
    assert!(!Listing::default().restart(0, 0));
}

#[test]
fn refuted_offset_is_not_taken_over_again_from_another_node() {
    // Guards against a node that has recovered and gets the false offset back from the next one.
    let mut view = StoreView { orders: orders(7), listing: Listing::default() };
    view.listing.apply(at(0), FALSE_END, vec![record("a", 3)]);
    view.orders.restart(FALSE_END, 9, 7);
    view.listing.restart(FALSE_END, 9);
    let reply = |end| PullReply {
        operator: Some(OperatorView { end, ..OperatorView::default() }),
        listing: Some(ListingView { end, ..ListingView::default() }),
        ..PullReply::default()
    };

    let refuted = convert::apply_reply(at(500), &mut view, &reply(FALSE_END)).unwrap();
    let ends = (view.orders.end_offset, view.listing.end_offset);
    let current = convert::apply_reply(at(600), &mut view, &reply(10)).unwrap();

    assert!(!refuted && current);
    assert_eq!(ends, (9, 9));
    assert_eq!((view.orders.end_offset, view.listing.end_offset), (10, 10));
}

#[test]
fn refuted_offset_that_the_store_confirms_later_is_valid_again() {
    let mut orders = orders(7);
    orders.restart(FALSE_END, 9, 7);
    let refuted = orders.is_refuted(FALSE_END);

    orders.apply(at(500), FALSE_END, Vec::new());

    assert!(refuted);
    assert!(!orders.is_refuted(FALSE_END));
}
