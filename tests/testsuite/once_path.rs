//! Idempotency keys over TCP: each runs at most once across retries, crashes, outages and moves.

use limpetmux_standins::BackendOptions;
use limpetmux_test_support::http::Answer;
use limpetmux_test_support::once_fleet::{OnceFleet, PIPELINE, WORKSPACE};
use serde_json::json;
use std::time::Duration;
use uuid::Uuid;

fn fresh_key() -> String {
    Uuid::now_v7().to_string()
}

/// Sends a request with a key through one of the entries.
async fn send(fleet: &OnceFleet, entry: usize, key: &str) -> Answer {
    let body = json!({ "input": { "key": key } });
    fleet.callers[entry].run_once(WORKSPACE, PIPELINE, key, &body).await
}

/// Returns a key of which the given host is the home.
fn key_of(fleet: &OnceFleet, host: usize) -> String {
    std::iter::repeat_with(fresh_key).find(|k| fleet.home_index(k) == host).unwrap()
}

/// Sends new keys until one is answered, and returns that key and its answer.
async fn send_until_answered(fleet: &OnceFleet, home: usize) -> (String, Answer) {
    loop {
        let key = key_of(fleet, home);
        let answer = send(fleet, 0, &key).await;
        if answer.status == 200 {
            return (key, answer);
        }
        assert!(fleet.run_count(&key) == 0, "{:?} after a run", answer.body);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_through_another_entry_gets_the_stored_answer() {
    let fleet = OnceFleet::start().await;
    let key = fresh_key();
    let first = send(&fleet, 0, &key).await;

    let second = send(&fleet, 1, &key).await;

    assert_eq!(first.status, 200, "{:?}", first.body);
    assert_eq!(second.body["output"], first.body["output"]);
    assert_eq!(fleet.run_count(&key), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_without_a_time_runs_once_on_a_first_process() {
    let fleet = OnceFleet::start().await;
    let (key, _) = send_until_answered(&fleet, 0).await;
    let untimed = format!("order-{key}");

    let answers = [send(&fleet, 0, &untimed).await, send(&fleet, 1, &untimed).await];

    assert_eq!(answers.map(|a| a.status), [200, 200]);
    assert_eq!(fleet.run_count(&untimed), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_entries_racing_one_key_share_one_run() {
    let fleet = OnceFleet::start().await;
    let key = fresh_key();

    let (a, b) = tokio::join!(send(&fleet, 0, &key), send(&fleet, 1, &key));

    assert_eq!([a.status, b.status], [200, 200]);
    assert_eq!(a.body["output"], b.body["output"]);
    assert_eq!(fleet.run_count(&key), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_with_another_body_is_refused() {
    let fleet = OnceFleet::start().await;
    let key = fresh_key();
    send(&fleet, 0, &key).await;
    let other = json!({ "input": { "key": "another" } });

    let answer = fleet.callers[1].run_once(WORKSPACE, PIPELINE, &key, &other).await;

    assert_eq!(answer.status, 422);
    assert_eq!(answer.body["code"], "key_reused");
    assert_eq!(fleet.run_count("another"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_from_the_future_runs_nothing() {
    let fleet = OnceFleet::start().await;
    let future = uuid::Timestamp::from_unix(uuid::NoContext, u64::from(u32::MAX), 0);
    let key = Uuid::new_v7(future).to_string();

    let answer = send(&fleet, 0, &key).await;

    assert_eq!((answer.status, fleet.run_count(&key)), (400, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_crash_leaves_one_run_and_its_answer() {
    let fleet = OnceFleet::start().await;
    let key = fresh_key();
    fleet.hosts[fleet.home_index(&key)].plain.backend.set_slowdown(20);
    let body = json!({ "input": { "key": key } });
    let crashed = fleet.callers[0].clone();
    let sent = key.clone();
    let request =
        tokio::spawn(async move { crashed.run_once(WORKSPACE, PIPELINE, &sent, &body).await });
    while fleet.run_count(&key) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    request.abort();
    fleet.kill_entry(0);

    let answer = send(&fleet, 1, &key).await;

    assert_eq!((answer.status, fleet.run_count(&key)), (200, 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_home_never_runs_an_old_key_again() {
    let mut fleet = OnceFleet::start().await;
    let key = fresh_key();
    let home = fleet.home_index(&key);
    send(&fleet, 0, &key).await;
    fleet.kill(home).await;
    fleet.restart(home).await;

    let answer = send(&fleet, 1, &key).await;

    assert_eq!(answer.body["execution"], "unknown");
    assert_eq!(fleet.run_count(&key), 1);
    let (fresh, _) = send_until_answered(&fleet, home).await;
    assert_eq!(fleet.run_count(&fresh), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_run_once_while_the_log_is_down() {
    let fleet = OnceFleet::start().await;
    let before = fresh_key();
    send(&fleet, 0, &before).await;
    fleet.log.faults.set_outage(true);

    let (key, first) = send_until_answered(&fleet, 0).await;

    let again = send(&fleet, 1, &key).await;
    assert_eq!(again.body["output"], first.body["output"]);
    assert_eq!(fleet.run_count(&key), 1);
    assert_eq!(send(&fleet, 1, &before).await.status, 200);
    assert_eq!(fleet.run_count(&before), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_of_a_claim_leads_to_one_run() {
    let fleet = OnceFleet::start().await;
    send_until_answered(&fleet, 0).await;
    let key = key_of(&fleet, 0);
    fleet.log.faults.drop_responses(1);

    let answer = send(&fleet, 0, &key).await;

    assert_eq!((answer.status, fleet.run_count(&key)), (200, 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answer_of_the_service_is_unknown_and_never_repeated() {
    let fleet = OnceFleet::start().await;
    let key = fresh_key();
    fleet.hosts[fleet.home_index(&key)].plain.backend.faults.drop_responses(1);

    let answers = [send(&fleet, 0, &key).await, send(&fleet, 1, &key).await];

    assert_eq!(answers.map(|a| a.body["execution"].clone()), [json!("unknown"), json!("unknown")]);
    assert!(fleet.run_count(&key) <= 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn successor_takes_over_from_a_killed_home() {
    let mut fleet = OnceFleet::start().await;
    let old = key_of(&fleet, 0);
    send(&fleet, 0, &old).await;
    fleet.kill(0).await;

    let (key, _) = send_until_answered(&fleet, 0).await;

    assert_eq!(fleet.run_count(&key), 1);
    let answer = send(&fleet, 1, &old).await;
    assert_eq!(answer.body["execution"], "unknown");
    assert_eq!(fleet.run_count(&old), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_out_hands_keys_over_with_their_answers() {
    let mut fleet = OnceFleet::start().await;
    let (old, first) = send_until_answered(&fleet, 0).await;
    fleet.set_serving(0, false);
    let (key, _) = send_until_answered(&fleet, 0).await;

    let again = send(&fleet, 1, &old).await;

    assert_eq!(again.body["output"], first.body["output"]);
    assert_eq!([fleet.run_count(&old), fleet.run_count(&key)], [1, 1]);
    assert_eq!(fleet.hosts[1].plain.keys().get(&key), Some(&1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_home_hands_its_answers_to_the_successor() {
    let mut fleet = OnceFleet::start().await;
    let (old, first) = send_until_answered(&fleet, 0).await;
    fleet.drain(0).await;

    let again = send(&fleet, 1, &old).await;

    assert_eq!(again.body["output"], first.body["output"], "{:?}", again.body);
    assert_eq!(fleet.run_count(&old), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returning_zone_gets_its_keys_back_with_their_answers() {
    let mut fleet = OnceFleet::start().await;
    send_until_answered(&fleet, 0).await;
    fleet.set_serving(0, false);
    let (key, first) = send_until_answered(&fleet, 0).await;
    fleet.set_serving(0, true);

    let home_ran = loop {
        let (fresh, _) = send_until_answered(&fleet, 0).await;
        if fleet.hosts[0].plain.keys().contains_key(&fresh) {
            break fresh;
        }
    };

    let again = send(&fleet, 1, &key).await;
    assert_eq!(again.body["output"], first.body["output"]);
    assert_eq!([fleet.run_count(&key), fleet.run_count(&home_ran)], [1, 1]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn newer_keys_of_a_removed_home_run_on_the_remaining_host() {
    let mut fleet = OnceFleet::start().await;
    let (old, _) = send_until_answered(&fleet, 0).await;
    fleet.remove_host(0);

    let (key, _) = send_until_answered(&fleet, 1).await;

    assert_eq!(fleet.hosts[1].plain.keys().get(&key), Some(&1));
    let again = send(&fleet, 1, &old).await;
    assert_eq!(again.body["execution"], "unknown", "{:?}", again.body);
    assert_eq!([fleet.run_count(&old), fleet.run_count(&key)], [1, 1]);
}

/// Lets the home accept a key and moves its keys before the dispatch. Returns the keys that the
/// service refused, how often the key ran, and the key.
async fn dispatch_after_a_move(checks_fence: bool) -> (Vec<String>, u32, String) {
    let options = BackendOptions { checks_fence, ..BackendOptions::default() };
    let mut fleet = OnceFleet::start_shared(options).await;
    send_until_answered(&fleet, 0).await;
    let key = key_of(&fleet, 0);
    fleet.set_paused(true);
    let (caller, sent) = (fleet.callers[0].clone(), key.clone());
    let body = json!({ "input": { "key": key } });
    let request =
        tokio::spawn(async move { caller.run_once(WORKSPACE, PIPELINE, &sent, &body).await });
    while fleet.held_calls() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.set_serving(0, false);
    send_until_answered(&fleet, 0).await;
    fleet.set_paused(false);
    request.await.unwrap();
    let plain = &fleet.hosts[0].plain;
    (plain.fenced(), fleet.run_count(&key), key)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_that_compares_fences_refuses_a_paused_former_home() {
    let (fenced, runs, key) = dispatch_after_a_move(true).await;

    assert_eq!(fenced, [key]);
    assert!(runs <= 1, "{runs} runs");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_that_ignores_fences_runs_a_paused_key_late_and_once() {
    let (fenced, runs, _) = dispatch_after_a_move(false).await;

    assert_eq!((fenced, runs), (Vec::new(), 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outcome_look_up_returns_the_whole_answer() {
    let fleet = OnceFleet::start().await;
    let (key, answer) = send_until_answered(&fleet, 0).await;

    let found = fleet.callers[1].outcome(WORKSPACE, PIPELINE, &key).await;

    assert_eq!(found.body["stages"][0]["state"], "answered");
    assert_eq!(found.body["stages"][0]["output"], answer.body["output"]);
}
