//! Requests over TCP that are invalid, broken, cancelled or refused.

use futures::StreamExt;
use limpetmux::node::deployment::Deployment;
use limpetmux::node::local::{Local, LocalOptions, StandIn};
use limpetmux_standins::{Engine, engine};
use limpetmux_test_support::http::{Answer, Caller, split_events};
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::Duration;

const TOKENS: u32 = 64;

async fn start() -> (Local, Caller) {
    let options = LocalOptions { deployment: Deployment::PhLuzon, port: 0 };
    let local = Local::start(options).await.unwrap();
    let caller = Caller::new(&local.url());
    (local, caller)
}

fn engines(local: &Local) -> Vec<&Engine> {
    let standins = local.hosts.iter().map(|h| &h.standin);
    standins
        .filter_map(|s| match s {
            StandIn::Engine(engine) => Some(engine),
            _ => None,
        })
        .collect()
}

fn engine_of<'a>(local: &'a Local, name: &Value) -> &'a Engine {
    let host = local.hosts.iter().find(|h| *name == h.planned.name.as_str()).unwrap();
    match &host.standin {
        StandIn::Engine(engine) => engine,
        _ => panic!("{name} is no engine"),
    }
}

/// Returns the number of calls that any backend server has started.
fn started(local: &Local) -> u64 {
    local.hosts.iter().map(|h| h.standin.backend().counts().started).sum()
}

/// Waits until a condition holds; the test's own time limit is the only bound.
async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn problem(answer: &Answer) -> (u16, &str, &str) {
    let field = |name: &str| answer.body[name].as_str().unwrap_or_default();
    (answer.status, field("code"), field("execution"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_is_named_counted_and_runs_nothing() {
    let (local, caller) = start().await;
    let huge = format!("{{\"input\": \"{}\"}}", "x".repeat(2 << 20));
    let good = r#"{"input": "x"}"#;
    let rows: [(&str, &str, Option<&str>, &str, u16); 14] = [
        ("hotels", "voicemail", None, "{", 400),
        ("hotels", "voicemail", None, "[]", 400),
        ("hotels", "voicemail", None, "{}", 400),
        ("hotels", "voicemail", None, r#"{"input": "x", "other": 1}"#, 400),
        ("hotels", "voicemail", None, r#"{"input": "x", "deadline_ms": 0}"#, 400),
        ("hotels", "voicemail", None, r#"{"input": "x", "deadline_ms": 99999999}"#, 400),
        ("hotels", "voicemail", None, r#"{"input": "x", "deadline_ms": -1}"#, 400),
        ("hotels", "voicemail", None, r#"{"input": "x", "priority": 10}"#, 400),
        ("hotels", "voicemail", None, &huge, 413),
        ("hotels", "unknown", None, good, 404),
        ("unknown", "voicemail", None, good, 404),
        ("hotels", "number-port", None, good, 404),
        ("porting", "number-port", None, good, 400),
        ("porting", "number-port", Some("two words"), good, 400),
    ];

    for (workspace, pipeline, key, body, status) in &rows {
        let answer = caller.post(workspace, pipeline, *key, body.to_string()).await;

        let shown = &body[..body.len().min(60)];
        assert_eq!(problem(&answer), (*status, "bad_request", "not_run"), "{pipeline} {shown}");
        assert_eq!(answer.content_type, "application/problem+json");
    }

    let long = "k".repeat(17 * 1024);
    let answer = caller.post("porting", "number-port", Some(&long), good).await;
    assert_eq!(problem(&answer), (431, "bad_request", "not_run"));

    assert_eq!(started(&local), 0);
    let rejected = local.entry.counters().rejected.load(Ordering::Relaxed);
    assert_eq!(rejected, rows.len() as u64 + 1);
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_of_an_oversize_body_gets_its_answer_while_it_still_sends() {
    let (local, caller) = start().await;
    let huge = "x".repeat(12 << 20);

    for _ in 0..8 {
        let answer = caller.post("hotels", "voicemail", None, huge.clone()).await;

        assert_eq!(problem(&answer), (413, "bad_request", "not_run"));
    }
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_stream_resumes_without_losing_or_repeating_a_token() {
    let (local, caller) = start().await;
    let body = json!({ "input": "call me back" });
    let first = caller.run("hotels", "voicemail", &body).await;
    // The same prompt goes to the same engine again, as its prefix is cached there.
    engine_of(&local, &first.body["trailer"]["stages"][1]["host"]).break_next(1, 7);

    let events = caller.stream("hotels", "voicemail", &body).await;

    let (pieces, done) = split_events(&events);
    let embedding = limpetmux_standins::pool::output(
        limpetmux_standins::PoolKind::Encode,
        &json!("call me back"),
    );
    assert_eq!(pieces, engine::answer(&embedding.to_string(), TOKENS));
    let attempts = done["trailer"]["stages"][1]["attempts"].as_u64();
    assert_eq!(attempts, Some(2), "{done}");
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_that_cannot_be_resumed_ends_with_an_error() {
    let (local, caller) = start().await;
    engines(&local).iter().for_each(|e| e.break_next(100, 3));

    let events = caller.stream("hotels", "voicemail", &json!({ "input": "x" })).await;

    let last = events.last().unwrap();
    let body: Value = serde_json::from_str(&last.data).unwrap();
    assert_eq!(last.event, "error");
    assert_eq!((&body["code"], &body["execution"]), (&json!("failed"), &json!("partly_run")));
    assert!(events.iter().all(|e| e.event != "done"));
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn input_that_breaks_every_backend_server_is_held_back() {
    // Guards against an input that takes one backend server after the other, as each request with it is
    // resumed elsewhere and the next one starts anew (BUDGET, on the product's own interface).
    let (local, caller) = start().await;
    let encode = limpetmux_standins::PoolKind::Encode;
    let poison = limpetmux_standins::pool::output(encode, &json!("poison")).to_string();
    engines(&local).iter().for_each(|e| e.break_prompt(&poison));

    for _ in 0..8 {
        drop(caller.stream("hotels", "voicemail", &json!({ "input": "poison" })).await);
    }

    let broken: u32 = engines(&local).iter().map(|e| e.broken_prompts()).sum();
    let sound = caller.stream("hotels", "voicemail", &json!({ "input": "call me back" })).await;
    local.stop().await;
    assert!(sound.iter().any(|e| e.event == "done"));
    // Five may show what is wrong, and three more may be under way.
    assert!(broken <= 8, "{broken} streams broke");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_disconnects_frees_the_engine() {
    let (local, caller) = start().await;
    engines(&local).iter().for_each(|e| e.backend.set_slowdown(100));
    let answer = caller.open_stream("hotels", "voicemail", &json!({ "input": "x" })).await;
    let mut parts = answer.bytes_stream();
    parts.next().await.unwrap().unwrap();
    assert_eq!(engines(&local).iter().map(|e| e.backend.running()).sum::<u32>(), 1);

    drop(parts);

    until(|| engines(&local).iter().all(|e| e.backend.running() == 0)).await;
    let cancelled: u64 = engines(&local).iter().map(|e| e.backend.counts().cancelled).sum();
    assert_eq!(cancelled, 1);
    assert_eq!(local.entry.inflight(), 0);
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn passed_deadline_frees_the_engine_and_is_answered_at_once() {
    let (local, caller) = start().await;
    engines(&local).iter().for_each(|e| e.backend.set_stalled(true));

    let body = json!({ "input": "x", "deadline_ms": 300 });
    let answer = caller.run("hotels", "voicemail", &body).await;

    assert_eq!(problem(&answer), (504, "deadline", "partly_run"));
    engines(&local).iter().for_each(|e| e.backend.set_stalled(false));
    until(|| engines(&local).iter().all(|e| e.backend.running() == 0)).await;
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_idempotent_stage_is_retried_on_another_host() {
    let (local, caller) = start().await;
    let encoders = local.hosts.iter().filter(|h| h.planned.service.as_str() == "encoder");
    encoders.take(1).for_each(|h| h.standin.backend().faults.fail_next(1_000));

    // An unused retry budget of a workspace allows two retries.
    for n in 0..2 {
        let body = json!({ "input": format!("call {n}") });
        let answer = caller.run("hotels", "voicemail", &body).await;

        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_entry_refuses_with_a_retry_time() {
    let (local, caller) = start().await;
    assert_eq!(caller.get("/readyz").await.status, 200);
    local.entry.set_draining(true);

    let answer = caller.run("hotels", "voicemail", &json!({ "input": "x" })).await;

    assert_eq!(problem(&answer), (503, "draining", "not_run"));
    assert!(answer.retry_after >= Some(1));
    assert_eq!(caller.get("/readyz").await.status, 503);
    assert_eq!(caller.get("/healthz").await.status, 200);
    assert_eq!(caller.get("/openapi.json").await.body["openapi"], json!("3.0.3"));
    assert_eq!(started(&local), 0);
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_sidecars_refuse_as_not_run() {
    let (local, caller) = start().await;
    local.hosts.iter().for_each(|h| h.sidecar.gate().set_draining(true));

    let answer = caller.run("hotels", "voicemail", &json!({ "input": "x" })).await;

    assert_eq!(problem(&answer), (503, "draining", "not_run"));
    assert!(answer.retry_after >= Some(1));
    assert_eq!(started(&local), 0);
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_used_twice_runs_once_and_its_outcome_can_be_looked_up() {
    let (local, caller) = start().await;
    let body = json!({ "input": { "key": "port-1", "number": "+63 2 8123 4567" } });
    let key = uuid::Uuid::now_v7().to_string();

    let first = caller.run_once("porting", "number-port", &key, &body).await;
    let second = caller.run_once("porting", "number-port", &key, &body).await;
    let other = json!({ "input": { "key": "port-2" } });
    let reused = caller.run_once("porting", "number-port", &key, &other).await;
    let outcome = caller.outcome("porting", "number-port", &key).await;

    assert_eq!(first.status, 200, "{}", first.body);
    assert_eq!(second.body["output"], first.body["output"]);
    assert_eq!(problem(&reused), (422, "key_reused", "not_run"));
    assert_eq!(outcome.body["stages"][0]["state"], json!("answered"));
    assert_eq!(outcome.body["stages"][0]["output"], first.body["output"]);
    let ports = local.hosts.iter().filter(|h| h.planned.service.as_str() == "provisioning");
    let runs: u64 = ports.map(|h| h.standin.backend().counts().started).sum();
    assert_eq!(runs, 1);
    let look_ups = local.hosts.iter().filter(|h| h.planned.service.as_str() == "directory");
    let runs: u64 = look_ups.map(|h| h.standin.backend().counts().started).sum();
    assert_eq!(runs, 2, "the reused key has run a stage");
    local.stop().await;
}
