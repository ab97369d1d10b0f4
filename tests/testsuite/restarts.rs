//! Every process is replaced in turn under load.

use limpetmux::core::config::Name;
use limpetmux::node::local::StandIn;
use limpetmux_standins::HostState;
use limpetmux_test_support::Deployment;
use limpetmux_test_support::config::{name, summary_config};
use limpetmux_test_support::deployment::wait_for;
use limpetmux_test_support::load::Load;
use std::collections::BTreeMap;
use std::sync::Arc;

const CALLERS: usize = 8;
const ENTRIES: usize = 2;

/// Adds up how often each key ran on any host.
fn runs(deployment: &Deployment) -> BTreeMap<String, u32> {
    let plain = |s: &StandIn| match s {
        StandIn::Plain(plain) => plain.keys(),
        _ => BTreeMap::new(),
    };
    let mut runs = BTreeMap::new();
    for (key, count) in deployment.standins.values().flat_map(plain) {
        *runs.entry(key).or_default() += count;
    }
    runs
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn host_that_the_platform_lists_as_leaving_gets_no_new_work() {
    let deployment = Deployment::start(summary_config(), ENTRIES).await;
    let urls = deployment.entries.iter().map(|e| e.url.clone()).collect();
    let load = Load::start(urls, CALLERS, None);
    load.wait_for_answers(8).await;
    let host = name("generate-0");
    let gate = deployment.sidecars[&host].role.gate();
    let backend = deployment.standins[&host].backend();

    deployment.hosts.set(host.as_str(), HostState::Leaving, 1);
    wait_for(|| deployment.entries.iter().all(|e| !e.is_host_usable(&host))).await;
    wait_for(|| gate.is_draining() && gate.is_idle()).await;
    let before = backend.counts().started;
    load.wait_for_answers(16).await;

    assert_eq!(backend.counts().started, before);
    let tally = load.stop().await;
    assert_eq!(tally.faults, Vec::<String>::new());
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_loses_cuts_and_doubles_nothing() {
    let mut deployment = Deployment::start(summary_config(), ENTRIES).await;
    let urls = deployment.entries.iter().map(|e| e.url.clone()).collect();
    let load = Load::start(urls, CALLERS, Some("port"));
    load.wait_for_answers(8).await;

    let hosts: Vec<Name> = deployment.sidecars.keys().cloned().collect();
    for host in &hosts {
        let report = deployment.restart_sidecar(host).await;
        assert!(report.is_clean(), "{host}: {report:?}");
        load.wait_for_answers(4).await;
    }
    for index in 0..ENTRIES {
        let report = deployment.restart_entry(index, &load.urls).await;
        assert!(report.is_clean(), "entry {index}: {report:?}");
        load.wait_for_answers(4).await;
    }
    let keys = Arc::clone(&load.keys);
    let tally = load.stop().await;

    assert_eq!(tally.faults, Vec::<String>::new());
    let runs = runs(&deployment);
    let doubled: Vec<_> = runs.iter().filter(|(_, count)| **count != 1).collect();
    assert!(doubled.is_empty(), "{doubled:?}");
    let keys = keys.lock().unwrap().clone();
    let lost: Vec<_> = keys.iter().filter(|key| !runs.contains_key(*key)).collect();
    assert!(lost.is_empty() && !keys.is_empty(), "{lost:?}");
    deployment.stop().await;
}
