//! An availability zone is evacuated under load and returns with cold backend servers.

use super::{check_outline, note_phase, start};
use expect_test::expect_file;
use limpetmux::core::revision::Revision;
use limpetmux_test_support::Deployment;
use limpetmux_test_support::invariants::{RecordedCaller, Reply, send_round};
use std::fmt::Write;

const ZONE: &str = "mnl-a";

fn started_calls(deployment: &Deployment) -> u64 {
    let hosts = deployment.zone_hosts(ZONE);
    hosts.iter().map(|h| deployment.standins[h].backend().counts().started).sum()
}

/// Returns how many calls exceeded the limits of cold hosts in the zone.
fn overloads(deployment: &Deployment) -> u64 {
    let hosts = deployment.zone_hosts(ZONE);
    hosts.iter().map(|h| deployment.standins[h].backend().counts().overloads).sum()
}

/// Switches the zone while callers send requests, and waits until the change is in force.
async fn switch(
    deployment: &mut Deployment,
    callers: &[RecordedCaller],
    serving: bool,
) -> (Revision, Vec<Reply>) {
    let change = async {
        let revision = deployment.set_zone(ZONE, serving).await;
        deployment.wait_in_force(revision).await;
        revision
    };
    tokio::join!(change, send_round(callers, "change"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_out_and_back() {
    let (mut deployment, callers) = start().await;
    let mut notes = String::new();

    note_phase(&mut notes, "zone in", &send_round(&callers, "in").await);
    let (out, replies) = switch(&mut deployment, &callers, false).await;
    note_phase(&mut notes, &format!("zone leaves with {out}"), &replies);
    let before = started_calls(&deployment);
    note_phase(&mut notes, "zone out", &send_round(&callers, "out").await);
    writeln!(notes, "calls in the zone while out: {}", started_calls(&deployment) - before)
        .unwrap();
    for host in deployment.zone_hosts(ZONE) {
        deployment.restart_backend(&host).await;
    }
    let (back, replies) = switch(&mut deployment, &callers, true).await;
    note_phase(&mut notes, &format!("zone returns cold with {back}"), &replies);
    while started_calls(&deployment) == before {
        send_round(&callers, "return").await;
    }
    note_phase(&mut notes, "zone serves again", &send_round(&callers, "end").await);
    writeln!(notes, "calls beyond the limit of a cold host: {}", overloads(&deployment)).unwrap();

    check_outline(deployment, &notes, &[], expect_file!["../golden/zone_out_and_back.txt"]).await;
}
