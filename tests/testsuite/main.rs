//! The integration tests, one module per subject.

mod admission;
mod budget;
mod cost;
mod kernel;
mod routing;
