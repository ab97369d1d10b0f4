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
fn newest(topic: &str, end: u64) -> Vec<u8> {
    let config = config(1, "k1");
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
        None => newest(&call.topic, 4),
        Some(_) => {
            reads.lock().unwrap().entry(call.topic.clone()).or_insert_with(clock::boot);
            log(1_000_000_000, 1)
        }
    })
    .await;
    wait(&shared, |v| v.orders.end.offset > 6 && v.listing.end.offset > 6).await;

    let view = shared.view.load();
    let confirmed = [view.orders.confirmed_at, view.listing.confirmed_at];
    for (topic, confirmed) in TOPICS.iter().zip(confirmed) {
        assert!(confirmed > Moment::ZERO, "{topic} was never confirmed");
        assert!(confirmed <= first_reads.lock().unwrap()[*topic], "{topic}");
    }
}
