//! Counts allocations with an instrumented global allocator.

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Allocations of one measured call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocationStats {
    /// Bytes that stay allocated while the result is alive.
    pub retained: usize,
    /// Total bytes allocated, including those freed again.
    pub total: usize,
    /// The number of allocations.
    pub count: usize,
}

/// Runs `work` and returns its result and its allocations.
///
/// Allocations of all threads are counted, so no other thread may run meanwhile.
pub fn measure<T>(work: impl FnOnce() -> T) -> (T, AllocationStats) {
    let region = Region::new(ALLOCATOR);
    let value = work();
    let change = region.change();
    let retained = change.bytes_allocated.saturating_sub(change.bytes_deallocated);
    let stats =
        AllocationStats { retained, total: change.bytes_allocated, count: change.allocations };
    (value, stats)
}
