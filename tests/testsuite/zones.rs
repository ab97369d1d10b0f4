//! An availability zone is taken out and put back under load, with the log up, slow and down.

use limpetmux::core::config::Name;
use limpetmux::sidecar::Sidecar;
use limpetmux_test_support::Deployment;
use limpetmux_test_support::config::summary_config;
use limpetmux_test_support::deployment::{Node, wait_for};
use limpetmux_test_support::load::Load;
use std::time::Duration;

const ZONE: &str = "mnl-a";
const CALLERS: usize = 8;

async fn start() -> (Deployment, Load) {
    let deployment = Deployment::start(summary_config(), 2).await;
    let urls = deployment.entries.iter().map(|e| e.url.clone()).collect();
    let load = Load::start(urls, CALLERS, None);
    load.wait_for_answers(8).await;
    (deployment, load)
}

fn started(deployment: &Deployment, hosts: &[Name]) -> u64 {
    hosts.iter().map(|h| deployment.standins[h].backend().counts().started).sum()
}

/// Waits until no call runs in the zone, then asserts that none is dispatched there.
async fn assert_out(deployment: &Deployment, load: &Load) {
    let hosts = deployment.zone_hosts(ZONE);
    wait_for(|| hosts.iter().all(|h| deployment.sidecars[h].role.gate().is_idle())).await;
    let before = started(deployment, &hosts);
    assert!(before > 0, "the zone had no calls before it was out");
    load.wait_for_answers(24).await;
    assert_eq!(started(deployment, &hosts), before, "dispatches after the zone was out");
}

async fn assert_back(deployment: &Deployment, load: &Load) {
    let hosts = deployment.zone_hosts(ZONE);
    let before = started(deployment, &hosts);
    wait_for(|| started(deployment, &hosts) > before).await;
    load.wait_for_answers(8).await;
}

/// Restarts the zone's backend servers and waits until their sidecars have seen it.
async fn turn_cold(deployment: &Deployment) -> Vec<Name> {
    let hosts = deployment.zone_hosts(ZONE);
    for host in &hosts {
        let backend = deployment.standins[host].backend();
        backend.turn_cold();
        let gate = deployment.sidecars[host].role.gate();
        wait_for(|| gate.load().incarnation == backend.incarnation()).await;
    }
    hosts
}

async fn finish(deployment: Deployment, load: Load) {
    let tally = load.stop().await;
    assert_eq!(tally.faults, Vec::<String>::new());
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_leaves_and_returns_under_load_without_a_failed_request() {
    let (mut deployment, load) = start().await;

    let out = deployment.set_zone(ZONE, false).await;
    deployment.wait_in_force(out).await;
    assert_out(&deployment, &load).await;
    let cold = turn_cold(&deployment).await;
    let back = deployment.set_zone(ZONE, true).await;
    deployment.wait_in_force(back).await;
    assert_back(&deployment, &load).await;
    for host in &cold {
        let counts = deployment.standins[host].backend().counts();
        assert_eq!(counts.overloads, 0, "{host}: {counts:?}");
    }

    finish(deployment, load).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_leaves_with_the_log_slow() {
    let (mut deployment, load) = start().await;
    deployment.log.faults.set_slow(Duration::from_millis(500));

    let out = deployment.set_zone(ZONE, false).await;
    deployment.wait_in_force(out).await;
    assert_out(&deployment, &load).await;

    finish(deployment, load).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_leaves_with_the_log_down_after_one_node_has_read_it() {
    let (mut deployment, load) = start().await;
    let nodes = deployment.node_names();
    for node in &nodes[1..] {
        deployment.set_log_cut(node, true);
    }
    let out = deployment.set_zone(ZONE, false).await;
    let first = &deployment.sidecars[nodes[0].as_str()].control;
    wait_for(|| first.view.load().revision == out).await;
    deployment.log.faults.set_outage(true);

    deployment.wait_in_force(out).await;
    assert_out(&deployment, &load).await;
    for node in &nodes {
        deployment.set_log_cut(node, false);
    }
    assert_out(&deployment, &load).await;

    finish(deployment, load).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_of_idempotent_services_request_no_promise() {
    let (deployment, load) = start().await;
    load.wait_for_answers(24).await;

    let asked = |(name, node): (&Name, &Node<Sidecar>)| {
        let spec = &deployment.config.services[&deployment.config.hosts[name].service];
        let requests = node.role.once().map_or(0, |gate| gate.promise_requests());
        (spec.idempotent && requests > 0).then(|| name.clone())
    };
    let found: Vec<Name> = deployment.sidecars.iter().filter_map(asked).collect();

    assert_eq!(found, Vec::<Name>::new());
    finish(deployment, load).await;
}
