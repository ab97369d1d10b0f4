//! Which hosts are awake.
