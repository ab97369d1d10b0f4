//! The checker catches a running deployment with a safeguard off or with faulty backend servers.
//!
//! The table in `docs/design/invariants.md` lists one of these for each guarantee.

use super::start;
use futures::StreamExt;
use limpetmux::adapters::backend::{Backend, BackendError, Job};
use limpetmux::core::config::{Edit, ServiceSpec};
use limpetmux_standins::HostState;
use limpetmux_test_support::Deployment;
use limpetmux_test_support::config::{name, summary_config};
use limpetmux_test_support::deployment::{BackendWrapper, wait_for};
use limpetmux_test_support::invariants::{
    Fact, Guarantee, Journal, NEW_WORK_LIMIT, RecordedCaller, service_of, violations,
};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

const ZONE: &str = "mnl-a";
/// Longer than the time after which a zone or host that leaves must get no new work.
const LATE: Duration = NEW_WORK_LIMIT.saturating_add(Duration::from_secs(1));

fn broken(journal: &Journal) -> BTreeSet<Guarantee> {
    violations(journal).into_iter().map(|v| v.guarantee).collect()
}

/// Runs a summary with faulty backend servers of one service, and returns the broken guarantees.
async fn summary_with(
    service: &'static str,
    faulty: impl Fn(Backend) -> Backend + Send + Sync + 'static,
) -> BTreeSet<Guarantee> {
    let wrapper: BackendWrapper =
        Arc::new(
            move |place, backend| {
                if service_of(&place.host) == service { faulty(backend) } else { backend }
            },
        );
    let deployment = Deployment::start_with(summary_config(), 1, wrapper).await;
    RecordedCaller::new(&deployment.entries[0].url, &deployment.recorder)
        .summary("the night shift")
        .await;
    broken(&deployment.stop_unchecked().await)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_end_of_an_answer_is_caught() {
    let broken = summary_with("generate", |backend| {
        let run = Arc::clone(&backend.run);
        let short = move |job| {
            let answer = run(job);
            Box::pin(async move { Ok(answer.await?.take(3).boxed()) }) as _
        };
        Backend { run: Arc::new(short), ..backend }
    });

    let expected = [Guarantee::NoResultLost, Guarantee::WholeAnswer];
    assert_eq!(broken.await, expected.into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_to_another_input_is_caught() {
    let broken = summary_with("rerank", |backend| {
        let run = Arc::clone(&backend.run);
        let crossed = move |job| run(Job { input: "\"another\"".into(), ..job });
        Backend { run: Arc::new(crossed), ..backend }
    });

    assert_eq!(broken.await, [Guarantee::WholeAnswer].into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_after_the_run_is_caught() {
    let broken = summary_with("encode", |backend| {
        let run = Arc::clone(&backend.run);
        let refused = move |job| {
            let answer = run(job);
            Box::pin(async move {
                answer.await?.collect::<Vec<_>>().await;
                Err(BackendError::Refused { status: 503, retry_after: None })
            }) as _
        };
        Backend { run: Arc::new(refused), ..backend }
    });

    assert_eq!(broken.await, [Guarantee::TrueNotRun].into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_change_that_reaches_no_node_is_caught() {
    let (mut deployment, callers) = start().await;
    for node in deployment.node_names() {
        deployment.set_log_cut(&node, true);
    }

    deployment.set_zone(ZONE, false).await;
    deployment.recorder.advance(LATE);
    for caller in &callers {
        caller.summary("the night shift").await;
    }

    assert_eq!(broken(&deployment.stop_unchecked().await), [Guarantee::ZoneOut].into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_declared_idempotent_by_mistake_is_caught() {
    let (mut deployment, callers) = start().await;
    let service = name("provisioning");
    let spec = deployment.config.services[&service].clone();
    let wrong = ServiceSpec { idempotent: true, ..spec };
    let revision = deployment.change(vec![Edit::Service(service, Some(wrong))]).await;
    deployment.wait_in_force(revision).await;

    let key = Uuid::now_v7().to_string();
    for caller in &callers {
        caller.port(&key).await;
    }

    assert_eq!(deployment.run_counts()[&key], 2);
    assert_eq!(broken(&deployment.stop_unchecked().await), [Guarantee::AtMostOnce].into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_host_that_no_node_knows_of_is_caught() {
    let (deployment, [caller, _]) = start().await;
    deployment.hosts.faults.set_outage(true);
    for host in ["encode-0", "encode-1"] {
        deployment.hosts.set(host, HostState::Leaving, 1);
        deployment.recorder.record(Fact::Draining { host: host.to_owned(), is_draining: true });
    }

    deployment.recorder.advance(LATE);
    caller.summary("the night shift").await;

    assert_eq!(broken(&deployment.stop_unchecked().await), [Guarantee::Leaving].into());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shutdown_that_does_not_wait_is_caught() {
    let (mut deployment, [caller, _]) = start().await;
    let engines = ["generate-0", "generate-1"].map(|h| deployment.standins[h].backend().clone());
    engines.iter().for_each(|e| e.set_stalled(true));
    let request = tokio::spawn(async move { caller.summary("the night shift").await });
    wait_for(|| engines.iter().any(|e| e.running() > 0)).await;

    let entry = deployment.entries.remove(0);
    entry.drain_within(Some(Duration::ZERO)).await;
    request.await.unwrap();

    engines.iter().for_each(|e| e.set_stalled(false));
    assert_eq!(broken(&deployment.stop_unchecked().await), [Guarantee::GracefulShutdown].into());
}
