//! Counts of allocations, through an instrumented allocator.

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// What a piece of work allocated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Bytes that are still allocated while the result is alive.
    pub kept: usize,
    /// Bytes allocated in all, including those freed again.
    pub churned: usize,
    /// The number of allocations.
    pub count: usize,
}

/// Runs a piece of work and returns its result with what it allocated.
///
/// Work of other threads is counted too, so only one thread may run meanwhile.
pub fn measure<T>(work: impl FnOnce() -> T) -> (T, Reading) {
    let region = Region::new(ALLOCATOR);
    let value = work();
    let change = region.change();
    let kept = change.bytes_allocated.saturating_sub(change.bytes_deallocated);
    let reading = Reading { kept, churned: change.bytes_allocated, count: change.allocations };
    (value, reading)
}
