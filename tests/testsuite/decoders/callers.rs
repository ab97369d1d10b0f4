//! Requests of callers, as bytes on a connection and as heads.

use super::damage::draw;
use super::{block_on, check, cut};
use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use limpetmux::core::time::Moment;
use limpetmux::platform::caller::{self, Prompt, RequestHead};
use limpetmux::platform::server::{self, AddedHeaders};
use std::convert::Infallible;
use std::sync::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The most pieces of a stage that a request may name.
const MAX_PIECES: u32 = 10_000;

const REQUEST: &[u8] = b"POST /a/b?x=1 HTTP/1.1\r\nHost: a.example:80\r\n\
    X-Limpetmux-Request-Id: 1f\r\nX-Limpetmux-Deadline-Ms: 6000\r\n\
    X-Limpetmux-Token-Usage: 1460,80\r\nX-Limpetmux-Pieces: 2,0,8\r\n\
    X-Limpetmux-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n\
    Authorization: Bearer k1\r\nConnection: x-hop\r\nX-Hop: 1\r\n\
    Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n\
    GET / HTTP/1.1\r\nHost: b\r\nX-Limpetmux-Request-Id: 2f\r\nContent-Length: 2\r\n\r\nhi";

/// Headers of requests that the decoder reads, with valid values.
const HEADERS: [(&str, &[u8]); 10] = [
    ("x-limpetmux-request-id", b"1f"),
    ("host", b"a.example:80"),
    ("content-length", b"5"),
    ("transfer-encoding", b"chunked"),
    ("x-limpetmux-deadline-ms", b"6000"),
    ("x-limpetmux-pieces", b"2,0,8"),
    ("x-limpetmux-token-usage", b"1460,80"),
    ("x-limpetmux-prompt-prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ("authorization", b"Bearer k1"),
    ("connection", b"close, x-hop"),
];

/// Checks what holds for every head that was decoded.
fn check_head(parts: &Parts, head: &RequestHead) {
    let bytes: usize = parts.headers.values().map(HeaderValue::len).sum();
    let prompt = Prompt::decode(head);
    let held = size_of_val(&*prompt.parts) + size_of_val(&*prompt.shared);
    assert!(held <= Prompt::bytes(head) && prompt.parts.capacity() == prompt.parts.len());
    assert!(prompt.parts.len() <= bytes + 1 && head.pieces.len() <= bytes + 1);
    assert!(head.pieces.iter().all(|p| *p <= MAX_PIECES));
    assert!(!head.id.is_empty() && head.target.starts_with('/'));
    assert!(!head.headers.contains_key("authorization"));
    // A deadline beyond the clock's range is the end of the range.
    assert!(Moment::from_millis(1) + head.deadline >= Moment::from_millis(1));
    let added = AddedHeaders {
        server: "i-1",
        workspace: head.api_key.as_deref(),
        time_left: head.deadline,
        priority: None,
        inputs: &[],
        fetch_from: None,
    };
    if let Ok(request) = server::request(head, &added, Bytes::new()) {
        assert_eq!(request.headers()["x-limpetmux-expected-instance"], "i-1");
    }
}

/// Serves what a caller sends in parts; returns each request as it was understood.
async fn serve(parts: Vec<Vec<u8>>) -> Vec<String> {
    let seen = Mutex::new(Vec::new());
    let (near, far) = tokio::io::duplex(256);
    let answer = service_fn(async |request: Request<Incoming>| {
        let (head, body) = request.into_parts();
        let decoded = caller::decode(&head);
        if let Ok(decoded) = &decoded {
            check_head(&head, decoded);
        }
        let body = body.collect().await.map(|b| b.to_bytes()).ok();
        seen.lock().unwrap().push(format!("{decoded:?} {body:?}"));
        Ok::<_, Infallible>(Response::new(Empty::<Bytes>::new()))
    });
    let caller = tokio::spawn(send(far, parts));
    let builder = http1::Builder::new().half_close(true).clone();
    let _ = builder.serve_connection(TokioIo::new(near), answer).await;
    caller.abort();
    seen.into_inner().unwrap()
}

async fn send(stream: tokio::io::DuplexStream, parts: Vec<Vec<u8>>) {
    let (mut reader, mut writer) = tokio::io::split(stream);
    tokio::spawn(async move { while matches!(reader.read(&mut [0; 256]).await, Ok(1..)) {} });
    for part in parts {
        if writer.write_all(&part).await.is_err() {
            return;
        }
        tokio::task::yield_now().await;
    }
    let _ = writer.shutdown().await;
}

/// Serves requests that arrive in parts and whole.
pub(super) fn check_requests(data: &[u8], parts: Vec<Vec<u8>>) {
    let split = block_on(serve(parts));

    assert_eq!(split, block_on(serve(vec![data.to_vec()])));
}

#[test]
fn requests_are_understood_alike_however_they_are_split() {
    let whole = block_on(serve(vec![REQUEST.to_vec()]));
    assert!(whole.len() == 2 && whole.iter().all(|r| r.starts_with("Ok")), "{whole:?}");
    check("requests of callers", |u| {
        let data = draw(u, REQUEST)?;
        check_requests(&data, cut(u, &data)?);
        Ok(())
    });
}

#[test]
fn any_head_of_a_request_is_decoded_or_refused() {
    check("heads of requests", |u| {
        let mut request = Request::post("/a/b?x=1").body(()).unwrap();
        for (name, valid) in HEADERS {
            let value = if u.ratio(1, 3)? { draw(u, valid)? } else { valid.to_vec() };
            let Ok(value) = HeaderValue::from_bytes(&value) else { continue };
            let is_optional = !["host", "x-limpetmux-request-id"].contains(&name);
            if !is_optional || u.ratio(1, 3)? {
                request.headers_mut().append(HeaderName::from_static(name), value);
            }
        }
        let (parts, ()) = request.into_parts();

        let head = caller::decode(&parts);

        if let Ok(head) = head {
            check_head(&parts, &head);
        }
        Ok(())
    });
}
