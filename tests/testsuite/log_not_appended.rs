//! A record counts as not appended only if the answer to this very append proves it.

use limpetmux::adapters::log::{LogClient, LogError, Stream};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::core::revision::Offset;
use limpetmux_standins::raw::serve_requests;

/// How many records a test appends one after another.
const APPENDS: u64 = 4;

fn client(url: &str) -> LogClient {
    LogClient::http(OneCallClient::new().unwrap(), url)
}

fn answer(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Text\r\ncontent-length: {length}\r\n\r\n{body}").into()
}

#[tokio::test]
async fn answer_to_an_earlier_append_is_not_taken_for_one_to_the_next() {
    // Guards against a takeover or a return of keys that is in the log although an answer to an
    // earlier call was taken for its refusal (same class as incident REFUSED and TWICE).
    for (status, body) in [(503, ""), (429, ""), (201, "{\"offset\":99}")] {
        let addr = serve_requests(move |request| match request.earlier {
            0 => answer(201, "{\"offset\":7}"),
            _ => [answer(status, body), answer(201, "{\"offset\":7}")].concat(),
        });
        let log = client(&format!("http://{}", addr.await.unwrap()));

        for _ in 0..APPENDS {
            let appended = (log.append)(Stream::Claims, vec![1]).await;

            assert!(matches!(appended, Ok(Offset(7))), "{status} {appended:?}");
        }
    }
}

#[tokio::test]
async fn only_statuses_that_the_protocol_promises_prove_that_nothing_was_appended() {
    // Guards against a record that is in the log although the log failed after it was appended.
    for (status, may_have_appended) in [(429, false), (503, false), (500, true), (504, true)] {
        let addr = serve_requests(move |_| answer(status, "")).await.unwrap();
        let log = client(&format!("http://{addr}"));

        let error = (log.append)(Stream::Claims, vec![1]).await.unwrap_err();

        assert!(matches!(error, LogError::Refused { .. }), "{error:?}");
        assert_eq!(error.may_have_appended(), may_have_appended, "{status}");
    }
}
