//! A burst of requests to a backend server that has just restarted.

use super::check_session;
use expect_test::expect_file;
use limpetmux_test_support::burst::{COLD_CONCURRENCY, WARM_CONCURRENCY, run_burst};
use limpetmux_test_support::invariants::{Guarantee, violations};

#[test]
fn cold_start_under_burst() {
    let journal = run_burst(COLD_CONCURRENCY);

    check_session(&journal, "", expect_file!["../golden/cold_start.txt"]);
}

#[test]
fn checker_catches_admission_without_cold_bound() {
    let journal = run_burst(WARM_CONCURRENCY);

    let broken: Vec<Guarantee> = violations(&journal).iter().map(|v| v.guarantee).collect();
    assert!(!broken.is_empty() && broken.iter().all(|p| *p == Guarantee::ColdBound), "{broken:?}");
}
