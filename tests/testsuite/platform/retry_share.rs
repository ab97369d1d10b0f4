//! Retries of all entries together stay within the limit in any window.

use super::{arc, at, ms};
use limpetmux::core::retry_share::{RetryLimit, RetryShare};

const LIMIT: RetryLimit =
    RetryLimit { ratio: 0.2, allowance: 56.0, window: std::time::Duration::from_secs(10) };

#[test]
fn entries_that_all_retry_at_once_stay_within_the_limit() {
    // Guards against too many retries when a service fails every request while spare entries have
    // joined.
    let entries = 10;
    let service = arc("plain");
    let mut retries = 0_u32;

    for _ in 0..entries {
        let mut share = RetryShare::new(LIMIT);
        for tick in 0..1_000 {
            if tick % 10 == 0 {
                share.count_first(at(tick * 10), &service);
            }
            retries += u32::from(share.try_retry(at(tick * 10), &service, entries));
        }
    }

    let first_attempts = 100 * u32::try_from(entries).unwrap();
    assert!(
        f64::from(retries) <= 0.2 * f64::from(first_attempts) + 56.0,
        "{retries} of {first_attempts}"
    );
    assert!(retries > first_attempts / 10, "{retries} of {first_attempts}");
}

#[test]
fn share_is_available_again_after_the_window() {
    let service = arc("plain");
    let mut share = RetryShare::new(LIMIT);
    while share.try_retry(at(0), &service, 2) {}

    assert!(!share.try_retry(at(9_999), &service, 2));
    assert!(share.try_retry(at(10_001), &service, 2));
    assert!(ms(1) < LIMIT.window);
}
