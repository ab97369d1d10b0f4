//! Service while operators take an availability zone out and bring it back.
//!
//! The whole system runs in this process, before stand-ins. A third of the way through the load the
//! zone goes out; after two thirds it returns, its backend servers cold.

use super::{Load, LoadError, Sample, run};
use limpetmux_test_support::Deployment;
use limpetmux_test_support::config::summary_config;
use std::time::Duration;
use tokio::time::Instant;

/// Entries of the deployment; the load goes to the first one.
const ENTRIES: usize = 2;

/// What operators did, and when it was in force on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// They took the zone out.
    Out,
    /// All nodes knew that it was out.
    OutInForce,
    /// They brought it back.
    Back,
    /// All nodes knew that it was back.
    BackInForce,
}

/// A moment of the run, from its start.
pub type Mark = (Duration, Change);

/// Runs the load while the zone leaves and returns.
///
/// # Errors
/// Returns [`LoadError`] if the client cannot be built.
pub async fn run_zone(load: &Load, zone: &str) -> Result<(Vec<Sample>, Vec<Mark>), LoadError> {
    let mut deployment = Deployment::start(summary_config(), ENTRIES).await;
    let load = Load { url: deployment.entries[0].url.clone(), ..load.clone() };
    let (samples, marks) = tokio::join!(run(&load), change(&mut deployment, zone, load.duration));
    deployment.stop().await;
    Ok((samples?, marks))
}

async fn change(deployment: &mut Deployment, zone: &str, duration: Duration) -> Vec<Mark> {
    let start = Instant::now();
    let mut marks = Vec::new();
    tokio::time::sleep_until(start + duration / 3).await;
    marks.push((start.elapsed(), Change::Out));
    let out = deployment.set_zone(zone, false).await;
    deployment.in_force(out).await;
    marks.push((start.elapsed(), Change::OutInForce));
    tokio::time::sleep_until(start + duration * 2 / 3).await;
    for host in deployment.zone_hosts(zone) {
        deployment.standins[&host].backend().turn_cold();
    }
    marks.push((start.elapsed(), Change::Back));
    let back = deployment.set_zone(zone, true).await;
    deployment.in_force(back).await;
    marks.push((start.elapsed(), Change::BackInForce));
    marks
}
