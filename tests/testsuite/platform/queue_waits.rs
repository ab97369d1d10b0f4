//! Requests that would be late because of queue waits along their chain are refused before their
//! first stage.

use super::{arc, at, ms};
use limpetmux::core::queue_waits::{QueueWaits, late_retry_delay};

#[test]
fn reported_wait_decreases_and_expires() {
    let mut waits = QueueWaits::default();
    waits.record(at(0), &arc("a"), ms(900), 100.0);

    assert_eq!(waits.wait(at(0), "a", None), ms(900));
    assert_eq!(waits.wait(at(400), "a", None), ms(500));
    assert_eq!(waits.wait(at(2_100), "a", None), ms(0));
    assert_eq!(waits.wait(at(0), "b", None), ms(0));
}

#[test]
fn request_is_refused_only_if_a_long_wait_makes_it_late() {
    // Guards against late requests that occupy the stages of the chain in a burst.
    assert_eq!(late_retry_delay(ms(1_000), ms(1_500), ms(800)), None, "still on time");
    assert_eq!(
        late_retry_delay(ms(1_800), ms(1_500), ms(200)),
        None,
        "late by itself, without a long wait"
    );
    assert_eq!(late_retry_delay(ms(2_500), ms(1_500), ms(1_200)), Some(ms(1_000)));
}

#[test]
fn expected_pieces_of_a_later_stage_count_beyond_what_it_completes_by_then() {
    // Guards against admitting too much in a burst: the last stage has no queue yet when too much
    // work for it has been admitted already.
    let service = arc("last");
    let mut waits = QueueWaits::default();
    waits.record(at(0), &service, ms(0), 100.0);
    // Six requests of 16 pieces at each of five entries, this one included.
    (0..6).for_each(|_| waits.add_expected(&service, 16));

    let busy = waits.wait_after(at(0), "last", None, ms(800), 5);
    (0..5).for_each(|_| waits.remove_expected("last", 16));
    let idle = waits.wait_after(at(0), "last", None, ms(800), 5);

    assert_eq!((busy, idle), (ms(4_000), ms(0)));
}

#[test]
fn an_entry_admits_by_the_wait_of_the_workspace_that_asks() {
    // Load pattern: one workspace fills a queue; requests of the others are not refused for it.
    let mut waits = QueueWaits::default();
    let service = arc("a");

    waits.record(at(0), &service, ms(100), 10.0);
    waits.record_workspaces("a", vec![("large".into(), ms(1_900))]);

    assert_eq!(waits.wait(at(0), "a", Some("large")), ms(1_900));
    assert_eq!(waits.wait(at(0), "a", Some("small")), ms(100));
    assert_eq!(waits.wait_after(at(0), "a", Some("large"), ms(400), 1), ms(1_500));
    waits.record(at(10), &service, ms(100), 10.0);
    assert_eq!(waits.wait(at(10), "a", Some("large")), ms(100), "the queue is free again");
}
