//! Support.

pub mod once;
