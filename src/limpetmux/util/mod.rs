//! Utilities that do not depend on the request path: clocks, hashes, logging and metrics.

pub mod clock;
pub mod event;
pub mod exposition;
pub mod hash;
pub mod jsonc;
pub mod logging;
pub mod metrics;
pub mod progress;
pub mod read_body;
pub mod read_stop;
pub mod throttle;
pub mod watched_stream;
