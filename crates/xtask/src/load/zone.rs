//! Runs a load while operators take an availability zone out of service and put it back.
//!
//! The whole system runs in this process with stand-ins. The zone is taken out after one third of
//! the load's duration and put back after two thirds, with cold backend servers.

use super::{Load, LoadError, Sample, run};
use limpetmux_test_support::Deployment;
use limpetmux_test_support::config::summary_config;
use std::time::Duration;
use tokio::time::Instant;

/// Number of entries in the deployment; the load is sent to the first one.
const ENTRIES: usize = 2;

/// A step of an operator's change to the zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The operator took the zone out.
    Out,
    /// The zone was out on all nodes.
    OutInForce,
    /// The operator put the zone back.
    Back,
    /// The zone was back on all nodes.
    BackInForce,
}

/// The time of a change, from the start of the run.
pub type ZoneEvent = (Duration, Change);

/// Runs the load while the zone is taken out and put back.
///
/// # Errors
/// Returns [`LoadError`] if the client cannot be built.
pub async fn run_zone(load: &Load, zone: &str) -> Result<(Vec<Sample>, Vec<ZoneEvent>), LoadError> {
    let mut deployment = Deployment::start(summary_config(), ENTRIES).await;
    let load = Load { url: deployment.entries[0].url.clone(), ..load.clone() };
    let (samples, events) =
        tokio::join!(run(&load), change_zone(&mut deployment, zone, load.duration));
    deployment.stop().await;
    Ok((samples?, events))
}

async fn change_zone(
    deployment: &mut Deployment,
    zone: &str,
    duration: Duration,
) -> Vec<ZoneEvent> {
    let start = Instant::now();
    let mut events = Vec::new();
    tokio::time::sleep_until(start + duration / 3).await;
    events.push((start.elapsed(), Change::Out));
    let out = deployment.set_zone(zone, false).await;
    deployment.wait_in_force(out).await;
    events.push((start.elapsed(), Change::OutInForce));
    tokio::time::sleep_until(start + duration * 2 / 3).await;
    for host in deployment.zone_hosts(zone) {
        deployment.standins[&host].backend().turn_cold();
    }
    events.push((start.elapsed(), Change::Back));
    let back = deployment.set_zone(zone, true).await;
    deployment.wait_in_force(back).await;
    events.push((start.elapsed(), Change::BackInForce));
    events
}
