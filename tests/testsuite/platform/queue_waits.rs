//! Requests that the waits along their chain would make late are refused before their first stage.

use super::{arc, at, ms};
use limpetmux::core::queue_waits::{QueueWaits, late_retry_delay};

#[test]
fn reported_wait_drains_and_is_forgotten() {
    let mut pressure = QueueWaits::default();
    pressure.record(at(0), &arc("a"), ms(900), 100.0);

    assert_eq!(pressure.wait(at(0), "a"), ms(900));
    assert_eq!(pressure.wait(at(400), "a"), ms(500));
    assert_eq!(pressure.wait(at(2_100), "a"), ms(0));
    assert_eq!(pressure.wait(at(0), "b"), ms(0));
}

#[test]
fn only_a_long_wait_that_makes_late_refuses() {
    // Pattern: a burst fills the chain; whoever would be late anyway must not take its stages.
    assert_eq!(late_retry_delay(ms(1_000), ms(1_500), ms(800)), None, "still on time");
    assert_eq!(
        late_retry_delay(ms(1_800), ms(1_500), ms(200)),
        None,
        "slow by itself, nobody waits"
    );
    assert_eq!(late_retry_delay(ms(2_500), ms(1_500), ms(1_200)), Some(ms(1_000)));
}

#[test]
fn work_under_way_to_a_later_stage_counts_once_it_is_more_than_is_worked_off() {
    // Pattern: a burst; the last stage shows no queue yet when too much has been let in already.
    let service = arc("last");
    let mut pressure = QueueWaits::default();
    pressure.record(at(0), &service, ms(0), 100.0);
    // 16 pieces each of six requests here, and as many at each of five entries.
    (0..6).for_each(|_| pressure.add_expected(&service, 16));

    let busy = pressure.wait_after(at(0), "last", ms(800), 5);
    (0..5).for_each(|_| pressure.remove_expected("last", 16));
    let calm = pressure.wait_after(at(0), "last", ms(800), 5);

    assert_eq!((busy, calm), (ms(4_000), ms(0)));
}
