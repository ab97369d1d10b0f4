//! Groups claims of idempotency keys into appends to the platform log.
