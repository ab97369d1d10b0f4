//! A call counts as not run only if the answer to this very send proves it.

use bytes::Bytes;
use futures::TryStreamExt;
use limpetmux::adapters::backend::{Backend, BackendError, Job};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::adapters::orders::{ModelOrder, OrderError, OrdersClient};
use limpetmux::core::config::{Fencing, StageKind};
use limpetmux::core::frames::{AttemptKey, RequestId};
use limpetmux::core::keys::StageIndex;
use limpetmux::core::revision::Offset;
use limpetmux_standins::raw::{RawRequest, serve_requests};
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{sleep, timeout};
use uuid::Uuid;

/// The number of the fence that a call carries.
const FENCE: u64 = 7;
/// How many calls a test sends one after another.
const CALLS: u32 = 4;
/// The time after its arrival in which a call without an answer does not end.
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// The longest that a machine under load may take until a call arrives.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// A backend server that answers with given bytes, and its client.
struct RawBackend {
    backend: Backend,
    received: Arc<Mutex<Vec<RawRequest>>>,
}

impl RawBackend {
    async fn start(answer: impl Fn(&RawRequest) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let received: Arc<Mutex<Vec<RawRequest>>> = Arc::default();
        let log = Arc::clone(&received);
        let addr = serve_requests(move |request| {
            log.lock().unwrap_or_else(PoisonError::into_inner).push(request.clone());
            answer(request)
        });
        let backend = client(&format!("http://{}", addr.await.unwrap()));
        Self { backend, received }
    }

    /// Returns the number of calls that arrived.
    fn arrivals(&self) -> usize {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Waits until a call has arrived.
    async fn arrival(&self) {
        while self.arrivals() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Runs a call to its end and returns the payloads joined.
    async fn run(&self, job: Job) -> Result<Bytes, BackendError> {
        let chunks: Vec<_> = (self.backend.run)(job).await?.try_collect().await?;
        Ok(chunks.into_iter().flat_map(|c| c.payload).collect())
    }
}

fn client(url: &str) -> Backend {
    Backend::http(OneCallClient::new().unwrap(), url)
}

fn job(kind: StageKind, fencing: Option<Fencing>) -> Job {
    Job {
        key: AttemptKey { request: RequestId(Uuid::nil()), stage: StageIndex(0), attempt: 0 },
        kind,
        model: None,
        input: Bytes::from_static(b"1"),
        prefix: Vec::new(),
        max_tokens: 8,
        priority: 0,
        fence: fencing.map(|f| (FENCE, f)),
    }
}

fn answer(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Text\r\ncontent-length: {length}\r\n\r\n{body}").into()
}

/// Returns a complete answer of a kind, which contains `text`.
fn complete(kind: StageKind, text: &str) -> Vec<u8> {
    match kind {
        StageKind::Generate => {
            let choice = format!("{{\"text\":\"{text}\",\"finish_reason\":\"stop\"}}");
            answer(200, &format!("data: {{\"choices\":[{choice}]}}\n\ndata: [DONE]\n\n"))
        }
        _ => answer(200, &format!("\"{text}\"")),
    }
}

#[tokio::test]
async fn answer_to_an_earlier_call_is_not_taken_for_one_to_the_next_call() {
    // Guards against a call that runs although an additional answer on its kept connection, which
    // belongs to an earlier call, was taken for its refusal (incident REFUSED and TWICE).
    let mut wrong = Vec::new();
    for kind in [StageKind::Generate, StageKind::Plain] {
        for status in [200, 409, 429, 500, 503] {
            let extra = if status == 200 { complete(kind, "other") } else { answer(status, "") };
            let server = RawBackend::start(move |request| match request.earlier {
                0 => complete(kind, "own"),
                _ => [extra.clone(), complete(kind, "own")].concat(),
            });
            let server = server.await;

            for call in 0..CALLS {
                let result = server.run(job(kind, Some(Fencing::Checked))).await;

                if !matches!(&result, Ok(text) if text == "own" || text == "\"own\"") {
                    wrong.push(format!("{kind:?} {status} call {call}: {result:?}"));
                }
            }
            assert_eq!(server.arrivals(), CALLS as usize, "{kind:?} {status}");
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn answer_to_an_earlier_order_does_not_end_the_next_one() {
    // Guards against an order that is never sent again, as an answer to an earlier order on its
    // kept connection was taken for its own (same class as incident REFUSED and TWICE).
    for status in [200, 409] {
        let addr = serve_requests(move |request| match request.earlier {
            0 => answer(503, ""),
            _ => [answer(status, "{\"fence\":99}"), answer(503, "")].concat(),
        });
        let url = format!("http://{}", addr.await.unwrap());
        let orders = OrdersClient::http(OneCallClient::new().unwrap(), &url);

        for fence in (0..u64::from(CALLS)).map(Offset) {
            let order = ModelOrder { model: "dispatch-7b".parse().unwrap(), fence };
            let result = (orders.send)(order).await;

            assert!(matches!(result, Err(OrderError::Refused(503))), "{status} {result:?}");
        }
    }
}

#[tokio::test]
async fn status_counts_as_not_run_only_where_the_protocol_promises_it() {
    // Guards against the status of a run that failed, which was taken for a refusal: only a model
    // engine promises that 503 refuses a call, and 409 refuses only a number that was sent.
    let (checked, ignored) = (Some(Fencing::Checked), Some(Fencing::Ignored));
    let rows = [
        (StageKind::Generate, None, 503, true),
        (StageKind::Plain, checked, 409, true),
        (StageKind::Generate, None, 409, false),
        (StageKind::Generate, None, 429, false),
        (StageKind::Generate, None, 500, false),
        (StageKind::Plain, None, 409, false),
        (StageKind::Plain, ignored, 409, false),
        (StageKind::Plain, checked, 429, false),
        (StageKind::Plain, checked, 503, false),
        (StageKind::Encode, None, 409, false),
        (StageKind::Retrieve, None, 503, false),
        (StageKind::Rerank, None, 429, false),
    ];
    let mut wrong = Vec::new();

    for (kind, fencing, status, not_run) in rows {
        let server = RawBackend::start(move |_| answer(status, "")).await;

        let error = server.run(job(kind, fencing)).await.unwrap_err();

        if error.is_not_run() != not_run {
            wrong.push(format!("{kind:?} {fencing:?} {status}: {error}"));
        }
    }

    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn order_is_fenced_only_by_a_higher_fencing_number() {
    // Guards against an order that is never sent again because of a 409 that is no refusal of its
    // fencing number.
    let rows = [
        ("{\"fence\":8}", true),
        ("{\"fence\":7}", false),
        ("{\"fence\":3}", false),
        ("{\"loading\":true}", false),
        ("", false),
    ];
    for (body, expected) in rows {
        let addr = serve_requests(move |_| answer(409, body)).await.unwrap();
        let orders = OrdersClient::http(OneCallClient::new().unwrap(), &format!("http://{addr}"));
        let order = ModelOrder { model: "dispatch-7b".parse().unwrap(), fence: Offset(FENCE) };

        let result = (orders.send)(order).await;

        let is_fenced = matches!(result, Err(OrderError::Fenced));
        assert_eq!(is_fenced, expected, "{body} {result:?}");
        assert!(is_fenced || matches!(result, Err(OrderError::Refused(409))), "{body} {result:?}");
    }
}

#[tokio::test]
async fn call_that_the_backend_server_received_never_counts_as_unsent() {
    // Guards against a connection that closes after the call arrived, on a new or a kept
    // connection, and is taken for one that could not be made, or sent a second time.
    for kind in [StageKind::Generate, StageKind::Plain] {
        for partial in ["", "HTTP/1.1 503", "HTTP/1.1 503 Text\r\ncontent-length: 0\r\n"] {
            let server = RawBackend::start(move |_| partial.into()).await;
            let mut run = pin!(server.run(job(kind, Some(Fencing::Checked))));
            let arrived = timeout(MAX_WAIT, server.arrival());
            tokio::select! {
                result = &mut run => panic!("{kind:?} {partial:?}: {result:?}"),
                arrived = arrived => arrived.expect("the call does not arrive"),
            }

            let result = timeout(ANSWER_TIME, run).await;

            assert!(result.is_err(), "{kind:?} {partial:?}: {result:?}");
            assert_eq!(server.arrivals(), 1);
        }
        let closing = limpetmux_standins::raw::serve_bytes("").await.unwrap();
        let result = (client(&format!("http://{closing}")).run)(job(kind, None)).await;
        assert!(matches!(result, Err(BackendError::ResponseLost(_))));
    }
}
