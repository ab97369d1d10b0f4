//! The answer to a call for pieces, or to one that frees results, is used only for that call.

use super::node_fixture::{Fixture, OwnServer, config, fixture_with};
use limpetmux_standins::raw::{RawRequest, serve_requests};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// The requests of one test.
const IDS: [&str; 5] = ["1f", "2f", "3f", "4f", "5f"];

/// What the stage servers of a test have done.
#[derive(Default)]
pub(super) struct Made {
    /// The request and the stage of each result.
    results: BTreeMap<String, (String, u64)>,
    /// The inputs of each call with an id.
    inputs: Vec<(String, Value)>,
    freed: BTreeSet<String>,
    /// The most results that one of them held at a time.
    pub(super) most_held: usize,
    /// The last answer of each server to a call for pieces.
    last: BTreeMap<String, Vec<u8>>,
    /// The number of calls for pieces on connections that carried another call before.
    shared_runs: usize,
    /// The number of calls that free results on connections that carried another one before.
    shared_frees: usize,
    /// The number of calls whose answers were not the right ones.
    faults: usize,
}

/// Returns what an answer consists of, given the right answer and the one before.
pub(super) type Fault = fn(&RawRequest, Vec<u8>, &[u8]) -> Vec<u8>;

pub(super) struct StageServers {
    pub(super) fixture: Fixture,
    pub(super) made: Arc<Mutex<Made>>,
}

pub(super) fn lock(made: &Mutex<Made>) -> MutexGuard<'_, Made> {
    made.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) async fn stage_servers(fault: Fault) -> StageServers {
    let made: Arc<Mutex<Made>> = Arc::default();
    let mut own = Vec::new();
    for (id, service) in [("s1", "first"), ("s2", "second")] {
        let made = Arc::clone(&made);
        let addr = serve_requests(move |request| respond(&mut lock(&made), request, id, fault));
        own.push(OwnServer { id, service, addr: addr.await.unwrap() });
    }
    StageServers { fixture: fixture_with(&own).await, made }
}

fn respond(made: &mut Made, request: &RawRequest, server: &str, fault: Fault) -> Vec<u8> {
    let is_shared = request.earlier > 0;
    made.shared_runs += usize::from(is_shared && is_run(request));
    made.shared_frees += usize::from(is_shared && !is_run(request));
    let call: Value = serde_json::from_slice(&request.body).unwrap();
    let body = match call["items"].as_array() {
        Some(items) => json!({"items": run(made, request, server, items)}).to_string(),
        None => String::new(),
    };
    let right = answer(200, "", &body);
    let last = made.last.get(server).cloned().unwrap_or_default();
    let sent = fault(request, right.clone(), &last);
    made.faults += usize::from(sent != right);
    if call["items"].is_array() {
        made.last.insert(server.to_owned(), right);
    } else if sent == right {
        let names = call["handles"].as_array().unwrap().iter();
        made.freed.extend(names.map(|h| h.as_str().unwrap().to_owned()));
    }
    sent
}

fn run(made: &mut Made, request: &RawRequest, server: &str, items: &[Value]) -> Vec<Value> {
    let host = request.header("host").unwrap().to_owned();
    let results = items.iter().map(|item| {
        let name = format!("{host}/{server}-{}", made.results.len());
        let id = item["id"].as_str().unwrap().to_owned();
        made.inputs.push((id.clone(), item["inputs"].clone()));
        made.results.insert(name.clone(), (id, item["stage"].as_u64().unwrap()));
        json!({"handle": name})
    });
    let results: Vec<Value> = results.collect();
    let held = made.results.keys().filter(|n| n.starts_with(&host) && !made.freed.contains(*n));
    made.most_held = made.most_held.max(held.count());
    results
}

/// Returns an answer that carries an id, unless that is empty.
pub(super) fn answer(status: u16, id: &str, body: &str) -> Vec<u8> {
    let id = match id {
        "" => String::new(),
        id => format!("x-limpetmux-request-id: {id}\r\n"),
    };
    let length = body.len();
    format!("HTTP/1.1 {status} Text\r\n{id}content-length: {length}\r\n\r\n{body}").into()
}

fn refusal(id: &str) -> Vec<u8> {
    let refusal = String::from_utf8(answer(503, id, "")).unwrap();
    refusal.replacen("\r\n", "\r\nx-limpetmux-not-executed: 1\r\n", 1).into()
}

impl StageServers {
    /// Sends a request with stages and returns the status of its answer.
    pub(super) async fn status(&self, id: &str, pieces: &str) -> u16 {
        self.fixture.post_chain(id, pieces).send().await.unwrap().status().as_u16()
    }

    /// Checks that each request and each piece got the results of its own stages, each once.
    fn check_inputs(&self) {
        let made = lock(&self.made);
        for request in self.fixture.engine.requests() {
            let id = &request.headers["x-limpetmux-request-id"];
            let inputs: Vec<&str> = request.headers["x-limpetmux-inputs"].split(',').collect();
            check(&made, id, 1, &inputs, 2);
        }
        for (id, inputs) in &made.inputs {
            let inputs = inputs.as_array().into_iter().flatten();
            let inputs: Vec<&str> = inputs.map(|i| i.as_str().unwrap()).collect();
            if !inputs.is_empty() {
                check(&made, id, 0, &inputs, 16);
            }
        }
    }
}

/// Checks that inputs are the results of one stage of one request, and all of them.
fn check(made: &Made, id: &str, stage: u64, inputs: &[&str], count: usize) {
    for input in inputs {
        assert_eq!(made.results[*input], (id.to_owned(), stage), "{input}");
    }
    let names: BTreeSet<&&str> = inputs.iter().collect();
    assert_eq!((inputs.len(), names.len()), (count, count), "{id}: {inputs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn additional_answer_is_not_taken_for_that_of_the_next_call() {
    // Guards against results of one request that are handed to another, and against pieces that run
    // although their call counts as refused (incident REFUSED and TWICE).
    let faults: [(&str, Fault); 5] = [
        ("copy of the answer before", |request, right, last| match is_reused_run(request) {
            true => [last, &right].concat(),
            false => right,
        }),
        ("one answer behind", |request, right, last| match is_reused_run(request) {
            true => last.to_vec(),
            false => right,
        }),
        ("refusal of a request", |request, right, _| match is_reused_run(request) {
            true => [refusal("another"), right].concat(),
            false => right,
        }),
        ("further results", |request, right, last| match is_reused_run(request) {
            true => {
                let further = String::from_utf8_lossy(last).replace("handle\":\"", "handle\":\"x");
                [answer(200, "", further.rsplit("\r\n\r\n").next().unwrap()), right].concat()
            }
            false => right,
        }),
        ("copy of the answer that freed results", |request, right, _| {
            match is_reused_run(request) {
                true => [answer(200, "", ""), right].concat(),
                false => right,
            }
        }),
    ];
    for (name, fault) in faults {
        let servers = stage_servers(fault).await;
        let mut statuses = Vec::new();
        for id in IDS {
            statuses.push(servers.status(id, "16,2").await);
        }

        println!("{name}: {statuses:?}, {} faults", lock(&servers.made).faults);
        servers.check_inputs();
        assert_eq!(lock(&servers.made).shared_runs, 0, "{name}: a connection was shared");
        assert_eq!(statuses, [200; 5], "{name}");
    }
}

/// Returns whether a call for pieces came on a connection that carried others before.
fn is_reused_run(request: &RawRequest) -> bool {
    request.earlier > 0 && is_run(request)
}

fn is_run(request: &RawRequest) -> bool {
    request.head.starts_with("post /stage-run ")
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_follows_the_right_one_is_not_taken_for_that_of_the_next_call() {
    // Guards against the same with further answers that a backend server sends to every call for
    // pieces, so that they strike whichever connection the next call uses.
    let faults: [(&str, Fault); 3] = [
        ("copy of the answer", |request, right, _| match is_run(request) {
            true => [&right[..], &right[..]].concat(),
            false => right,
        }),
        ("refusal of a request", |request, right, _| match is_run(request) {
            true => [right, refusal("another")].concat(),
            false => right,
        }),
        ("half an answer", |request, right, _| match is_run(request) {
            true => [&right[..], &right[..right.len() / 2]].concat(),
            false => right,
        }),
    ];
    for (name, fault) in faults {
        let servers = stage_servers(fault).await;
        let mut statuses = Vec::new();
        for id in IDS {
            statuses.push(servers.status(id, "16,2").await);
        }

        servers.check_inputs();
        let made = lock(&servers.made);
        assert!(made.faults >= 2 * IDS.len(), "{name}: {} faults", made.faults);
        assert_eq!((statuses, made.shared_runs), (vec![200; 5], 0), "{name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_that_free_results_share_connections_among_themselves() {
    // Guards against a new connection for each of these calls, which has a price.
    let servers = stage_servers(|_, right, _| right).await;
    for id in IDS {
        assert_eq!(servers.status(id, "16,2").await, 200);
    }

    let made = lock(&servers.made);
    assert!(made.shared_frees >= 5, "{}", made.shared_frees);
    assert_eq!(made.shared_runs, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn room_is_taken_until_the_call_that_frees_it_succeeds() {
    // Guards against calls without room: any answer to a call that frees results counted as success.
    let faults: [Fault; 2] = [
        |request, right, _| match request.head.starts_with("post /stage-free ") {
            true => answer(503, "", ""),
            false => right,
        },
        |request, right, last| match request.head.starts_with("post /stage-free ") {
            true if request.earlier > 0 => [last, &answer(503, "", "")].concat(),
            true => answer(503, "", ""),
            false => right,
        },
    ];
    for fault in faults {
        let servers = stage_servers(fault).await;
        // Results of 100 kB take up a room of 1 MB, of which a fourteenth stays free.
        let large = config(2, "k1").replace(r#""size-bytes":1000"#, r#""size-bytes":100000"#);
        // On a busy machine the requests take longer than results are held otherwise.
        let large = large.replace(r#""handle-s":4.0"#, r#""handle-s":600.0"#);
        servers.fixture.store.put("keyed.op", "config", &large);
        sleep(Duration::from_millis(1_000)).await;

        let mut statuses = Vec::new();
        for id in IDS {
            statuses.push(servers.status(id, "2,2").await);
        }

        let made = lock(&servers.made);
        println!("{statuses:?}, {} held", made.most_held);
        assert!(made.most_held <= 9, "{} results in the room for 9: {statuses:?}", made.most_held);
    }
}
