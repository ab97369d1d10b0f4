//! Servers that answer with given bytes, for answers that no well-behaved HTTP server sends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The bytes that are read at a time of a body that is not kept.
const PART_BYTES: usize = 64 * 1024;
/// The time between the end of one side of a connection and that of the other one.
const CLOSE_TIME: Duration = Duration::from_millis(20);

/// Answers every request with the same bytes and then closes the connection in order.
///
/// Returns its address; it runs until the runtime ends.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn serve_bytes(answer: impl Into<Vec<u8>>) -> std::io::Result<SocketAddr> {
    let answer: Arc<[u8]> = answer.into().into();
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = Arc::clone(&answer);
            tokio::spawn(async move {
                if let Err(error) = serve_one(stream, &answer, true).await {
                    eprintln!("stand-in server failed: {error}");
                }
            });
        }
    });
    Ok(addr)
}

/// An answer that breaks off.
#[derive(Clone, Debug)]
pub struct CutAnswer {
    /// The bytes that are sent.
    pub bytes: Vec<u8>,
    /// Whether the connection is reset behind them; otherwise it closes in order.
    pub resets: bool,
}

/// Answers every request with what `answer` returns, and then ends the connection.
///
/// Returns its address; it runs until the runtime ends.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn serve_cut(
    answer: impl Fn() -> CutAnswer + Send + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = answer();
            tokio::spawn(async move {
                if answer.resets && stream.set_zero_linger().is_err() {
                    return;
                }
                // The other side may end the connection first.
                drop(serve_one(stream, &answer.bytes, !answer.resets).await);
            });
        }
    });
    Ok(addr)
}

/// An answer that begins while the body of its request is still being sent.
#[derive(Clone, Debug)]
pub struct EarlyAnswer {
    /// The bytes that are sent.
    pub bytes: Vec<u8>,
    /// The bytes of the body that are read, with those that have arrived by then.
    pub reads: usize,
    /// Whether the connection is reset; otherwise it closes in order, as that of a process that ends with
    /// nothing unread.
    pub resets: bool,
}

/// Answers every request after its head with what `answer` returns, and then ends the connection.
///
/// Returns its address; it runs until the runtime ends.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn serve_early(
    answer: impl Fn() -> EarlyAnswer + Send + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // The other side may end the connection first.
            tokio::spawn(serve_one_early(stream, answer()));
        }
    });
    Ok(addr)
}

async fn serve_one_early(stream: TcpStream, answer: EarlyAnswer) -> std::io::Result<()> {
    if answer.resets {
        stream.set_zero_linger()?;
    }
    let mut stream = BufReader::new(stream);
    let (_, body_len) = read_head(&mut stream).await?;
    stream.write_all(&answer.bytes).await?;
    let mut body = vec![0; answer.reads];
    stream.read_exact(&mut body).await?;
    if !answer.resets {
        // At most a quarter: the other side may send as fast as this one reads, and the system takes the
        // rest of a short body for it.
        let mut read = answer.reads;
        let mut part = vec![0; PART_BYTES];
        while let (true, Ok(count)) = (read < body_len / 4, stream.get_ref().try_read(&mut part)) {
            read += count;
        }
        stream.shutdown().await?;
        // The other side reads the end before its own bytes are refused.
        sleep(CLOSE_TIME).await;
    }
    Ok(())
}

/// Returns an answer that has neither a length nor chunks, so that it ends with its connection.
pub fn unframed(body: &[u8]) -> Vec<u8> {
    [b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", body].concat()
}

/// A request that a raw server received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRequest {
    /// The request line and the headers, in lower case.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
    /// The number of requests on the same connection before it.
    pub earlier: usize,
    /// The address of the other side, which tells connections apart.
    pub peer: SocketAddr,
}

impl RawRequest {
    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut fields = self.head.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(field, _)| *field == name).map(|(_, value)| value.trim())
    }
}

/// Answers every request with the bytes that `answer` returns and keeps its connection open.
///
/// Returns its address; it runs until the runtime ends.
///
/// # Errors
/// Returns an error if no port can be bound.
pub async fn serve_requests(
    answer: impl Fn(&RawRequest) -> Vec<u8> + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let answer = Arc::new(answer);
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let answer = Arc::clone(&answer);
            tokio::spawn(async move { serve_connection(stream, &*answer).await });
        }
    });
    Ok(addr)
}

/// Serves one connection until its other side closes it.
async fn serve_connection(stream: TcpStream, answer: &(dyn Fn(&RawRequest) -> Vec<u8> + Sync)) {
    let Ok(peer) = stream.peer_addr() else { return };
    let mut stream = BufReader::new(stream);
    for earlier in 0.. {
        let Ok(Message { head, body }) = read_request(&mut stream).await else { return };
        let head = head.to_ascii_lowercase();
        let sent = stream.write_all(&answer(&RawRequest { head, body, earlier, peer })).await;
        if sent.is_err() {
            return;
        }
    }
}

/// Reads one request, as a close with unread bytes would be a reset, and answers it.
async fn serve_one(stream: TcpStream, answer: &[u8], closes: bool) -> std::io::Result<()> {
    let mut stream = BufReader::new(stream);
    read_request(&mut stream).await?;
    stream.write_all(answer).await?;
    if closes { stream.shutdown().await } else { Ok(()) }
}

/// A request as it was sent.
pub(crate) struct Message {
    /// The request line and the headers.
    pub(crate) head: String,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// Reads a request, whose body has a length.
pub(crate) async fn read_request(stream: &mut BufReader<TcpStream>) -> std::io::Result<Message> {
    let (head, body_len) = read_head(stream).await?;
    let mut body = vec![0; body_len];
    stream.read_exact(&mut body).await?;
    Ok(Message { head, body })
}

/// Reads the head of a request; returns it and the length of the body.
async fn read_head(stream: &mut BufReader<TcpStream>) -> std::io::Result<(String, usize)> {
    let mut head = String::new();
    let mut body_len = 0;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some(len) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            body_len = len.trim().parse().unwrap_or_default();
        }
        head.push_str(line);
        head.push('\n');
    }
    Ok((head, body_len))
}
