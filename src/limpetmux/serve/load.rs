//! Counts what backend servers state about their load.
//!
//! Both paths to backend servers, requests and calls for pieces, pass what an answer states through
//! here before a decision uses it. See `docs/design/expected-work.md`.

use crate::core::work::load::{LoadNotice, ServerLoad};
use crate::util::metrics::{Metric, Metrics};

/// Counts what an answer of a backend server states about its load, and returns the load if it can be
/// used.
pub fn stated(metrics: &Metrics, notice: LoadNotice) -> Option<ServerLoad> {
    let name: &'static str = notice.into();
    if notice != LoadNotice::Unstated {
        metrics.count(Metric::ServerLoads, 1, &[("notice", name)]);
    }
    notice.load()
}
