//! Answers of the platform that go on without end, or that arrive one byte at a time.

use limpetmux::adapters::hosts::HostsClient;
use limpetmux::adapters::log::{LogClient, Stream};
use limpetmux::adapters::one_call::OneCallClient;
use limpetmux::adapters::orders::{ModelOrder, OrderError, OrdersClient};
use limpetmux::adapters::power::{PowerClient, PowerOrder};
use limpetmux::core::revision::Offset;
use limpetmux_standins::raw::{serve_bytes, serve_requests, unframed};
use limpetmux_test_support::config::name;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The bytes of blanks after an answer that states a few values, more than its bound.
const NOTE_BLANKS: usize = 1 << 20;
/// The bytes of blanks after a host list, more than its bound.
const LIST_BLANKS: usize = 6 << 20;
/// The bytes of blanks after a page of the log, more than its bound.
const PAGE_BLANKS: usize = 10 << 20;
/// The most time that a call may take, far above its own bound.
const PATIENCE: Duration = Duration::from_secs(60);
/// The time between two bytes of an answer that drips.
const DRIP: Duration = Duration::from_millis(20);

fn client() -> OneCallClient {
    OneCallClient::new().unwrap()
}

/// Returns an answer whose JSON value is followed by blanks, so that it is valid if read whole.
fn blanks_after(status: u16, body: &str, blanks: usize) -> Vec<u8> {
    let mut answer = unframed(body.as_bytes());
    answer.splice(9..12, status.to_string().into_bytes());
    answer.resize(answer.len() + blanks, b' ');
    answer
}

async fn serve(answer: Vec<u8>) -> String {
    format!("http://{}", serve_bytes(answer).await.unwrap())
}

/// Answers each connection with `head` and then one blank at a time, until its other side closes.
async fn serve_drip(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(drip(stream, head));
        }
    });
    addr
}

async fn drip(mut stream: TcpStream, head: &'static str) {
    let _ = stream.read(&mut [0; 4096]).await;
    let mut sent = stream.write_all(head.as_bytes()).await;
    while sent.is_ok() {
        tokio::time::sleep(DRIP).await;
        sent = stream.write_all(b" ").await;
    }
}

fn order() -> ModelOrder {
    ModelOrder { model: name("chat"), fence: Offset(7) }
}

fn power_order() -> PowerOrder {
    PowerOrder { host: "h".into(), on: true, fence: Offset(7) }
}

/// Waits for the end of a call; names one that has none.
async fn in_time<T>(name: &str, call: impl Future<Output = T>) -> Option<T> {
    let ended = tokio::time::timeout(PATIENCE, call).await;
    if ended.is_err() {
        println!("{name}: no end");
    }
    ended.ok()
}

#[tokio::test]
async fn host_list_beyond_its_bound_is_not_read_whole() {
    // Guards against a host list without end that fills the memory of every entry and sidecar.
    let hosts = HostsClient::http(client(), &serve(blanks_after(200, "[]", LIST_BLANKS)).await);

    let result = (hosts.list)().await;

    assert!(result.is_err(), "{result:?}");
}

#[tokio::test]
async fn answer_to_an_append_beyond_its_bound_may_have_appended() {
    // Guards against an answer without end that fills the memory, and against a record that is in
    // the log although its append was stopped at a bound and counts as not appended.
    let answer = blanks_after(201, "{\"offset\":7}", NOTE_BLANKS);
    let log = LogClient::http(client(), &serve(answer).await);

    let error = (log.append)(Stream::Claims, vec![1]).await.unwrap_err();

    assert!(error.may_have_appended(), "{error:?}");
}

#[tokio::test]
async fn page_of_the_log_beyond_its_bound_is_not_read_whole() {
    let page = "{\"first\":0,\"end\":0,\"records\":[]}";
    let log = LogClient::http(client(), &serve(blanks_after(200, page, PAGE_BLANKS)).await);

    let result = (log.read)(Stream::Config, Offset(0), Duration::ZERO).await;

    assert!(result.is_err(), "{result:?}");
}

#[tokio::test]
async fn records_that_exceed_a_page_together_are_read_one_by_one() {
    // Guards against a bound on pages that a sound log meets with large records and never passes.
    let addr = serve_requests(|request| {
        let body = "{\"first\":0,\"end\":9,\"records\":[{\"offset\":0,\"data\":\"AQ==\"}]}";
        let length = if request.head.contains("max=1&") { body.len() } else { PAGE_BLANKS };
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").into()
    });
    let log = LogClient::http(client(), &format!("http://{}", addr.await.unwrap()));

    let page = (log.read)(Stream::Config, Offset(0), Duration::ZERO).await.unwrap();

    assert_eq!((page.records.len(), page.end), (1, Offset(9)));
}

#[tokio::test]
async fn order_is_not_fenced_by_a_conflict_beyond_its_bound() {
    let answer = blanks_after(409, "{\"fence\":99}", NOTE_BLANKS);
    let orders = OrdersClient::http(client(), &serve(answer).await);

    let result = (orders.send)(order()).await;

    assert!(result.is_err() && !matches!(result, Err(OrderError::Fenced)), "{result:?}");
}

#[tokio::test]
async fn head_beyond_its_bound_proves_nothing() {
    // Guards against heads of any size, and against a status in such a head that counts as proof.
    let field = format!("x-field: {}\r\n", "a".repeat(64 << 10));
    let head =
        |status| format!("HTTP/1.1 {status} Text\r\n{field}content-length: 0\r\n\r\n").into();
    let refusing = serve(head(503)).await;
    let accepting = serve(head(200)).await;

    let appended = (LogClient::http(client(), &refusing).append)(Stream::Claims, vec![1]).await;
    let ordered = (OrdersClient::http(client(), &accepting).send)(order()).await;
    let switched = (PowerClient::http(client(), &accepting).set)(power_order()).await;

    assert!(appended.as_ref().is_err_and(|e| e.may_have_appended()), "{appended:?}");
    assert!(ordered.is_err(), "{ordered:?}");
    assert!(switched.is_err(), "{switched:?}");
}

#[tokio::test]
async fn answers_that_drip_end_and_prove_nothing() {
    let heads =
        ["HTTP/1.1 200 OK\r\nx-field:", "HTTP/1.1 409 Conflict\r\ncontent-length: 9999\r\n\r\n"];
    for head in heads {
        let url = format!("http://{}", serve_drip(head).await);
        let (log, hosts) = (LogClient::http(client(), &url), HostsClient::http(client(), &url));
        let orders = OrdersClient::http(client(), &url);
        let power = PowerClient::http(client(), &url);

        let ended = tokio::join!(
            in_time("append", (log.append)(Stream::Claims, vec![1])),
            in_time("page", (log.read)(Stream::Claims, Offset(0), Duration::ZERO)),
            in_time("host list", (hosts.list)()),
            in_time("order", (orders.send)(order())),
            in_time("power order", (power.set)(power_order())),
        );

        let (Some(appended), Some(page), Some(list), Some(ordered), Some(switched)) = ended else {
            panic!("a call has no end");
        };
        assert!(appended.as_ref().is_err_and(|e| e.may_have_appended()), "{appended:?}");
        assert!(page.is_err() && list.is_err(), "{page:?} {list:?}");
        assert!(ordered.is_err() && !matches!(ordered, Err(OrderError::Fenced)), "{ordered:?}");
        assert!(switched.is_err(), "{switched:?}");
    }
}
