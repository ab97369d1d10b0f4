//! Answers of the store that contradict themselves, each other or the view, as a follower reads them.

use super::node_fixture::{config, settings};
use limpetmux::core::time::Moment;
use limpetmux::fleet::follow::Follower;
use limpetmux::kernel::Publisher;
use limpetmux::platform::store::Store;
use limpetmux::serve::node::{Shared, StoreView};
use limpetmux::util::clock;
use limpetmux_standins::raw::{RawRequest, serve_requests};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The time within which each test ends, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(40);
/// The topics that are followed.
const TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];

/// A call to the store.
struct Call {
    topic: String,
    /// The offset from which a log is read, or `None` for the newest records.
    from: Option<u64>,
}

fn call(request: &RawRequest) -> Call {
    let query = request.head.split_once('?').map_or("", |(_, q)| q);
    let query = query.split_whitespace().next().unwrap_or_default();
    let value = |name: &str| {
        query.split('&').find_map(|p| p.strip_prefix(name)).map(|v| v.trim_start_matches('='))
    };
    let from = value("from").map(|f| f.parse().expect("an offset"));
    Call { topic: value("topic").unwrap_or_default().to_owned(), from }
}

/// A log answer with some records of a key that has no meaning.
fn log(end: u64, records: usize) -> Vec<u8> {
    let head = [end.to_be_bytes(), 0_u64.to_be_bytes()].concat();
    [head, [0, 0, 0, 3, 1, b'k', b'v'].repeat(records)].concat()
}

/// A list of the newest records: a configuration and a backend server.
fn newest(topic: &str, end: u64, version: u32) -> Vec<u8> {
    let config = config(version, "k1");
    let server = r#"{"service":"plain","address":"127.0.0.1:9","zone":"mnl-a","slots":4,
        "state":"ready","born":1}"#;
    let (key, value) = if topic == "keyed.op" { ("config", &*config) } else { ("i-1", server) };
    let value = base64(value.as_bytes());
    format!(
        r#"{{"items":[{{"key":"{key}","value":"{value}","offset":3}}],"has-more":false,"end":{end}}}"#
    )
    .into()
}

fn base64(bytes: &[u8]) -> String {
    use serde_with::{SerializeAs, base64::Base64};
    let mut text = Vec::new();
    let mut json = serde_json::Serializer::new(&mut text);
    Base64::<serde_with::base64::Standard>::serialize_as(&bytes, &mut json).expect("a text");
    String::from_utf8(text).expect("ASCII").trim_matches('"').to_owned()
}

/// Starts a follower of a store that answers as `answer` says; returns what the node shares.
async fn follow(answer: impl Fn(&Call) -> Vec<u8> + Send + Sync + 'static) -> Arc<Shared> {
    let respond = move |request: &RawRequest| {
        let body = answer(&call(request));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        [head.as_bytes(), &body].concat()
    };
    let addr = serve_requests(respond).await.expect("a port");
    let publisher = Publisher::new(StoreView::default());
    let shared = Shared::new(settings("entry", addr, true, Vec::new()), &publisher);
    tokio::spawn(Follower::new(Arc::clone(&shared), Store::new(addr), publisher).run());
    shared
}

/// Waits until the view is as expected.
async fn wait(shared: &Shared, expected: impl Fn(&StoreView) -> bool) {
    let seen = async {
        while !expected(&shared.view.load()) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(PATIENCE, seen).await.expect("the view never becomes as expected");
}

#[tokio::test(flavor = "multi_thread")]
async fn view_is_not_confirmed_while_the_log_has_more_records() {
    // Guards against a part of the log that counts as all of it: the rest may revoke a key.
    let first_reads = Arc::new(Mutex::new(BTreeMap::<String, Moment>::new()));
    let reads = Arc::clone(&first_reads);

    let shared = follow(move |call| match call.from {
        None => newest(&call.topic, 4, 1),
        Some(_) => {
            reads.lock().unwrap().entry(call.topic.clone()).or_insert_with(clock::boot);
            log(1_000_000_000, 1)
        }
    })
    .await;
    wait(&shared, |v| v.orders.end_offset > 6 && v.listing.end_offset > 6).await;

    let view = shared.view.load();
    let confirmed = [view.orders.confirmed_at, view.listing.confirmed_at];
    for (topic, confirmed) in TOPICS.iter().zip(confirmed) {
        assert!(confirmed > Moment::ZERO, "{topic} was never confirmed");
        assert!(confirmed <= first_reads.lock().unwrap()[*topic], "{topic}");
    }
}

/// Follows a store whose first list of each topic states an end that is far too high and `version`;
/// all other answers end at 5 and have version 1. Returns also the reads of each topic so far.
async fn follow_damaged(version: u32) -> (Arc<Shared>, Arc<Mutex<BTreeMap<String, usize>>>) {
    let reads = Arc::new(Mutex::new(BTreeMap::<String, usize>::new()));
    let seen = Arc::clone(&reads);
    let shared = follow(move |call| {
        let mut seen = seen.lock().unwrap();
        let lists = format!("lists of {}", call.topic);
        match call.from {
            Some(from) => {
                *seen.entry(call.topic.clone()).or_default() += 1;
                log(5, 5_usize.saturating_sub(from as usize))
            }
            None if seen.contains_key(&lists) => newest(&call.topic, 5, 1),
            None => {
                seen.insert(lists, 1);
                newest(&call.topic, 1 << 40, version)
            }
        }
    })
    .await;
    (shared, reads)
}

#[tokio::test(flavor = "multi_thread")]
async fn offset_that_is_far_too_high_is_given_up_once_the_store_has_refuted_it() {
    // Guards against one damaged answer after which all true ones count as stale until a restart.
    let (shared, _) = follow_damaged(1).await;

    wait(&shared, |v| v.orders.end_offset == 5 && v.listing.end_offset == 5).await;

    let before = clock::boot();
    wait(&shared, |v| v.orders.confirmed_at > before && v.listing.confirmed_at > before).await;
    let view = shared.view.load();
    assert_eq!(view.orders.version(), 1);
    assert_eq!(view.listing.servers().count(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn version_in_force_stays_although_the_store_refutes_its_offset() {
    // Guards against a process that goes back to a lower version, and against a view that counts as
    // confirmed although the store contradicts it.
    let (shared, reads) = follow_damaged(7).await;
    wait(&shared, |v| v.orders.version() == 7).await;
    let confirmed_at = shared.view.load().orders.confirmed_at;
    let many_reads = async {
        while reads.lock().unwrap().get(TOPICS[0]).is_none_or(|count| *count < 20) {
            sleep(Duration::from_millis(10)).await;
        }
    };

    timeout(PATIENCE, many_reads).await.expect("the store is read on");

    let view = shared.view.load();
    assert_eq!(view.orders.version(), 7);
    assert_eq!(view.orders.confirmed_at, confirmed_at);
}
