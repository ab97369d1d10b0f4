//! Measures memory, allocations and processor time of one node at a given deployment size.
//!
//! Each function of [`probe`] builds a configuration of a [`Size`], runs the production code and
//! returns the [`AllocationStats`]. The binary prints these counts over several sizes for
//! `docs/CAPACITY.md`; `tests/bounds.rs` compares those at the target size with the limits in
//! [`target`]. Only the binary and the benchmarks measure time, never a test.
//!
//! [`Size`]: limpetmux_test_support::Size

pub mod alloc;
pub mod probe;
pub mod target;

pub use alloc::{AllocationStats, measure};
