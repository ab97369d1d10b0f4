//! Helpers without knowledge of the request path.

pub mod clock;
pub mod event;
pub mod exposition;
pub mod hash;
pub mod jsonc;
pub mod logging;
pub mod metrics;
pub mod throttle;
