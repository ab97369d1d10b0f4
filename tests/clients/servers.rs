//! Backend servers that send bytes without end, several at once, to an entry with low limits.

use crate::fixture::{Door, Fixture, Limits, alone, head};
use futures::future::join_all;
use std::net::SocketAddr;
use std::time::Duration;
use strum::VariantArray;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The callers whose requests reach such servers at once.
const CALLERS: usize = 400;
/// Each caller takes two descriptors of the process, and no more memory than on the smallest hosts.
const LIMITS: Limits = Limits { memory_mb: 80, max_fds: 2_000 };
/// The time for which a caller reads or waits.
const READ_TIME: Duration = Duration::from_secs(1);
/// The bytes that a server writes at a time.
const PART_BYTES: usize = 16 * 1024;

/// What a server sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, VariantArray)]
enum Junk {
    /// Headers.
    Headers,
    /// One header.
    LongHeader,
    /// Informational answers.
    Informational,
    /// Bytes that begin no answer.
    NoAnswer,
    /// A body without a length.
    Body,
    /// A body in chunks.
    Chunks,
    /// The extension of a chunk.
    Extension,
    /// A trailer behind a short body.
    Trailer,
}

impl Junk {
    /// Returns what is sent once, and what is sent again and again.
    fn bytes(self, id: &str) -> (String, Vec<u8>) {
        let ok = format!(
            "HTTP/1.1 200 OK\r\nx-limpetmux-request-id: {id}\r\nx-limpetmux-response-signature: s\r\n"
        );
        let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
        let size = format!("{PART_BYTES:x}\r\n");
        let chunk = [size.as_bytes(), &[b'x'; PART_BYTES], b"\r\n"];
        match self {
            Self::Headers => (ok, b"a: b\r\n".repeat(PART_BYTES / 6)),
            Self::LongHeader => (ok + "a: ", vec![b'a'; PART_BYTES]),
            Self::Informational => {
                (String::new(), b"HTTP/1.1 103 Early Hints\r\n\r\n".repeat(PART_BYTES / 28))
            }
            Self::NoAnswer => (String::new(), vec![b'\n'; PART_BYTES]),
            Self::Body => (ok + "\r\n", vec![b'x'; PART_BYTES]),
            Self::Chunks => (chunked, chunk.concat()),
            Self::Extension => (chunked + "1;", vec![b'x'; PART_BYTES]),
            Self::Trailer => (chunked + "1\r\na\r\n0\r\nb: ", vec![b'x'; PART_BYTES]),
        }
    }
}

/// Starts a server that answers each request with junk until the other side closes the connection.
async fn serve(junk: Junk) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send(stream, junk));
        }
    });
    addr
}

async fn send(stream: TcpStream, junk: Junk) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut id = String::new();
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        if line.trim().is_empty() {
            break;
        }
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("x-limpetmux-request-id:") {
            id = value.trim().to_owned();
        }
    }
    let (first, part) = junk.bytes(&id);
    stream.write_all(first.as_bytes()).await?;
    loop {
        stream.write_all(&part).await?;
    }
}

/// Sends a request and reads its answer as long as a caller waits; some callers read nothing.
async fn ask(addr: SocketAddr, number: usize) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all((head("/junk/x") + "content-length: 2\r\n\r\nok").as_bytes()).await?;
    if number.is_multiple_of(2) {
        sleep(READ_TIME).await;
    }
    let mut sink = tokio::io::sink();
    drop(timeout(READ_TIME, tokio::io::copy(&mut (&mut stream).take(u64::MAX), &mut sink)).await);
    Ok(())
}

#[test]
fn answers_without_end_of_several_servers() {
    // Load: several backend servers at once that send bytes without end, in a head or in a body (a process
    // that keeps them all runs out of memory, users' report).
    alone(async {
        let fixture = Fixture::start_within("junk", LIMITS).await;
        for junk in Junk::VARIANTS {
            let servers = [serve(*junk).await, serve(*junk).await, serve(*junk).await];
            fixture.set_junk(&servers);
            sleep(Duration::from_secs(1)).await;
            let addr = fixture.addr(Door::Known);

            join_all((0..CALLERS).map(|number| ask(addr, number))).await;

            println!("{junk:?}");
            fixture.check_bounds();
        }
        fixture.check_ordinary().await;
    });
}
