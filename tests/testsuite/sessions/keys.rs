//! A request that may run at most once, retried through a second entry.

use super::{check_outline, start};
use expect_test::expect_file;
use limpetmux::node::local::StandIn;
use limpetmux_standins::Plain;
use limpetmux_test_support::Deployment;
use limpetmux_test_support::deployment::wait_for;
use limpetmux_test_support::invariants::Fact;
use std::fmt::Write;
use uuid::Uuid;

/// The number of the request whose caller disconnects.
const LEFT_REQUEST: u64 = 5;
/// The factor on the time of a call that lets its caller disconnect while it runs.
const SLOWDOWN: u32 = 100;

fn services(deployment: &Deployment) -> impl Iterator<Item = &Plain> {
    deployment.standins.values().filter_map(|s| match s {
        StandIn::Plain(plain) => Some(plain),
        _ => None,
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_retry_through_a_second_entry() {
    let (deployment, [first, second]) = start().await;
    let keys = [(); 3].map(|()| Uuid::now_v7().to_string());

    // A key that was answered, sent again.
    first.port(&keys[0]).await;
    second.port(&keys[0]).await;
    // A key whose request ran, but whose answer from the service was lost.
    services(&deployment).for_each(|s| s.backend.faults.drop_responses(1));
    first.port(&keys[1]).await;
    second.port(&keys[1]).await;
    services(&deployment).for_each(|s| s.backend.faults.drop_responses(0));
    // A key whose caller disconnects while its request runs.
    services(&deployment).for_each(|s| s.backend.set_slowdown(SLOWDOWN));
    let (caller, key) = (first.clone(), keys[2].clone());
    let disconnected = tokio::spawn(async move { caller.port(&key).await });
    wait_for(|| deployment.run_counts().contains_key(&keys[2])).await;
    disconnected.abort();
    deployment.recorder.record(Fact::Abandoned { request: LEFT_REQUEST });
    second.port(&keys[2]).await;

    let mut notes = String::new();
    for (key, request) in keys.iter().zip((1..).step_by(2)) {
        let runs = deployment.run_counts()[key];
        writeln!(notes, "key of request {request}: runs {runs}").unwrap();
    }
    let file = expect_file!["../golden/key_retries.txt"];
    check_outline(deployment, &notes, &[1, 2, 3, 4, 5, 6], file).await;
}
