//! Support.
