//! Support.

pub mod policy;
