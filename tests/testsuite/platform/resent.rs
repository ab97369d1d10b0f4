//! A request that is sent to a backend server once more is not refused by the answer to its first
//! send.

use super::node_fixture::{Fixture, OwnServer, fixture_with};
use limpetmux_standins::raw::{RawRequest, serve_requests};
use std::sync::{Arc, Mutex, PoisonError};

/// A model engine that answers with given bytes, and what reached it.
struct RawEngine {
    fixture: Fixture,
    received: Arc<Mutex<Vec<RawRequest>>>,
}

async fn raw_engine(
    answer: impl Fn(usize, &RawRequest) -> Vec<u8> + Send + Sync + 'static,
) -> RawEngine {
    let received: Arc<Mutex<Vec<RawRequest>>> = Arc::default();
    let log = Arc::clone(&received);
    let addr = serve_requests(move |request| {
        let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
        let sends = log.iter().filter(|r| id(r) == id(request)).count();
        log.push(request.clone());
        answer(sends, request)
    });
    let own = OwnServer { id: "e1", service: "engine", addr: addr.await.unwrap() };
    RawEngine { fixture: fixture_with(&[own]).await, received }
}

impl RawEngine {
    fn received(&self) -> Vec<RawRequest> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a request with stages and returns the status of its answer.
    async fn status(&self, id: &str) -> u16 {
        self.fixture.post_chain(id, "2,2").send().await.unwrap().status().as_u16()
    }
}

fn id(request: &RawRequest) -> &str {
    request.header("x-limpetmux-request-id").unwrap_or_default()
}

fn answer(status: u16, header: &str, id: &str) -> Vec<u8> {
    let body = "id: 1\ndata: x\n\n";
    let length = body.len();
    let ids = format!("x-limpetmux-request-id: {id}\r\n{header}: 1\r\n");
    format!("HTTP/1.1 {status} Text\r\n{ids}content-length: {length}\r\n\r\n{body}").into()
}

fn served(id: &str) -> Vec<u8> {
    answer(200, "x-limpetmux-response-signature", id)
}

/// Returns an answer that states that a result is gone and the request did not run.
fn inputs_gone(id: &str) -> Vec<u8> {
    answer(409, "x-limpetmux-not-executed", id)
}

#[tokio::test(flavor = "multi_thread")]
async fn copy_of_a_refusal_does_not_refuse_the_next_send_of_its_request() {
    // Guards against a request that runs although a late copy of the refusal of its first send, which
    // carries the same id, was taken for the refusal of its second one (incident REFUSED and TWICE).
    let engine = raw_engine(|sends, request| match (sends, request.earlier) {
        (0, _) => inputs_gone(id(request)),
        (_, 0) => served(id(request)),
        _ => [inputs_gone(id(request)), served(id(request))].concat(),
    })
    .await;

    let mut statuses = Vec::new();
    for id in ["1f", "2f", "3f", "4f"] {
        statuses.push(engine.status(id).await);
    }

    let received = engine.received();
    assert_eq!(statuses, [200; 4], "{received:?}");
    assert_eq!(received.len(), 8, "{received:?}");
}
