//! An entry and a sidecar serve requests over TCP, against stand-ins of the users' platform.

use super::node_fixture::{Fixture, config, fixture};
use limpetmux_standins::users::{UsersFault, UsersServer};
use reqwest::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use reqwest::{Client, RequestBuilder};
use std::time::Duration;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn request_is_forwarded_unchanged_except_for_headers_that_the_system_sets() {
    let fixture = fixture().await;

    let answer = fixture.send("/once/x?y=1", "a1").await;

    assert_eq!(answer.status(), 200);
    let metrics = Client::new().get(format!("http://{}/metrics", fixture.entry.metrics_addr));
    let metrics = metrics.send().await.unwrap().text().await.unwrap();
    let answered = r#"limpetmux_requests_answered{workspace="w1",pipeline="r1"} 1"#;
    assert!(metrics.contains(answered), "{metrics}");
    assert!(metrics.contains("limpetmux_request_time_bucket"), "{metrics}");
    assert_eq!(answer.headers()["x-limpetmux-response-signature"], "signed");
    assert!(answer.text().await.unwrap().contains("from p"));
    let seen: Vec<_> = fixture.plain.iter().flat_map(UsersServer::requests).collect();
    let headers = &seen[0].headers;
    assert_eq!(headers["x-limpetmux-tenant-id"], "w1");
    assert!(!headers.contains_key("authorization"));
    assert!(headers["x-limpetmux-deadline-ms"].parse::<u32>().unwrap() <= 2_000);
    assert_eq!((seen[0].path.as_str(), &seen[0].body[..]), ("/once/x", &b"body"[..]));
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_reach_no_backend_server() {
    let fixture = fixture().await;
    let status =
        |request: RequestBuilder| async { request.send().await.unwrap().status().as_u16() };

    let unknown_route = status(fixture.post("/nowhere/", "b1")).await;
    let two_keys = fixture.post("/once/", "b2").header("authorization", "Bearer k1");
    let two_keys = status(two_keys).await;
    let too_large = status(fixture.post("/once/", "b3").body("x".repeat(2_000))).await;
    let bad_pieces = status(fixture.post("/once/", "b4").header("x-limpetmux-pieces", "a")).await;

    assert_eq!((unknown_route, two_keys, too_large, bad_pieces), (404, 401, 413, 400));
    assert!(fixture.plain.iter().all(|s| s.requests().is_empty()));
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_that_may_have_run_is_not_retried() {
    let fixture = fixture().await;

    fixture.set_fault(UsersFault::WrongId);
    let crossed = fixture.send("/once/", "c1").await.status();
    fixture.set_fault(UsersFault::Unsigned);
    let unsigned = fixture.send("/once/", "c2").await.status();
    fixture.set_fault(UsersFault::Error);
    let failed = fixture.send("/once/", "c3").await.status();

    assert_eq!((crossed.as_u16(), unsigned.as_u16(), failed.as_u16()), (502, 502, 500));
    assert_eq!(["c1", "c2", "c3"].map(|id| fixture.runs(id)), [1, 1, 1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_retried_within_its_attempts() {
    let fixture = fixture().await;
    fixture.set_fault(UsersFault::Error);

    let answer = fixture.send("/safe/", "d1").await;

    assert_eq!(answer.status(), 500);
    assert_eq!(answer.headers()["x-limpetmux-response-signature"], "signed");
    assert_eq!(fixture.runs("d1"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_request_has_not_run_and_gets_a_retry_time() {
    let fixture = fixture().await;
    fixture.set_fault(UsersFault::Refused);

    let answer = fixture.send("/once/", "e1").await;

    assert_eq!(answer.status(), 503);
    let retry: f64 = answer.headers()["retry-after"].to_str().unwrap().parse().unwrap();
    assert!(retry > 0.0 && retry < 1.0, "{retry}");
    assert_eq!(fixture.runs("e1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn results_of_stages_are_passed_on_and_freed() {
    let fixture = fixture().await;
    let request = fixture.post("/chain/", "f1").header("x-limpetmux-pieces", "2,3");

    let answer = request.header("x-limpetmux-piece-key", "k").send().await.unwrap();

    assert_eq!(answer.status(), 200);
    assert!(answer.text().await.unwrap().contains("from e1"));
    let seen = fixture.engine.requests();
    let inputs: Vec<&str> = seen[0].headers["x-limpetmux-inputs"].split(',').collect();
    assert_eq!(inputs.len(), 3);
    assert!(inputs.iter().all(|i| i.starts_with(&fixture.stages[1].addr.to_string())));
    while fixture.stages.iter().map(|s| s.results().1.len()).sum::<usize>() < 5 {
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(fixture.stages.each_ref().map(|s| s.results().0), [2, 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn new_configuration_and_draining_servers_take_effect() {
    let fixture = fixture().await;
    fixture.store.put("keyed.servers", "p1", &fixture.plain[0].entry("plain", "mnl-a", "draining"));
    fixture.store.put("keyed.op", "config", &config(2, "k2"));

    // The new version no longer has the key `k1`.
    while fixture.send("/safe/", "g1").await.status() != 401 {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(1_500)).await;
    let before = fixture.plain[0].requests().len();
    for number in 0..10 {
        let request = fixture.post("/safe/", &format!("h{number}"));
        let key = HeaderMap::from_iter([(AUTHORIZATION, HeaderValue::from_static("Bearer k2"))]);
        let request = request.headers(key);
        assert_eq!(request.send().await.unwrap().status(), 200);
    }

    assert_eq!(fixture.plain[0].requests().len(), before, "a draining server gets no new requests");
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_are_refused_during_a_long_outage_of_the_store() {
    let fixture = fixture().await;
    fixture.store.set_down(true);
    let early = fixture.send("/once/", "i1").await.status();

    while fixture.send("/once/", "i2").await.status() == 200 {
        sleep(Duration::from_millis(100)).await;
    }
    let refused = fixture.send("/once/", "i3").await;
    fixture.store.set_down(false);
    while fixture.send("/once/", "i4").await.status() != 200 {
        sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(early, 200);
    assert_eq!(refused.status(), 503);
    assert_eq!(fixture.runs("i3"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_entry_is_not_ready_but_serves_until_the_load_balancer_notices() {
    let fixture = fixture().await;
    let readiness = format!("http://{}/ready", fixture.entry.readiness_addr.unwrap());
    let callers = fixture.entry.caller_addr.unwrap();
    let ready = Client::new().get(&readiness).send().await.unwrap().status();
    let request = fixture.post("/once/", "j1");
    let Fixture { entry, plain, .. } = fixture;

    let drain = tokio::spawn(entry.drain());
    sleep(Duration::from_millis(200)).await;
    let unready = Client::new().get(&readiness).send().await.unwrap().status();
    let answer = request.send().await.unwrap();

    assert_eq!((ready.as_u16(), unready.as_u16()), (200, 503));
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.headers()["connection"], "close");
    assert_eq!(drain.await.unwrap(), 0);
    assert!(plain.iter().any(|s| !s.requests().is_empty()) && callers.port() > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_many_short_headers_is_served() {
    // Guards against a limit on the number of headers that no configuration states.
    let fixture = fixture().await;
    let mut request = fixture.post("/once/", "h1");
    for number in 0..300 {
        request = request.header(format!("x-{number}"), "1");
    }

    let answer = request.send().await.unwrap();

    assert_eq!(answer.status(), 200);
    assert_eq!(fixture.runs("h1"), 1);
}
