//! Runs the power planner under a lease in the platform log.
