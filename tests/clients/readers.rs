//! Callers that read a long answer slowly, with or without a pause.

use crate::fixture::{Door, Fixture, alone, head};
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The bytes of a long answer; a steady reader takes less than its deadline for it.
const ANSWER_BYTES: usize = 600_000;
/// The bytes that a steady reader takes at a time, and its pause after them.
const READ_BYTES: usize = 2_000;
const READ_PAUSE: Duration = Duration::from_millis(20);
/// The steady readers.
const READERS: usize = 4;
/// The time within which a caller that takes nothing is cut off, on a busy machine too.
const PATIENCE: Duration = Duration::from_secs(90);

/// Connects with the segments of an Ethernet link and a small receive buffer.
fn connect_slow(addr: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_tcp_mss(1_460).unwrap();
    socket.set_recv_buffer_size(32_768).unwrap();
    socket.connect(&addr.into()).unwrap();
    socket.set_nonblocking(true).unwrap();
    TcpStream::from_std(socket.into()).unwrap()
}

async fn ask(addr: SocketAddr) -> TcpStream {
    let mut stream = connect_slow(addr);
    let path = Door::Known.path(ANSWER_BYTES);
    let request = head(&path) + "content-length: 2\r\nconnection: close\r\n\r\nok";
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Reads an answer to its end without a pause longer than [`READ_PAUSE`]; returns its length.
async fn read_steadily(mut stream: TcpStream) -> usize {
    let (mut buffer, mut length) = (vec![0; READ_BYTES], 0);
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        length += count;
        sleep(READ_PAUSE * u32::try_from(count).unwrap() / READ_BYTES as u32).await;
    }
    length
}

#[test]
fn steady_slow_reader_gets_its_whole_answer() {
    // Load: callers over slow lines, whose receive buffers are full most of the time.
    alone(async {
        let fixture = Fixture::start("steady").await;
        let addr = fixture.addr(Door::Known);

        let readers = (0..READERS).map(|_| async { read_steadily(ask(addr).await).await });
        let lengths = futures::future::join_all(readers).await;

        assert!(lengths.iter().all(|l| *l > ANSWER_BYTES), "cut: {lengths:?}");
    });
}

#[test]
fn caller_that_takes_nothing_is_cut_off() {
    // Load: callers that stop reading a long answer and keep their connections.
    alone(async {
        let fixture = Fixture::start("stopped").await;
        let before = fixture.sockets();
        let mut stopped = Vec::new();
        for _ in 0..READERS {
            stopped.push(ask(fixture.addr(Door::Known)).await);
        }
        while fixture.sockets() <= before {
            sleep(READ_PAUSE).await;
        }

        let closed = timeout(PATIENCE, async {
            while fixture.sockets() > before {
                sleep(READ_PAUSE).await;
            }
        });

        assert!(closed.await.is_ok(), "{} sockets, {before} before", fixture.sockets());
    });
}
