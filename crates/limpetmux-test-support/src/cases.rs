//! Property-test cases drawn from fixed seeds, so that every run checks the same cases.

use arbtest::arbitrary::{Result, Unstructured};
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const CASE_BYTES: usize = 4_096;

/// Checks a property on `count` cases; the n-th case is the same on every run and machine.
///
/// # Panics
/// Panics with the number of the first case for which the property panics.
pub fn check_cases(count: u64, property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    for case in 0..count {
        let mut bytes = vec![0; CASE_BYTES];
        Pcg64Mcg::seed_from_u64(case).fill_bytes(&mut bytes);
        let run = std::panic::AssertUnwindSafe(|| {
            // An error only means that the case ran out of bytes.
            let _ = property(&mut Unstructured::new(&bytes));
        });
        if let Err(panic) = std::panic::catch_unwind(run) {
            eprintln!("case {case} of {count} fails");
            std::panic::resume_unwind(panic);
        }
    }
}
