//! Bytes from outside are decoded or refused by every decoder of the system.
//!
//! A property sees arbitrary bytes and, mostly, valid inputs that [`damage`] has damaged. The n-th
//! case of a property is the same on every machine, and as many run on each unless a time is set.
//! `docs/design/reads.md` lists the decoders and says how to run the properties longer.

mod answers;
mod callers;
mod corpus;
mod damage;
mod platform_records;
mod product_answers;
mod product_messages;
mod product_records;
mod stage_messages;
mod store;

use arbtest::arbitrary::{Result, Unstructured};
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::panic::{AssertUnwindSafe, catch_unwind, resume_unwind};
use std::time::{Duration, Instant};

/// The environment variable for the time of each property in milliseconds, instead of a number of
/// cases.
const TIME_VARIABLE: &str = "LIMPETMUX_FUZZ_MS";
/// The cases of a property without it.
const CASES: u64 = 2_000;
/// The random bytes from which a case is drawn.
const CASE_BYTES: usize = 4_096;
/// The longest time that a case may take, which a busy machine never needs for a linear decoder.
const MAX_CASE_TIME: Duration = Duration::from_secs(5);

/// Returns the time that is set for each property.
fn set_time() -> Option<Duration> {
    let text = std::env::var(TIME_VARIABLE).ok()?;
    Some(Duration::from_millis(text.parse().expect("a number of milliseconds")))
}

/// Checks a property on cases from fixed seeds.
pub(crate) fn check(name: &str, property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    let (started, time) = (Instant::now(), set_time());
    let (mut cases, mut slowest) = (0, Duration::ZERO);
    while time.map_or(cases < CASES, |time| started.elapsed() < time) {
        let case_started = Instant::now();
        check_case(name, cases, &property);
        slowest = slowest.max(case_started.elapsed());
        cases += 1;
    }
    println!("{name}: {cases} cases in {:.1?}, the slowest in {slowest:.1?}", started.elapsed());
    assert!(slowest < MAX_CASE_TIME, "{name}: a case took {slowest:?}");
}

fn check_case(name: &str, case: u64, property: &impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    let mut bytes = vec![0; CASE_BYTES];
    Pcg64Mcg::seed_from_u64(case).fill_bytes(&mut bytes);
    let run = AssertUnwindSafe(|| {
        // An error only means that the case ran out of bytes.
        let _ = property(&mut Unstructured::new(&bytes));
    });
    if let Err(panic) = catch_unwind(run) {
        eprintln!("{name}: case {case} fails");
        resume_unwind(panic);
    }
}

/// Cuts bytes into parts at arbitrary places.
fn cut(u: &mut Unstructured<'_>, bytes: &[u8]) -> Result<Vec<Vec<u8>>> {
    let mut parts = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        let longest = if u.ratio(1, 2)? { rest.len().min(3) } else { rest.len() };
        let (part, remaining) = rest.split_at(u.int_in_range(1..=longest)?);
        parts.push(part.to_vec());
        rest = remaining;
        if parts.len() >= 64 && !rest.is_empty() {
            parts.push(std::mem::take(&mut rest).to_vec());
        }
    }
    Ok(parts)
}

/// Runs asynchronous work on a runtime of its own.
fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(work)
}
