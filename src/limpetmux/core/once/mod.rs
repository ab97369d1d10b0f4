//! Runs non-idempotent stages at most once.
