//! Polls the load and the incarnation of the backend server.

use super::Sidecar;
use crate::adapters::backend::BackendError;
use crate::util::read_stop;
use std::sync::Weak;
use std::time::Duration;

/// The time between two load reports.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Polls load reports until the sidecar is dropped.
pub(super) async fn run(sidecar: Weak<Sidecar>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(sidecar) = sidecar.upgrade() else { return };
        match (sidecar.backend.load)().await {
            Ok(report) => sidecar.gate.observe(report),
            Err(BackendError::Exceeded(exceeded)) => {
                read_stop::record(&sidecar.metrics, exceeded, "load report");
            }
            // A report that is missing is not replaced; its age is what the gate sees.
            Err(_) => {}
        }
    }
}
