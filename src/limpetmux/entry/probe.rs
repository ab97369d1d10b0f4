//! Probes hosts from which the entry has received no recent reply, to refresh their load.

use super::Entry;
use super::attempt::is_connect;
use crate::util::clock;
use crate::wire::stage::ProbeRequest;
use std::sync::Weak;
use std::time::Duration;

/// The time between two rounds of probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of hosts of one service probed in a round.
const PROBES_PER_SERVICE: usize = 2;
/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes until the entry is dropped.
pub(super) async fn run(entry: Weak<Entry>) {
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(entry) = entry.upgrade() else { return };
        run_round(&entry).await;
    }
}

async fn run_round(entry: &Entry) {
    let fleet = entry.fleet.load();
    let services = fleet.view.services.keys();
    let hosts = services.flat_map(|s| entry.policy.probes(s, PROBES_PER_SERVICE));
    let probes = hosts.map(|host| {
        let (fleet, policy) = (&fleet, &entry.policy);
        async move {
            let Some(mut client) = fleet.connections[host].client() else { return };
            let sent = clock::now();
            let answer = tokio::time::timeout(PROBE_TIMEOUT, client.probe(ProbeRequest {})).await;
            match answer {
                Ok(Ok(load)) => {
                    policy.record_load(&fleet.view.hosts[host].name, load.get_ref().into());
                    fleet.members.report_reply(&fleet.view, host, sent, load.get_ref());
                }
                Ok(Err(status)) if is_connect(&status) => {
                    fleet.members.report_unreachable(&fleet.view, host);
                }
                Ok(Err(_)) | Err(_) => {}
            }
        }
    });
    futures::future::join_all(probes).await;
}
