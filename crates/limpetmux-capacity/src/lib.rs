//! Measures what one node keeps, allocates and computes at a given size.
//!
//! [`probe`] holds one function per subject; each builds a configuration of a [`Size`], runs the
//! real code and returns a [`Reading`] of counts. The table command prints readings over several
//! sizes for `docs/CAPACITY.md`; `tests/bounds.rs` holds the counts at the target size against the
//! bounds of the target. Time is measured by the table command only, never in a test.
//!
//! [`Size`]: limpetmux_test_support::Size

pub mod alloc;
pub mod probe;
pub mod target;

pub use alloc::{Reading, measure};
