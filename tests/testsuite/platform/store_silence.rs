//! How soon a node notices that a store is back which has left its reads without an answer.

use super::ms;
use limpetmux::core::read_times::retry_pause;
use std::time::Duration;

/// Reads a store that leaves reads without an answer until `back`; returns when a read is answered, and
/// how many were not.
fn read_until_answered(limit: Duration, back: Duration) -> (Duration, u32) {
    let mut now = Duration::ZERO;
    let mut failures = 0;
    while now < back {
        now += limit;
        failures += 1;
        now += retry_pause(failures, false, limit);
    }
    (now, failures)
}

#[test]
fn a_store_that_was_silent_is_noticed_within_the_time_of_one_read() {
    // Failure: the store answers nothing for some seconds, as all nodes read it at the same times.
    for back in (3_000..20_000).step_by(50) {
        for limit in [ms(1_500), ms(2_100)] {
            let (noticed, reads) = read_until_answered(limit, ms(back));

            assert!(noticed - ms(back) <= limit + ms(100), "{back}: {noticed:?}");
            assert!(reads <= u32::try_from(back / 1_500 + 1).unwrap(), "{back}: {reads}");
        }
    }
}

#[test]
fn a_store_that_refuses_at_once_is_asked_ever_less_often() {
    // Failure: the store's address refuses connections.
    let pauses = [1, 2, 3, 4, 5, 9].map(|failures| retry_pause(failures, false, ms(1)));

    assert_eq!(pauses, [199, 399, 799, 1_599, 1_599, 1_599].map(ms));
    assert_eq!(retry_pause(9, true, ms(1)), ms(199), "a new node asks more often");
}
