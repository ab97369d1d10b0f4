//! The stand-ins inject the faults that other tests rely on.

use limpetmux::core::config::check;
use limpetmux_standins::users::{FurtherAnswer, FurtherTime, UsersFault, UsersServer};
use limpetmux_standins::{
    BackendOptions, Engine, EngineOptions, Log, LogOptions, Plain, Pool, PoolKind, engine, pool,
};
use limpetmux_test_support::{sample_config, small_config};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

async fn complete(url: &str, prompt: &str, prefix: &[String]) -> Result<String, reqwest::Error> {
    let body = json!({
        "model": "m", "prompt": prompt, "max_tokens": 12, "stream": true, "prefix": prefix,
        "request_id": prompt,
    });
    let response = client().post(format!("{url}/v1/completions")).json(&body).send().await?;
    response.error_for_status()?.text().await
}

fn tokens_of(text: &str) -> Vec<String> {
    let events = text.split("\n\n").filter_map(|e| e.strip_prefix("data: "));
    let values = events.filter_map(|e| serde_json::from_str::<Value>(e).ok());
    values.map(|v| v["choices"][0]["text"].as_str().unwrap().to_owned()).collect()
}

#[tokio::test]
async fn log_append_with_lost_answer_takes_effect() {
    let mut log = Log::start(LogOptions::default()).await.unwrap();
    let url = format!("{}/v1/streams/config/records", log.url());
    log.faults.drop_responses(1);

    let lost = client().post(&url).body("one").send().await;
    let kept = client().post(&url).body("two").send().await.unwrap();

    assert!(lost.is_err(), "{lost:?}");
    assert_eq!(kept.json::<Value>().await.unwrap()["offset"], 1);
    assert_eq!(log.records("config"), vec![(0, b"one".to_vec()), (1, b"two".to_vec())]);
    log.stop().await;
}

#[tokio::test]
async fn log_reads_from_first_kept_record() {
    let mut log = Log::start(LogOptions { max_records: 2, ..LogOptions::default() }).await.unwrap();
    let url = format!("{}/v1/streams/config/records", log.url());
    for body in ["a", "b", "c"] {
        client().post(&url).body(body).send().await.unwrap();
    }

    let page = client().get(format!("{url}?from=0")).send().await.unwrap();

    let expected = json!({
        "first": 1, "end": 3,
        "records": [{ "offset": 1, "data": "Yg==" }, { "offset": 2, "data": "Yw==" }],
    });
    assert_eq!(page.json::<Value>().await.unwrap(), expected);
    log.stop().await;
}

#[tokio::test]
async fn log_refuses_appends_beyond_rate() {
    let mut log = Log::start(LogOptions { rate: 1, ..LogOptions::default() }).await.unwrap();
    let url = format!("{}/v1/streams/config/records", log.url());

    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(client().post(&url).body("a").send().await.unwrap().status().as_u16());
    }

    assert!(statuses.contains(&429), "{statuses:?}");
    log.stop().await;
}

#[tokio::test]
async fn broken_completion_resumes_after_prefix() {
    let mut engine = Engine::start(EngineOptions::default()).await.unwrap();
    engine.break_next(1, 5);

    let broken = complete(&engine.url(), "storm", &[]).await;
    let all = engine::answer("storm", 12);
    let rest = complete(&engine.url(), "storm", &all[..5]).await.unwrap();

    assert!(broken.is_err(), "{broken:?}");
    assert_eq!(tokens_of(&rest), all[5..]);
    assert!(rest.ends_with("data: [DONE]\n\n"));
    assert_eq!(engine.tokens(), all.len() as u64);
    engine.stop().await;
}

#[tokio::test]
async fn cold_engine_refuses_beyond_bound() {
    let backend = BackendOptions {
        cold_concurrency: 1,
        starts_cold: true,
        warmup: Duration::from_secs(3_600),
        ..BackendOptions::default()
    };
    let options = EngineOptions { backend, ..EngineOptions::default() };
    let mut engine = Engine::start(options).await.unwrap();
    engine.backend.set_stalled(true);
    let url = engine.url();
    let first = tokio::spawn(async move { complete(&url, "a", &[]).await });
    while engine.backend.running() == 0 {
        tokio::task::yield_now().await;
    }

    let second = complete(&engine.url(), "b", &[]).await;

    assert_eq!(second.unwrap_err().status().map(|s| s.as_u16()), Some(503));
    assert_eq!(engine.backend.counts().overloads, 1);
    engine.backend.set_stalled(false);
    assert_eq!(tokens_of(&first.await.unwrap().unwrap()), engine::answer("a", 12));
    engine.stop().await;
}

#[tokio::test]
async fn old_fence_is_refused_where_checked() {
    let options = BackendOptions { checks_fence: true, ..BackendOptions::default() };
    let mut plain = Plain::start(options).await.unwrap();
    let url = format!("{}/v1/call", plain.url());
    let call = |fence: u64| {
        let request = client().post(&url).header("x-fence", fence).header("x-attempt-id", fence);
        request.json(&json!({ "key": "port-1" })).send()
    };

    let newer = call(7).await.unwrap().status().as_u16();
    let older = call(6).await.unwrap().status().as_u16();

    assert_eq!((newer, older), (200, 409));
    assert_eq!(plain.keys().get("port-1"), Some(&1));
    plain.stop().await;
}

#[tokio::test]
async fn pool_answers_from_its_input() {
    let mut pool = Pool::start(PoolKind::Rerank, BackendOptions::default()).await.unwrap();
    let input = json!({ "text": "who called" });

    let url = format!("{}/v1/rerank", pool.url());
    let answer = client().post(url).json(&json!({ "input": input })).send().await.unwrap();

    let expected = pool::output(PoolKind::Rerank, &input);
    assert_eq!(answer.json::<Value>().await.unwrap(), expected);
    pool.stop().await;
}

#[test]
fn sample_configurations_are_valid() {
    for config in [sample_config(), small_config()] {
        assert_eq!(check(&config), []);
    }
}

/// Sends a request on an open connection and waits for bytes of an answer.
async fn ask_on(stream: &mut TcpStream, id: &str) {
    let head = format!("x-limpetmux-request-id: {id}\r\ncontent-length: 0\r\n\r\n");
    let request = format!("POST /x HTTP/1.1\r\nhost: a\r\n{head}");
    stream.write_all(request.as_bytes()).await.unwrap();
    assert_ne!(stream.read(&mut [0; 8_192]).await.unwrap(), 0);
}

#[tokio::test]
async fn refusal_behind_a_further_answer_binds_nobody() {
    // Guards against a check that blames an entry for requests after a `Retry-After` that stands where the
    // answer to another request is due (soak, seeds 58018 and 58027).
    let server = UsersServer::start("p1").await.unwrap();
    let addr = server.addr;
    let [mut displaced, mut other] =
        [TcpStream::connect(addr).await.unwrap(), TcpStream::connect(addr).await.unwrap()];
    let further = FurtherAnswer { status: 409, named: true, time: FurtherTime::BeforeNext };
    server.set_fault(UsersFault::Further(further));

    ask_on(&mut displaced, "first").await;
    server.set_fault(UsersFault::None);
    ask_on(&mut other, "usual").await;
    server.set_retry_after(Some("5"));
    ask_on(&mut displaced, "behind").await;
    ask_on(&mut other, "refused").await;

    let held: Vec<_> =
        server.arrivals().into_iter().filter(|a| a.hold.is_some()).map(|a| a.id).collect();
    assert_eq!(held, ["refused"]);
}
