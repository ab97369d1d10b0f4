//! Repeats of all entries together stay within the bound in any window.

use super::{arc, at, ms};
use limpetmux::core::retry_share::{RetryLimit, RetryShare};

const BOUND: RetryLimit =
    RetryLimit { ratio: 0.2, allowance: 56.0, window: std::time::Duration::from_secs(10) };

#[test]
fn entries_that_all_repeat_at_once_stay_within_the_bound() {
    // Pattern: a service fails everything while spare entries have joined.
    let entries = 10;
    let service = arc("plain");
    let mut repeats = 0_u32;

    for _ in 0..entries {
        let mut share = RetryShare::new(BOUND);
        for tick in 0..1_000 {
            if tick % 10 == 0 {
                share.count_first(at(tick * 10), &service);
            }
            repeats += u32::from(share.try_retry(at(tick * 10), &service, entries));
        }
    }

    let fresh = 100 * u32::try_from(entries).unwrap();
    assert!(f64::from(repeats) <= 0.2 * f64::from(fresh) + 56.0, "{repeats} of {fresh}");
    assert!(repeats > fresh / 10, "{repeats} of {fresh}");
}

#[test]
fn window_gives_the_share_back() {
    let service = arc("plain");
    let mut share = RetryShare::new(BOUND);
    while share.try_retry(at(0), &service, 2) {}

    assert!(!share.try_retry(at(9_999), &service, 2));
    assert!(share.try_retry(at(10_001), &service, 2));
    assert!(ms(1) < BOUND.window);
}
