//! Callers whose connections are silent, and bodies that go on after they were refused.
//!
//! Long times pass on a paused clock, which advances whenever no task can run.

use super::endless_entry::{Fixture, NO_PIECES, RUN};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// The most time that a step may take, far above its own bound.
const PATIENCE: Duration = Duration::from_secs(40);
/// The time for a head over HTTP/1.
const HEAD_TIME: Duration = Duration::from_secs(20);
/// The time after which an idle connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(300);
/// The time for a head over HTTP/2: that for one over HTTP/1 and the longest deadline.
const HTTP2_HEAD_TIME: Duration = Duration::from_secs(320);
/// A time above both together.
const LATER: Duration = Duration::from_secs(1_000);
/// More bytes of a refused body than are read, with those that the sockets hold.
const TOO_MANY_BYTES: usize = 64 << 20;
/// The first bytes of an HTTP/2 connection: the preface, empty settings, and the begin of a head.
const HTTP2_BEGIN: &[u8] =
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0\0\x20\0\x01\x04\0\0\0\x01";

/// Begins a request that is refused because of the length that it states.
async fn refused(addr: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(addr).await.unwrap();
    let head = format!("{RUN}content-length: 500000000\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 12];
    timeout(PATIENCE, caller.read_exact(&mut answer)).await.expect("no answer").unwrap();
    assert_eq!(&answer, b"HTTP/1.1 413");
    caller
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rest_of_a_refused_body_is_not_read_without_end() {
    // Guards against a caller that goes on sending after its refusal.
    let fixture = Fixture::start(NO_PIECES).await;
    let mut caller = refused(fixture.addr).await;

    let mut sent = 0;
    while caller.write_all(&[b'x'; 64 << 10]).await.is_ok() {
        sent += 64 << 10;
        assert!(sent < TOO_MANY_BYTES, "{sent}");
    }
}

#[tokio::test]
async fn rest_of_a_refused_body_that_drips_ends() {
    // Guards against a refused caller that keeps its connection with a byte now and then.
    let fixture = Fixture::start(NO_PIECES).await;
    let mut caller = refused(fixture.addr).await;
    tokio::time::pause();
    let began = Instant::now();

    let closed = timeout(LATER, async {
        while caller.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    });

    closed.await.expect("the connection stays open");
    // The time for the head of a next request would end it later.
    let took = began.elapsed();
    assert!(took < HEAD_TIME / 2, "{took:?}");
}

/// Reads a connection to its end; returns how long that took.
async fn closed_after(mut caller: TcpStream) -> Duration {
    let began = Instant::now();
    let closed = timeout(LATER, async {
        // A reset ends a connection too.
        while let Ok(1..) = caller.read(&mut [0; 1_024]).await {}
    });
    closed.await.expect("the connection stays open");
    began.elapsed()
}

#[tokio::test]
async fn connection_without_a_byte_closes() {
    // Guards against callers that hold connections which they do not use.
    let fixture = Fixture::start(NO_PIECES).await;
    let caller = TcpStream::connect(fixture.addr).await.unwrap();
    tokio::time::pause();

    let took = closed_after(caller).await;

    assert!((IDLE_TIME / 2..LATER / 2).contains(&took), "{took:?}");
}

#[tokio::test]
async fn head_over_http_2_that_drips_ends() {
    // Guards against a head that may take for ever because it is not the first of its connection.
    let fixture = Fixture::start(NO_PIECES).await;
    let (mut reader, mut writer) = TcpStream::connect(fixture.addr).await.unwrap().into_split();
    writer.write_all(HTTP2_BEGIN).await.unwrap();
    reader.read_exact(&mut [0; 9]).await.unwrap();
    tokio::time::pause();
    let began = Instant::now();

    let closed = timeout(LATER, async {
        while writer.write_all(b"x").await.is_ok() {
            sleep(Duration::from_secs(1)).await;
        }
    });

    closed.await.expect("the connection stays open");
    let took = began.elapsed();
    // The orderly close of an idle connection after 300 s does not begin the time anew.
    assert!((HTTP2_HEAD_TIME / 2..HTTP2_HEAD_TIME * 5 / 4).contains(&took), "{took:?}");
}
