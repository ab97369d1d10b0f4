//! A request counts as not run only if the answer to this very send proves it.

use super::node_fixture::{Fixture, OwnServer, fixture_with};
use limpetmux_standins::raw::{RawRequest, serve_requests};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// The statuses that guarantee that a request has not run.
const GUARANTEES: [u16; 4] = [408, 421, 429, 503];

/// Two plain backend servers that answer with given bytes.
struct RawServers {
    fixture: Fixture,
    received: Arc<Mutex<Vec<RawRequest>>>,
}

impl RawServers {
    /// Returns the requests that reached a backend server.
    fn received(&self) -> Vec<RawRequest> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how often a request reached a backend server.
    fn arrivals(&self, id: &str) -> usize {
        self.received().iter().filter(|r| id_of(r) == id).count()
    }

    /// Sends a request and returns the status of its answer.
    async fn status(&self, path: &str, id: &str) -> u16 {
        self.fixture.send(path, id).await.status().as_u16()
    }
}

async fn raw_servers(
    answer: impl Fn(&RawRequest) -> Vec<u8> + Clone + Send + Sync + 'static,
) -> RawServers {
    let received: Arc<Mutex<Vec<RawRequest>>> = Arc::default();
    let mut own = Vec::new();
    for (id, service) in [("p1", "plain"), ("p2", "plain"), ("e1", "engine"), ("e2", "engine")] {
        let (log, answer) = (Arc::clone(&received), answer.clone());
        let addr = serve_requests(move |request| {
            log.lock().unwrap_or_else(PoisonError::into_inner).push(request.clone());
            answer(request)
        });
        own.push(OwnServer { id, service, addr: addr.await.unwrap() });
    }
    RawServers { fixture: fixture_with(&own).await, received }
}

fn id_of(request: &RawRequest) -> &str {
    request.header("x-limpetmux-request-id").unwrap_or_default()
}

/// Returns an answer with a body of one event.
fn answer(status: u16, headers: &str) -> Vec<u8> {
    let body = "id: 1\ndata: x\n\n";
    let length = body.len();
    format!("HTTP/1.1 {status} Text\r\n{headers}content-length: {length}\r\n\r\n{body}").into()
}

fn signed(id: &str) -> String {
    format!("x-limpetmux-request-id: {id}\r\nx-limpetmux-response-signature: s\r\n")
}

/// Returns an answer that states that the request with an id did not run.
fn refusal(status: u16, id: &str) -> Vec<u8> {
    answer(status, &format!("x-limpetmux-request-id: {id}\r\nx-limpetmux-not-executed: 1\r\n"))
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_of_an_earlier_request_does_not_refuse_the_next_one() {
    // Guards against a request that runs although an answer on its kept connection, which belongs to
    // an earlier request, was taken for its own refusal (incident REFUSED and TWICE).
    for path in ["/once/x", "/stream/x"] {
        for status in GUARANTEES.into_iter().chain([400, 409, 500]) {
            let servers = raw_servers(move |request| match request.earlier {
                0 => answer(200, &signed(id_of(request))),
                _ => [refusal(status, "another"), answer(200, &signed(id_of(request)))].concat(),
            })
            .await;

            let mut statuses = BTreeMap::new();
            for id in ["1f", "2f", "3f", "4f", "5f", "6f"] {
                statuses.insert(id, servers.status(path, id).await);
            }

            let received = servers.received();
            assert!(received.iter().any(|r| r.earlier > 0), "no connection was kept");
            for request in &received {
                let expected = if request.earlier > 0 { 502 } else { 200 };
                assert_eq!(statuses[id_of(request)], expected, "{path} {status} {request:?}");
            }
            assert_eq!(received.len(), statuses.len(), "sent twice: {path} {status}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_is_closed_after_an_answer_to_another_request() {
    // Guards against a connection that stays one answer behind, so that each further request on it
    // gets the answer of the one before (incident REFUSED and TWICE).
    let servers = raw_servers(|request| match request.earlier {
        0 => refusal(503, "another"),
        _ => answer(200, &signed(id_of(request))),
    })
    .await;

    let status = servers.status("/once/x", "1f").await;

    assert_eq!(status, 502);
    for id in ["2f", "3f", "4f"] {
        servers.status("/once/x", id).await;
    }
    let received = servers.received();
    assert!(received.iter().all(|r| r.earlier == 0), "reused: {received:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_without_an_id_proves_nothing() {
    // Guards against bytes that belong to no request and are taken for a refusal (hypothesis 3 of the
    // incident REFUSED and TWICE).
    let twice = "x-limpetmux-request-id: 1f\r\nx-limpetmux-request-id: 1f\r\n";
    for (path, ids) in [("/once/x", ""), ("/stream/x", ""), ("/once/x", twice)] {
        let servers =
            raw_servers(move |_| answer(503, &format!("{ids}x-limpetmux-not-executed: 1\r\n")))
                .await;

        let status = servers.status(path, "1f").await;

        assert_eq!(status, 502, "{path} {ids}");
        assert_eq!(servers.arrivals("1f"), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn failure_of_a_run_is_not_passed_on_as_a_refusal() {
    // Guards against the status of a run that failed, which its caller reads as a guarantee that
    // nothing ran (incident REFUSED and TWICE).
    for path in ["/once/x", "/safe/x", "/stream/x"] {
        for status in [408, 429, 503] {
            let servers = raw_servers(move |request| answer(status, &signed(id_of(request)))).await;

            let answer = servers.fixture.send(path, "1f").await;

            assert_eq!(answer.status().as_u16(), 502, "{path} {status}");
            assert!(!answer.headers().contains_key("x-limpetmux-response-signature"));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn own_refusal_counts_as_not_run_on_new_and_on_kept_connections() {
    // Guards against a fix that takes no refusal for one any more.
    let servers = raw_servers(|request| match id_of(request) {
        "1f" | "2f" => answer(200, &signed(id_of(request))),
        id => refusal(503, id),
    })
    .await;
    for id in ["1f", "2f"] {
        assert_eq!(servers.status("/once/x", id).await, 200);
    }

    let status = servers.status("/once/x", "3f").await;

    assert_eq!(status, 503);
    assert_eq!(servers.arrivals("3f"), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn signed_refusal_counts_as_not_run_and_its_signature_is_not_passed_on() {
    // Guards against a request that counts as run because its refusal is signed, and against the
    // signature of a refusal under the status of an answer that the entry created.
    for status in [400, 421, 429, 503] {
        let servers = raw_servers(move |request| {
            let headers = format!("{}x-limpetmux-not-executed: 1\r\n", signed(id_of(request)));
            answer(status, &headers)
        })
        .await;

        let answer = servers.fixture.send("/once/x", "1f").await;

        assert_eq!(answer.status().as_u16(), 503, "{status}");
        assert!(!answer.headers().contains_key("x-limpetmux-response-signature"), "{status}");
        assert_eq!(servers.arrivals("1f"), 2, "{status}");
    }
}
