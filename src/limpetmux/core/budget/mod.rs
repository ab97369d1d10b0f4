//! Deadlines, retries and hedging.
