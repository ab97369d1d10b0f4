//! Backend servers that state in their answers that they leave, or for how long they want no requests.
//! See `docs/design/leaving.md`.

use super::node_fixture::{Fixture, fixture, settings};
use limpetmux::serve::run::start;
use limpetmux_standins::users::Arrival;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time after which a backend server that leaves has to get no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The time after which a `Retry-After` of a backend server binds.
const HOLD_LAG: Duration = Duration::from_millis(500);
/// The most requests that may reach a backend server while its `Retry-After` binds.
const MAX_HELD_ARRIVALS: usize = 2;

/// Lets the first plain backend server leave, and the entry pass on answers that say so.
async fn hear_leaving(fixture: &Fixture) {
    fixture.plain[0].set_leaving(true);
    for number in 0..10 {
        fixture.send("/safe/x", &format!("first-{number}")).await;
    }
    assert!(!fixture.plain[0].requests().is_empty(), "no answer states that the server leaves");
}

#[tokio::test(flavor = "multi_thread")]
async fn server_that_states_that_it_leaves_gets_no_later_requests() {
    // Guards against requests to a backend server that has said that it leaves, while the store still
    // lists it as ready (rule DRAIN).
    let fixture = fixture().await;
    hear_leaving(&fixture).await;

    sleep(DRAIN_TIME).await;
    let before = fixture.plain[0].requests().len();
    for number in 0..20 {
        fixture.send("/safe/x", &format!("late-{number}")).await;
    }

    assert_eq!(fixture.plain[0].requests().len() - before, 0, "requests at the leaving server");
}

#[tokio::test(flavor = "multi_thread")]
async fn server_that_refuses_with_retry_after_is_left_alone_for_that_time() {
    // Guards against requests to a backend server that has refused with Retry-After (rule BUDGET).
    let fixture = fixture().await;
    let time = Duration::from_secs(3);
    fixture.plain[0].set_retry_after(Some("3"));
    let mut number = 0;
    while fixture.plain[0].arrivals().is_empty() {
        fixture.send("/safe/x", &format!("first-{number}")).await;
        number += 1;
    }

    let refused_at = fixture.plain[0].arrivals()[0].at;
    while refused_at.elapsed() < time {
        fixture.send("/safe/x", &format!("held-{number}")).await;
        number += 1;
    }

    let held = |a: &&Arrival| a.at > refused_at + HOLD_LAG && a.at < refused_at + time;
    let arrivals = fixture.plain[0].arrivals().iter().filter(held).count();
    assert!(arrivals <= MAX_HELD_ARRIVALS, "{arrivals} requests at the refusing server");
}

/// Returns how many pieces a backend server of a stage computes for some requests.
async fn pieces_of(fixture: &Fixture, name: &str) -> u64 {
    let before = fixture.stages[0].results().0;
    for number in 0..5 {
        let sent = fixture.post_chain(&format!("{name}-{number}"), "1,1").send().await;
        drop(sent.expect("an answer").text().await);
    }
    fixture.stages[0].results().0 - before
}

#[tokio::test(flavor = "multi_thread")]
async fn stage_server_that_states_that_it_leaves_gets_no_later_calls() {
    // Guards against calls for pieces to a backend server that has said that it leaves (rule DRAIN).
    let fixture = fixture().await;
    fixture.stages[0].set_leaving(true);

    let first = pieces_of(&fixture, "first").await;
    sleep(DRAIN_TIME).await;
    let late = pieces_of(&fixture, "late").await;

    assert!(first > 0, "no answer states that the server leaves");
    assert_eq!(late, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn other_nodes_learn_that_a_server_leaves() {
    // Guards against a node that sends to a server which only another node has heard to leave.
    let fixture = fixture().await;
    let seeds = vec![fixture.sidecar.node_addr];
    let other = start(settings("other", fixture.store.addr, true, seeds)).await.expect("a node");
    while !other.is_ready() {
        sleep(Duration::from_millis(10)).await;
    }
    hear_leaving(&fixture).await;
    sleep(DRAIN_TIME).await;

    let before = fixture.plain[0].requests().len();
    let fixture = Fixture { entry: other, ..fixture };
    for number in 0..20 {
        fixture.send("/safe/x", &format!("other-{number}")).await;
    }

    assert_eq!(fixture.plain[0].requests().len() - before, 0, "requests of the other node");
}

#[tokio::test(flavor = "multi_thread")]
async fn pool_that_wants_no_requests_is_refused_at_once_with_a_true_time() {
    // Guards against requests that wait for servers which have asked for none, and against a
    // Retry-After that is shorter than what they have asked for.
    let fixture = fixture().await;
    fixture.plain.iter().for_each(|server| server.set_retry_after(Some("3")));
    for number in 0..4 {
        fixture.send("/once/x", &format!("first-{number}")).await;
    }

    let began = Instant::now();
    let answer = fixture.send("/once/x", "held").await;
    let took = began.elapsed();

    assert_eq!(answer.status(), 503);
    let retry = answer.headers()["retry-after"].to_str().expect("a text").parse::<f64>();
    assert!((1.5..=3.5).contains(&retry.expect("a number")), "{answer:?}");
    assert!(took < Duration::from_millis(500), "refused after {took:?}");
    assert_eq!(fixture.runs("held"), 0);
}
