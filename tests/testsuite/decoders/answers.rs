//! Answers of backend servers: heads, bodies and events that arrive in any parts.

use super::damage::{draw, draw_text};
use super::{block_on, check, cut};
use arbtest::arbitrary::{Result, Unstructured};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use limpetmux::core::event_stream::{EventScan, EventTail, Framing};
use limpetmux::platform::server;
use tokio::io::AsyncWriteExt;

/// Headers of answers that the decoder reads.
const HEADERS: [&str; 8] = [
    "x-limpetmux-request-id",
    "x-limpetmux-response-signature",
    "x-limpetmux-not-executed",
    "keep-alive",
    "connection",
    "transfer-encoding",
    "content-length",
    "x-other",
];

const PLAIN: &[u8] = b"HTTP/1.1 200 OK\r\nX-Limpetmux-Request-Id: 1f\r\n\
    X-Limpetmux-Response-Signature: 3e1b.07.5a2\r\nKeep-Alive: timeout=4, max=9\r\n\
    Content-Length: 12\r\n\r\n{\"items\":[]}";
const CHUNKED: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\
    X-Limpetmux-Request-Id: 1f\r\nTransfer-Encoding: chunked\r\n\r\n\
    18;x=y\r\nid: 1\r\ndata: a\r\n\r\nid: 2\n\r\n8\r\ndata: b\n\r\n1\r\n\n\r\n0\r\nx-trailer: 1\r\n\r\n";
const UNFRAMED: &[u8] = b"HTTP/1.0 503 Service Unavailable\r\nX-Limpetmux-Not-Executed: full\r\n\
    Connection: close\r\n\r\nbusy";
const EVENTS: &str = "\u{feff}: comment\nid: 1\r\ndata: a\r\n\r\nid: 2\rdata: b\r\rid: 3\ndata: c\n\n\
    event: x\ndata\n\n\n\nid: 4\ndata: d";

/// What one exchange has given: the decoded head, and the body or that it broke off.
#[derive(Debug, PartialEq)]
struct Seen {
    head: String,
    body: std::result::Result<Vec<u8>, ()>,
    events: u64,
    tail: EventTail,
}

/// Reads an answer that arrives in parts and then ends, as the node reads it.
async fn read(parts: Vec<Vec<u8>>) -> Option<Seen> {
    let (near, far) = tokio::io::duplex(256);
    let (mut sender, connection) = http1::handshake(TokioIo::new(near)).await.unwrap();
    let driver = tokio::spawn(connection);
    let server = tokio::spawn(write(far, parts));
    let request = Request::get("/a").header("host", "a").body(Empty::<Bytes>::new()).unwrap();
    let seen = match sender.send_request(request).await {
        Ok(answer) => Some(collect(answer).await),
        Err(_) => None,
    };
    drop(sender);
    driver.abort();
    server.abort();
    seen
}

async fn write(mut stream: tokio::io::DuplexStream, parts: Vec<Vec<u8>>) {
    // The request has to be read first: bytes before it belong to no answer.
    let mut request = [0; 256];
    let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut request).await;
    for part in parts {
        if stream.write_all(&part).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
}

async fn collect(answer: Response<hyper::body::Incoming>) -> Seen {
    let head = server::head("1f", &answer);
    let claims = head.claims();
    let (mut parts, mut incoming) = answer.into_parts();
    server::strip(&mut parts);
    let (mut body, mut scan) = (Vec::new(), EventScan::default());
    let mut broken = false;
    while let Some(frame) = incoming.frame().await {
        match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => {
                scan.push(&data);
                body.extend_from_slice(&data);
            }
            Ok(Err(_)) => {}
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    Seen {
        head: format!("{head:?} {claims:?} {:?}", parts.headers),
        body: if broken { Err(()) } else { Ok(body) },
        events: scan.events(),
        tail: scan.tail(),
    }
}

/// Reads an answer in parts and whole.
pub(super) fn check_answer(data: &[u8], parts: Vec<Vec<u8>>) {
    let split = block_on(read(parts));

    let whole = block_on(read(vec![data.to_vec()]));
    let body_len = split.iter().flat_map(|s| &s.body).map(Vec::len).max().unwrap_or_default();
    assert!(body_len <= data.len());
    assert_eq!(split, whole);
}

#[test]
fn answer_is_read_alike_however_it_is_split() {
    for valid in [PLAIN, CHUNKED, UNFRAMED] {
        let seen = block_on(read(vec![valid.to_vec()])).expect("a valid answer");
        assert!(seen.body.is_ok(), "{seen:?}");
    }
    check("answers of backend servers", |u| {
        let valid = u.choose(&[PLAIN, CHUNKED, UNFRAMED])?;
        let data = draw(u, valid)?;
        check_answer(&data, cut(u, &data)?);
        Ok(())
    });
}

#[test]
fn any_headers_of_an_answer_are_decoded() {
    check("heads of answers", |u| {
        let status = u.int_in_range(100..=999)?;
        let mut answer = Response::builder().status(status).body(()).unwrap();
        for _ in 0..u.int_in_range(0..=12)? {
            let name = HeaderName::from_static(u.choose(&HEADERS)?);
            let value = draw(u, b"timeout=4, max=1f, close, chunked, 7")?;
            let Ok(value) = HeaderValue::from_bytes(&value) else { continue };
            answer.headers_mut().append(name, value);
        }

        let head = server::head("1f", &answer);

        let has_length = answer.headers().contains_key("content-length");
        assert_eq!(head.signed, answer.headers().contains_key("x-limpetmux-response-signature"));
        assert!(has_length || head.framing != Framing::Length || matches!(status, 204 | 304));
        let (mut parts, ()) = answer.into_parts();
        server::strip(&mut parts);
        assert!(!parts.headers.contains_key("connection"));
        Ok(())
    });
}

/// Counts events as the format defines them, on the whole text at once.
fn count_events(bytes: &[u8]) -> (u64, EventTail) {
    let text: String = bytes.iter().map(|b| char::from(*b)).collect();
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let mut lines: Vec<&str> = text.split('\n').collect();
    let unfinished = lines.pop().unwrap_or_default();
    let (mut events, mut in_event) = (0, false);
    for line in lines {
        events += u64::from(line.is_empty() && in_event);
        in_event = !line.is_empty() && (in_event || !line.starts_with(':'))
            || in_event && line.starts_with(':');
    }
    let tail = match (in_event || !unfinished.is_empty(), events) {
        (true, _) => EventTail::Partial,
        (false, 0) => EventTail::Empty,
        (false, _) => EventTail::Whole,
    };
    (events, tail)
}

fn draw_events(u: &mut Unstructured<'_>) -> Result<Vec<u8>> {
    if u.ratio(1, 2)? {
        return Ok(draw_text(u, EVENTS)?.into_bytes());
    }
    let len = u.int_in_range(0..=60)?;
    (0..len).map(|_| Ok(*u.choose(b"\r\n\n:a ")?)).collect()
}

/// Counts the events of a stream that arrives in parts.
pub(super) fn check_events(data: &[u8], parts: &[Vec<u8>]) {
    let mut scan = EventScan::default();

    parts.iter().for_each(|part| scan.push(part));

    assert_eq!((scan.events(), scan.tail()), count_events(data), "{parts:?}");
}

#[test]
fn events_are_counted_alike_however_a_stream_is_split() {
    check("event streams", |u| {
        let data = draw_events(u)?;
        check_events(&data, &cut(u, &data)?);
        Ok(())
    });
}
