//! The integration tests, one module per subject.

mod kernel;
mod once_explore;
