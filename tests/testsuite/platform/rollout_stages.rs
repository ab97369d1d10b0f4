//! Roll-outs of a service whose pieces a sidecar queues, and of model engines that a sidecar chooses. The
//! load is a steady one of requests with stages.

use super::node_fixture::{Fixture, fixture};
use limpetmux_standins::users::UsersServer;
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

const CALLERS: u32 = 6;
const PAUSE: Duration = Duration::from_millis(10);

fn state(fixture: &Fixture, service: &str) -> String {
    let history = fixture.store.history("keyed.status", &format!("rollout/{service}"));
    let last = history.last().map(|value| serde_json::from_slice::<Value>(value).unwrap());
    last.map_or_else(String::new, |status| status["state"].as_str().unwrap().to_owned())
}

/// Plays an order to a second backend server of a service; returns that one.
async fn complete(fixture: &Arc<Fixture>, service: &str) -> UsersServer {
    let new = UsersServer::start("n1").await.unwrap();
    let entry = new.entry_of("v2", service, "mnl-a", "ready");
    fixture.store.put("keyed.servers", "n1", &entry);
    let order = format!(r#"{{"service":"{service}","target":"v2","duration-s":10}}"#);
    fixture.store.put("keyed.op", &format!("rollout/{service}"), &order);
    let (mut callers, stops) = (JoinSet::new(), Arc::new(AtomicBool::new(false)));
    for caller in 0..CALLERS {
        let (fixture, stops) = (Arc::clone(fixture), Arc::clone(&stops));
        callers.spawn(async move {
            let mut number = 0;
            while !stops.load(Ordering::Relaxed) {
                number += 1;
                let request = fixture.post_chain(&format!("c{caller}-{number}"), "1,1");
                let answer = request.send().await.unwrap();
                drop(answer.text().await);
                sleep(PAUSE).await;
            }
        });
    }
    let end = Instant::now() + Duration::from_secs(14);
    while state(fixture, service) != "completed" {
        assert!(Instant::now() < end, "{service}: {}", state(fixture, service));
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(500)).await;
    stops.store(true, Ordering::Relaxed);
    while callers.join_next().await.is_some() {}
    new
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stage_service_is_completed_and_its_old_server_gets_no_calls() {
    let fixture = Arc::new(fixture().await);
    let new = complete(&fixture, "first").await;
    let (old, made) = (fixture.stages[0].results().0, new.results().0);
    assert!(old > 0 && made > 0, "{old} and {made}");
    let answer = fixture.post_chain("after", "1,1").send().await.unwrap();
    assert!(answer.status().is_success());
    assert_eq!(fixture.stages[0].results().0, old);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engines_are_completed_and_the_old_one_gets_no_requests() {
    let fixture = Arc::new(fixture().await);
    let new = complete(&fixture, "engine").await;
    let (old, ran) = (fixture.engine.requests().len(), new.requests().len());
    assert!(old > 0 && ran > 0, "{old} and {ran}");
    let answer = fixture.post_chain("after", "1,1").send().await.unwrap();
    assert!(answer.status().is_success());
    assert_eq!(fixture.engine.requests().len(), old);
}
