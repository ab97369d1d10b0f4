//! Backend servers that state in their answers that they leave, or for how long they want no requests.
//! See `docs/design/leaving.md`.

use super::node_fixture::fixture;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The time after which a backend server that leaves has to get no more requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The time after which a `Retry-After` of a backend server binds.
const HOLD_LAG: Duration = Duration::from_millis(500);
/// The most requests that may reach a backend server while its `Retry-After` binds.
const MAX_HELD_ARRIVALS: usize = 2;

#[tokio::test(flavor = "multi_thread")]
async fn server_that_states_that_it_leaves_gets_no_later_requests() {
    // Guards against requests to a backend server that has said that it leaves, while the store still
    // lists it as ready (rule DRAIN).
    let fixture = fixture().await;
    fixture.plain[0].set_leaving(true);
    for number in 0..10 {
        fixture.send("/safe/x", &format!("first-{number}")).await;
    }
    assert!(!fixture.plain[0].requests().is_empty(), "no answer states that the server leaves");

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

    let refused_at = fixture.plain[0].arrivals()[0];
    while refused_at.elapsed() < time {
        fixture.send("/safe/x", &format!("held-{number}")).await;
        number += 1;
    }

    let held = |at: &&Instant| **at > refused_at + HOLD_LAG && **at < refused_at + time;
    let arrivals = fixture.plain[0].arrivals().iter().filter(held).count();
    assert!(arrivals <= MAX_HELD_ARRIVALS, "{arrivals} requests at the refusing server");
}
