//! Requests over TCP from a caller through the entry and the sidecars to the stand-ins.

use futures::StreamExt;
use limpetmux::node::deployment::Deployment;
use limpetmux::node::local::{Local, LocalOptions};
use limpetmux_standins::{PoolKind, engine, pool};
use limpetmux_test_support::http::{self, Caller};
use serde_json::{Value, json};

const REQUESTS: usize = 200;
const TOKENS: u32 = 32;

async fn start() -> Local {
    let options = LocalOptions { deployment: Deployment::PhLuzon, port: 0 };
    Local::start(options).await.unwrap()
}

/// Returns what the stand-ins answer to an input of the `call-summary` pipeline.
fn expected(input: &Value) -> String {
    let kinds = [PoolKind::Encode, PoolKind::Retrieve, PoolKind::Rerank];
    let reranked = kinds.iter().fold(input.clone(), |input, kind| pool::output(*kind, &input));
    engine::answer(&reranked.to_string(), TOKENS).concat()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_whole_with_time_and_cost_by_stage() {
    let local = start().await;
    let caller = Caller::new(&local.url());
    let input = json!("summarise the night shift");

    let answer = caller.run("reception", "call-summary", &json!({ "input": input })).await;

    assert_eq!(answer.status, 200);
    assert_eq!(answer.body["output"], json!(expected(&input)));
    let stages = answer.body["trailer"]["stages"].as_array().unwrap();
    let names: Vec<&str> = stages.iter().map(|s| s["stage"].as_str().unwrap()).collect();
    assert_eq!(names, ["encode", "retrieve", "rerank", "generate"]);
    assert!(stages.iter().all(|s| s["elapsed_us"].as_u64() > Some(0)));
    let cost: u64 = stages.iter().map(|s| s["cost_micros"].as_u64().unwrap()).sum();
    assert_eq!(answer.body["trailer"]["cost_micros"].as_u64(), Some(cost));
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_tokens_and_closes_with_count_and_checksum() {
    let local = start().await;
    let caller = Caller::new(&local.url());
    let input = json!("summarise the day shift");

    let events = caller.stream("reception", "call-summary", &json!({ "input": input })).await;

    let (pieces, done) = http::split_events(&events);
    let text = pieces.concat();
    assert_eq!(text, expected(&input));
    assert_eq!(done["count"].as_u64(), Some(pieces.len() as u64));
    let checksum = limpetmux::util::hash::hash_bytes(text.as_bytes());
    assert_eq!(done["checksum"], json!(format!("{checksum:016x}")));
    local.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gives_each_of_many_callers_its_own_whole_answer() {
    let local = start().await;
    let caller = Caller::new(&local.url());
    let send = |n: usize| {
        let input = json!(format!("request number {n}"));
        let caller = caller.clone();
        async move {
            let body = json!({ "input": input, "deadline_ms": 60_000 });
            let answer = caller.run("hotels", "call-summary", &body).await;
            (input, answer)
        }
    };

    let answers: Vec<_> =
        futures::stream::iter((0..REQUESTS).map(send)).buffer_unordered(REQUESTS).collect().await;

    assert_eq!(answers.len(), REQUESTS);
    for (input, answer) in answers {
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(answer.body["output"], json!(expected(&input)));
    }
    local.stop().await;
}
